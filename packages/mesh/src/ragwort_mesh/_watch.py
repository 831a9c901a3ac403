"""Reads the objects of one kind in the store, and follows their changes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_model import ErrorKind, Mistake, StoreError
from ragwort_platform import (
    Change,
    Changes,
    StoredObject,
    build_list,
    build_watch,
    read_changes,
    read_page,
)

from ragwort_mesh._store import StoreClient, StoreReply, pause_before_retry
from ragwort_mesh._telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, and the revision from which on later changes may be missing."""

    objects: list[StoredObject]
    revision: int


class KindReader:
    """Reads one kind; each error is a value and has been logged.

    Parameters
    ----------
    kind
        The kind of the objects.
    """

    def __init__(self, kind: str, store: StoreClient, telemetry: Telemetry) -> None:
        self._kind = kind
        self._store = store
        self._telemetry = telemetry

    async def list_objects(self, stale: bool) -> Listing | StoreError:
        """Return all objects, page by page; ``stale`` allows old data, which costs less."""
        objects: list[StoredObject] = []
        after = ""
        revision: int | None = None
        while True:
            reply = await self._store.call(build_list(self._kind, after, stale))
            if not isinstance(reply, StoreReply):
                return reply
            page = read_page(reply.body)
            if isinstance(page, Mistake):
                return self._reject(page)
            objects += page.objects
            # Changes after the first page was read may be missing from it.
            revision = page.revision if revision is None else min(revision, page.revision)
            if not page.more or not page.objects:
                return Listing(objects, revision)
            after = page.objects[-1].name

    async def list_changes(self, revision: int, wait_s: float) -> Changes | StoreError:
        """Return the changes after a revision, and wait for the first one for a time."""
        request = build_watch(self._kind, revision, int(wait_s * 1000))
        reply = await self._store.call(request, wait_s)
        if not isinstance(reply, StoreReply):
            return reply
        changes = read_changes(reply.body)
        return self._reject(changes) if isinstance(changes, Mistake) else changes

    def _reject(self, mistake: Mistake) -> StoreError:
        self._telemetry.events.write("store-reply-unreadable", mistake=str(mistake))
        return StoreError(ErrorKind.INVALID, str(mistake))


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """How a kind is followed.

    Attributes
    ----------
    kind
        The kind of the objects.
    wait_s
        How long one watch waits for a change, in seconds.
    pause_s
        How long to wait after a change before the next watch, so that changes that come
        together cost one call, in seconds.
    """

    kind: str
    wait_s: float
    pause_s: float = 0.0


class KindWatch:
    """Reads one kind at first, and follows it while that is its duty.

    Parameters
    ----------
    listed
        Gets all objects, after each listing.
    changed
        Gets each change after that.
    on_duty
        Set while changes are to be followed. A duty that begins anew begins with a listing; the
        first listing is made in any case, unless ``skip_first`` is called before.
    """

    def __init__(
        self,
        settings: WatchSettings,
        store: StoreClient,
        telemetry: Telemetry,
        listed: Callable[[list[StoredObject]], None],
        changed: Callable[[Change], None],
        on_duty: asyncio.Event,
    ) -> None:
        self._settings = settings
        self._reader = KindReader(settings.kind, store, telemetry)
        self._listed = listed
        self._changed = changed
        self._on_duty = on_duty
        self._first_is_known = False
        self._revision: int | None = None
        self._random = random.Random()

    def skip_first(self) -> None:
        """Take in that the objects are known from elsewhere."""
        self._first_is_known = True

    async def run(self) -> None:
        """List and watch until cancelled; start again with a listing when history is gone."""
        failures = 0
        while True:
            if self._first_is_known and not self._on_duty.is_set():
                self._revision = None
                await self._on_duty.wait()
            if self._revision is None:
                error = await self._list()
            else:
                error = await self._watch(self._revision)
            if error is None:
                failures = 0
                continue
            if error.kind is ErrorKind.COMPACTED:
                self._revision = None
                continue
            failures += 1
            await pause_before_retry(failures, self._random.random())

    async def _list(self) -> StoreError | None:
        listing = await self._reader.list_objects(stale=False)
        if isinstance(listing, StoreError):
            return listing
        self._revision = listing.revision
        self._first_is_known = True
        self._listed(listing.objects)
        return None

    async def _watch(self, revision: int) -> StoreError | None:
        changes = await self._reader.list_changes(revision, self._settings.wait_s)
        if isinstance(changes, StoreError):
            return changes
        self._revision = changes.revision
        for change in changes.changes:
            self._changed(change)
        if changes.changes and self._settings.pause_s:
            await asyncio.sleep(self._settings.pause_s)
        return None
