"""Writes the HTTP response to a caller: the status, the outcome headers and the body."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ragwort_common import Counters, Outcome, Reason
from ragwort_protocol import Refusal, Response

OUTCOME_HEADER = b"ragwort-outcome"
REASON_HEADER = b"ragwort-reason"

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
"""Statuses of invalid requests; every other call that did not run gets 503."""

Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Rejection:
    """The error response to a call that is rejected before it runs."""

    status: int
    reason: Reason
    message: str
    retry_after_ms: int = 0


async def send_reply(send: Send, reply: Response | Refusal, counters: Counters) -> None:
    """Send the server's response, or the error response for a refusal."""
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


async def send_rejection(send: Send, rejection: Rejection) -> None:
    """Send the error response to a call that was rejected before it ran."""
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
