"""An event loop in virtual time, and a platform in memory with round trips and faults."""

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any

from expression import Error, Ok, Result
from ragwort_common import Epoch
from ragwort_node._owner import LEASE_TTL_S, LeaseFailure, RangeLease
from ragwort_platform import ErrorKind, Listing, Stored, StoreError


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 1_000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._virtual_s = max(self._virtual_s, self._scheduled[0].when())
        super()._run_once()


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that waits for nothing but timers, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def read_clock() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


def read_wall_ms() -> int:
    """Return a wall time that goes with the running loop's time."""
    return 1_700_000_000_000 + int(read_clock() * 1_000)


class MemoryStore:
    """Objects in memory with conditional writes.

    Attributes
    ----------
    round_trip_s
        Time of each call.
    down
        Every call is declined without effect.
    fates
        What happens to the next head writes: ``ok``, ``lost`` or ``reply-lost``.
    writes, written_bytes
        Count and bytes of the writes that were sent.
    """

    def __init__(self, round_trip_s: float = 0.0) -> None:
        self.round_trip_s = round_trip_s
        self.down = False
        self.fates: deque[str] = deque()
        self.writes = 0
        self.written_bytes = 0
        self.objects: dict[str, Stored] = {}
        self._version = 0

    async def get(self, path: str) -> Result[Stored, StoreError]:
        """Return the object at a path."""
        await asyncio.sleep(self.round_trip_s)
        if self.down:
            return _fail(ErrorKind.UNAVAILABLE)
        found = self.objects.get(path)
        return Ok(found) if found else _fail(ErrorKind.NOT_FOUND)

    async def create(self, path: str, data: bytes) -> Result[Stored, StoreError]:
        """Write an object where there is none yet."""
        return await self._write(path, data, None)

    async def update(
        self, path: str, data: bytes, expected_version: int
    ) -> Result[Stored, StoreError]:
        """Replace an object if it still has the expected version."""
        return await self._write(path, data, expected_version)

    async def delete(self, path: str, expected_version: int) -> Result[None, StoreError]:
        """Remove an object if it still has the expected version."""
        await asyncio.sleep(self.round_trip_s)
        found = self.objects.get(path)
        if self.down or found is None or found.version != expected_version:
            return _fail(ErrorKind.CONFLICT)
        del self.objects[path]
        return Ok(None)

    async def list_objects(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all objects whose path starts with a prefix."""
        await asyncio.sleep(self.round_trip_s)
        if self.down:
            return _fail(ErrorKind.UNAVAILABLE)
        items = [self.objects[path] for path in sorted(self.objects) if path.startswith(prefix)]
        return Ok(Listing(tuple(items), self._version))

    async def _write(
        self, path: str, data: bytes, expected: int | None
    ) -> Result[Stored, StoreError]:
        self.writes += 1
        self.written_bytes += len(data)
        await asyncio.sleep(self.round_trip_s / 2)
        if self.down:
            return _fail(ErrorKind.UNAVAILABLE)
        fate = self.fates.popleft() if self.fates else "ok"
        found = self.objects.get(path)
        if fate == "lost":
            return _fail(ErrorKind.UNCERTAIN)
        if (found.version if found else None) != expected:
            return _fail(ErrorKind.CONFLICT)
        self._version += 1
        self.objects[path] = Stored(path, self._version, data)
        await asyncio.sleep(self.round_trip_s / 2)
        return Ok(self.objects[path]) if fate == "ok" else _fail(ErrorKind.UNCERTAIN)


class MemoryLeases:
    """Leases of key ranges in memory, for one node each; they share a table."""

    def __init__(self, node: str, table: dict[int, tuple[str, int, float]]) -> None:
        self.down = False
        self._node = node
        self._table = table

    async def acquire(self, key_range: int) -> Result[RangeLease, LeaseFailure]:
        """Take a lease that is free or has lapsed."""
        if self.down:
            return Error(LeaseFailure.UNAVAILABLE)
        holder, epoch, until_s = self._table.get(key_range, ("", 0, 0.0))
        if holder and read_clock() < until_s:
            return Error(LeaseFailure.LOST)
        return self._hold(key_range, epoch + 1)

    async def renew(self, lease: RangeLease) -> Result[RangeLease, LeaseFailure]:
        """Hold a lease for longer, in the same epoch."""
        if self.down:
            return Error(LeaseFailure.UNAVAILABLE)
        if self._table[lease.key_range][:2] != (self._node, lease.epoch):
            return Error(LeaseFailure.LOST)
        return self._hold(lease.key_range, lease.epoch)

    async def release(self, lease: RangeLease) -> Result[None, LeaseFailure]:
        """Give a lease up at once."""
        if self.down:
            return Error(LeaseFailure.UNAVAILABLE)
        if self._table[lease.key_range][:2] == (self._node, lease.epoch):
            self._table[lease.key_range] = ("", lease.epoch, 0.0)
        return Ok(None)

    def _hold(self, key_range: int, epoch: int) -> Result[RangeLease, LeaseFailure]:
        until_s = read_clock() + LEASE_TTL_S
        self._table[key_range] = (self._node, epoch, until_s)
        return Ok(RangeLease(key_range, Epoch(epoch), until_s, 0))


def _fail(kind: ErrorKind) -> Result:
    return Error(StoreError(kind, "ordered by the test"))
