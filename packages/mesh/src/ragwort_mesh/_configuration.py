"""Keeps the newest configuration in force; an older one never replaces it."""

import asyncio
from collections.abc import Callable

from ragwort_model import (
    CallerLimits,
    Configuration,
    FindRoute,
    Mistake,
    StoreError,
    build_route_finder,
)
from ragwort_platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Change,
    StoredObject,
    decode_configuration,
)

from ragwort_mesh._store import StoreClient
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindReader, KindWatch, WatchSettings

WATCH_WAIT_S = 5.0
"""How long one watch waits. A connection may go silent for good: it is noticed when the watch is
over, and then 6.5 s after the silence began the newest configuration has to be in force."""

WATCH_PAUSE_S = 0.2
"""How long to gather changes after one: operators may write ten in a second, and each would be
one more call to the store for each node."""


class ConfigurationKeeper:
    """Owns the configuration in force and its route finder.

    Attributes
    ----------
    current, limits
        The configuration, None before the first, and its limits on callers.
    revision, content
        The store's revision of it, 0 before the first, and its bytes.

    Parameters
    ----------
    changed
        Called after a newer configuration has come into force.
    on_duty
        Set while this node follows the store.
    """

    def __init__(
        self,
        store: StoreClient,
        telemetry: Telemetry,
        changed: Callable[[], None],
        on_duty: asyncio.Event,
    ) -> None:
        self.current: Configuration | None = None
        self.limits = CallerLimits()
        self._find_route: FindRoute | None = None
        self.revision = 0
        self.content = b""
        self._telemetry = telemetry
        self._changed = changed
        self._reader = KindReader(CONFIGURATION_KIND, store, telemetry)
        settings = WatchSettings(CONFIGURATION_KIND, WATCH_WAIT_S, pause_s=WATCH_PAUSE_S)
        self._watch = KindWatch(
            settings, store, telemetry, self._take_listed, self._take_change, on_duty
        )
        self.run = self._watch.run

    def get_route_finder(self) -> FindRoute | None:
        """Return the function that finds routes, or None before the first configuration."""
        return self._find_route

    async def read_store(self) -> bool:
        """Read what the store holds at present, and return whether it could be read."""
        listing = await self._reader.list_objects(stale=False)
        if isinstance(listing, StoreError):
            return False
        self._take_listed(listing.objects)
        return True

    def _take_listed(self, objects: list[StoredObject]) -> None:
        for stored in objects:
            self._take_object(stored)

    def _take_change(self, change: Change) -> None:
        if not change.removed:
            self._take_object(change.stored)

    def _take_object(self, stored: StoredObject) -> None:
        if stored.name == CONFIGURATION_NAME:
            self.take_document(stored.revision, stored.content, "store")

    def take_document(self, revision: int, content: bytes, source: str) -> None:
        """Bring a configuration into force if it is newer; ``source`` tells where it is from."""
        if revision <= self.revision:
            return
        configuration = decode_configuration(content)
        events = self._telemetry.events
        if isinstance(configuration, Mistake):
            events.write("configuration-unreadable", revision=revision, mistake=str(configuration))
            return
        if self.current is not None and configuration.version < self.current.version:
            events.write("configuration-older", version=configuration.version, revision=revision)
            return
        self.revision = revision
        self.content = content
        self.current = configuration
        self.limits = configuration.limits
        self._find_route = build_route_finder(configuration)
        self._watch.skip_first()
        events.write(
            "configuration-in-force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
            source=source,
        )
        self._changed()
