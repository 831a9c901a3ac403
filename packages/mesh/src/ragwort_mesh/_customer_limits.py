"""Limits on customers' calls over all nodes: this node's credits, and the limits it coordinates."""

import asyncio
from collections.abc import Callable, Iterable

from ragwort_common import CustomerName, NodeId
from ragwort_flow import (
    CallLimit,
    EntryCredit,
    LimitCoordinator,
    add_entry,
    apply_grant,
    begin_session,
    choose_coordinator,
    count_recent,
    drop_entry,
    get_phase,
    give_back,
    is_low,
    plan_grants,
    rank_coordinator,
    record_usage,
    set_limit,
    set_part,
    spend_credit,
    start_coordinator,
)
from ragwort_model import Bounds, Customer
from ragwort_protocol import CustomerUsage, LimitShare, LimitShares, Message, UsageReport

from ragwort_mesh._telemetry import Telemetry

INTERVAL_S = 0.25
"""How often entries report and coordinators review all credits."""

MAX_URGENT_REPORTS = 12
"""Maximum number of reports in an interval that are sent at once, when a credit runs low: with
their replies 96 messages a second of about 40 bytes, 4 of the 14 KB/s allowed for control traffic.
Others wait until the interval ends."""

FIRST_CREDIT = 2
"""Calls that an entry may admit of a customer that gets a limit while the node runs, until it has
credits: its calls must not be refused meanwhile. After a start, a node waits for its credits, since
all nodes may have restarted at once."""

REPEAT_INTERVALS = 4
"""Number of intervals after which a session without any grant is reported again: a coordinator with
an older configuration doesn't know the limit yet."""

NO_SESSION = 0
"""Session number of an entry that no longer reports to a coordinator."""

SHARES_PER_MESSAGE = 1_000
"""Maximum number of customers in one message, which keeps it below the frame limit."""


class CustomerLimits:
    """Admits customers' calls, and coordinates the limits for which this node ranks highest.

    Parameters
    ----------
    send
        Sends a message to a linked node.
    count_nodes
        Returns how many nodes are known, linked or not, this one included.
    """

    def __init__(
        self,
        node: NodeId,
        bounds: Bounds,
        send: Callable[[NodeId, Message], None],
        count_nodes: Callable[[], int],
        telemetry: Telemetry,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._bounds = bounds
        self._send = send
        self._count_nodes = count_nodes
        self._telemetry = telemetry
        self._clock = clock
        self._linked = {node}
        self._customers: dict[CustomerName, Customer] = {}
        self._limits: dict[CustomerName, CallLimit] = {}
        self._credits: dict[CustomerName, EntryCredit] = {}
        self._coordinator_nodes: dict[CustomerName, NodeId] = {}
        self._sessions: dict[CustomerName, tuple[int, int, int]] = {}
        self._session_number = 0
        self._reported: dict[CustomerName, CustomerUsage] = {}
        self._changed: set[CustomerName] = set()
        self._unanswered: set[CustomerName] = set()
        self._review_count = 0
        self._coordinated: dict[CustomerName, LimitCoordinator] = {}
        self._entry_sessions: dict[tuple[CustomerName, NodeId], int] = {}
        self._urgent_reports = 0
        self._configured = False

    def set_customers(self, customers: dict[CustomerName, Customer]) -> None:
        """Apply the customers of a configuration that has come into force."""
        self._customers = customers
        self._apply_limits()
        self._configured = True

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._apply_limits()

    def admit(self, customer: CustomerName, now: float) -> float | None:
        """Admit a call and return None, or return the delay in seconds after which to try again."""
        limit = self._limits.get(customer)
        if limit is None:
            return None
        credit = self._credits[customer]
        delay_s = spend_credit(credit, limit, now)
        self._changed.add(customer)
        if delay_s is not None:
            self._telemetry.counters.add("limits.refused")
        elif is_low(credit) and self._urgent_reports < MAX_URGENT_REPORTS:
            self._urgent_reports += 1
            self._report([customer], now)
        return delay_s

    def give_back(self, customer: CustomerName) -> None:
        """Return the credit of an admitted call that was refused as not run."""
        limit = self._limits.get(customer)
        if limit is not None:
            give_back(self._credits[customer], limit, self._clock())
            self._changed.add(customer)

    def open_link(self, node: NodeId) -> None:
        """Record that a node is linked, or linked anew; it may now rank highest."""
        self._drop_entry(node)
        self._linked.add(node)
        moved = [
            customer
            for customer, current in self._coordinator_nodes.items()
            if current == node
            or rank_coordinator(customer, node) > rank_coordinator(customer, current)
        ]
        for customer in moved:
            self._begin_session(customer, node)
        self._report(moved, self._clock())

    def close_link(self, node: NodeId) -> None:
        """Choose other coordinators in place of a node that is no longer linked."""
        self._linked.discard(node)
        self._drop_entry(node)
        moved = [
            customer for customer, current in self._coordinator_nodes.items() if current == node
        ]
        for customer in moved:
            self._begin_session(customer, choose_coordinator(customer, self._linked))
        self._report(moved, self._clock())

    def receive(self, node: NodeId, message: Message) -> None:
        """Handle a message of a linked node."""
        if type(message) is UsageReport:
            self._receive_usages(node, message.usages)
        elif type(message) is LimitShares:
            self._apply_shares(node, message.shares)

    def review(self) -> None:
        """Report to the coordinators, and grant credits; done at each interval."""
        now = self._clock()
        self._urgent_reports = 0
        self._review_count += 1
        for customer, credit in self._credits.items():
            if credit.paced and credit.calls_per_s:
                # The coordinator must know that this entry, which uses a share, is in reach.
                self._reported.pop(customer, None)
                self._changed.add(customer)
        if self._review_count % REPEAT_INTERVALS == 0:
            for customer in self._unanswered:
                self._reported.pop(customer, None)
            self._changed |= self._unanswered
        self._report([*self._changed], now)
        grants: dict[NodeId, list[LimitShare]] = {}
        for customer, coordinator in list(self._coordinated.items()):
            if not coordinator.entries:
                del self._coordinated[customer]
                continue
            set_part(coordinator, now, self._get_part(customer))
            self._plan(customer, coordinator, now, None, grants)
        self._send_grants(grants)
        self._telemetry.counters.set_gauge("limits.coordinated", len(self._coordinated))

    async def run(self) -> None:
        """Review the credits at each interval, until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if self._limits or self._coordinated:
                self.review()

    def _apply_limits(self) -> None:
        bounds = self._bounds
        limits = {
            customer.name: CallLimit(
                customer.calls_per_s,
                customer.burst,
                bounds.limit_window_s,
                bounds.limit_excess,
                bounds.limit_slack,
            )
            for customer in self._customers.values()
            if customer.calls_per_s
        }
        for customer in self._limits.keys() - limits.keys():
            for state in (self._credits, self._coordinator_nodes, self._sessions):
                del state[customer]
            self._reported.pop(customer, None)
            self._changed.discard(customer)
            self._unanswered.discard(customer)
            self._drop_coordinator(customer)
        added = limits.keys() - self._limits.keys()
        self._limits = limits
        for customer in added:
            credit = EntryCredit(
                granted=FIRST_CREDIT if self._configured else 0,
                tokens=get_phase(customer, self._node),
            )
            self._credits[customer] = credit
            self._begin_session(customer, choose_coordinator(customer, self._linked))
        for customer, coordinator in self._coordinated.items():
            set_limit(coordinator, self._clock(), limits[customer])

    def _drop_coordinator(self, customer: CustomerName) -> None:
        coordinator = self._coordinated.pop(customer, None)
        for node in coordinator.entries if coordinator is not None else ():
            del self._entry_sessions[customer, node]

    def _drop_entry(self, node: NodeId) -> None:
        for customer, coordinator in self._coordinated.items():
            if self._entry_sessions.pop((customer, node), None) is not None:
                drop_entry(coordinator, node)

    def _begin_session(self, customer: CustomerName, node: NodeId) -> None:
        """Begin to report to another coordinator, or anew to the same one."""
        current = self._coordinator_nodes.get(customer)
        if current is not None and current != node:
            left = CustomerUsage(customer, NO_SESSION, 0, 0, 0, 0)
            self._send_usages(current, [left])
        credit = self._credits[customer]
        now = self._clock()
        begin_session(credit, now)
        recent = count_recent(credit.recent, now, self._bounds.limit_window_s)
        self._session_number += 1
        self._coordinator_nodes[customer] = node
        self._sessions[customer] = (self._session_number, credit.held, recent)
        self._reported.pop(customer, None)
        self._changed.add(customer)
        self._unanswered.add(customer)

    def _report(self, customers: Iterable[CustomerName], now: float) -> None:
        reports: dict[NodeId, list[CustomerUsage]] = {}
        for customer in customers:
            self._changed.discard(customer)
            credit = self._credits[customer]
            session, held, recent = self._sessions[customer]
            usage = CustomerUsage(
                customer,
                session,
                credit.arrived,
                credit.admitted,
                credit.spent,
                credit.granted,
                held,
                recent,
            )
            if usage != self._reported.get(customer):
                self._reported[customer] = usage
                # A new coordinator doesn't reply until it knows all entries.
                if credit.unanswered_at is None and customer not in self._unanswered:
                    credit.unanswered_at = now
                reports.setdefault(self._coordinator_nodes[customer], []).append(usage)
        for node, usages in reports.items():
            for start in range(0, len(usages), SHARES_PER_MESSAGE):
                self._send_usages(node, usages[start : start + SHARES_PER_MESSAGE])

    def _send_usages(self, node: NodeId, usages: list[CustomerUsage]) -> None:
        if node == self._node:
            self._receive_usages(node, usages)
        elif node in self._linked:
            self._telemetry.counters.add("limits.reports_sent")
            self._send(node, UsageReport(usages))

    def _receive_usages(self, node: NodeId, usages: list[CustomerUsage]) -> None:
        now = self._clock()
        grants: dict[NodeId, list[LimitShare]] = {}
        for usage in usages:
            customer = CustomerName(usage.customer)
            limit = self._limits.get(customer)
            if limit is None:
                # This node has another version of the configuration; the entry reports again.
                continue
            coordinator = self._coordinated.get(customer)
            if usage.session == NO_SESSION:
                if self._entry_sessions.pop((customer, node), None) is not None:
                    drop_entry(self._coordinated[customer], node)
                continue
            if coordinator is None:
                coordinator = self._coordinated[customer] = start_coordinator(limit, now)
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
            served = len(self._coordinated[customer].entries)
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
        for node, grant in plan_grants(coordinator, now, reporter).items():
            session = self._entry_sessions[customer, node]
            share = LimitShare(
                customer, session, grant.granted, grant.covered, grant.calls_per_s, grant.paced
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

    def _apply_shares(self, node: NodeId, shares: list[LimitShare]) -> None:
        for share in shares:
            customer = CustomerName(share.customer)
            session = self._sessions.get(customer)
            if session is None or session[0] != share.session:
                continue
            if self._coordinator_nodes[customer] != node:
                continue
            credit = self._credits[customer]
            apply_grant(
                credit,
                self._clock(),
                share.granted,
                share.covered,
                share.calls_per_s,
                share.paced,
            )
            self._unanswered.discard(customer)
            if share.paced:
                # The coordinator counts withdrawn credits until it knows that they are not used.
                self._reported.pop(customer, None)
                self._changed.add(customer)
