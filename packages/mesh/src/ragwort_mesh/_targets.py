"""What this entry knows of the servers of each service."""

from collections.abc import Iterable

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_flow import Distance, Target, find_distance, take_report
from ragwort_model import NodeRecord
from ragwort_protocol import LoadReport


class Targets:
    """Owns the knowledge of every server; what is known of one that stays is kept."""

    def __init__(self, failure_domain: FailureDomain, region: Region) -> None:
        self._place = (failure_domain, region)
        self._nodes: dict[NodeId, tuple[NodeRecord, Target]] = {}
        self._services: dict[ServiceName, list[Target]] = {}
        self._early: dict[NodeId, tuple[float, LoadReport]] = {}

    def set_records(self, records: dict[NodeId, NodeRecord]) -> None:
        """Set the nodes beside whose servers calls may run."""
        nodes: dict[NodeId, tuple[NodeRecord, Target]] = {}
        self._services = {}
        for node, record in records.items():
            known = self._nodes.get(node)
            if known is not None and known[0] == record:
                target = known[1]
            else:
                place = (record.failure_domain, record.region)
                target = Target(node, find_distance(self._place, place))
                if node in self._early:
                    take_report(target, *self._early.pop(node))
            nodes[node] = (record, target)
            self._services.setdefault(record.service, []).append(target)
        self._nodes = nodes

    def list_targets(self, service: ServiceName) -> Iterable[Target]:
        """Return the servers of a service."""
        return self._services.get(service, ())

    def find_distance(self, node: NodeId) -> Distance | None:
        """Return how far a node is, or None for one without a record."""
        known = self._nodes.get(node)
        return known[1].distance if known is not None else None

    def count_nodes(self) -> int:
        """Return how many nodes are known."""
        return len(self._nodes)

    def take_report(self, node: NodeId, now: float, report: LoadReport) -> None:
        """Take in a gate's report; a peer may speak before its record is known."""
        known = self._nodes.get(node)
        if known is not None:
            take_report(known[1], now, report)
        else:
            self._early[node] = (now, report)

    def forget_early(self, node: NodeId) -> None:
        """Drop what a peer without a record has said, once its link has ended."""
        self._early.pop(node, None)
