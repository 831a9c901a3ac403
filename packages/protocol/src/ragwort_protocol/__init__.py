"""The messages that nodes exchange over links, and their codec.

The stubs of the rare gRPC exchanges are in ``ragwort_protocol.control``.
"""

from ragwort_protocol._calls import Cancel, Data, Hello, Refusal, Request, Response
from ragwort_protocol._codec import (
    BODY_PART_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameReader,
    ProtocolError,
    encode_frame,
)
from ragwort_protocol._load import LoadReport, Probe, ProbeReply
from ragwort_protocol._message import Message, replace_fields

__all__ = [
    "BODY_PART_BYTES",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Cancel",
    "Data",
    "FrameReader",
    "Hello",
    "LoadReport",
    "Message",
    "Probe",
    "ProbeReply",
    "ProtocolError",
    "Refusal",
    "Request",
    "Response",
    "encode_frame",
    "replace_fields",
]
