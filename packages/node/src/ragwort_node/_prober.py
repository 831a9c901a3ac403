"""Probes gates for their load when calls are made, and records their reports."""

import itertools
from collections.abc import Callable

from ragwort_common import Counters, NodeId
from ragwort_policy import (
    ProbeBudget,
    ProbeSettings,
    plan_probe,
)
from ragwort_protocol import Probe, ProbeReply

from ragwort_node._services import Services, ServiceState

SendProbe = Callable[[NodeId, Probe], int]


class Prober:
    """Sends probes within the byte budgets of this entry."""

    def __init__(
        self,
        services: Services,
        send: SendProbe,
        node_budget: ProbeBudget,
        cross_region_budget: ProbeBudget,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self._services = services
        self._send = send
        self._node_budget = node_budget
        self._cross_region_budget = cross_region_budget
        self._counters = counters
        self._clock = clock
        self._settings = ProbeSettings()
        self._ids = itertools.count(1)

    def probe(self, state: ServiceState) -> None:
        """Probe the server that needs a new report most, if the budget allows it."""
        now = self._clock()
        node = plan_probe(
            state.choice, self._node_budget, self._cross_region_budget, self._settings, now
        )
        if node is None:
            return
        sent_bytes = self._send(node, Probe(next(self._ids)))
        self._counters.add("watching.probe_bytes_out", sent_bytes)

    def receive(self, node: NodeId, reply: ProbeReply) -> None:
        """Record the load report in a probe reply."""
        self._services.record_report(node, reply.report, self._clock())
