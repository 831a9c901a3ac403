"""Lists the objects of one kind in the store and watches their changes."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from ragwort_model import ErrorKind, InputError, StoreError
from ragwort_platform import (
    Change,
    StoredObject,
    build_list,
    build_watch,
    read_changes,
    read_page,
)

from ragwort_mesh._store import StoreClient, StoreReply, pause_before_retry
from ragwort_mesh._telemetry import Telemetry

MIN_WAIT_MS = 1
"""Wait of a watch request that only fetches the changes that exist already."""


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, and the store revision after which changes may be missing.

    Revisions of different eras of the store are not comparable; see ``order_revision``.
    """

    objects: list[StoredObject]
    revision: int
    era: int


@dataclass(frozen=True, slots=True)
class EraChanges:
    """Changes of a kind in order, and the store's era; the next watch starts at ``revision``."""

    changes: tuple[Change, ...]
    revision: int
    era: int


class KindReader:
    """Reads the objects of one kind; errors are logged and returned as values.

    Parameters
    ----------
    kind
        Kind of the objects.
    """

    def __init__(self, kind: str, store: StoreClient, telemetry: Telemetry) -> None:
        self._kind = kind
        self._store = store
        self._telemetry = telemetry

    async def list_objects(self, stale: bool) -> Listing | StoreError:
        """Return all objects, read page by page; ``stale`` allows old data, which costs less."""
        objects: list[StoredObject] = []
        after = ""
        revision: int | None = None
        era: int | None = None
        while True:
            reply = await self._store.call(build_list(self._kind, after, stale))
            if not isinstance(reply, StoreReply):
                return reply
            page = read_page(reply.body)
            if isinstance(page, InputError):
                return self._reject(page)
            if era not in (None, reply.era):
                return StoreError(ErrorKind.UNAVAILABLE, "the store was restored between two pages")
            era = reply.era
            self._count_unreadable(page.unreadable)
            objects += page.objects
            # Changes after the first page was read may be missing from it.
            revision = page.revision if revision is None else min(revision, page.revision)
            if not page.has_more or not (page.objects or page.unreadable):
                return Listing(objects, revision, era)
            if not page.objects:
                # The name after which the next page starts is not known.
                return self._reject(InputError("invalid listing", "a page without readable names"))
            after = page.objects[-1].name

    async def list_changes(self, revision: int, wait_s: float) -> EraChanges | StoreError:
        """Return the changes after a revision, waiting up to ``wait_s`` for the first one.

        Without a wait, only the changes that exist already are returned.
        """
        request = build_watch(self._kind, revision, max(MIN_WAIT_MS, int(wait_s * 1000)))
        reply = await self._store.call(request, wait_s)
        if not isinstance(reply, StoreReply):
            return reply
        changes = read_changes(reply.body)
        if isinstance(changes, InputError):
            return self._reject(changes)
        self._count_unreadable(changes.unreadable)
        return EraChanges(changes.changes, changes.revision, reply.era)

    def _count_unreadable(self, count: int) -> None:
        if count:
            self._telemetry.counters.add("store.unreadable_objects", count)
            self._telemetry.events.write_call(
                "store-objects-unreadable", True, kind=self._kind, objects=count
            )

    def _reject(self, error: InputError) -> StoreError:
        self._telemetry.events.write_call("store-reply-unreadable", True, mistake=str(error))
        return StoreError(ErrorKind.INVALID, str(error))


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """Settings of a watch.

    Attributes
    ----------
    kind
        Kind of the objects.
    wait_s
        How long one watch request waits for a change, in seconds. A request that the store never
        answers is noticed ``WATCH_SLACK_S`` later.
    pause_s
        Pause between a change and the next watch request, in seconds, so that changes in quick
        succession cost one request.
    """

    kind: str
    wait_s: float
    pause_s: float = 0.0


class KindWatch:
    """Lists the objects of one kind, and watches their changes while that is enabled.

    Parameters
    ----------
    on_listed
        Called with each listing.
    on_change
        Called with each later change and the store's era.
    watch_enabled
        Set while changes are to be watched. Each time it is set, the watch starts with a listing.
        The first listing is done even if it is not set, unless ``skip_first_listing`` was called.
    on_read
        Called after the changes of a reply, with the store's revision up to which there are no
        others, and its era.
    """

    def __init__(
        self,
        settings: WatchSettings,
        store: StoreClient,
        telemetry: Telemetry,
        on_listed: Callable[[Listing], None],
        on_change: Callable[[Change, int], None],
        watch_enabled: asyncio.Event,
        on_read: Callable[[int, int], None] | None = None,
    ) -> None:
        self._settings = settings
        self._wait_s = settings.wait_s
        self._reader = KindReader(settings.kind, store, telemetry)
        self._telemetry = telemetry
        self._on_listed = on_listed
        self._on_change = on_change
        self._watch_enabled = watch_enabled
        self._on_read = on_read
        self._first_listing_done = False
        self._revision: int | None = None
        self._must_list = False
        self._step: asyncio.Task[StoreError | None] | None = None
        self._random = random.Random()

    def skip_first_listing(self) -> None:
        """Skip the first listing, because the objects are known from another source."""
        self._first_listing_done = True

    def set_wait(self, wait_s: float) -> None:
        """Set how long later watch requests wait for a change, in seconds."""
        self._wait_s = wait_s

    def list_again(self) -> None:
        """Interrupt a waiting request and start with a listing, as after a restore of the store."""
        self._must_list = True
        if self._step is not None:
            self._step.cancel()

    async def run(self) -> None:
        """List and watch until cancelled; list again if the store has compacted its history.

        The first request after a failure does not wait for a change, so that the next loss is
        noticed sooner while the store is disrupted.
        """
        failures = 0
        loop = asyncio.get_running_loop()
        while True:
            if self._first_listing_done and not self._watch_enabled.is_set():
                self._revision = None
                await self._watch_enabled.wait()
            if self._must_list:
                self._must_list = False
                self._revision = None
            revision, started = self._revision, loop.time()
            if revision is None:
                error = await self._run_step(self._list())
            else:
                wait_s = 0.0 if failures else self._wait_s
                error = await self._run_step(self._watch(revision, wait_s))
            if error is None:
                failures = 0
                continue
            self._telemetry.events.write(
                "watch-failed",
                kind=self._settings.kind,
                revision=revision,
                cause=error.message,
                took_ms=round((loop.time() - started) * 1000),
            )
            if error.kind is ErrorKind.COMPACTED:
                self._revision = None
                continue
            failures += 1
            await pause_before_retry(failures, self._random.random(), started)

    async def _run_step(self, request: Coroutine[Any, Any, StoreError | None]) -> StoreError | None:
        """Run a request that ``list_again`` may interrupt."""
        self._step = asyncio.create_task(request)
        try:
            await asyncio.wait({self._step})
            return None if self._step.cancelled() else self._step.result()
        finally:
            self._step.cancel()
            self._step = None

    async def _list(self) -> StoreError | None:
        listing = await self._reader.list_objects(stale=False)
        if isinstance(listing, StoreError):
            return listing
        self._revision = listing.revision
        self._first_listing_done = True
        self._on_listed(listing)
        return None

    async def _watch(self, revision: int, wait_s: float) -> StoreError | None:
        changes = await self._reader.list_changes(revision, wait_s)
        if isinstance(changes, StoreError):
            return changes
        self._revision = changes.revision
        for change in changes.changes:
            self._on_change(change, changes.era)
        if self._on_read is not None:
            self._on_read(changes.revision, changes.era)
        if changes.changes and self._settings.pause_s:
            await asyncio.sleep(self._settings.pause_s)
        return None
