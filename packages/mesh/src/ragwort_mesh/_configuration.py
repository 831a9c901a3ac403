"""Loads the configuration and keeps the newest version active; older versions are ignored."""

import asyncio
from collections.abc import Callable

from ragwort_model import (
    CallerLimits,
    Configuration,
    FindRoute,
    InputError,
    StoreError,
    build_route_finder,
)
from ragwort_platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Change,
    StoredObject,
    decode_configuration,
    redact_keys,
)

from ragwort_mesh._store import WATCH_SLACK_S, StoreClient, order_revision
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindReader, KindWatch, Listing, WatchSettings

RECOVERY_S = 1.0
"""Time reserved to read the configuration again after a lost watch request was noticed, and to send
it to the other nodes."""

MIN_WATCH_WAIT_S = 0.5
"""Minimum wait of a watch request, which limits the load on the store."""

WATCH_PAUSE_S = 0.2
"""Pause after a change, to batch those that follow: operators may write ten in a second, and each
would cost a request to the store from each node."""


class ActiveConfiguration:
    """Holds the active configuration and its route finder.

    Attributes
    ----------
    current, limits
        The active configuration, None until one is loaded, and its limits on callers.
    revision, content
        Order of the configuration's store revision (``order_revision``), 0 until one is loaded, and
        its encoded bytes with digests in place of customers' keys.

    Parameters
    ----------
    on_change
        Called after a newer configuration has become active.
    watch_enabled
        Set while this node watches the store.
    settle_s
        See ``Bounds``.
    """

    def __init__(
        self,
        store: StoreClient,
        telemetry: Telemetry,
        on_change: Callable[[], None],
        watch_enabled: asyncio.Event,
        settle_s: float,
    ) -> None:
        self.current: Configuration | None = None
        self.limits = CallerLimits()
        self._find_route: FindRoute | None = None
        self.revision = 0
        self.content = b""
        self._telemetry = telemetry
        self._on_change = on_change
        self._reader = KindReader(CONFIGURATION_KIND, store, telemetry)
        settings = WatchSettings(CONFIGURATION_KIND, choose_watch_wait(settle_s), WATCH_PAUSE_S)
        self._watch = KindWatch(
            settings, store, telemetry, self._apply_listing, self._apply_change, watch_enabled
        )
        self.run = self._watch.run

    def set_settle_time(self, settle_s: float) -> None:
        """Apply a changed bound; see ``Bounds``."""
        self._watch.set_wait(choose_watch_wait(settle_s))

    def get_route_finder(self) -> FindRoute | None:
        """Return the function that finds routes, or None until a configuration is loaded."""
        return self._find_route

    async def read_store(self) -> bool:
        """Read the configuration from the store, and return whether the read succeeded."""
        listing = await self._reader.list_objects(stale=False)
        if isinstance(listing, StoreError):
            return False
        self._apply_listing(listing)
        return True

    def list_again(self) -> None:
        """Read the configuration again, because the store has come back from a copy."""
        self._watch.list_again()

    def _apply_listing(self, listing: Listing) -> None:
        for stored in listing.objects:
            self._apply_object(stored, listing.era)

    def _apply_change(self, change: Change, era: int) -> None:
        if not change.removed:
            self._apply_object(change.stored, era)

    def _apply_object(self, stored: StoredObject, era: int) -> None:
        if stored.name == CONFIGURATION_NAME:
            order = order_revision(era, stored.revision)
            self.apply_document(order, stored.content, "store")

    def apply_document(self, revision: int, content: bytes, source: str) -> None:
        """Activate a configuration if it is newer; ``source`` names its origin in the log."""
        if revision <= self.revision:
            return
        configuration = decode_configuration(content)
        events = self._telemetry.events
        if isinstance(configuration, InputError):
            events.write("configuration-unreadable", revision=revision, mistake=str(configuration))
            return
        if self.current is not None and configuration.version < self.current.version:
            events.write("configuration-older", version=configuration.version, revision=revision)
            return
        self.revision = revision
        self.content = redact_keys(content) if configuration.customers else content
        self.current = configuration
        self.limits = configuration.limits
        self._find_route = build_route_finder(configuration)
        self._watch.skip_first_listing()
        events.write(
            "configuration-in-force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
            source=source,
        )
        self._on_change()


def choose_watch_wait(settle_s: float) -> float:
    """Return how long a watch request waits, in seconds.

    A connection can go silent without closing, so a lost request shows only by its timeout. By the
    time the bound on activation holds again, the configuration must have been read again.
    """
    return max(MIN_WATCH_WAIT_S, settle_s - WATCH_SLACK_S - RECOVERY_S)
