"""Keeps the set of evacuated failure domains, whose servers may get no calls.

The operators keep one object in the store for each evacuated domain. Nodes that watch the store
read them and tell all peers; every node tells its set to each newly linked peer. Sets are ordered
by the store's era and revision at which they were read, so a late one never replaces a newer one.
"""

import asyncio
from collections.abc import Callable, Iterable

from ragwort_common import FailureDomain, NodeId
from ragwort_model import Bounds
from ragwort_platform import EVACUATIONS_KIND, Change
from ragwort_protocol import EvacuationNotice
from ragwort_transport import Link

from ragwort_mesh._configuration import WATCH_PAUSE_S, choose_watch_wait
from ragwort_mesh._store import StoreClient, order_revision
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindWatch, Listing, WatchSettings


class Evacuations:
    """Holds the evacuated failure domains, as read from the store or told by a peer.

    It does nothing until ``set_bounds`` is given a time within which domains are to be evacuated.

    Attributes
    ----------
    failure_domains
        The evacuated failure domains.
    order
        Order of the store revision (``order_revision``) at which they were read, 0 until they are
        known.
    is_known
        Whether they are known, or were not found out in time.

    Parameters
    ----------
    list_links
        Returns the links to all peers.
    on_change
        Called when the set becomes known and each time that it changes.
    watch_enabled
        Set while this node watches the store.
    """

    def __init__(
        self,
        bounds: Bounds,
        store: StoreClient,
        telemetry: Telemetry,
        list_links: Callable[[], Iterable[tuple[NodeId, Link]]],
        on_change: Callable[[], None],
        watch_enabled: asyncio.Event,
    ) -> None:
        self.failure_domains: frozenset[FailureDomain] = frozenset()
        self.order = 0
        self.is_known = False
        self._telemetry = telemetry
        self._list_links = list_links
        self._on_change = on_change
        self._watch_enabled = watch_enabled
        self._stored: set[FailureDomain] = set()
        self._stored_era = 0
        self._max_unknown_s = 0.0
        self._enabled = asyncio.Event()
        self._watch = KindWatch(
            WatchSettings(EVACUATIONS_KIND, choose_watch_wait(bounds.settle_s), WATCH_PAUSE_S),
            store,
            telemetry,
            self._apply_listing,
            self._apply_change,
            watch_enabled,
            self._adopt_changed,
        )
        self.list_again = self._watch.list_again
        self.set_bounds(bounds)

    @property
    def is_enabled(self) -> bool:
        """Whether domains can be evacuated in this deployment."""
        return self._enabled.is_set()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds. Once enabled, evacuating stays so until the process ends."""
        if bounds.evacuation_s is None:
            return
        self._max_unknown_s = bounds.evacuation_s
        self._watch.set_wait(choose_watch_wait(min(bounds.settle_s, bounds.evacuation_s)))
        self._enabled.set()

    async def run(self) -> None:
        """Read the set at the start, and watch it while this node watches the store."""
        await self._enabled.wait()
        loop = asyncio.get_running_loop()
        give_up = loop.call_later(self._max_unknown_s, self._give_up_waiting)
        try:
            await self._watch.run()
        finally:
            give_up.cancel()

    def announce(self, link: Link) -> None:
        """Send the set to a newly linked peer, if it is known."""
        if self.order:
            link.send(self._make_notice())

    def receive(self, link: Link, notice: EvacuationNotice) -> None:
        """Adopt the set of a peer if it is newer than this node's."""
        if self.is_enabled:
            domains = frozenset(FailureDomain(name) for name in notice.failure_domains)
            self._adopt(notice.order, domains, str(link.peer))

    def _apply_listing(self, listing: Listing) -> None:
        self._stored = {FailureDomain(stored.name) for stored in listing.objects}
        self._stored_era = listing.era
        self._adopt(order_revision(listing.era, listing.revision), frozenset(self._stored), "store")

    def _apply_change(self, change: Change, era: int) -> None:
        domain = FailureDomain(change.stored.name)
        if change.removed:
            self._stored.discard(domain)
        else:
            self._stored.add(domain)

    def _adopt_changed(self, revision: int, era: int) -> None:
        # Changes since a listing of an earlier era don't lead to the set of this one.
        if era == self._stored_era:
            self._adopt(order_revision(era, revision), frozenset(self._stored), "store")

    def _adopt(self, order: int, domains: frozenset[FailureDomain], source: str) -> None:
        """Adopt a set if it is newer; ``source`` names its origin in the log."""
        if order <= self.order:
            return
        self.order = order
        self._watch.skip_first_listing()
        if self.is_known and domains == self.failure_domains:
            return
        self.is_known = True
        self.failure_domains = domains
        self._telemetry.counters.set_gauge("evacuations.failure_domains", len(domains))
        self._telemetry.events.write(
            "evacuations-known", failure_domains=sorted(domains), order=order, source=source
        )
        self._on_change()
        if self._watch_enabled.is_set():
            notice = self._make_notice()
            for _, link in self._list_links():
                link.send(notice)

    def _give_up_waiting(self) -> None:
        """Assume that no domain is evacuated, as neither the store nor a peer has told."""
        if self.is_known:
            return
        self.is_known = True
        self._telemetry.events.write(
            "evacuations-unknown", waited_ms=round(self._max_unknown_s * 1000)
        )
        self._on_change()

    def _make_notice(self) -> EvacuationNotice:
        return EvacuationNotice(self.order, sorted(self.failure_domains))
