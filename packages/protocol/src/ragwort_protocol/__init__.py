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
from ragwort_protocol._gossip import (
    Digest,
    LoadNotice,
    News,
    Notice,
    PeerState,
    Ping,
    PingAck,
    PingRequest,
    Profile,
    Records,
    RegionReport,
    ServiceLoad,
    Summary,
    measure_news,
)
from ragwort_protocol._load import LoadReport, Probe, ProbeReply
from ragwort_protocol._message import Message, replace_fields

__all__ = [
    "BODY_PART_BYTES",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Cancel",
    "Data",
    "Digest",
    "FrameReader",
    "Hello",
    "LoadNotice",
    "LoadReport",
    "Message",
    "News",
    "Notice",
    "PeerState",
    "Ping",
    "PingAck",
    "PingRequest",
    "Probe",
    "ProbeReply",
    "Profile",
    "ProtocolError",
    "Records",
    "Refusal",
    "RegionReport",
    "Request",
    "Response",
    "ServiceLoad",
    "Summary",
    "encode_frame",
    "replace_fields",
    "measure_news",
]
