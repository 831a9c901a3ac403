"""Waits for the first of several tries of one call that brings an answer."""

import asyncio

from ragwort_protocol import Refusal, Response


async def take_first_answer(tries: set["asyncio.Task[Response | Refusal]"]) -> Response | Refusal:
    """Return the first answer that is no failure of a server, or else the last reply."""
    pending = set(tries)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        replies = [task.result() for task in done]
        for reply in replies:
            if isinstance(reply, Response) and reply.status < 500:
                return reply
        if not pending:
            return replies[-1]
