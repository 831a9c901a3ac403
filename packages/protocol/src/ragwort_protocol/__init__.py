"""The messages that nodes exchange over links, and their codec.

The stubs of the gRPC control service are in ``ragwort_protocol.control``.
"""

from ragwort_protocol._calls import Cancel, Data, Hello, Refusal, Request, Response
from ragwort_protocol._claims import (
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ClaimVerdict,
    OwnerNotice,
    StoredResponse,
)
from ragwort_protocol._codec import (
    BODY_PART_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameReader,
    ProtocolError,
    encode_frame,
)
from ragwort_protocol._crashes import CrashCleared, CrashNotice, CrashTrial
from ragwort_protocol._departures import DepartureNotice, LeavingServer
from ragwort_protocol._evacuations import EvacuationNotice
from ragwort_protocol._gossip import (
    Digest,
    LoadNotice,
    Notice,
    PeerState,
    PeerUpdate,
    Ping,
    PingAck,
    PingRequest,
    Profile,
    Records,
    RegionReport,
    ServiceLoad,
    Summary,
    measure_update,
)
from ragwort_protocol._limits import (
    CustomerUsage,
    LimitShare,
    LimitShares,
    LimitsReady,
    UsageReport,
)
from ragwort_protocol._load import LoadReport, Probe, ProbeReply
from ragwort_protocol._message import Message, replace_fields
from ragwort_protocol._revision import (
    Document,
    DocumentRequest,
    NodeNotice,
    RecordLost,
    RevisionNotice,
    StoreNotice,
)
from ragwort_protocol._uploads import BodyRequest

__all__ = [
    "BODY_PART_BYTES",
    "BodyRequest",
    "Cancel",
    "ClaimReply",
    "ClaimRequest",
    "ClaimResult",
    "ClaimVerdict",
    "CrashCleared",
    "CrashNotice",
    "CrashTrial",
    "CustomerUsage",
    "Data",
    "DepartureNotice",
    "Digest",
    "Document",
    "DocumentRequest",
    "EvacuationNotice",
    "FrameReader",
    "Hello",
    "LeavingServer",
    "LimitShare",
    "LimitShares",
    "LimitsReady",
    "LoadNotice",
    "LoadReport",
    "MAX_FRAME_BYTES",
    "Message",
    "NodeNotice",
    "Notice",
    "OwnerNotice",
    "PROTOCOL_VERSION",
    "PeerState",
    "PeerUpdate",
    "Ping",
    "PingAck",
    "PingRequest",
    "Probe",
    "ProbeReply",
    "Profile",
    "ProtocolError",
    "RecordLost",
    "Records",
    "Refusal",
    "RegionReport",
    "Request",
    "Response",
    "RevisionNotice",
    "ServiceLoad",
    "StoreNotice",
    "StoredResponse",
    "Summary",
    "UsageReport",
    "encode_frame",
    "measure_update",
    "replace_fields",
]
