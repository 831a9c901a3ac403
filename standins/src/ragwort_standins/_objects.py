"""The state of the platform's stand-in: objects, versions, changes and the call counts."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field

KEPT_CHANGES = 10_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object's latest state; a deleted one stays as a change only."""

    path: str
    version: int
    data: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A copy of the objects, to come back to."""

    objects: dict[str, StoredObject]
    version: int


@dataclass(slots=True)
class Faults:
    """What goes wrong on purpose.

    Attributes
    ----------
    outage
        Every call is declined with status 503, without effect.
    silent
        Calls are neither run nor replied to.
    slow_ms
        Each call waits this long before it runs.
    lost_replies
        How many of the next writes take effect without a reply.
    max_calls_per_s
        Calls above this rate are declined with status 429; zero for no limit.
    """

    outage: bool = False
    silent: bool = False
    slow_ms: float = 0
    lost_replies: int = 0
    max_calls_per_s: float = 0


@dataclass(slots=True)
class ObjectTable:
    """Keeps the objects under one version counter for the whole store.

    ``counts`` has the calls by kind, and ``waiting`` the watches that wait at the moment.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    waiting: int = 0
    faults: Faults = field(default_factory=Faults)
    _changes: deque[StoredObject] = field(default_factory=deque)
    _oldest: int = 0
    _snapshot: Snapshot | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, path: str, data: bytes) -> StoredObject:
        """Store an object under the next version."""
        self.version += 1
        stored = StoredObject(path, self.version, data)
        self.objects[path] = stored
        self._record_change(stored)
        return stored

    def delete(self, path: str) -> None:
        """Remove an object, which is a change under the next version."""
        self.version += 1
        del self.objects[path]
        self._record_change(StoredObject(path, self.version, b"", deleted=True))

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects below a prefix, in order of their paths."""
        paths = sorted(path for path in self.objects if path.startswith(prefix))
        return [self.objects[path] for path in paths]

    def list_changes(self, prefix: str, after: int) -> list[StoredObject]:
        """Return the latest change of each object below a prefix since a version."""
        latest = {
            change.path: change
            for change in self._changes
            if change.version > after and change.path.startswith(prefix)
        }
        return sorted(latest.values(), key=lambda change: change.version)

    def covers(self, after: int) -> bool:
        """Tell whether all changes since a version are still known."""
        return self._oldest <= after <= self.version

    def compact(self) -> None:
        """Forget all changes so far; watchers from before have to list again."""
        self._changes.clear()
        self._oldest = self.version

    def take_snapshot(self) -> None:
        """Keep a copy of the objects as they are."""
        self._snapshot = Snapshot(dict(self.objects), self.version)

    def restore_snapshot(self) -> None:
        """Go back to the copy, versions included."""
        assert self._snapshot is not None, "there is no snapshot"
        self.objects = dict(self._snapshot.objects)
        self.version = self._snapshot.version
        self.compact()
        self.wake_watchers()

    def wake_watchers(self) -> None:
        """Let every waiting watch look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something changes, or for the timeout."""
        self.waiting += 1
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return
        finally:
            self.waiting -= 1

    def _record_change(self, change: StoredObject) -> None:
        self._changes.append(change)
        while len(self._changes) > KEPT_CHANGES:
            self._oldest = self._changes.popleft().version
        self.wake_watchers()
