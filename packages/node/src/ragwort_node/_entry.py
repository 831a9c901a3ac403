"""The entry: accepts HTTP calls from callers and reports the outcome of each."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from ragwort_common import Counters, Outcome, Reason
from ragwort_protocol import Refusal, Response

from ragwort_node._call_dispatcher import Call
from ragwort_node._call_reader import CallerDisconnectedError, EntryLimits, Receive, read_call
from ragwort_node._http_response import Rejection, Send, send_rejection, send_reply
from ragwort_node._rules import RulesInForce
from ragwort_node._tracing import Tracer

DISCONNECT_WATCH_DELAY_S = 0.025
"""How long a call runs before the entry starts to watch for a disconnect of its caller."""

RunCall = Callable[[Call], Awaitable[Response | Refusal]]


def build_entry(
    rules: RulesInForce,
    run_call: RunCall,
    limits: EntryLimits,
    counters: Counters,
    clock: Callable[[], float],
    tracer: Tracer,
) -> Callable[[dict[str, Any], Receive, Send], Awaitable[None]]:
    """Return the ASGI application that serves callers."""

    async def serve(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        started = clock()
        try:
            call = await read_call(scope, receive, rules, limits, started)
        except CallerDisconnectedError:
            counters.add("entry.caller_gone")
            return
        if isinstance(call, Rejection):
            counters.add(f"entry.rejected.{call.status}")
            await send_rejection(send, call)
            return
        span, headers = tracer.start_span("entry", call.headers)
        if span is not None:
            call = replace(call, headers=headers)
        reply = await _run_until_disconnect(call, run_call, receive)
        tracer.finish_span(span, _name_outcome(reply))
        if reply is None:
            counters.add("entry.caller_gone")
            return
        counters.add_timing("entry.call", (clock() - started) * 1000)
        await send_reply(send, reply, counters)

    return serve


async def _run_until_disconnect(
    call: Call, run_call: RunCall, receive: Receive
) -> Response | Refusal | None:
    """Run a call; cancel it and return None when its caller disconnects first.

    Most calls end within ``DISCONNECT_WATCH_DELAY_S``, so only slower ones pay for the extra
    task.
    """
    watcher = _DisconnectWatcher(receive)
    timer = asyncio.get_running_loop().call_later(DISCONNECT_WATCH_DELAY_S, watcher.start)
    try:
        return await run_call(call)
    except asyncio.CancelledError:
        if not watcher.disconnected:
            raise
        return None
    finally:
        timer.cancel()
        watcher.stop()


class _DisconnectWatcher:
    """Cancels the current task, which runs a call, when the caller closes its connection."""

    def __init__(self, receive: Receive) -> None:
        self.disconnected = False
        self._receive = receive
        self._call = asyncio.current_task()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that waits for the disconnect."""
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """Stop waiting for the disconnect."""
        if self._task is not None:
            self._task.cancel()

    async def _watch(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.disconnected = True
        self._call.cancel()


def _name_outcome(reply: Response | Refusal | None) -> str:
    if reply is None:
        return Reason.CANCELLED.value
    if isinstance(reply, Refusal):
        return reply.outcome
    return Outcome.FAILED.value if reply.status >= 500 else Outcome.ANSWERED.value
