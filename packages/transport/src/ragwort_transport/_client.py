"""An HTTP/1.1 client connection, and a pool of such connections to one address.

The parser is httptools, which uvicorn also uses. On the request path aiohttp's client took three
times the processor time per call (docs/design/path.md).
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import httptools
from ragwort_common import Outcome, Reason

from ragwort_transport._message import HOP_BY_HOP, Headers, find_header, has_no_body

MAX_RESPONSE_HEADER_BYTES = 64 << 10
"""Maximum size of the head of a response, with the interim responses before it, in bytes."""

MAX_FRAMING_BYTES = 1 << 20
"""Maximum number of bytes of a response that belong neither to its head nor to its body: chunk
sizes, chunk extensions and trailer fields."""

MAX_HELD_BODY_BYTES = 64 << 20
"""Maximum size of the unfinished bodies of all responses from one server, in bytes. The process
has 200 MB of memory on the smallest hosts."""

KEEP_ALIVE_MARGIN_S = 0.5
"""A connection is retired this long before its server's keep-alive timeout: one and a half one-way
trips between regions, plus the imprecision of the server's timer."""


KEEP_ALIVE_IDLE_S = 2
"""Idle time after which the kernel probes a connection: longer than the longest latency objective,
and shorter than the time after which the users' bounds count a host as reachable again."""

KEEP_ALIVE_INTERVAL_S = 1
"""Interval of the kernel's keep-alive probes."""

KEEP_ALIVE_PROBES = 2
"""Unacknowledged keep-alive probes after which the kernel drops a connection."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's complete response."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """The outcome and reason of a request without a usable response.

    ``limit`` names the limit that the response has exceeded, if any.
    """

    outcome: Outcome
    reason: Reason
    limit: str = ""


CONNECT_FAILED = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
CONNECTION_LOST = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
TIMED_OUT = Failure(Outcome.UNKNOWN, Reason.DEADLINE)
BAD_ANSWER = Failure(Outcome.FAILED, Reason.BAD_ANSWER)


class ResponseOwner(Enum):
    """Which request a response belongs to, as far as its header fields tell."""

    CURRENT = "current"
    EARLIER = "earlier"
    UNKNOWN = "unknown"


ResponseCheck = Callable[[Headers, bool], ResponseOwner]
"""Tells from its header fields which request a response belongs to; the second argument tells
whether the connection has carried an earlier request."""


def accept_any(headers: Headers, is_reused: bool) -> ResponseOwner:
    """Take every response for that of the request that was sent."""
    return ResponseOwner.CURRENT


class BodyBudget:
    """Bounds the memory that the unfinished responses of several connections take together.

    Attributes
    ----------
    held_bytes
        Size of the parts of bodies that have arrived.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the responses take more than their maximum."""
        return self.held_bytes > self._max_bytes


class ClientConnection(asyncio.Protocol):
    """One connection, which carries one request at a time.

    The methods that start with ``on_`` are callbacks of httptools.
    """

    def __init__(self, max_response_bytes: int, budget: BodyBudget) -> None:
        self.idle_since = 0.0
        self._max_response_bytes = max_response_bytes
        self._budget = budget
        self._is_reused = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: asyncio.Future[Answer | Failure] | None = None
        self._find_owner: ResponseCheck = accept_any
        self._on_data: Callable[[], None] | None = None
        self._without_body = False
        self._reusable = True
        self._keep_alive_s: float | None = None
        self._body = bytearray()
        self._received_bytes = 0
        self._field_bytes = 0
        self._body_bytes = 0
        self._start_response()

    def _start_response(self) -> None:
        self._has_data = False
        self._headers: Headers = []
        self._is_head_complete = False
        self._discard_body()
        self._ends_at_eof = False

    def _discard_body(self) -> None:
        self._budget.held_bytes -= len(self._body)
        self._body = bytearray()

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self._reusable and self._pending is None and self._transport is not None

    def is_within_keep_alive(self, now: float) -> bool:
        """Tell whether the idle connection is within the keep-alive timeout of its server."""
        if self._keep_alive_s is None:
            return True
        return now - self.idle_since < self._keep_alive_s - KEEP_ALIVE_MARGIN_S

    async def exchange(
        self,
        request: bytes,
        without_body: bool = False,
        find_owner: ResponseCheck = accept_any,
        on_data: Callable[[], None] | None = None,
    ) -> Answer | Failure:
        """Send a request and return the response, or why there is none.

        A response that ``find_owner`` assigns to an earlier request is dropped, and the connection
        is not reused after this request. One that may belong to either fails the request.
        ``on_data`` is called each time that a part of the response has arrived.
        """
        if self._transport is None:
            # The connection closed after it was taken from the pool; nothing has been sent on it.
            return CONNECT_FAILED
        self._received_bytes = 0
        self._field_bytes = 0
        self._body_bytes = 0
        self._start_response()
        self._without_body = without_body
        self._find_owner = find_owner
        self._on_data = on_data
        self._pending = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await self._pending
        finally:
            self._is_reused = True
            # A cancelled request has not ended by itself.
            self._discard_body()

    def close(self) -> None:
        """Close the connection at once and abandon a request in progress."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transport has the interface of asyncio.Transport but does not subclass it.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a response."""
        if self._pending is None:
            # Unsolicited data: later responses could not be matched to their requests.
            self.close()
            return
        self._has_data = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(BAD_ANSWER, reusable=False)
        self._enforce_limits()
        if self._on_data is not None and self._pending is not None:
            self._on_data()

    def _enforce_limits(self) -> None:
        """End the request and close the connection if what was received for it is over a limit.

        All bytes count, also those of interim and foreign responses, and those of which the parser
        has made nothing yet.
        """
        other_bytes = self._received_bytes - self._body_bytes
        head_bytes = self._field_bytes if self._is_head_complete else other_bytes
        limit = ""
        if head_bytes > MAX_RESPONSE_HEADER_BYTES:
            limit = "head"
        elif other_bytes > MAX_RESPONSE_HEADER_BYTES + MAX_FRAMING_BYTES:
            limit = "framing"
        elif self._body_bytes > self._max_response_bytes:
            limit = "body"
        elif self._budget.is_exceeded:
            limit = "bodies of all responses"
        if limit and self._pending is not None:
            self._end(Failure(BAD_ANSWER.outcome, BAD_ANSWER.reason, limit), reusable=False)
            self.close()

    def eof_received(self) -> None:
        """Complete a response that is delimited by the end of the connection."""
        if self._ends_at_eof:
            self._finish(reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, since its response is incomplete."""
        self._transport = None
        self._end(BAD_ANSWER if self._has_data else CONNECTION_LOST, reusable=False)

    def on_message_begin(self) -> None:
        """Retire the connection if a response begins that no request waits for."""
        if self._pending is None or self._pending.done():
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        self._field_bytes += len(name) + len(value)
        if not self._is_head_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Complete a response to a HEAD request, and detect one without a stated length."""
        status = self._parser.get_status_code()
        self._is_head_complete = status >= 200
        if self._without_body and status >= 200:
            self._finish(reusable=False)
            return
        is_delimited = (
            find_header(self._headers, b"content-length") is not None
            or find_header(self._headers, b"transfer-encoding") is not None
        )
        self._ends_at_eof = not is_delimited and not has_no_body(status)

    def on_body(self, part: bytes) -> None:
        """Store a part of the body, up to the limits."""
        self._body_bytes += len(part)
        self._body += part
        self._budget.held_bytes += len(part)
        # The end of the response may be in the same data, so this can't wait until that is parsed.
        self._enforce_limits()

    def on_message_complete(self) -> None:
        """Complete the request, unless the response is interim or belongs to an earlier request."""
        if self._parser.get_status_code() < 200:
            self._start_response()
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _finish(self, reusable: bool) -> None:
        owner = self._find_owner(self._headers, self._is_reused)
        if owner is ResponseOwner.EARLIER:
            self._reusable = False
            self._start_response()
            return
        if owner is ResponseOwner.UNKNOWN:
            self._end(BAD_ANSWER, reusable=False)
            return
        self._keep_alive_s = _read_keep_alive(self._headers)
        headers = [field for field in self._headers if field[0] not in HOP_BY_HOP]
        answer = Answer(self._parser.get_status_code(), headers, bytes(self._body))
        self._end(answer, reusable)

    def _end(self, result: Answer | Failure, reusable: bool) -> None:
        self._reusable = self._reusable and reusable
        self._discard_body()
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_result(result)


def _read_keep_alive(headers: Headers) -> float | None:
    """Return the timeout of the Keep-Alive header field in seconds, or None."""
    value = find_header(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


class ClientPool:
    """A pool of connections to one address.

    Parameters
    ----------
    address
        Address of the server as ``host:port``.
    max_idle
        Most idle connections that are kept open.
    max_response_bytes
        Largest response body that is accepted, in bytes.
    unacknowledged_ms
        How long sent data may stay unacknowledged before the kernel drops the connection, in
        milliseconds; 0 keeps the default of the system.

    Attributes
    ----------
    connects, requests_sent
        Number of connections opened, and of requests sent on them; a request that is sent again
        counts again.
    """

    def __init__(
        self, address: str, max_idle: int, max_response_bytes: int, unacknowledged_ms: int = 0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._max_idle = max_idle
        self._max_response_bytes = max_response_bytes
        self._unacknowledged_ms = unacknowledged_ms
        self._idle: list[ClientConnection] = []
        self._budget = BodyBudget(MAX_HELD_BODY_BYTES)
        self.connects = 0
        self.requests_sent = 0

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        without_body: bool = False,
        find_owner: ResponseCheck = accept_any,
        max_idle_s: float = float("inf"),
        may_resend: bool = False,
        max_stall_s: float = 0.0,
        max_transfer_s: float = 0.0,
        is_last: Callable[[Answer], bool] | None = None,
    ) -> Answer | Failure:
        """Send one request and return its complete response, or why there is none.

        A failed connect is ``NOT_RUN``. A later failure is ``UNKNOWN``, except for a truncated or
        malformed response, which is ``FAILED``. Cancelling the request closes its connection.

        Parameters
        ----------
        timeout_s
            Time limit for the complete response, in seconds.
        max_idle_s
            Longest idle time of a pooled connection that is used, in seconds.
        may_resend
            Whether the request is sent again on a new connection when a pooled one breaks before
            any response, as it does when the server has closed it while idle.
        max_stall_s, max_transfer_s
            While parts of the response arrive at most ``max_stall_s`` seconds apart, the time limit
            is extended up to ``max_transfer_s`` seconds after the start.
        is_last
            Tells from the response whether the connection carries no other request.
        """
        connection: ClientConnection | None = None
        loop = asyncio.get_running_loop()
        latest = loop.time() + max_transfer_s
        # Result of a failed connect: NOT_RUN only as long as nothing has been sent.
        connect_failure = CONNECT_FAILED
        try:
            async with asyncio.timeout(timeout_s) as limit:

                def extend_limit() -> None:
                    extended = min(loop.time() + max_stall_s, latest)
                    if not limit.expired() and extended > (limit.when() or 0.0):
                        limit.reschedule(extended)

                on_data = extend_limit if max_stall_s else None
                connection = self._acquire_idle(max_idle_s)
                if connection is not None and may_resend:
                    self.requests_sent += 1
                    result = await connection.exchange(request, without_body, find_owner, on_data)
                    if result != CONNECTION_LOST:
                        return _retire_if_last(connection, result, is_last)
                    connection.close()
                    connection, connect_failure = None, CONNECTION_LOST
                if connection is None:
                    connection = await self._connect()
                self.requests_sent += 1
                result = await connection.exchange(request, without_body, find_owner, on_data)
                return _retire_if_last(connection, result, is_last)
        except TimeoutError:
            return connect_failure if connection is None else TIMED_OUT
        except OSError:
            return connect_failure
        finally:
            if connection is not None:
                self._release(connection)

    async def is_refused(self, timeout_s: float) -> bool:
        """Return whether nothing accepts connections at the address.

        A connection that is accepted is kept for a later request.
        """
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
        except ConnectionError:
            return True
        except OSError:
            # Neither accepted nor refused, as after a timeout or without a free descriptor.
            return False
        finally:
            if connection is not None:
                self._release(connection)
        return False

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _acquire_idle(self, max_idle_s: float) -> ClientConnection | None:
        if not self._idle:
            return None
        now = asyncio.get_running_loop().time()
        # Take the most recently used connection first: it is the least likely to be closed.
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            if (
                connection.is_reusable
                and connection.is_within_keep_alive(now)
                and idle_s <= max_idle_s
            ):
                return connection
            connection.close()
        return None

    def _release(self, connection: ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < self._max_idle:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        self.connects += 1
        transport, connection = await loop.create_connection(
            lambda: ClientConnection(self._max_response_bytes, self._budget), self._host, self._port
        )
        if self._unacknowledged_ms:
            set_unacknowledged_timeout(transport, self._unacknowledged_ms)
        return connection


def _retire_if_last(
    connection: ClientConnection,
    result: Answer | Failure,
    is_last: Callable[[Answer], bool] | None,
) -> Answer | Failure:
    """Close the connection after a response that is its last, and return the response."""
    if is_last is not None and isinstance(result, Answer) and is_last(result):
        connection.close()
    return result


def set_unacknowledged_timeout(transport: asyncio.BaseTransport, unacknowledged_ms: int) -> None:
    """Make the kernel drop a connection whose peer stops acknowledging data.

    The kernel probes an idle connection with TCP keep-alive, which costs neither process anything.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
