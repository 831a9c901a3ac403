"""The HTTP client towards the one local server.

It stands on httptools, the parser that uvicorn uses too, and not on aiohttp: on the request path
aiohttp's client took three times the processor time for a call (docs/design/path.md).
"""

import asyncio
from dataclasses import dataclass
from typing import cast

import httptools
from ragwort_common import Outcome, Reason

DEADLINE_HEADER = b"ragwort-deadline-ms"
"""Header with the time left for a call: callers may send it, and servers are told by it."""

SHED_HEADER = b"ragwort-shed"
"""Header by which a server says that it refused a call without running any of it."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Header fields that concern one connection only (RFC 9110, section 7.6.1)."""

MAX_ANSWER_HEADER_BYTES = 64 << 10
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Answer:
    """The server's whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """No answer: how the call ended and why."""

    outcome: Outcome
    reason: Reason


CONNECT_FAILED = Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
CONNECTION_LOST = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
LATE = Failure(Outcome.UNKNOWN, Reason.DEADLINE)
BAD_ANSWER = Failure(Outcome.FAILED, Reason.BAD_ANSWER)


class ServerClient:
    """Owns the connections to the local server.

    Parameters
    ----------
    address
        Where the server listens, ``host:port``.
    max_idle
        Most connections that are kept open between calls.
    max_answer_bytes
        Longest body that is accepted.
    """

    def __init__(self, address: str, max_idle: int, max_answer_bytes: int) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._host_field = b"host: " + address.encode() + b"\r\n"
        self._max_idle = max_idle
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[_Connection] = []

    async def run_call(
        self, method: str, target: bytes, headers: Headers, body: bytes, budget_ms: float
    ) -> Answer | Failure:
        """Send one call to the server and return its whole answer, or why there is none.

        A failed connect is ``NOT_RUN``; anything that breaks later is ``UNKNOWN``, but for an
        answer that came and was cut short or malformed, which is ``FAILED``.
        """
        request = self._build_request(method, target, headers, body)
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(budget_ms / 1000):
                connection = self._take_idle() or await self._connect()
                return await connection.exchange(request, method == "HEAD")
        except TimeoutError:
            return CONNECT_FAILED if connection is None else LATE
        except OSError:
            return CONNECT_FAILED
        finally:
            if connection is not None:
                self._give_back(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _build_request(self, method: str, target: bytes, headers: Headers, body: bytes) -> bytes:
        lines = [b"%s %s HTTP/1.1\r\n" % (method.encode(), target), self._host_field]
        lines += [b"%s: %s\r\n" % field for field in headers]
        if body or method in _METHODS_WITH_BODY:
            lines.append(b"content-length: %d\r\n" % len(body))
        head = b"".join(lines)
        # A line break inside a field would let a caller forge a second request.
        assert head.count(b"\n") == len(lines), "a header field holds a line break"
        return b"%s\r\n%s" % (head, body)

    def _take_idle(self) -> "_Connection | None":
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
        return None

    def _give_back(self, connection: "_Connection") -> None:
        if connection.is_reusable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    async def _connect(self) -> "_Connection":
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _Connection(self._max_answer_bytes), self._host, self._port
        )
        return connection


class _Connection(asyncio.Protocol):
    """One connection; it carries one call at a time.

    httptools calls the methods that start with ``on_``.
    """

    def __init__(self, max_answer_bytes: int) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reply: asyncio.Future[Answer | Failure] | None = None
        self._without_body = False
        self._reusable = True
        self._start_answer()

    def _start_answer(self) -> None:
        self._any_bytes = False
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another call."""
        return self._reusable and self._reply is None and self._transport is not None

    async def exchange(self, request: bytes, without_body: bool) -> Answer | Failure:
        """Send a request and return the answer, or why there is none."""
        if self._transport is None:
            # The connection closed since it was taken; nothing has been written to it.
            return CONNECT_FAILED
        self._start_answer()
        self._without_body = without_body
        self._reply = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._reply

    def close(self) -> None:
        """Close the connection at once; a call under way on it is given up."""
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
            # The server speaks out of turn, so what follows could not be matched with a call.
            self.close()
            return
        self._any_bytes = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(BAD_ANSWER, reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call under way; its answer can't be whole any more."""
        self._transport = None
        self._end(BAD_ANSWER if self._any_bytes else CONNECTION_LOST, reusable=False)

    def on_message_begin(self) -> None:
        """Refuse a second answer to one call."""
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
        """End an answer that has no body by its nature."""
        if self._without_body and self._parser.get_status_code() >= 200:
            self._finish(reusable=False)

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body, within its limit."""
        self._body_bytes += len(part)
        if self._body_bytes > self._max_answer_bytes:
            self._end(BAD_ANSWER, reusable=False)
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """End the call, unless this is an interim answer."""
        if self._parser.get_status_code() < 200:
            self._start_answer()
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _finish(self, reusable: bool) -> None:
        headers = [field for field in self._headers if field[0] not in HOP_BY_HOP]
        answer = Answer(self._parser.get_status_code(), headers, b"".join(self._body))
        self._end(answer, reusable)

    def _end(self, result: Answer | Failure, reusable: bool) -> None:
        self._reusable = self._reusable and reusable
        reply, self._reply = self._reply, None
        if reply is not None and not reply.done():
            reply.set_result(result)


def is_shed(answer: Answer) -> bool:
    """Tell whether the server says that it refused the call without running it."""
    return answer.status == 503 and any(name == SHED_HEADER for name, _ in answer.headers)
