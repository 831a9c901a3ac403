"""One caller's connection to the HTTP/1.1 server."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

import httptools
from ragwort_common import Counters

from ragwort_transport._held_bodies import BodyHold, HeldBodies
from ragwort_transport._http import HttpLimits, HttpRequest, HttpResponse, RequestHandler
from ragwort_transport._in_flight_counter import InFlightCounter
from ragwort_transport._message import REASON_PHRASES, Headers, find_header, has_no_body
from ragwort_transport._pipeline import Pipeline, PipelinedRequest

log = logging.getLogger(__name__)

LINGER_S = 1.0
"""How long a closing connection still reads and discards data after an early response, so that a
TCP reset does not destroy that response; a few round trips to a caller."""

MAX_FRAMING_BYTES = 1 << 20
"""Maximum number of bytes of a chunked request body that are not part of the body itself: chunk
sizes, chunk extensions and trailer fields."""

MAX_PIPELINED_REQUESTS = 8
"""Pipelined requests that are read ahead on one connection; further data stays in the kernel."""


class _Phase(Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    DISCARDING = "discarding"
    LINGERING = "lingering"


@dataclass(slots=True)
class ServerState:
    """What the connections of a server share.

    Attributes
    ----------
    handle
        Returns the response to a request.
    get_limits
        Returns the current limits.
    bodies
        Bounds the bytes of the long bodies of all requests.
    refuse_body
        Returns the response, given the header fields and the bytes held, to a request whose body is
        over that bound.
    closing
        Whether each connection is closed after its next response.
    work
        Count of the requests in progress.
    """

    handle: RequestHandler
    get_limits: Callable[[], HttpLimits]
    counters: Counters
    bodies: HeldBodies
    refuse_body: Callable[[Headers, int], HttpResponse]
    closing: bool = False
    work: InFlightCounter = field(default_factory=InFlightCounter)
    connections: set["ServerConnection"] = field(default_factory=set)


class ServerConnection(asyncio.Protocol):
    """One caller's connection; the methods that start with ``on_`` are callbacks of httptools."""

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._phase = _Phase.IDLE
        self._timer_start = self._loop.time()
        self._limits = server.get_limits()
        self._pipeline = Pipeline()
        self._hold = BodyHold(server.bodies)
        self._is_body_refused = False
        self._unsent_bytes: float | None = None
        self._drained_at = 0.0
        self._error_status = 0
        self._start_request()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, waits or is in progress."""
        is_idle = self._pipeline.is_empty and self._phase is _Phase.IDLE
        if self._transport is not None and is_idle:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def check_timeout(self, now: float) -> None:
        """Reject the request or close the connection once its phase is over its time limit."""
        elapsed_s = now - self._timer_start
        if self._transport is None:
            return
        if self._unsent_bytes is not None:
            self._check_unsent(self._transport, now)
        elif self._phase in (_Phase.RUNNING, _Phase.DISCARDING) or self._is_held_back():
            return
        elif self._phase is _Phase.HEAD:
            if elapsed_s > self._limits.header_timeout_s:
                self._reject(408)
        elif self._phase is _Phase.LINGERING:
            if elapsed_s > LINGER_S:
                self._transport.abort()
        elif elapsed_s > self._limits.idle_timeout_s:
            if self._phase is _Phase.BODY:
                self._reject(408)
            else:
                self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        # uvloop's transport has the interface of asyncio.Transport but does not subclass it.
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress, whose responses can no longer be sent."""
        self._transport = None
        self._server.connections.discard(self)
        self._pipeline.cancel()
        self._discard_body()

    def pause_writing(self) -> None:
        """Start no further request, since the caller reads its responses too slowly."""
        self._unsent_bytes = math.inf
        self._drained_at = self._loop.time()

    def resume_writing(self) -> None:
        """Start requests again."""
        self._unsent_bytes = None
        if self._phase is not _Phase.HEAD:
            self._timer_start = self._loop.time()
        self._start_next()

    def eof_received(self) -> bool:
        """Treat a caller that has closed its sending side as gone, and close the connection."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limits."""
        if self._phase in (_Phase.LINGERING, _Phase.DISCARDING):
            return
        self._completed = False
        if self._phase is _Phase.IDLE:
            self._limits = self._server.get_limits()
            self._enter_phase(_Phase.HEAD)
        elif self._phase is _Phase.BODY:
            self._timer_start = self._loop.time()
            self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is answered without the upgrade; what follows is not HTTP/1.1.
            self._enter_phase(_Phase.DISCARDING)
        except httptools.HttpParserError:
            self._error_status = self._error_status or 400
        if self._phase is _Phase.DISCARDING:
            # What follows a request that closes its connection counts as not read.
            return
        if self._phase is _Phase.HEAD:
            # Behind a complete request, only a part of the data belongs to this head.
            self._header_bytes += 0 if self._completed else len(data)
            if self._header_bytes > self._limits.max_header_bytes:
                self._error_status = self._error_status or 431
        elif self._phase is _Phase.BODY and self._framing_bytes > MAX_FRAMING_BYTES:
            self._error_status = self._error_status or 413
        if self._error_status:
            self._reject(self._error_status)
        elif len(self._pipeline.waiting) > MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._start_request()
        self._enter_phase(_Phase.HEAD)

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; the limit applies to all fields together."""
        self._field_bytes += len(name) + len(value)
        if self._field_bytes > self._limits.max_header_bytes:
            self._fail(431)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the stated body length, and send 100 Continue if the caller expects it."""
        self._enter_phase(_Phase.BODY)
        length = find_header(self._headers, b"content-length")
        if length is not None and int(length) > self._limits.max_body_bytes:
            self._fail(413)
        if length is not None:
            self._hold_body(int(length))
        expected = find_header(self._headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self._continue_due = True
            self._send_continue()

    def on_body(self, part: bytes) -> None:
        """Store a part of the body, up to its limit."""
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.max_body_bytes:
            self._fail(413)
        self._hold_body(self._body_bytes)
        self._framing_bytes -= len(part)
        self._body += part

    def on_message_complete(self) -> None:
        """Add the request behind the earlier ones on this connection."""
        method = self._parser.get_method().decode("ascii")
        request = HttpRequest(method, self._target, self._headers, bytes(self._body))
        keep_open = self._parser.should_keep_alive()
        self._enter_phase(_Phase.RUNNING if keep_open else _Phase.DISCARDING)
        self._completed = True
        self._continue_due = False
        self._pipeline.waiting.append(PipelinedRequest(request, keep_open, self._hold))
        # The request has a copy of the body.
        self._hold, self._body = BodyHold(self._server.bodies), bytearray()
        self._start_next()

    def _start_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._field_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._framing_bytes = 0
        self._continue_due = False

    def _hold_body(self, size: int) -> None:
        """Count a body with a size in bytes, or refuse its request if there is no memory for it."""
        if not self._hold.extend(size):
            self._is_body_refused = True
            self._fail(503)

    def _discard_body(self) -> None:
        """Drop the part of a body that has been read."""
        self._body = bytearray()
        self._hold.release()
        self._hold = BodyHold(self._server.bodies)

    def _fail(self, status: int) -> None:
        """Stop parsing; the request is rejected once the parser has returned."""
        self._error_status = status
        raise ValueError(f"request rejected with status {status}")

    def _enter_phase(self, phase: _Phase) -> None:
        self._phase = phase
        self._timer_start = self._loop.time()

    def _is_held_back(self) -> bool:
        """Tell whether the caller cannot go on because earlier requests are not answered."""
        is_paused = self._transport is not None and not self._transport.is_reading()
        return is_paused or self._continue_due

    def _check_unsent(self, transport: asyncio.Transport, now: float) -> None:
        """Close the connection once its caller has read nothing for the idle timeout."""
        unsent_bytes = transport.get_write_buffer_size()
        if self._unsent_bytes is None or unsent_bytes < self._unsent_bytes:
            self._unsent_bytes, self._drained_at = unsent_bytes, now
        elif now - self._drained_at > self._limits.idle_timeout_s:
            transport.abort()

    def _start_next(self) -> None:
        """Start the requests that may run now."""
        pipeline = self._pipeline
        while self._unsent_bytes is None:
            entry = pipeline.take_startable(self._server.closing)
            if entry is None:
                break
            if len(pipeline.started) > 1:
                self._server.counters.add("entry.pipelined")
            self._server.work.add()
            entry.task = self._loop.create_task(self._serve(entry))
            entry.task.add_done_callback(lambda _, entry=entry: self._end(entry))
        if len(pipeline.waiting) <= MAX_PIPELINED_REQUESTS:
            self._resume_reading()

    def _end(self, entry: PipelinedRequest) -> None:
        self._server.work.remove()
        entry.hold.release()

    async def _serve(self, entry: PipelinedRequest) -> None:
        try:
            entry.response = await self._server.handle(entry.request)
        except asyncio.CancelledError:
            # Without this response, those behind it cannot be sent either.
            self.abort()
            raise
        except Exception:
            # A bug in the handler must not leave the caller without a response.
            log.error("the handler of a request has failed", exc_info=True)
            entry.response = HttpResponse(500, [])
        self._send_responses()

    def _send_responses(self) -> None:
        """Send the responses whose turn it is, and start what may run after them."""
        pipeline = self._pipeline
        while (entry := pipeline.take_answered()) is not None:
            assert entry.response is not None
            reading_ended = self._phase is _Phase.DISCARDING and not pipeline.waiting
            ends = not entry.keep_open or self._server.closing or reading_ended
            is_last = ends and not pipeline.started
            self._write(entry.response, not is_last, entry.request.method == "HEAD")
            if is_last:
                self._linger()
                return
        self._start_next()
        if pipeline.is_empty:
            self._send_continue()
            if self._phase is _Phase.RUNNING:
                self._enter_phase(_Phase.IDLE)

    def _send_continue(self) -> None:
        """Send a due 100 Continue, which a caller would take for one of an earlier request."""
        if self._continue_due and self._pipeline.is_empty and self._transport is not None:
            self._continue_due = False
            self._timer_start = self._loop.time()
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_reading():
            self._timer_start = self._loop.time()
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()

    def _reject(self, status: int) -> None:
        """Reject a request that violates the protocol or a limit, and close the connection."""
        self._discard_body()
        if self._pipeline.is_empty:
            response = HttpResponse(status, [])
            if self._is_body_refused:
                held_bytes = self._server.bodies.held_bytes
                response = self._server.refuse_body(self._headers, held_bytes)
            self._write(response, False, False)
            self._linger()
            return
        # Earlier requests are not answered, so this one gets no response; nothing more starts.
        self._pipeline.drop_waiting()
        if self._pipeline.started:
            self._enter_phase(_Phase.DISCARDING)
        else:
            self._linger()

    def _write(self, reply: HttpResponse, keep_open: bool, is_head: bool) -> None:
        if self._transport is None:
            return
        phrase = REASON_PHRASES.get(reply.status, b"Unknown")
        lines = [b"HTTP/1.1 %d %s\r\n" % (reply.status, phrase)]
        lines += [
            b"%s: %s\r\n" % (name, value)
            for name, value in reply.headers
            if is_head or name != b"content-length"
        ]
        if not is_head and not has_no_body(reply.status):
            lines.append(b"content-length: %d\r\n" % len(reply.body))
        if not keep_open:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if not is_head:
            lines.append(reply.body)
        self._transport.write(b"".join(lines))

    def _linger(self) -> None:
        """Close the sending side; the caller or the time limit closes the connection."""
        self._pipeline.drop_waiting()
        self._enter_phase(_Phase.LINGERING)
        self._resume_reading()
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
