"""The administration API: node state as JSON, health and readiness checks, and draining."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ragwort_node._control import check_token

NO_TOKEN_SET = "admin.token is not in this node's settings, so nothing may be changed here"
TOKEN_WRONG = "the token is missing or wrong, expected 'Authorization: Bearer TOKEN'"


@dataclass(frozen=True, slots=True)
class AdminCallbacks:
    """Callbacks through which the API reads and changes the state of the node.

    Attributes
    ----------
    read_state, read_peers
        Return the node's state and its peers as plain JSON values.
    read_rules
        Returns the rules in force as plain JSON values, or None before any are in force.
    is_ready
        Returns whether this node is ready to accept calls.
    set_drain
        Starts or ends draining the local server.
    """

    read_state: Callable[[], dict[str, Any]]
    read_rules: Callable[[], dict[str, Any] | None]
    read_peers: Callable[[], list[dict[str, Any]]]
    is_ready: Callable[[], bool]
    set_drain: Callable[[bool], None]


def build_admin(callbacks: AdminCallbacks, token: str | None) -> Starlette:
    """Return the ASGI application of the administration API, served on the node's own host."""

    async def show_health(request: Request) -> Response:
        return JSONResponse({"healthy": True})

    async def show_readiness(request: Request) -> Response:
        ready = callbacks.is_ready()
        return JSONResponse({"ready": ready}, status_code=200 if ready else 503)

    async def show_state(request: Request) -> Response:
        return JSONResponse(callbacks.read_state())

    async def show_rules(request: Request) -> Response:
        rules = callbacks.read_rules()
        if rules is None:
            return _refuse(503, "no rules are in force on this node yet")
        return JSONResponse(rules)

    async def show_peers(request: Request) -> Response:
        return JSONResponse({"peers": callbacks.read_peers()})

    async def change_drain(request: Request) -> Response:
        scheme, _, given = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not check_token(token, given):
            return _refuse(403, TOKEN_WRONG if token else NO_TOKEN_SET)
        draining = request.method == "PUT"
        callbacks.set_drain(draining)
        return JSONResponse({"draining": draining})

    return Starlette(
        routes=[
            Route("/healthz", show_health),
            Route("/readyz", show_readiness),
            Route("/v1/state", show_state),
            Route("/v1/rules", show_rules),
            Route("/v1/peers", show_peers),
            Route("/v1/drain", change_drain, methods=["PUT", "DELETE"]),
        ]
    )


def _refuse(status: int, message: str) -> Response:
    return JSONResponse({"message": message}, status_code=status)
