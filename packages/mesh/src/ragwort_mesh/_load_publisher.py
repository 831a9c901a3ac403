"""Sends load reports of this node's server to the entries of other nodes."""

import asyncio
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_flow import Distance
from ragwort_protocol import LoadReport

from ragwort_mesh._peers import Peers

INTERVAL_S = 0.05
"""How often changed load is reported: half of the time for which a report is valid."""

SEND_EVERY_ROUNDS = {Distance.SAME_DOMAIN: 1, Distance.SAME_REGION: 5}
"""Every how many rounds reports are sent, by the distance of the entry. Traffic within a domain is
free; between domains it is billed, and fewer calls go there. Entries in the other region get
reports only with the replies to their calls."""

SEND_AFTER_CALL_S = {Distance.SAME_DOMAIN: 30.0, Distance.SAME_REGION: 0.5}
"""How long an entry gets reports after its last call. It is longer within a domain, so that an
entry knows the load of every server there that it is likely to call next."""

MAX_REPORTS_PER_S = 400.0
"""Maximum rate of reports: at 30 bytes each, 12 of the 14 KB/s allowed for control traffic."""


MIN_CHANGES = {"in_flight": 2, "slowdown_percent": 40, "wait_ms": 20, "failing_percent": 10}
"""Minimum changes of a report's fields that are sent; smaller ones don't affect routing."""


class LoadPublisher:
    """Tracks which entries get load reports, and the report last sent to them.

    Parameters
    ----------
    find_distance
        Returns the distance to a node, or None if it is not known.
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
        self._called_at: dict[Distance, dict[NodeId, float]] = {
            distance: {} for distance in SEND_EVERY_ROUNDS
        }
        self._last_sent: dict[Distance, LoadReport] = {}

    def record_call(self, node: NodeId | None) -> None:
        """Record that a node's entry has sent a call."""
        distance = self._find_distance(node) if node is not None else None
        if node is not None and distance in SEND_EVERY_ROUNDS:
            self._called_at[distance][node] = asyncio.get_running_loop().time()

    def broadcast(self) -> None:
        """Send a report to every node; done when the server starts or stops accepting calls."""
        report = self._make_report()
        for _, link in self._peers.list_links():
            link.send(report)

    async def run(self) -> None:
        """Send reports to the entries that send calls here, until cancelled."""
        round_number = 0
        while True:
            interested = sum(len(nodes) for nodes in self._called_at.values())
            await asyncio.sleep(max(INTERVAL_S, interested / MAX_REPORTS_PER_S))
            round_number += 1
            for distance, rounds in SEND_EVERY_ROUNDS.items():
                if round_number % rounds == 0:
                    self._publish(distance)

    def _publish(self, distance: Distance) -> None:
        """Send a report to the interested entries at a distance, if it differs from the last."""
        oldest = asyncio.get_running_loop().time() - SEND_AFTER_CALL_S[distance]
        called_at = self._called_at[distance]
        for node in [node for node, at in called_at.items() if at < oldest]:
            del called_at[node]
        if not called_at:
            return
        report = self._make_report()
        last = self._last_sent.get(distance)
        if last is not None and not _differs(report, last):
            return
        self._last_sent[distance] = report
        for node in called_at:
            link = self._peers.find_link(node)
            if link is not None:
                link.send(report)


def _differs(report: LoadReport, last: LoadReport) -> bool:
    """Return whether a report differs enough from the last one to affect routing."""
    if (report.accepting, report.limit) != (last.accepting, last.limit):
        return True
    return any(
        abs(getattr(report, name) - getattr(last, name)) >= minimum
        for name, minimum in MIN_CHANGES.items()
    )
