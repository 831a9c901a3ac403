"""Tells the entries of other nodes how the load of this node's server shifts."""

import asyncio
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_flow import Distance
from ragwort_protocol import LoadReport

from ragwort_mesh._peers import Peers

INTERVAL_S = 0.05
"""How often entries are told of a load that has changed: half of the time for which it holds."""

EVERY = {Distance.SAME_DOMAIN: 1, Distance.SAME_REGION: 5}
"""With which rounds entries are told, by their distance. Bytes within a domain are free; between
domains they are paid for, and calls that go there are fewer. Entries of the other region hear of
the load with their answers only."""

INTEREST_S = {Distance.SAME_DOMAIN: 30.0, Distance.SAME_REGION: 0.5}
"""How long an entry is told after its last call; in its own domain it hears of the load of each
server that it may well call next."""

NEWS_PER_S = 400.0
"""Most messages a second: at 30 bytes, 12 KB of the 14 that control may take."""


LEAST_CHANGES = {"in_flight": 2, "slowdown_percent": 40, "wait_ms": 20, "failing_percent": 10}
"""Changes of a report's fields that entries are told of; smaller ones decide nothing."""


class LoadNews:
    """Owns which entries are told of the load, and what they were told.

    Parameters
    ----------
    find_distance
        Tells how far a node is; None when that is not known.
    """

    def __init__(
        self,
        peers: Peers,
        make_report: Callable[[], LoadReport],
        find_distance: Callable[[NodeId], Distance | None],
    ) -> None:
        self._peers = peers
        self._make_report = make_report
        self._find_distance = find_distance
        self._called_at: dict[Distance, dict[NodeId, float]] = {distance: {} for distance in EVERY}
        self._told: dict[Distance, LoadReport] = {}

    def note_call(self, node: NodeId | None) -> None:
        """Take in that a node's entry has sent a call."""
        distance = self._find_distance(node) if node is not None else None
        if node is not None and distance in EVERY:
            self._called_at[distance][node] = asyncio.get_running_loop().time()

    def tell_all(self) -> None:
        """Tell every node at once; done when the server starts or stops taking calls."""
        report = self._make_report()
        for _, link in self._peers.list_links():
            link.send(report)

    async def run(self) -> None:
        """Tell the entries that send calls here, until cancelled."""
        number = 0
        while True:
            interested = sum(len(nodes) for nodes in self._called_at.values())
            await asyncio.sleep(max(INTERVAL_S, interested / NEWS_PER_S))
            number += 1
            for distance, every in EVERY.items():
                if number % every == 0:
                    self._tell(distance)

    def _tell(self, distance: Distance) -> None:
        """Tell the interested entries at a distance, if there is news for them."""
        oldest = asyncio.get_running_loop().time() - INTEREST_S[distance]
        called_at = self._called_at[distance]
        for node in [node for node, at in called_at.items() if at < oldest]:
            del called_at[node]
        if not called_at:
            return
        report = self._make_report()
        told = self._told.get(distance)
        if told is not None and not _differs(report, told):
            return
        self._told[distance] = report
        for node in called_at:
            link = self._peers.find_link(node)
            if link is not None:
                link.send(report)


def _differs(report: LoadReport, told: LoadReport) -> bool:
    """Tell whether entries would choose otherwise for a change of the report."""
    if (report.accepting, report.limit) != (told.accepting, told.limit):
        return True
    return any(
        abs(getattr(report, name) - getattr(told, name)) >= least
        for name, least in LEAST_CHANGES.items()
    )
