"""A link between two nodes: one TCP stream of frames that concurrent calls share."""

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ragwort_common import Counters, NodeId
from ragwort_protocol import (
    BODY_PART_BYTES,
    BodyRequest,
    Cancel,
    Data,
    FrameReader,
    Hello,
    Message,
    ProtocolError,
    Refusal,
    Request,
    Response,
    encode_frame,
    replace_fields,
)

from ragwort_transport._acknowledgement import is_acknowledging
from ragwort_transport._body_transfers import BodyTransfers

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 << 20
"""Largest body that is assembled from parts; a longer one closes the link."""

MAX_UNSENT_BYTES = 4 << 20
"""A link that has more than this to send is not used for new calls."""

NEARLY_EMPTY_BYTES = 4 << 10
"""Size of the write buffer up to which the next part of a long body is written."""

MAX_UNSENT_IN_KERNEL_BYTES = 8 << 10
"""Unsent bytes up to which the kernel takes more. By default it takes megabytes, behind which other
messages would wait; 8 KiB are 7 ms at 10 Mbit/s, several times the delay of an event loop."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Ends a call whose reply cannot be awaited on its link any more.

    The call may have run, unless ``not_run`` is set: then its body was not sent completely.
    """

    not_run: bool = False


Reply = Response | Refusal | LinkLost
MessageHandler = Callable[["Link", Message], None]


class Link(asyncio.Protocol):
    """One link as an asyncio protocol; used only on the event loop that created it.

    Parameters
    ----------
    hello
        Hello message of this node, sent first.
    handle
        Called with each complete request, and with each message that the link does not handle
        itself: it handles replies, body parts and hello messages.
    on_open
        Called when the peer's hello message has arrived.
    on_close
        Called once when the link has closed.
    """

    def __init__(
        self,
        hello: Hello,
        handle: MessageHandler,
        on_open: Callable[["Link"], None],
        on_close: Callable[["Link"], None],
        counters: Counters,
    ) -> None:
        self.peer: NodeId | None = None
        self.incarnation = 0
        self.received_at = asyncio.get_running_loop().time()
        self.hello_received: asyncio.Future[NodeId] = asyncio.get_running_loop().create_future()
        self._hello = hello
        self._handle = handle
        self._on_open = on_open
        self._on_close = on_close
        self._counters = counters
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._repeatable: set[int] = set()
        self._partial: dict[tuple[bool, int], _PartialMessage] = {}
        self._next_call_id = 0
        self._held_bodies: dict[int, bytes] = {}
        self._transfers = BodyTransfers(self.send)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello message."""
        # uvloop's transport has the interface of asyncio.Transport but does not subclass it.
        self._transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=NEARLY_EMPTY_BYTES, low=NEARLY_EMPTY_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_IN_KERNEL_BYTES
            )
        self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Decode and handle each complete message; an invalid frame closes the link."""
        self._counters.add("link.bytes_in", len(data))
        self.received_at = asyncio.get_running_loop().time()
        try:
            for message in self._reader.feed(data):
                self._receive(message)
        except ProtocolError as error:
            self._counters.add("link.protocol_errors")
            log.warning(
                "closing the link with %s: %s", self.peer or "a peer that sent no hello", error
            )
            self.close()

    def pause_writing(self) -> None:
        """Write no parts of long bodies until the write buffer is nearly empty."""
        self._transfers.pause()

    def resume_writing(self) -> None:
        """Write parts of long bodies again."""
        self._transfers.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        """End every pending call with ``LinkLost``."""
        self._transport = None
        for call_id, future in self._pending.items():
            if not future.done():
                future.set_result(LinkLost(self.is_body_unsent(call_id)))
        self._transfers.close()
        self._held_bodies.clear()
        self._pending.clear()
        self._repeatable.clear()
        for partial in self._partial.values():
            partial.cancel()
        self._partial.clear()
        if not self.hello_received.done():
            self.hello_received.set_exception(
                ConnectionResetError("the link closed before the peer sent its hello")
            )
            # Mark the exception as retrieved: on most links nothing awaits this future.
            self.hello_received.exception()
        self._on_close(self)

    @property
    def is_open(self) -> bool:
        """Whether the link is open for sending."""
        return self._transport is not None

    @property
    def write_paused(self) -> bool:
        """Whether the peer reads so slowly that the link is not to be used for new calls."""
        if self._transport is None:
            return False
        unsent_bytes = self._transport.get_write_buffer_size() + self._transfers.unsent_bytes
        return unsent_bytes > MAX_UNSENT_BYTES

    def close(self) -> None:
        """Close the link once the write buffer has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the link at once and discard the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    def count_pending(self) -> int:
        """Return the number of calls that wait for a reply."""
        return len(self._pending)

    def is_acknowledging(self) -> bool:
        """Tell whether the link is open and the peer's kernel acknowledges what was sent."""
        return self._transport is not None and is_acknowledging(self._transport)

    def give_up_repeatable(self) -> None:
        """End the calls that may run again with ``LinkLost``, and cancel them on the peer.

        These are the idempotent ones, and those whose bodies have not been sent completely.
        """
        for call_id in sorted(self._pending):
            if call_id not in self._repeatable and not self.is_body_unsent(call_id):
                continue
            future = self._pending[call_id]
            not_run = self.is_body_unsent(call_id)
            self.forget_call(call_id)
            self.send(Cancel(call_id))
            if not future.done():
                future.set_result(LinkLost(not_run))

    def send(self, message: Message) -> int:
        """Write one message and return the size of its frame in bytes, or 0 on a closed link."""
        if self._transport is None:
            return 0
        frame = encode_frame(message)
        self._transport.write(frame)
        self._counters.add("link.bytes_out", len(frame))
        return len(frame)

    def take_call_id(self) -> int:
        """Return the next call id that this side has not used on this link."""
        self._next_call_id += 1
        return self._next_call_id

    def start_call(self, request: Request, body_on_request: bool = False) -> asyncio.Future[Reply]:
        """Send a request, in parts if its body is long, and return the future of its reply.

        With ``body_on_request``, a long body is sent only when the peer asks for it.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending[request.call_id] = future
        if request.idempotent:
            self._repeatable.add(request.call_id)
        if body_on_request and len(request.body) > BODY_PART_BYTES:
            self._held_bodies[request.call_id] = request.body
            self.send(replace_fields(request, body=b"", body_bytes=len(request.body)))
        else:
            send_in_parts(self, request)
        return future

    def is_body_unsent(self, call_id: int) -> bool:
        """Tell whether a part of a request's body has not been written, so that it cannot run."""
        return call_id in self._held_bodies or self._transfers.is_sending((True, call_id))

    def request_body(self, request: Request) -> asyncio.Future[bytes]:
        """Ask the peer for the body of its request, and return the future of the body.

        The future is cancelled if the link closes or the peer cancels the call.
        """
        received: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        if self._transport is None:
            received.cancel()
            return received
        self._partial[True, request.call_id] = _PartialMessage(request, [], 0, received)
        self.send(BodyRequest(request.call_id))
        return received

    def discard_body(self, call_id: int) -> None:
        """Drop the received parts of the body of a peer's request."""
        partial = self._partial.pop((True, call_id), None)
        if partial is not None:
            partial.cancel()

    def send_body(self, message: Request | Response) -> asyncio.Future[bool]:
        """Send the body of a message in parts; see ``BodyTransfers.start``."""
        return self._transfers.start((type(message) is Request, message.call_id), message.body)

    def forget_call(self, call_id: int) -> None:
        """Stop waiting for a call; a reply that still arrives is counted as late."""
        self._pending.pop(call_id, None)
        self._repeatable.discard(call_id)
        self._stop_body(call_id)
        self._partial.pop((False, call_id), None)

    def _receive(self, message: Message) -> None:
        kind = type(message)
        if kind is Response or kind is Request:
            self._receive_head(message)
        elif kind is Refusal:
            self._finish_call(message)
        elif kind is Data:
            self._receive_part(message)
        elif kind is BodyRequest:
            self._send_held_body(message.call_id)
        elif kind is Hello:
            self.peer = NodeId(message.node_id)
            self.incarnation = message.incarnation
            if not self.hello_received.done():
                self.hello_received.set_result(self.peer)
            self._on_open(self)
        else:
            if kind is Cancel:
                self.discard_body(message.call_id)
            self._handle(self, message)

    def _receive_head(self, message: Request | Response) -> None:
        if message.more:
            key = (type(message) is Request, message.call_id)
            self._partial[key] = _PartialMessage(message, [message.body], len(message.body))
            return
        self._finish_message(message)

    def _receive_part(self, part: Data) -> None:
        key = (part.from_caller, part.call_id)
        partial = self._partial.get(key)
        if partial is None:
            # The part follows no head, or comes after the last part of its body.
            self._counters.add("link.late_parts")
            return
        partial.parts.append(part.body)
        partial.size += len(part.body)
        limit = MAX_BODY_BYTES if partial.received is None else partial.head.body_bytes
        if partial.size > limit:
            raise ProtocolError(f"body of call {part.call_id} is over the limit of {limit} bytes")
        if part.more:
            return
        del self._partial[key]
        if partial.received is None:
            self._finish_message(partial.join())
        elif partial.size < limit:
            raise ProtocolError(f"body of call {part.call_id} is shorter than {limit} bytes")
        elif not partial.received.done():
            partial.received.set_result(b"".join(partial.parts))

    def _finish_message(self, message: Request | Response) -> None:
        if type(message) is Response:
            self._finish_call(message)
        else:
            self._handle(self, message)

    def _finish_call(self, reply: Response | Refusal) -> None:
        future = self._pending.pop(reply.call_id, None)
        self._repeatable.discard(reply.call_id)
        self._stop_body(reply.call_id)
        if future is None or future.done():
            self._counters.add("link.late_answers")
            return
        future.set_result(reply)

    def _send_held_body(self, call_id: int) -> None:
        body = self._held_bodies.pop(call_id, None)
        if body is None:
            # The call has been cancelled or answered meanwhile.
            self._counters.add("link.late_body_requests")
        else:
            self._transfers.start((True, call_id), body)

    def _stop_body(self, call_id: int) -> None:
        """Send no more of the body of a call that has ended."""
        self._held_bodies.pop(call_id, None)
        self._transfers.stop((True, call_id))


@dataclass(slots=True)
class _PartialMessage:
    """A request or response whose body parts are still arriving.

    ``received`` gets the body of a request that was handled before its body.
    """

    head: Request | Response
    parts: list[bytes]
    size: int
    received: asyncio.Future[bytes] | None = None

    def cancel(self) -> None:
        """Tell who waits for the body that it won't arrive."""
        if self.received is not None:
            self.received.cancel()

    def join(self) -> Request | Response:
        """Return the message with its complete body."""
        return replace_fields(self.head, body=b"".join(self.parts), more=False)


def send_in_parts(link: Link, message: Request | Response) -> asyncio.Future[bool] | None:
    """Send a message; a long body follows in parts, and their future is returned.

    See ``BodyTransfers.start`` for the future.
    """
    if len(message.body) <= BODY_PART_BYTES:
        link.send(message)
        return None
    link.send(replace_fields(message, body=b"", more=True))
    return link.send_body(message)
