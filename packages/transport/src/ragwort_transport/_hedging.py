"""Waits for the first successful reply among concurrent attempts of one call."""

import asyncio

from ragwort_protocol import Refusal, Response


async def wait_for_first_success(
    attempts: set["asyncio.Task[Response | Refusal]"],
) -> Response | Refusal:
    """Return the first response that is not a server error (5xx), or else the last reply."""
    pending = set(attempts)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        replies = [task.result() for task in done]
        for reply in replies:
            if isinstance(reply, Response) and reply.status < 500:
                return reply
        if not pending:
            return replies[-1]
