"""State of the platform stand-in: objects, versions, change history and call counts."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field

MAX_KEPT_CHANGES = 10_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Latest state of an object; a deleted object is kept only in the change history."""

    path: str
    version: int
    data: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Copy of the objects that can be restored later."""

    objects: dict[str, StoredObject]
    version: int


@dataclass(slots=True)
class Faults:
    """Faults to inject into the calls.

    Attributes
    ----------
    outage
        Refuse every call with status 503, without effect.
    silent
        Neither run calls nor reply to them.
    slow_ms
        Delay before each call runs.
    lost_replies
        Number of upcoming writes that take effect but get no reply.
    max_calls_per_s
        Refuse calls above this rate with status 429; zero means no limit.
    """

    outage: bool = False
    silent: bool = False
    slow_ms: float = 0
    lost_replies: int = 0
    max_calls_per_s: float = 0


@dataclass(slots=True)
class ObjectTable:
    """Stores the objects, with one version counter for all of them.

    Attributes
    ----------
    counts
        Number of calls received, by kind.
    waiting
        Number of watches that are waiting for a change.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    waiting: int = 0
    faults: Faults = field(default_factory=Faults)
    _changes: deque[StoredObject] = field(default_factory=deque)
    _last_dropped_version: int = 0
    _snapshot: Snapshot | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, path: str, data: bytes) -> StoredObject:
        """Store an object with the next version."""
        self.version += 1
        stored = StoredObject(path, self.version, data)
        self.objects[path] = stored
        self._record_change(stored)
        return stored

    def delete(self, path: str) -> None:
        """Remove an object, and record the removal with the next version."""
        self.version += 1
        del self.objects[path]
        self._record_change(StoredObject(path, self.version, b"", deleted=True))

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose path starts with a prefix, sorted by path."""
        paths = sorted(path for path in self.objects if path.startswith(prefix))
        return [self.objects[path] for path in paths]

    def list_changes(self, prefix: str, after: int) -> list[StoredObject]:
        """Return the latest change after a version of each object with a path prefix."""
        latest = {
            change.path: change
            for change in self._changes
            if change.version > after and change.path.startswith(prefix)
        }
        return sorted(latest.values(), key=lambda change: change.version)

    def has_full_history_since(self, after: int) -> bool:
        """Return whether a version exists and every change after it is still in the history."""
        return self._last_dropped_version <= after <= self.version

    def compact(self) -> None:
        """Discard the change history; watchers of an earlier version must list again."""
        self._changes.clear()
        self._last_dropped_version = self.version

    def take_snapshot(self) -> None:
        """Save a copy of the current objects."""
        self._snapshot = Snapshot(dict(self.objects), self.version)

    def restore_snapshot(self) -> None:
        """Restore the saved objects and their versions."""
        assert self._snapshot is not None, "no snapshot has been taken"
        self.objects = dict(self._snapshot.objects)
        self.version = self._snapshot.version
        self.compact()
        self.wake_watchers()

    def wake_watchers(self) -> None:
        """Make every waiting watch check for changes again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change or the timeout."""
        self.waiting += 1
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return
        finally:
            self.waiting -= 1

    def _record_change(self, change: StoredObject) -> None:
        self._changes.append(change)
        while len(self._changes) > MAX_KEPT_CHANGES:
            self._last_dropped_version = self._changes.popleft().version
        self.wake_watchers()
