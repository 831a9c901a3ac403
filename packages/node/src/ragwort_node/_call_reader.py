"""Reads a complete request from a caller, enforces its limits and matches it with a rule."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ragwort_common import Reason, ServiceName
from ragwort_policy import MAX_KEY_BYTES
from ragwort_transport import HOP_BY_HOP

from ragwort_node._call_dispatcher import Call
from ragwort_node._http_response import OUTCOME_HEADER, REASON_HEADER, Rejection
from ragwort_node._rules import RulesInForce
from ragwort_node._server import DEADLINE_HEADER

KEY_HEADER = b"idempotency-key"
DEPTH_HEADER = b"ragwort-depth"
"""Header with the nesting depth of a call; servers copy it to the calls that they make."""

_OWN_HEADERS = frozenset(
    {OUTCOME_HEADER, REASON_HEADER, DEADLINE_HEADER, DEPTH_HEADER, b"host", b"content-length"}
)

Receive = Callable[[], Awaitable[dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Maximum sizes of a request."""

    max_header_bytes: int
    max_body_bytes: int


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the request was complete."""


class BodyTooLargeError(Exception):
    """The request body exceeds its size limit."""


async def read_call(
    scope: dict[str, Any],
    receive: Receive,
    rules: RulesInForce,
    limits: EntryLimits,
    now: float,
) -> Call | Rejection:
    """Read a complete request and match it with a rule.

    Returns
    -------
    Call or Rejection
        The call, or the error response if it exceeds a limit or no rule matches it.

    Raises
    ------
    CallerDisconnectedError
        When the caller closes its connection before the request is complete.
    """
    headers = scope["headers"]
    if sum(len(name) + len(value) for name, value in headers) > limits.max_header_bytes:
        return Rejection(431, Reason.LIMIT, "the headers are over their limit")
    if rules.find_treatment is None:
        return Rejection(503, Reason.NOT_READY, "no rules are in force on this node yet", 1000)
    service = _find_service(headers)
    treatment = rules.find_treatment(service, scope["method"], scope["path"])
    if treatment is None:
        return _reject_unmatched(service, rules)
    try:
        body = await _read_body(receive, headers, limits.max_body_bytes)
    except BodyTooLargeError:
        return Rejection(413, Reason.LIMIT, "the body is over its limit")
    budget_ms = _find_budget_ms(headers, treatment.deadline_ms)
    if budget_ms is None:
        return Rejection(400, Reason.LIMIT, "Ragwort-Deadline-Ms is not a positive number")
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    key = _find_key(headers)
    if len(key) > MAX_KEY_BYTES:
        return Rejection(400, Reason.LIMIT, f"Idempotency-Key is over {MAX_KEY_BYTES} bytes")
    depth = _find_depth(headers)
    forwarded = [field for field in headers if _is_forwarded(field[0])]
    forwarded.append((DEPTH_HEADER, b"%d" % (depth + 1)))
    return Call(
        service=service,
        treatment=treatment,
        method=scope["method"],
        target=target,
        headers=forwarded,
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
    """Return the nesting depth of the call; a malformed header counts as 1."""
    for name, value in headers:
        if name == DEPTH_HEADER:
            return int(value) if value.isdigit() and len(value) < 4 else 1
    return 0


def _is_forwarded(name: bytes) -> bool:
    return name not in HOP_BY_HOP and name not in _OWN_HEADERS


def _find_service(headers: list[tuple[bytes, bytes]]) -> ServiceName:
    """Return the service that the call is for: the first label of the Host header."""
    for name, value in headers:
        if name == b"host":
            host = value.partition(b":")[0]
            return ServiceName(host.partition(b".")[0].decode("latin-1").lower())
    return ServiceName("")


def _reject_unmatched(service: ServiceName, rules: RulesInForce) -> Rejection:
    if service in rules.services:
        message = f"no rule of service {service!r} covers this method and path"
    else:
        message = f"unknown service {service!r}"
    return Rejection(404, Reason.UNKNOWN_SERVICE, message)


def _find_budget_ms(headers: list[tuple[bytes, bytes]], rule_ms: float) -> float | None:
    for name, value in headers:
        if name == DEADLINE_HEADER:
            try:
                requested_ms = float(value)
            except ValueError:
                return None
            return min(rule_ms, requested_ms) if requested_ms > 0 else None
    return rule_ms


async def _read_body(
    receive: Receive, headers: list[tuple[bytes, bytes]], limit_bytes: int
) -> bytes:
    for name, value in headers:
        if name == b"content-length" and int(value) > limit_bytes:
            raise BodyTooLargeError
    body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            raise BodyTooLargeError
        if not message.get("more_body", False):
            return body
