"""Order of the requests of one connection: which one may start, and which is answered next."""

import asyncio
from collections import deque
from dataclasses import dataclass

from ragwort_transport._held_bodies import BodyHold
from ragwort_transport._http import HttpRequest, HttpResponse

MAX_STARTED_REQUESTS = 8
"""Requests of one connection that are running or whose response waits for earlier ones."""

MAX_BUFFERED_BYTES = 1 << 20
"""Responses that wait for earlier ones of their connection. Above this many bytes of bodies no
further request is started; those running may still exceed it by one response each."""

SAFE_METHODS = frozenset({"GET", "HEAD"})
"""Methods whose requests may run at the same time as others of their connection."""


@dataclass(slots=True, eq=False)
class PipelinedRequest:
    """A request with its task and its response, once it has them.

    Attributes
    ----------
    keep_open
        Whether the caller allows further requests on the connection.
    hold
        Counts the body until the request has ended.
    """

    request: HttpRequest
    keep_open: bool
    hold: BodyHold
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None

    @property
    def is_safe(self) -> bool:
        """Whether the request may run at the same time as other safe ones."""
        return self.request.method in SAFE_METHODS


class Pipeline:
    """The requests of one connection that are not answered, in the order of their arrival."""

    def __init__(self) -> None:
        self.waiting: deque[PipelinedRequest] = deque()
        self.started: deque[PipelinedRequest] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether every request has been answered."""
        return not self.waiting and not self.started

    def take_startable(self, closing: bool) -> PipelinedRequest | None:
        """Move the next request to the started ones, or return None if it has to wait.

        Parameters
        ----------
        closing
            Whether the connection is closed after the last request that was started.
        """
        if not self.waiting:
            return None
        if self.started:
            last = self.started[-1]
            if closing or len(self.started) >= MAX_STARTED_REQUESTS:
                return None
            if not (last.is_safe and last.keep_open and self.waiting[0].is_safe):
                return None
            if self._count_buffered_bytes() > MAX_BUFFERED_BYTES:
                return None
        self.started.append(self.waiting.popleft())
        return self.started[-1]

    def drop_waiting(self) -> None:
        """Forget the requests that have not started."""
        for entry in self.waiting:
            entry.hold.release()
        self.waiting.clear()

    def take_answered(self) -> PipelinedRequest | None:
        """Remove and return the oldest request if it has its response."""
        if self.started and self.started[0].response is not None:
            return self.started.popleft()
        return None

    def cancel(self) -> None:
        """Cancel every request that is running, and forget all."""
        for entry in self.started:
            if entry.task is not None:
                entry.task.cancel()
        self.drop_waiting()
        self.started.clear()

    def _count_buffered_bytes(self) -> int:
        return sum(len(entry.response.body) for entry in self.started if entry.response)
