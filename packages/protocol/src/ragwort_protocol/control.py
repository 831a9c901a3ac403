"""The gRPC stubs and messages of the control service of nodes."""

from ragwort_protocol._control_pb2 import (
    FetchRulesReply,
    FetchRulesRequest,
    GetStatusReply,
    GetStatusRequest,
    Peer,
    SetDrainReply,
    SetDrainRequest,
)
from ragwort_protocol._control_pb2_grpc import (
    ControlServicer,
    ControlStub,
    add_ControlServicer_to_server,
)

__all__ = [
    "ControlServicer",
    "ControlStub",
    "FetchRulesReply",
    "FetchRulesRequest",
    "GetStatusReply",
    "GetStatusRequest",
    "Peer",
    "SetDrainReply",
    "SetDrainRequest",
    "add_ControlServicer_to_server",
]
