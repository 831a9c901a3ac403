"""The entry: takes callers' HTTP calls and gives each its one outcome."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from ragwort_common import Outcome, Reason, ServiceName
from ragwort_policy import MAX_KEY_BYTES
from ragwort_protocol import Refusal, Response

from ragwort_node._caller import Call
from ragwort_node._metrics import Counters
from ragwort_node._rules import RulesInForce
from ragwort_node._server import DEADLINE_HEADER, HOP_BY_HOP
from ragwort_node._tracing import Tracer

OUTCOME_HEADER = b"ragwort-outcome"
REASON_HEADER = b"ragwort-reason"
KEY_HEADER = b"idempotency-key"
DEPTH_HEADER = b"ragwort-depth"
"""Header that counts the calls on whose behalf a call is made; servers pass it on."""

WATCH_CALLER_AFTER_S = 0.025
"""How long a call runs before the entry starts to watch whether its caller is still there."""

_STATUSES = {
    Reason.KEY_RUNNING: 409,
    Reason.KEY_UNPROVEN: 409,
    Reason.DEADLINE: 504,
    Reason.BAD_ANSWER: 502,
    Reason.CONNECTION_LOST: 502,
}
_NOT_RUN_STATUSES = {
    Reason.KEY_MISSING: 400,
    Reason.KEY_MISMATCH: 422,
    Reason.KEY_IN_FUTURE: 400,
}
"""Refusals that are the caller's mistake; every other call that did not run gets 503."""

_OWN_HEADERS = frozenset(
    {OUTCOME_HEADER, REASON_HEADER, DEADLINE_HEADER, DEPTH_HEADER, b"host", b"content-length"}
)

RunCall = Callable[[Call], Awaitable[Response | Refusal]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Most bytes that a caller may send."""

    max_header_bytes: int
    max_body_bytes: int


class CallerGoneError(Exception):
    """The caller closed its connection before the call was read whole."""


class BodyTooLongError(Exception):
    """The body is over its limit."""


def build_entry(
    rules: RulesInForce,
    run_call: RunCall,
    limits: EntryLimits,
    counters: Counters,
    clock: Callable[[], float],
    tracer: Tracer,
) -> Callable[[dict[str, Any], Receive, Send], Awaitable[None]]:
    """Return the ASGI callable that serves callers."""

    async def serve(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        started = clock()
        try:
            call = await _read_call(scope, receive, rules, limits, started)
        except CallerGoneError:
            counters.add("entry.caller_gone")
            return
        if isinstance(call, _Rejection):
            counters.add(f"entry.rejected.{call.status}")
            await _send_rejection(send, call)
            return
        span, headers = tracer.start_span("entry", call.headers)
        if span is not None:
            call = replace(call, headers=headers)
        reply = await _run_watched(call, run_call, receive)
        tracer.finish_span(span, _name_outcome(reply))
        if reply is None:
            counters.add("entry.caller_gone")
            return
        counters.add_timing("entry.call", (clock() - started) * 1000)
        await _send_reply(send, reply, counters)

    return serve


@dataclass(frozen=True, slots=True)
class _Rejection:
    """A call that is answered before anything runs."""

    status: int
    reason: Reason
    message: str
    retry_after_ms: int = 0


async def _read_call(
    scope: dict[str, Any],
    receive: Receive,
    rules: RulesInForce,
    limits: EntryLimits,
    now: float,
) -> "Call | _Rejection":
    headers = scope["headers"]
    if sum(len(name) + len(value) for name, value in headers) > limits.max_header_bytes:
        return _Rejection(431, Reason.LIMIT, "the headers are over their limit")
    if rules.find_treatment is None:
        return _Rejection(503, Reason.NOT_READY, "no rules are in force on this node yet", 1000)
    service = _find_service(headers)
    treatment = rules.find_treatment(service, scope["method"], scope["path"])
    if treatment is None:
        return _reject_unmatched(service, rules)
    try:
        body = await _read_body(receive, headers, limits.max_body_bytes)
    except BodyTooLongError:
        return _Rejection(413, Reason.LIMIT, "the body is over its limit")
    budget_ms = _find_budget_ms(headers, treatment.deadline_ms)
    if budget_ms is None:
        return _Rejection(400, Reason.LIMIT, "Ragwort-Deadline-Ms is not a positive number")
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    key = _find_key(headers)
    if len(key) > MAX_KEY_BYTES:
        return _Rejection(400, Reason.LIMIT, f"Idempotency-Key is over {MAX_KEY_BYTES} bytes")
    depth = _find_depth(headers)
    kept = [field for field in headers if _is_passed(field[0])]
    kept.append((DEPTH_HEADER, b"%d" % (depth + 1)))
    return Call(
        service=service,
        treatment=treatment,
        method=scope["method"],
        target=target,
        headers=kept,
        body=body,
        deadline=now + budget_ms / 1000,
        nested=depth > 0,
        key=key,
    )


def _find_key(headers: list[tuple[bytes, bytes]]) -> str:
    """Return the idempotency key, or an empty string."""
    for name, value in headers:
        if name == KEY_HEADER:
            return value.decode("latin-1")
    return ""


def _find_depth(headers: list[tuple[bytes, bytes]]) -> int:
    """Return how many calls this one was made on behalf of; a malformed header counts as one."""
    for name, value in headers:
        if name == DEPTH_HEADER:
            return int(value) if value.isdigit() and len(value) < 4 else 1
    return 0


def _is_passed(name: bytes) -> bool:
    return name not in HOP_BY_HOP and name not in _OWN_HEADERS


def _find_service(headers: list[tuple[bytes, bytes]]) -> ServiceName:
    """Return the first label of the Host header; that is how a caller names a service."""
    for name, value in headers:
        if name == b"host":
            host = value.partition(b":")[0]
            return ServiceName(host.partition(b".")[0].decode("latin-1").lower())
    return ServiceName("")


def _reject_unmatched(service: ServiceName, rules: RulesInForce) -> _Rejection:
    if service in rules.services:
        message = f"no rule of service {service!r} covers this method and path"
    else:
        message = f"unknown service {service!r}"
    return _Rejection(404, Reason.UNKNOWN_SERVICE, message)


def _find_budget_ms(headers: list[tuple[bytes, bytes]], rule_ms: float) -> float | None:
    for name, value in headers:
        if name == DEADLINE_HEADER:
            try:
                asked_ms = float(value)
            except ValueError:
                return None
            return min(rule_ms, asked_ms) if asked_ms > 0 else None
    return rule_ms


async def _read_body(
    receive: Receive, headers: list[tuple[bytes, bytes]], limit_bytes: int
) -> bytes:
    for name, value in headers:
        if name == b"content-length" and int(value) > limit_bytes:
            raise BodyTooLongError
    body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            raise BodyTooLongError
        if not message.get("more_body", False):
            return body


async def _run_watched(
    call: Call, run_call: RunCall, receive: Receive
) -> Response | Refusal | None:
    """Run a call; cancel it and return None when its caller leaves meanwhile.

    Most calls end within ``WATCH_CALLER_AFTER_S``, so only the others pay for being watched.
    """
    watch = _CallerWatch(receive)
    timer = asyncio.get_running_loop().call_later(WATCH_CALLER_AFTER_S, watch.start)
    try:
        return await run_call(call)
    except asyncio.CancelledError:
        if not watch.caller_gone:
            raise
        return None
    finally:
        timer.cancel()
        watch.stop()


class _CallerWatch:
    """Cancels the task that runs a call once the caller has closed its connection."""

    def __init__(self, receive: Receive) -> None:
        self.caller_gone = False
        self._receive = receive
        self._call = asyncio.current_task()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to watch."""
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()

    async def _watch(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.caller_gone = True
        self._call.cancel()


def _name_outcome(reply: Response | Refusal | None) -> str:
    if reply is None:
        return Reason.CANCELLED.value
    if isinstance(reply, Refusal):
        return reply.outcome
    return Outcome.FAILED.value if reply.status >= 500 else Outcome.ANSWERED.value


async def _send_reply(send: Send, reply: Response | Refusal, counters: Counters) -> None:
    if isinstance(reply, Refusal):
        await _send_refusal(send, reply, counters)
        return
    outcome = Outcome.FAILED if reply.status >= 500 else Outcome.ANSWERED
    counters.add(f"entry.{outcome.value}")
    headers = [field for field in reply.headers if field[0] not in (OUTCOME_HEADER, REASON_HEADER)]
    headers.append((OUTCOME_HEADER, outcome.value.encode()))
    await send({"type": "http.response.start", "status": reply.status, "headers": headers})
    await send({"type": "http.response.body", "body": reply.body})


async def _send_refusal(send: Send, refusal: Refusal, counters: Counters) -> None:
    outcome = Outcome(refusal.outcome)
    reason = Reason(refusal.reason)
    counters.add(f"entry.{outcome.value}.{reason.value}")
    if outcome is Outcome.NOT_RUN:
        status = _NOT_RUN_STATUSES.get(reason, 503)
    else:
        status = _STATUSES.get(reason, 502)
    message = f"{outcome.value}: {reason.value}"
    await _send_json(send, status, outcome, reason, message, refusal.retry_after_ms)


async def _send_rejection(send: Send, rejection: _Rejection) -> None:
    await _send_json(
        send,
        rejection.status,
        Outcome.NOT_RUN,
        rejection.reason,
        rejection.message,
        rejection.retry_after_ms,
    )


async def _send_json(
    send: Send, status: int, outcome: Outcome, reason: Reason, message: str, retry_after_ms: int
) -> None:
    content = {"outcome": outcome.value, "reason": reason.value, "message": message}
    body = json.dumps(content).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME_HEADER, outcome.value.encode()),
        (REASON_HEADER, reason.value.encode()),
    ]
    if retry_after_ms > 0:
        seconds = -(-retry_after_ms // 1000)
        headers.append((b"retry-after", str(seconds).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
