"""Answers the rare gRPC exchanges of peers and of the operators' command."""

import hmac
from collections.abc import Callable

import grpc
from ragwort_protocol.control import (
    ControlServicer,
    FetchRulesReply,
    FetchRulesRequest,
    GetStatusReply,
    GetStatusRequest,
    SetDrainReply,
    SetDrainRequest,
    add_ControlServicer_to_server,
)

ReadRules = Callable[[], FetchRulesReply]
ReadStatus = Callable[[bool], GetStatusReply]
"""Returns the status, without the peers if told so."""

SetDrain = Callable[[bool], None]


class Control(ControlServicer):
    """Answers each exchange from functions that read the node's state."""

    def __init__(
        self,
        read_rules: ReadRules,
        read_status: ReadStatus,
        set_drain: SetDrain,
        token: str | None,
    ) -> None:
        self._read_rules = read_rules
        self._read_status = read_status
        self._set_drain = set_drain
        self._token = token

    async def FetchRules(  # noqa: N802
        self, request: FetchRulesRequest, context: grpc.aio.ServicerContext
    ) -> FetchRulesReply:
        """Return the rules in force."""
        return self._read_rules()

    async def GetStatus(  # noqa: N802
        self, request: GetStatusRequest, context: grpc.aio.ServicerContext
    ) -> GetStatusReply:
        """Return what the node knows of itself and its peers."""
        return self._read_status(request.without_peers)

    async def SetDrain(  # noqa: N802
        self, request: SetDrainRequest, context: grpc.aio.ServicerContext
    ) -> SetDrainReply:
        """Start or end a drain, if the token is right."""
        if not check_token(self._token, request.token):
            return SetDrainReply(refusal="the token is not the one in the node's settings")
        self._set_drain(request.draining)
        return SetDrainReply()


def check_token(expected: str | None, given: str) -> bool:
    """Tell whether a request may change something; without a token in the settings none may."""
    # An empty token would let in every request that has none.
    return bool(expected) and hmac.compare_digest(expected.encode(), given.encode())


def bind_control(address: str, control: Control) -> tuple[grpc.aio.Server, int]:
    """Return a server that will answer the exchanges once started, and its port.

    Raises
    ------
    OSError
        When the address is taken or is none of this host's.
    """
    # Without this option two processes could share the port, and each would get half the calls.
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    add_ControlServicer_to_server(control, server)
    try:
        return server, server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"{address}: cannot be listened on") from error
