"""Runs the calls that peers send over links, and forwards their other messages."""

import asyncio
from collections.abc import Awaitable, Callable

from ragwort_common import Counters, Outcome, Reason
from ragwort_protocol import Cancel, Message, ProtocolError, Refusal, Request, Response

from ragwort_transport._incoming_body import IncomingBody
from ragwort_transport._link import Link, send_in_parts

Receiver = Callable[[Link, Message], None]
RunCall = Callable[..., Awaitable[Response | Refusal]]


class PeerCalls:
    """Owns the tasks that run peers' calls at the local gate.

    Parameters
    ----------
    run_call
        Runs a call, given its request, and returns its response or refusal. A request that was sent
        without its body comes with an ``IncomingBody``.
    receive_other
        Called with each message that is neither a request nor a cancel message.
    """

    def __init__(self, run_call: RunCall, counters: Counters, receive_other: Receiver) -> None:
        self._run_call = run_call
        self._counters = counters
        self._receive_other = receive_other
        self._tasks: dict[tuple[Link, int], asyncio.Task[None]] = {}

    def receive(self, link: Link, message: Message) -> None:
        """Handle one message from a peer."""
        kind = type(message)
        if kind is Request:
            self._start(link, message)
        elif kind is Cancel:
            self._cancel(link, message)
        else:
            self._receive_other(link, message)

    def has_calls(self, link: Link) -> bool:
        """Tell whether calls that came over a link are running."""
        return any(key[0] is link for key in self._tasks)

    async def wait_idle(self) -> None:
        """Wait until no call is in progress and all responses have been written."""
        while self._tasks:
            await asyncio.wait(self._tasks.values())

    def drop_link(self, link: Link) -> None:
        """Cancel the calls of a closed link, whose replies can no longer be sent."""
        for key, task in list(self._tasks.items()):
            if key[0] is link:
                self._counters.add("gate.cancelled")
                task.cancel()

    def _start(self, link: Link, request: Request) -> None:
        key = (link, request.call_id)
        if key in self._tasks:
            raise ProtocolError(f"call id {request.call_id} is already in use on this link")
        task = asyncio.create_task(self._serve(link, request))
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    def _cancel(self, link: Link, message: Cancel) -> None:
        task = self._tasks.get((link, message.call_id))
        if task is not None:
            self._counters.add("gate.cancelled")
            task.cancel()

    async def _run(self, link: Link, request: Request) -> Response | Refusal:
        if not request.body_bytes:
            return await self._run_call(request)
        body = IncomingBody(link, request)
        try:
            return await self._run_call(request, body)
        finally:
            body.discard()

    async def _serve(self, link: Link, request: Request) -> None:
        reply = await self._run(link, request)
        try:
            transfer = _send_reply(link, reply)
        except ProtocolError:
            # Only the head can be over the frame limit, since the body is sent in parts.
            self._counters.add("gate.unsendable_answers")
            outcome, reason = Outcome.FAILED.value, Reason.BAD_ANSWER.value
            link.send(Refusal(request.call_id, outcome, reason, 0, reply.report))
            return
        if transfer is not None:
            # Until all of it is written, the call is in progress and can be cancelled.
            await transfer


def _send_reply(link: Link, reply: Response | Refusal) -> asyncio.Future[bool] | None:
    if isinstance(reply, Response):
        return send_in_parts(link, reply)
    link.send(reply)
    return None
