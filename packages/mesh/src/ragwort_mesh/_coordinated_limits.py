"""The customers' limits that this node coordinates: sessions with entries, and their grants."""

from collections.abc import Callable

from ragwort_common import CustomerName, NodeId
from ragwort_flow import (
    CallLimit,
    LimitCoordinator,
    add_entry,
    drop_entry,
    plan_grants,
    record_usage,
    set_limit,
    set_part,
    start_coordinator,
)
from ragwort_protocol import CustomerUsage, LimitShare, LimitShares, Message

from ragwort_mesh._telemetry import Telemetry

SHARES_PER_MESSAGE = 1_000
"""Maximum number of customers in one message, which keeps it below the frame limit."""

NO_SESSION = 0
"""Session number of an entry that does not report to a coordinator, or no longer."""


class CoordinatedLimits:
    """Coordinators of the limits for which this node ranks highest at some entry.

    Parameters
    ----------
    linked, coordinator_nodes
        Linked nodes, this one included, and the node that ranks highest for each customer; both
        are kept up to date by ``CustomerLimits``.
    send, apply_shares
        Send a message to a linked node, and apply shares of this node's own entry.
    count_nodes
        Returns how many nodes are known, linked or not, this one included.

    Attributes
    ----------
    coordinators
        The coordinators by customer.
    """

    def __init__(
        self,
        node: NodeId,
        linked: set[NodeId],
        coordinator_nodes: dict[CustomerName, NodeId],
        send: Callable[[NodeId, Message], None],
        apply_shares: Callable[[NodeId, list[LimitShare]], None],
        count_nodes: Callable[[], int],
        telemetry: Telemetry,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._linked = linked
        self._coordinator_nodes = coordinator_nodes
        self._send = send
        self._apply_shares = apply_shares
        self._count_nodes = count_nodes
        self._telemetry = telemetry
        self._clock = clock
        self._limits: dict[CustomerName, CallLimit] = {}
        self._entry_sessions: dict[tuple[CustomerName, NodeId], int] = {}
        self.coordinators: dict[CustomerName, LimitCoordinator] = {}

    def set_limits(self, limits: dict[CustomerName, CallLimit]) -> None:
        """Apply changed limits at once, and coordinate no longer those that were removed."""
        self._limits = limits
        for customer in self.coordinators.keys() - limits.keys():
            coordinator = self.coordinators.pop(customer)
            for node in coordinator.entries:
                self._entry_sessions.pop((customer, node), None)
        for customer, coordinator in self.coordinators.items():
            set_limit(coordinator, self._clock(), limits[customer])

    def start(self, customer: CustomerName) -> None:
        """Begin to coordinate a limit for which this node now ranks highest."""
        if customer not in self.coordinators:
            coordinator = start_coordinator(self._limits[customer], self._clock())
            self.coordinators[customer] = coordinator

    def list_short(self) -> list[str]:
        """Return the customers that are over their limits."""
        return [name for name, coordinator in self.coordinators.items() if coordinator.short]

    def drop_entry(self, node: NodeId) -> None:
        """Forget the sessions of a node that is out of reach or linked anew."""
        for customer, coordinator in self.coordinators.items():
            self._entry_sessions.pop((customer, node), None)
            drop_entry(coordinator, node)

    def review(self) -> None:
        """Grant credits to all entries; done at each interval."""
        now = self._clock()
        grants: dict[NodeId, list[LimitShare]] = {}
        for customer, coordinator in list(self.coordinators.items()):
            if not coordinator.entries and self._coordinator_nodes[customer] != self._node:
                del self.coordinators[customer]
                continue
            set_part(coordinator, now, self._get_part(customer))
            self._plan(customer, coordinator, now, None, grants)
        self._send_grants(grants)
        self._telemetry.counters.set_gauge("limits.coordinated", len(self.coordinators))

    def receive(self, node: NodeId, usages: list[CustomerUsage]) -> None:
        """Apply the reports of an entry, and reply."""
        now = self._clock()
        grants: dict[NodeId, list[LimitShare]] = {}
        for usage in usages:
            customer = CustomerName(usage.customer)
            limit = self._limits.get(customer)
            if limit is None:
                # This node has another version of the configuration; the entry reports again.
                continue
            coordinator = self.coordinators.get(customer)
            if usage.session == NO_SESSION:
                self._entry_sessions.pop((customer, node), None)
                if coordinator is not None:
                    drop_entry(coordinator, node)
                continue
            if coordinator is None:
                coordinator = self.coordinators[customer] = start_coordinator(limit, now)
            if self._entry_sessions.get((customer, node)) != usage.session:
                self._entry_sessions[customer, node] = usage.session
                add_entry(coordinator, now, node, usage.held, usage.recent)
            set_part(coordinator, now, self._get_part(customer))
            record_usage(
                coordinator,
                now,
                node,
                usage.arrived,
                usage.admitted,
                usage.spent,
                usage.granted,
            )
            self._plan(customer, coordinator, now, node, grants)
        self._send_grants(grants)

    def _get_part(self, customer: CustomerName) -> float:
        """Return the part of the limit that this node divides as a coordinator.

        A node that ranks highest of those that it is linked to serves all of them; another one only
        the entries that can't reach that one.
        """
        if self._coordinator_nodes[customer] == self._node:
            served = len(self._linked)
        else:
            served = len(self.coordinators[customer].entries)
        return min(1.0, served / max(1, self._count_nodes(), len(self._linked)))

    def _plan(
        self,
        customer: CustomerName,
        coordinator: LimitCoordinator,
        now: float,
        reporter: NodeId | None,
        grants: dict[NodeId, list[LimitShare]],
    ) -> None:
        was_short = coordinator.short
        others = self._linked if self._coordinator_nodes[customer] == self._node else ()
        for node, grant in plan_grants(coordinator, now, reporter, others).items():
            session = self._entry_sessions.get((customer, node), NO_SESSION)
            if session == NO_SESSION and not grant.paced:
                # It begins a session since its credits were withdrawn, and gets others then.
                drop_entry(coordinator, node)
                continue
            share = LimitShare(
                customer,
                session,
                grant.granted,
                grant.covered,
                grant.calls_per_s,
                grant.paced,
                grant.report_intervals,
            )
            grants.setdefault(node, []).append(share)
        if coordinator.short != was_short:
            self._telemetry.counters.add("limits.shortages", int(coordinator.short))
            event = "customer-short" if coordinator.short else "customer-calm"
            self._telemetry.events.write(
                event,
                customer=customer,
                tokens=round(coordinator.tokens, 1),
                demand=round(coordinator.demand, 1),
                demand_age_ms=round((now - coordinator.demand_at) * 1000),
                limit=coordinator.limit.calls_per_s,
                part=round(coordinator.part, 3),
                entries=len(coordinator.entries),
            )

    def _send_grants(self, grants: dict[NodeId, list[LimitShare]]) -> None:
        for node, shares in grants.items():
            if node == self._node:
                self._apply_shares(node, shares)
                continue
            for start in range(0, len(shares), SHARES_PER_MESSAGE):
                self._telemetry.counters.add("limits.grants_sent")
                self._send(node, LimitShares(shares[start : start + SHARES_PER_MESSAGE]))
