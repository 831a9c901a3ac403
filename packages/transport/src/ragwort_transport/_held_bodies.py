"""Bounds the memory that the long bodies of requests take at a node."""

from math import inf

from ragwort_common import Counters
from ragwort_protocol import BODY_PART_BYTES


class HeldBodies:
    """Counts the bytes of the long bodies that a node holds.

    Parameters
    ----------
    max_bytes
        Most bytes that the bodies may have together.
    """

    def __init__(self, max_bytes: float = inf, counters: Counters | None = None) -> None:
        self._max_bytes = max_bytes
        self._counters = counters or Counters()
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of all bodies."""
        return self._held_bytes

    def add(self, size: int) -> bool:
        """Count further bytes, and return whether they are within the bound."""
        if size > 0 and self._held_bytes + size > self._max_bytes:
            return False
        self._held_bytes += size
        self._counters.set_gauge("bodies.held_bytes", self._held_bytes)
        return True


class BodyHold:
    """The bytes that are counted for the body of one request, until its last user releases it."""

    def __init__(self, bodies: HeldBodies) -> None:
        self._bodies = bodies
        self._bytes = 0
        self._users = 1

    def extend(self, size: int) -> bool:
        """Count the body with a size in bytes, and return whether that is within the bound.

        A body that is not long is not counted.
        """
        if size <= max(BODY_PART_BYTES, self._bytes):
            return True
        if not self._bodies.add(size - self._bytes):
            return False
        self._bytes = size
        return True

    def share(self) -> None:
        """Add a user."""
        self._users += 1

    def release(self) -> None:
        """Remove a user, and with the last one the bytes."""
        self._users -= 1
        if not self._users and self._bytes:
            self._bodies.add(-self._bytes)
            self._bytes = 0
