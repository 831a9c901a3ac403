"""The client side of an HTTP/1.1 connection, and a pool of such connections to one address.

It stands on httptools, the parser that uvicorn uses too, and not on aiohttp: on the request path
aiohttp's client took three times the processor time for a call (docs/design/path.md).
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools
from ragwort_common import Outcome, Reason

from ragwort_transport._message import HOP_BY_HOP, Headers, find_header, has_no_body

MAX_ANSWER_HEADER_BYTES = 64 << 10

KEEP_ALIVE_MARGIN_S = 0.5
"""A connection is given up this long before its server would close it: one flight and a half
between regions, and the server's timer."""


KEEP_ALIVE_IDLE_S = 2
"""Idle time of a connection after which the kernel probes it; between the longest objective and
the time in which the users' bounds count a host as back in touch."""

KEEP_ALIVE_INTERVAL_S = 1
"""Time between the kernel's probes."""

KEEP_ALIVE_PROBES = 2
"""Probes without an acknowledgement after which a connection is given up."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """No answer: how the request ended and why."""

    outcome: Outcome
    reason: Reason


CONNECT_FAILED = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
CONNECTION_LOST = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
LATE = Failure(Outcome.UNKNOWN, Reason.DEADLINE)
BAD_ANSWER = Failure(Outcome.FAILED, Reason.BAD_ANSWER)

IsOurs = Callable[[Headers], bool]
"""Tells by its header fields whether an answer belongs to the request that was sent."""


def accept_any(headers: Headers) -> bool:
    """Take every answer for that of the request that was sent."""
    return True


class ClientConnection(asyncio.Protocol):
    """One connection; it carries one request at a time.

    httptools calls the methods that start with ``on_``.
    """

    def __init__(self, max_answer_bytes: int) -> None:
        self.idle_since = 0.0
        self._max_answer_bytes = max_answer_bytes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reply: asyncio.Future[Answer | Failure] | None = None
        self._is_ours: IsOurs = accept_any
        self._without_body = False
        self._reusable = True
        self._keep_alive_s: float | None = None
        self._start_answer()

    def _start_answer(self) -> None:
        self._any_bytes = False
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._ends_with_connection = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self._reusable and self._reply is None and self._transport is not None

    def is_fresh(self, now: float) -> bool:
        """Tell whether the server still keeps the idle connection, by what it said."""
        if self._keep_alive_s is None:
            return True
        return now - self.idle_since < self._keep_alive_s - KEEP_ALIVE_MARGIN_S

    async def exchange(
        self, request: bytes, without_body: bool = False, is_ours: IsOurs = accept_any
    ) -> Answer | Failure:
        """Send a request and return the answer, or why there is none.

        An answer that ``is_ours`` turns down belongs to an earlier request: it is dropped, and
        the connection carries no further request after this one.
        """
        if self._transport is None:
            # The connection closed since it was taken; nothing has been written to it.
            return CONNECT_FAILED
        self._start_answer()
        self._without_body = without_body
        self._is_ours = is_ours
        self._reply = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._reply

    def close(self) -> None:
        """Close the connection at once; a request under way on it is given up."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transport is not a subclass of asyncio.Transport, only of the same shape.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._reply is None:
            # The server speaks out of turn, so what follows could not be matched with a request.
            self.close()
            return
        self._any_bytes = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(BAD_ANSWER, reusable=False)

    def eof_received(self) -> None:
        """End an answer whose length is told by the end of the connection."""
        if self._ends_with_connection:
            self._finish(reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request under way; its answer can't be whole any more."""
        self._transport = None
        self._end(BAD_ANSWER if self._any_bytes else CONNECTION_LOST, reusable=False)

    def on_message_begin(self) -> None:
        """Refuse a second answer to one request."""
        if self._reply is None or self._reply.done():
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field, within the limit of all fields together."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_ANSWER_HEADER_BYTES:
            self._end(BAD_ANSWER, reusable=False)
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End an answer that has no body by its nature, and note one without a length."""
        status = self._parser.get_status_code()
        if self._without_body and status >= 200:
            self._finish(reusable=False)
            return
        framed = (
            find_header(self._headers, b"content-length") is not None
            or find_header(self._headers, b"transfer-encoding") is not None
        )
        self._ends_with_connection = not framed and not has_no_body(status)

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body, within its limit."""
        self._body_bytes += len(part)
        if self._body_bytes > self._max_answer_bytes:
            self._end(BAD_ANSWER, reusable=False)
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """End the request, unless this is an interim answer or that of an earlier request."""
        if self._parser.get_status_code() < 200:
            self._start_answer()
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _finish(self, reusable: bool) -> None:
        if not self._is_ours(self._headers):
            self._reusable = False
            self._start_answer()
            return
        self._keep_alive_s = _read_keep_alive(self._headers)
        headers = [field for field in self._headers if field[0] not in HOP_BY_HOP]
        answer = Answer(self._parser.get_status_code(), headers, b"".join(self._body))
        self._end(answer, reusable)

    def _end(self, result: Answer | Failure, reusable: bool) -> None:
        self._reusable = self._reusable and reusable
        reply, self._reply = self._reply, None
        if reply is not None and not reply.done():
            reply.set_result(result)


def _read_keep_alive(headers: Headers) -> float | None:
    """Return the idle time that the server states in its Keep-Alive field, in seconds."""
    value = find_header(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


class ClientPool:
    """Owns the connections to one address.

    Parameters
    ----------
    address
        Where the server listens, ``host:port``.
    max_idle
        Most connections that are kept open between requests.
    max_answer_bytes
        Longest body that is accepted.
    silence_ms
        How long sent bytes may stay unacknowledged before the kernel gives a connection up, in
        milliseconds; 0 leaves that to the system.
    """

    def __init__(
        self, address: str, max_idle: int, max_answer_bytes: int, silence_ms: int = 0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._max_idle = max_idle
        self._max_answer_bytes = max_answer_bytes
        self._silence_ms = silence_ms
        self._idle: list[ClientConnection] = []
        self.connects = 0

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        without_body: bool = False,
        is_ours: IsOurs = accept_any,
        max_idle_s: float = float("inf"),
        may_resend: bool = False,
    ) -> Answer | Failure:
        """Send one request and return its whole answer, or why there is none.

        A failed connect is ``NOT_RUN``; anything that breaks later is ``UNKNOWN``, but for an
        answer that came and was cut short or malformed, which is ``FAILED``. A request that is
        cancelled closes its connection.

        Parameters
        ----------
        timeout_s
            Time until the whole answer, in seconds.
        max_idle_s
            Connections that have been idle for longer are not used, in seconds.
        may_resend
            Whether a request that meets a kept connection which breaks without an answer is sent
            once more on a new one: servers forget idle connections.
        """
        connection: ClientConnection | None = None
        # What a failed connect means: until something has been sent, that nothing ran.
        unconnected = CONNECT_FAILED
        try:
            async with asyncio.timeout(timeout_s):
                connection = self._take_idle(max_idle_s)
                if connection is not None and may_resend:
                    result = await connection.exchange(request, without_body, is_ours)
                    if result != CONNECTION_LOST:
                        return result
                    connection.close()
                    connection, unconnected = None, CONNECTION_LOST
                if connection is None:
                    connection = await self._connect()
                return await connection.exchange(request, without_body, is_ours)
        except TimeoutError:
            return unconnected if connection is None else LATE
        except OSError:
            return unconnected
        finally:
            if connection is not None:
                self._give_back(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, max_idle_s: float) -> ClientConnection | None:
        if not self._idle:
            return None
        now = asyncio.get_running_loop().time()
        # The connection that was used last comes first: it is the least likely to be closed.
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            if connection.is_reusable and connection.is_fresh(now) and idle_s <= max_idle_s:
                return connection
            connection.close()
        return None

    def _give_back(self, connection: ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < self._max_idle:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        self.connects += 1
        transport, connection = await loop.create_connection(
            lambda: ClientConnection(self._max_answer_bytes), self._host, self._port
        )
        if self._silence_ms:
            set_silence_limit(transport, self._silence_ms)
        return connection


def set_silence_limit(transport: asyncio.BaseTransport, silence_ms: int) -> None:
    """Make the kernel give up a connection whose peer acknowledges nothing for a time.

    An idle connection is probed by the kernel, which costs neither side's process anything.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
