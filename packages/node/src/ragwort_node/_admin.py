"""The administration API: the node's state as JSON, health and readiness, and draining."""

from collections.abc import Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ragwort_node._control import check_token

ReadState = Callable[[], dict[str, Any]]


def build_admin(
    read_state: ReadState,
    is_ready: Callable[[], bool],
    set_drain: Callable[[bool], None],
    token: str | None,
) -> Starlette:
    """Return the application that serves operators on the node's own host."""

    async def show_health(request: Request) -> Response:
        return JSONResponse({"healthy": True})

    async def show_readiness(request: Request) -> Response:
        ready = is_ready()
        return JSONResponse({"ready": ready}, status_code=200 if ready else 503)

    async def show_state(request: Request) -> Response:
        return JSONResponse(read_state())

    async def change_drain(request: Request) -> Response:
        scheme, _, given = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not check_token(token, given):
            return JSONResponse({"message": "the token is missing or wrong"}, status_code=403)
        draining = request.method == "PUT"
        set_drain(draining)
        return JSONResponse({"draining": draining})

    return Starlette(
        routes=[
            Route("/healthz", show_health),
            Route("/readyz", show_readiness),
            Route("/v1/state", show_state),
            Route("/v1/drain", change_drain, methods=["PUT", "DELETE"]),
        ]
    )
