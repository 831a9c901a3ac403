"""The gRPC control service, called by peers and by the operators' command line."""

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
"""Returns the status, without the peers if the argument is true."""

SetDrain = Callable[[bool], None]


class Control(ControlServicer):
    """Serves control requests with callbacks that read and change the node's state."""

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
        """Return the state of the node and its peers."""
        return self._read_status(request.without_peers)

    async def SetDrain(  # noqa: N802
        self, request: SetDrainRequest, context: grpc.aio.ServicerContext
    ) -> SetDrainReply:
        """Start or end draining, if the token is valid."""
        if not check_token(self._token, request.token):
            return SetDrainReply(refusal="the token is not the one in the node's settings")
        self._set_drain(request.draining)
        return SetDrainReply()


def check_token(expected: str | None, given: str) -> bool:
    """Return whether a request may change state; without a token in the settings none may."""
    # An empty token in the settings would match every request without a token.
    return bool(expected) and hmac.compare_digest(expected.encode(), given.encode())


def bind_control(address: str, control: Control) -> tuple[grpc.aio.Server, int]:
    """Return the gRPC server, not started yet, and its port.

    Raises
    ------
    OSError
        When the address is in use or does not belong to this host.
    """
    # With SO_REUSEPORT two processes could share the port, and each would get half the calls.
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    add_ControlServicer_to_server(control, server)
    try:
        return server, server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"{address}: address cannot be bound") from error
