"""Sends a call to a peer's gate over a link, and builds refusals that originate on this node."""

import asyncio

from ragwort_common import Outcome, Reason
from ragwort_protocol import Cancel, LoadReport, Refusal, Request, Response

from ragwort_transport._link import Link, LinkLost

NO_REPORT = LoadReport(0, 0, 0, 0, accepting=False)
"""Placeholder for the load report of a gate that was not asked."""


def make_refusal(outcome: Outcome, reason: Reason, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal that originates on this node."""
    return Refusal(0, outcome.value, reason.value, retry_after_ms, NO_REPORT)


async def exchange_call(
    link: Link, request: Request, slack_s: float = 0.0, body_on_request: bool = False
) -> Response | Refusal:
    """Send a request over a link and return its response or refusal.

    A call without a reply at its deadline ends as ``UNKNOWN``, or as ``NOT_RUN`` if not all of its
    body was sent. Then, or when this coroutine is cancelled, the call is cancelled on the peer as
    well.

    Parameters
    ----------
    slack_s
        How long to wait for the reply beyond the deadline, in seconds.
    body_on_request
        Whether a long body is sent only when the peer asks for it.
    """
    reply = link.start_call(request, body_on_request)
    try:
        async with asyncio.timeout(max(0.0, request.budget_ms / 1000) + slack_s):
            result = await reply
    except (TimeoutError, asyncio.CancelledError) as error:
        outcome = Outcome.NOT_RUN if link.is_body_unsent(request.call_id) else Outcome.UNKNOWN
        link.forget_call(request.call_id)
        link.send(Cancel(request.call_id))
        if isinstance(error, asyncio.CancelledError):
            raise
        return make_refusal(outcome, Reason.DEADLINE)
    if isinstance(result, LinkLost):
        outcome = Outcome.NOT_RUN if result.not_run else Outcome.UNKNOWN
        return make_refusal(outcome, Reason.CONNECTION_LOST)
    return result
