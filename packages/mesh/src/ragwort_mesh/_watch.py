"""Follows the objects of one kind in the store: lists them once, then watches for changes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_model import ErrorKind, Mistake, StoreError
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


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """How a kind is followed.

    Attributes
    ----------
    kind
        The kind of the objects.
    wait_s
        How long one watch waits for a change, in seconds.
    stale_start
        Whether the first listing may be old; what it lacks comes with the first watch.
    pause_s
        How long to wait after a change before the next watch, so that changes that come
        together cost one call, in seconds.
    """

    kind: str
    wait_s: float
    stale_start: bool
    pause_s: float = 0.0


class KindWatch:
    """Follows one kind until cancelled.

    Parameters
    ----------
    listed
        Gets all objects, after each listing.
    changed
        Gets each change after that.
    """

    def __init__(
        self,
        settings: WatchSettings,
        store: StoreClient,
        telemetry: Telemetry,
        listed: Callable[[list[StoredObject]], None],
        changed: Callable[[Change], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._telemetry = telemetry
        self._listed = listed
        self._changed = changed
        self._stale = settings.stale_start
        self._revision: int | None = None
        self._random = random.Random()

    async def run(self) -> None:
        """List and watch, and start again with a listing when history is gone."""
        failures = 0
        while True:
            if self._revision is None:
                error = await self._list()
            else:
                error = await self._watch(self._revision)
            if error is None:
                failures = 0
                continue
            if error.kind is ErrorKind.COMPACTED:
                self._revision = None
                self._stale = False
                continue
            failures += 1
            await pause_before_retry(failures, self._random.random())

    async def _list(self) -> StoreError | None:
        objects: list[StoredObject] = []
        after = ""
        revision: int | None = None
        while True:
            reply = await self._store.call(build_list(self._settings.kind, after, self._stale))
            if not isinstance(reply, StoreReply):
                return reply
            page = read_page(reply.body)
            if isinstance(page, Mistake):
                return self._reject(page)
            objects += page.objects
            # Changes after the first page was read may be missing from it.
            revision = page.revision if revision is None else min(revision, page.revision)
            if not page.more or not page.objects:
                break
            after = page.objects[-1].name
        self._revision = revision
        self._listed(objects)
        return None

    async def _watch(self, revision: int) -> StoreError | None:
        wait_s = self._settings.wait_s
        request = build_watch(self._settings.kind, revision, int(wait_s * 1000))
        reply = await self._store.call(request, wait_s)
        if not isinstance(reply, StoreReply):
            return reply
        changes = read_changes(reply.body)
        if isinstance(changes, Mistake):
            return self._reject(changes)
        self._revision = changes.revision
        for change in changes.changes:
            self._changed(change)
        if changes.changes and self._settings.pause_s:
            await asyncio.sleep(self._settings.pause_s)
        return None

    def _reject(self, mistake: Mistake) -> StoreError:
        self._telemetry.events.write("store-reply-unreadable", mistake=str(mistake))
        return StoreError(ErrorKind.INVALID, str(mistake))
