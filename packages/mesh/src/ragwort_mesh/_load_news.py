"""Tells the entries of other nodes how the load of this node's server shifts."""

import asyncio
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_protocol import LoadReport

from ragwort_mesh._peers import Peers

INTERVAL_S = 0.05
"""How often entries are told of a load that has changed: half of the time for which it holds."""

INTEREST_S = 2.0
"""How long an entry is told after its last call."""

NEWS_PER_S = 400.0
"""Most messages a second: at 30 bytes, 12 KB of the 14 that control may take."""


LEAST_CHANGES = {"in_flight": 2, "slowdown_percent": 40, "wait_ms": 20, "failing_percent": 10}
"""Changes of a report's fields that entries are told of; smaller ones decide nothing."""


class LoadNews:
    """Owns which entries are told of the load, and what they were told.

    Parameters
    ----------
    is_near
        Tells whether a node is in this region; others hear of the load with their answers only,
        since the bytes between regions are paid for.
    """

    def __init__(
        self,
        peers: Peers,
        make_report: Callable[[], LoadReport],
        is_near: Callable[[NodeId], bool],
    ) -> None:
        self._peers = peers
        self._make_report = make_report
        self._is_near = is_near
        self._called_at: dict[NodeId, float] = {}
        self._told: LoadReport | None = None

    def note_call(self, node: NodeId | None) -> None:
        """Take in that a node's entry has sent a call."""
        if node is not None and self._is_near(node):
            self._called_at[node] = asyncio.get_running_loop().time()

    def tell_all(self) -> None:
        """Tell every node at once; done when the server starts or stops taking calls."""
        report = self._make_report()
        for _, link in self._peers.list_links():
            link.send(report)

    async def run(self) -> None:
        """Tell the entries that send calls here, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(max(INTERVAL_S, len(self._called_at) / NEWS_PER_S))
            now = loop.time()
            for node, called_at in list(self._called_at.items()):
                if now - called_at > INTEREST_S:
                    del self._called_at[node]
            report = self._make_report()
            if self._told is not None and not _differs(report, self._told):
                continue
            self._told = report
            for node in self._called_at:
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
