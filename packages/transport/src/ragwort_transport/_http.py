"""Requests, responses and limits of the HTTP/1.1 server."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ragwort_transport._message import Headers


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A caller's complete request, with lower-case header names."""

    method: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The response to a request.

    The connection sets ``content-length``, except in the response to a HEAD request.
    """

    status: int
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the size of a caller's requests and on their timing.

    Attributes
    ----------
    max_header_bytes, max_body_bytes
        Largest request head and body, in bytes.
    header_timeout_s
        Longest time from the first byte of a request head to its last, in seconds.
    idle_timeout_s
        Longest time without received data, between requests or within a body, in seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Returns the response to a request; cancelled if the caller closes its connection first."""
