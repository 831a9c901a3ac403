"""An in-memory object store that suspends once in each call and can inject a fault into it."""

from collections import deque
from contextlib import asynccontextmanager
from enum import Enum

from expression import Error, Ok
from ragwort_store import (
    RULES_PATH,
    ErrorKind,
    Listing,
    StoredObject,
    StoreError,
    decode_rules_document,
)


class Fault(Enum):
    """The fault injected into one call; any but NONE makes a read fail as unavailable."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_REQUEST = "lost request"
    LOST_REPLY = "lost reply"
    DELAYED = "delayed"


class SuspendOnce:
    """Suspends the awaiting coroutine once; works with and without an event loop."""

    def __await__(self):
        yield


class FakeStore:
    """Holds objects by path.

    ``faults`` has the faults of the next calls, ``delayed`` the writes that have yet to arrive,
    and ``accepted`` every rules document that was written.
    """

    def __init__(self):
        self.objects = {}
        self.accepted = []
        self.faults = deque()
        self.delayed = []
        self.before_write = None
        self._version = 0

    @asynccontextmanager
    async def open(self, url, timeout_ms):
        yield self

    async def get(self, path):
        if await self._take_fault() is not Fault.NONE:
            return fail(ErrorKind.UNAVAILABLE)
        return Ok(self.objects[path]) if path in self.objects else fail(ErrorKind.NOT_FOUND)

    async def list_objects(self, prefix):
        if await self._take_fault() is not Fault.NONE:
            return fail(ErrorKind.UNAVAILABLE)
        found = [item for path, item in sorted(self.objects.items()) if path.startswith(prefix)]
        return Ok(Listing(tuple(found), self._version))

    async def create(self, path, data):
        return await self._inject_fault(lambda: self._write(path, data, None))

    async def update(self, path, data, expected_version):
        if self.before_write and path == RULES_PATH:
            hook, self.before_write = self.before_write, None
            hook()
        return await self._inject_fault(lambda: self._write(path, data, expected_version))

    def deliver_delayed(self, index):
        """Apply one of the delayed writes."""
        self.delayed.pop(index % len(self.delayed))()

    def put(self, path, data):
        self._version += 1
        self.objects[path] = StoredObject(path, self._version, data)
        if path == RULES_PATH:
            self.accepted.append(decode_rules_document(data).default_value(None))

    async def _take_fault(self):
        await SuspendOnce()
        return self.faults.popleft() if self.faults else Fault.NONE

    async def _inject_fault(self, write):
        fault = await self._take_fault()
        if fault is Fault.NONE:
            return write()
        if fault is Fault.UNAVAILABLE:
            return fail(ErrorKind.UNAVAILABLE)
        if fault is Fault.LOST_REPLY:
            write()
        if fault is Fault.DELAYED:
            self.delayed.append(write)
        return fail(ErrorKind.UNCERTAIN)

    def _write(self, path, data, expected_version):
        found = self.objects.get(path)
        if found is None and expected_version is not None:
            return fail(ErrorKind.NOT_FOUND)
        if found is not None and found.version != expected_version:
            return fail(ErrorKind.CONFLICT)
        self.put(path, data)
        return Ok(self.objects[path])


def fail(kind):
    return Error(StoreError(kind, kind.value))
