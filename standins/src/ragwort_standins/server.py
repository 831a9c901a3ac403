"""Stand-in for a server, with slots, service times and faults that a test sets at run time.

Start it with ``python -m ragwort_standins.server --port N --name NAME``. A test controls it through
the paths below ``/_control``. ``/health`` and ``/load`` return the configured health and load, even
if they differ from the actual state. Every other path is a call of the service.
"""

import argparse
import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import uvicorn

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclass(slots=True)
class Behaviour:
    """How the server handles calls; a test can change it while calls run.

    Attributes
    ----------
    fail_fast
        Answer with status 500 without waiting for the service time.
    shed
        Refuse every call with status 503.
    cut_answers
        Send half of each answer, then abort the connection.
    lose_answers
        Run the call, then abort the connection without an answer.
    echo
        Return the body of the request.
    cold_ms, cold_calls
        Extra service time, and the number of first calls that it is added to.
    healthy, claimed_load
        What the health and load paths return; without a claimed load the actual one is returned.
    """

    service_ms: float = 1.0
    reply_bytes: int = 512
    fail_fast: bool = False
    shed: bool = False
    cut_answers: bool = False
    lose_answers: bool = False
    echo: bool = False
    cold_ms: float = 0.0
    cold_calls: int = 0
    healthy: bool = True
    claimed_load: float | None = None


@dataclass(slots=True)
class ServerState:
    """Settings and counters of a stand-in server."""

    name: str
    slots: asyncio.Semaphore
    slot_count: int
    behaviour: Behaviour = field(default_factory=Behaviour)
    runs: Counter[str] = field(default_factory=Counter)
    in_flight: int = 0
    calls: int = 0
    most_in_flight: int = 0


def build_server(
    name: str, slots: int, service_ms: float = 1.0
) -> Callable[[Any, Receive, Send], Awaitable[None]]:
    """Return the ASGI callable of a stand-in server."""
    behaviour = Behaviour(service_ms=service_ms)
    state = ServerState(name, asyncio.Semaphore(slots), slots, behaviour)

    async def serve(scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        path = scope["path"]
        if path.startswith("/_control"):
            await _control(state, path, body, send)
        elif path == "/health":
            await _send_json(send, 200 if state.behaviour.healthy else 503, {})
        elif path == "/load":
            load = state.behaviour.claimed_load
            busy = state.in_flight / state.slot_count
            await _send_json(send, 200, {"load": busy if load is None else load})
        else:
            await _run_call(state, scope, body, send)

    return serve


async def _run_call(state: ServerState, scope: Any, body: bytes, send: Send) -> None:
    behaviour = state.behaviour
    if behaviour.shed:
        await _send(send, 503, b"shed", [(b"ragwort-shed", b"true")])
        return
    request_id = _find_header(scope, b"x-request-id")
    state.in_flight += 1
    state.most_in_flight = max(state.most_in_flight, state.in_flight)
    try:
        async with state.slots:
            state.calls += 1
            state.runs[request_id] += 1
            if behaviour.fail_fast:
                await _send(send, 500, b"failed")
                return
            await asyncio.sleep(_service_time_s(state))
    finally:
        state.in_flight -= 1
    await _send_answer(state, request_id, body, send)


def _service_time_s(state: ServerState) -> float:
    behaviour = state.behaviour
    cold = behaviour.cold_ms if state.calls <= behaviour.cold_calls else 0.0
    return (behaviour.service_ms + cold) / 1000


async def _send_answer(state: ServerState, request_id: str, body: bytes, send: Send) -> None:
    behaviour = state.behaviour
    if behaviour.lose_answers:
        raise ConnectionAbortedError("answer dropped because lose_answers is set")
    head = json.dumps({"server": state.name, "request": request_id}).encode()
    content = body if behaviour.echo else head.ljust(behaviour.reply_bytes)
    if behaviour.cut_answers:
        fields = [(b"content-length", str(len(content)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": fields})
        half = content[: len(content) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})
        raise ConnectionAbortedError("answer truncated because cut_answers is set")
    await _send(send, 200, content, [(b"content-type", b"application/json")])


async def _control(state: ServerState, path: str, body: bytes, send: Send) -> None:
    if path == "/_control/set":
        for name, value in json.loads(body).items():
            setattr(state.behaviour, name, value)
        await _send_json(send, 200, asdict(state.behaviour))
    elif path == "/_control/runs":
        await _send_json(send, 200, dict(state.runs))
    else:
        summary = {"calls": state.calls, "most_in_flight": state.most_in_flight}
        await _send_json(send, 200, summary)


async def _read_body(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


def _find_header(scope: Any, wanted: bytes) -> str:
    for name, value in scope["headers"]:
        if name == wanted:
            return value.decode("latin-1")
    return ""


async def _send_json(send: Send, status: int, content: dict[str, Any]) -> None:
    await _send(send, status, json.dumps(content).encode())


async def _send(
    send: Send, status: int, body: bytes, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    fields = [(b"content-length", str(len(body)).encode()), *(headers or [])]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body})


def run() -> None:
    """Run a stand-in server until it is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="server")
    parser.add_argument("--slots", type=int, default=13)
    parser.add_argument("--service-ms", type=float, default=1.0)
    options = parser.parse_args()
    app = build_server(options.name, options.slots, options.service_ms)
    uvicorn.run(app, port=options.port, log_level="critical", access_log=False, lifespan="off")


if __name__ == "__main__":
    run()
