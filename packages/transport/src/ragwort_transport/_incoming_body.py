"""The body of a peer's call, which the peer sends when it is asked for."""

import asyncio

from ragwort_protocol import Request

from ragwort_transport._link import Link


class IncomingBody:
    """A body that has not been received yet.

    Attributes
    ----------
    size
        Size of the body, in bytes.
    """

    def __init__(self, link: Link, request: Request) -> None:
        self.size = request.body_bytes
        self._link = link
        self._call = request
        self._received: asyncio.Future[bytes] | None = None

    @property
    def is_requested(self) -> bool:
        """Whether the peer has been asked for the body."""
        return self._received is not None

    def request(self) -> asyncio.Future[bytes]:
        """Ask the peer for the body once, and return its future.

        The future is cancelled if the link closes or the peer cancels the call.
        """
        if self._received is None:
            self._received = self._link.request_body(self._call)
        return self._received

    def discard(self) -> None:
        """Drop what has been received, because the call has ended."""
        if self._received is not None:
            self._link.discard_body(self._call.call_id)
