"""An event loop in virtual time, and an in-memory platform with latency and injected faults."""

import asyncio
import selectors
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from ragwort_common import Epoch
from ragwort_node._owner import LEASE_TTL_MS
from ragwort_store import (
    ErrorKind,
    Lease,
    LeaseError,
    LeaseErrorKind,
    Listing,
    StoredObject,
    StoreError,
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its clock to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        selector = selectors.SelectSelector()
        super().__init__(selector)
        select = selector.select
        # Never block in real time, not even for a timer that has been cancelled.
        selector.select = lambda timeout=None: select(0)
        self._virtual_s = 1_000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._virtual_s = max(self._virtual_s, self._scheduled[0].when())
        super()._run_once()


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time; it must wait for nothing but timers."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def read_clock() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


def read_wall_ms() -> int:
    """Return a wall-clock time that advances with the running loop's time."""
    return 1_700_000_000_000 + int(read_clock() * 1_000)


class MemoryStore:
    """An in-memory object store with conditional writes.

    Attributes
    ----------
    round_trip_s
        Duration of each call.
    down
        Whether every call fails without effect.
    write_outcomes
        Outcomes of the next writes, in order: ``ok``, ``lost`` (the write has no effect) or
        ``reply-lost`` (the write takes effect but its reply is lost).
    writes, written_bytes
        Number and total size of the writes that were attempted.
    """

    def __init__(self, round_trip_s: float = 0.0) -> None:
        self.round_trip_s = round_trip_s
        self.down = False
        self.write_outcomes: deque[str] = deque()
        self.writes = 0
        self.written_bytes = 0
        self.objects: dict[str, StoredObject] = {}
        self._version = 0

    async def get(self, path: str) -> Result[StoredObject, StoreError]:
        """Return the object at a path."""
        await asyncio.sleep(self.round_trip_s)
        if self.down:
            return _fail(ErrorKind.UNAVAILABLE)
        found = self.objects.get(path)
        return Ok(found) if found else _fail(ErrorKind.NOT_FOUND)

    async def create(self, path: str, data: bytes) -> Result[StoredObject, StoreError]:
        """Write an object if none exists at the path."""
        return await self._write(path, data, None)

    async def update(
        self, path: str, data: bytes, expected_version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object if it has the expected version."""
        return await self._write(path, data, expected_version)

    async def delete(self, path: str, expected_version: int) -> Result[None, StoreError]:
        """Delete an object if it has the expected version."""
        await asyncio.sleep(self.round_trip_s)
        found = self.objects.get(path)
        if self.down or found is None or found.version != expected_version:
            return _fail(ErrorKind.CONFLICT)
        del self.objects[path]
        return Ok(None)

    async def list_objects(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all objects whose paths start with a prefix."""
        await asyncio.sleep(self.round_trip_s)
        if self.down:
            return _fail(ErrorKind.UNAVAILABLE)
        items = [self.objects[path] for path in sorted(self.objects) if path.startswith(prefix)]
        return Ok(Listing(tuple(items), self._version))

    async def _write(
        self, path: str, data: bytes, expected: int | None
    ) -> Result[StoredObject, StoreError]:
        self.writes += 1
        self.written_bytes += len(data)
        await asyncio.sleep(self.round_trip_s / 2)
        if self.down:
            return _fail(ErrorKind.UNAVAILABLE)
        outcome = self.write_outcomes.popleft() if self.write_outcomes else "ok"
        found = self.objects.get(path)
        if outcome == "lost":
            return _fail(ErrorKind.UNCERTAIN)
        if (found.version if found else None) != expected:
            return _fail(ErrorKind.CONFLICT)
        self._version += 1
        self.objects[path] = StoredObject(path, self._version, data)
        await asyncio.sleep(self.round_trip_s / 2)
        return Ok(self.objects[path]) if outcome == "ok" else _fail(ErrorKind.UNCERTAIN)


@dataclass(slots=True)
class _LeaseState:
    """The holder, epoch and expiry time of a lease."""

    holder: str
    epoch: Epoch
    expires_at_s: float


class LeaseTable(dict[str, _LeaseState]):
    """The leases, by path, that all nodes of a test share."""


class MemoryLeases:
    """The in-memory lease client of one node."""

    def __init__(self, node: str, table: LeaseTable) -> None:
        self.down = False
        self._node = node
        self._table = table

    async def acquire_lease(self, path: str, known_epoch: Epoch) -> Result[Lease, LeaseError]:
        """Acquire a lease that is free or has expired."""
        known = self._table.get(path, _LeaseState("", known_epoch, 0.0))
        if known.holder and read_clock() < known.expires_at_s:
            return _fail_lease(LeaseErrorKind.HELD)
        return self._grant(path, Epoch(max(known.epoch, known_epoch) + 1))

    async def renew_lease(self, lease: Lease) -> Result[Lease, LeaseError]:
        """Extend a lease in the same epoch."""
        known = self._table[lease.path]
        if (known.holder, known.epoch) != (self._node, lease.epoch):
            return _fail_lease(LeaseErrorKind.LOST)
        return self._grant(lease.path, lease.epoch)

    async def release_lease(self, lease: Lease) -> Result[None, LeaseError]:
        """Release a lease."""
        known = self._table[lease.path]
        if not self.down and (known.holder, known.epoch) == (self._node, lease.epoch):
            known.holder = ""
        return Ok(None)

    def _grant(self, path: str, epoch: Epoch) -> Result[Lease, LeaseError]:
        if self.down:
            return _fail_lease(LeaseErrorKind.UNAVAILABLE)
        expires_at_s = read_clock() + LEASE_TTL_MS / 1_000
        self._table[path] = _LeaseState(self._node, epoch, expires_at_s)
        return Ok(Lease(path, epoch, 0, expires_at_s))


def _fail_lease(kind: LeaseErrorKind) -> Result:
    return Error(LeaseError(kind, "failure injected by the test"))


def _fail(kind: ErrorKind) -> Result:
    return Error(StoreError(kind, "failure injected by the test"))
