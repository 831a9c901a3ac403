"""Known servers of each service, with their latest load reports."""

from collections.abc import Iterable

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_flow import Distance, Target, find_distance, update_report
from ragwort_model import NodeRecord
from ragwort_protocol import LoadReport


class Targets:
    """Holds the targets of each service; a target survives updates that leave its record as is."""

    def __init__(self, failure_domain: FailureDomain, region: Region) -> None:
        self._location = (failure_domain, region)
        self._nodes: dict[NodeId, tuple[NodeRecord, Target]] = {}
        self._services: dict[ServiceName, list[Target]] = {}
        self._early_reports: dict[NodeId, tuple[float, LoadReport]] = {}

    def set_records(self, records: dict[NodeId, NodeRecord]) -> None:
        """Replace the records of the nodes whose servers may get calls."""
        nodes: dict[NodeId, tuple[NodeRecord, Target]] = {}
        self._services = {}
        for node, record in records.items():
            known = self._nodes.get(node)
            if known is not None and known[0] == record:
                target = known[1]
            else:
                location = (record.failure_domain, record.region)
                target = Target(
                    node,
                    find_distance(self._location, location),
                    failure_domain=record.failure_domain,
                    region=record.region,
                )
                if node in self._early_reports:
                    update_report(target, *self._early_reports.pop(node))
            nodes[node] = (record, target)
            self._services.setdefault(record.service, []).append(target)
        self._nodes = nodes

    def list_targets(self, service: ServiceName) -> Iterable[Target]:
        """Return the servers of a service."""
        return self._services.get(service, ())

    def find_distance(self, node: NodeId) -> Distance | None:
        """Return the distance to a node, or None if it has no record."""
        known = self._nodes.get(node)
        return known[1].distance if known is not None else None

    def count_nodes(self) -> int:
        """Return how many nodes are known."""
        return len(self._nodes)

    def update_report(self, node: NodeId, now: float, report: LoadReport) -> None:
        """Apply a gate's load report, or keep it until the node's record arrives."""
        known = self._nodes.get(node)
        if known is not None:
            update_report(known[1], now, report)
        else:
            self._early_reports[node] = (now, report)

    def drop_early_report(self, node: NodeId) -> None:
        """Drop the report of a peer without a record, once its link has closed."""
        self._early_reports.pop(node, None)
