"""An event queue for simulations in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventHeap:
    """Runs callbacks in the order of their virtual times; equal times run in the order added."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback at a virtual time."""
        self._count += 1
        heappush(self._heap, (when, self._count, callback, args))

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback after a delay in virtual seconds."""
        self.call_at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Run all events up to and including a virtual time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, callback, args = heappop(heap)
            self.now = when
            callback(*args)
