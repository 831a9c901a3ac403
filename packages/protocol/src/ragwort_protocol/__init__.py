"""The messages that nodes exchange over links, and their codec.

The stubs of the rare gRPC exchanges are in ``ragwort_protocol.control``.
"""

from ragwort_protocol._calls import Cancel, Data, Refusal, Request, Response
from ragwort_protocol._codec import (
    BODY_PART_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameReader,
    ProtocolError,
    encode_frame,
)
from ragwort_protocol._load import LoadReport
from ragwort_protocol._message import Message
from ragwort_protocol._revision import RevisionNotice

__all__ = [
    "BODY_PART_BYTES",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Cancel",
    "Data",
    "FrameReader",
    "LoadReport",
    "Message",
    "ProtocolError",
    "Refusal",
    "Request",
    "Response",
    "RevisionNotice",
    "encode_frame",
]
