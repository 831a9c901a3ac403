"""Limits on customers' calls over all nodes: this node's credits, and the limits it coordinates."""

import asyncio
from collections.abc import Callable, Iterable

from ragwort_common import CustomerName, NodeId
from ragwort_flow import (
    FIRST_CREDIT,
    REPORT_INTERVAL_S,
    SETTLE_S,
    CallLimit,
    EntryCredit,
    apply_grant,
    begin_session,
    choose_coordinator,
    count_recent,
    end_session,
    fill_first_credit,
    get_phase,
    give_back,
    is_low,
    is_session_needed,
    rank_coordinator,
    spend_credit,
)
from ragwort_model import Bounds, Customer
from ragwort_protocol import (
    CustomerUsage,
    LimitShare,
    LimitShares,
    LimitsReady,
    Message,
    UsageReport,
)

from ragwort_mesh._coordinated_limits import (
    NO_SESSION,
    SHARES_PER_MESSAGE,
    CoordinatedLimits,
)
from ragwort_mesh._telemetry import Telemetry

MAX_URGENT_REPORTS = 12
"""Maximum number of reports in an interval that are sent at once, when a credit runs low: with
their replies 96 messages a second of about 40 bytes, 4 of the 14 KB/s allowed for control traffic.
Others wait until the interval ends."""

REPEAT_INTERVALS = 4
"""Number of intervals after which a session without any grant is reported again: a coordinator with
an older configuration doesn't know the limit yet."""


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
        self._telemetry = telemetry
        self._clock = clock
        self._linked = {node}
        self._customers: dict[CustomerName, Customer] = {}
        self._limits: dict[CustomerName, CallLimit] = {}
        self._credits: dict[CustomerName, EntryCredit] = {}
        self._coordinator_nodes: dict[CustomerName, NodeId] = {}
        self._ranks: dict[CustomerName, bytes] = {}
        self._sessions: dict[CustomerName, tuple[int, int, int]] = {}
        self._session_number = 0
        self._reported: dict[CustomerName, CustomerUsage] = {}
        self._changed: set[CustomerName] = set()
        self._unanswered: set[CustomerName] = set()
        self._withdrawn: set[CustomerName] = set()
        self._review_count = 0
        self._urgent_reports = 0
        self._configured = False
        self._ready: set[NodeId] = set()
        self._ready_at: float | None = None
        self._coordinated = CoordinatedLimits(
            node,
            self._linked,
            self._coordinator_nodes,
            send,
            self._apply_shares,
            count_nodes,
            telemetry,
            clock,
        )

    def set_customers(self, customers: dict[CustomerName, Customer]) -> None:
        """Apply the customers of a configuration that has come into force."""
        self._customers = customers
        self._apply_limits()
        self._configured = True

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._apply_limits()

    def admit(self, customer: CustomerName, now: float, is_late: bool = False) -> float | None:
        """Admit a call and return None, or return the delay in seconds after which to try again.

        ``is_late`` tells that the call will miss its objective even if it is admitted.
        """
        limit = self._limits.get(customer)
        if limit is None:
            return None
        credit = self._credits[customer]
        if customer not in self._sessions:
            self._begin_session(customer, now)
            if self._coordinator_nodes[customer] in self._ready:
                credit.unanswered_at = now
        delay_s = spend_credit(credit, limit, now, is_late)
        self._changed.add(customer)
        if delay_s is not None:
            self._telemetry.counters.add("limits.refused")
        elif is_low(credit) and self._urgent_reports < MAX_URGENT_REPORTS:
            self._urgent_reports += 1
            self._report([customer], now)
        return delay_s

    def find_credit(self, customer: CustomerName) -> EntryCredit | None:
        """Return what calls of a customer are counted against now, None without a limit."""
        return self._credits.get(customer)

    def give_back(self, customer: CustomerName, credit: EntryCredit) -> None:
        """Return the credit of an admitted call that was refused as not run.

        ``credit`` is what the call was counted against. Since then the limit may have been removed
        or set anew, or the session may have ended; then no coordinator counts the call any more.
        """
        limit = self._limits.get(customer)
        if limit is None or self._credits[customer] is not credit:
            return
        if customer in self._sessions:
            give_back(credit, limit, self._clock())
            self._changed.add(customer)

    def open_link(self, node: NodeId) -> None:
        """Record that a node is linked, or linked anew; it may now rank highest."""
        self._coordinated.drop_entry(node)
        self._linked.add(node)
        self._ready.discard(node)
        moved = [
            customer
            for customer, current in self._coordinator_nodes.items()
            if current == node or rank_coordinator(customer, node) > self._ranks[customer]
        ]
        self._move(dict.fromkeys(moved, node))
        if self._node in self._ready:
            self._send(node, self._make_ready())

    def close_link(self, node: NodeId) -> None:
        """Choose other coordinators in place of a node that is no longer linked."""
        self._linked.discard(node)
        self._ready.discard(node)
        self._coordinated.drop_entry(node)
        moved = {
            customer: choose_coordinator(customer, self._linked)
            for customer, current in self._coordinator_nodes.items()
            if current == node
        }
        self._move(moved)

    def receive(self, node: NodeId, message: Message) -> None:
        """Handle a message of a linked node."""
        if type(message) is UsageReport:
            self._coordinated.receive(node, message.usages)
        elif type(message) is LimitShares:
            self._apply_shares(node, message.shares)
        elif type(message) is LimitsReady:
            self._apply_ready(node, message.short)

    def review(self) -> None:
        """Report to the coordinators, and grant credits; done at each interval."""
        now = self._clock()
        self._urgent_reports = 0
        self._review_count += 1
        for customer in self._sessions:
            credit = self._credits[customer]
            if credit.paced and credit.calls_per_s:
                # The coordinator must know that this entry, which uses a share, is in reach.
                phase = get_phase(customer, self._node) + 0.5
                intervals = credit.report_intervals
                if self._review_count % intervals == int(phase * intervals):
                    self._reported.pop(customer, None)
                    self._changed.add(customer)
                elif customer not in self._withdrawn:
                    self._changed.discard(customer)
        self._withdrawn.clear()
        if self._review_count % REPEAT_INTERVALS == 0:
            for customer in self._unanswered:
                self._reported.pop(customer, None)
            self._changed |= self._unanswered
        self._report([*self._changed], now)
        if self._ready_at is not None and now >= self._ready_at:
            self._announce_ready()
        self._coordinated.review()

    async def run(self) -> None:
        """Review the credits at each interval, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self._limits or self._coordinated.coordinators:
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
            self._drop_session(customer)
            for state in (self._credits, self._coordinator_nodes, self._ranks):
                del state[customer]
        self._coordinated.set_limits(limits)
        added = limits.keys() - self._limits.keys()
        if bool(limits) != bool(self._limits):
            self._ready_at = self._clock() + SETTLE_S if limits else None
            self._ready.discard(self._node)
        self._limits = limits
        for customer in added:
            credit = EntryCredit(
                granted=FIRST_CREDIT if self._configured else 0,
                tokens=get_phase(customer, self._node),
            )
            self._credits[customer] = credit
        self._move({customer: choose_coordinator(customer, self._linked) for customer in added})

    def _move(self, nodes: dict[CustomerName, NodeId]) -> None:
        """Choose other coordinators, or anew the same ones, for some customers.

        Only those get a report that must know of this entry. All others assume that it holds first
        credits, so that no message is due for a customer without calls here.
        """
        now = self._clock()
        left: dict[NodeId, list[CustomerUsage]] = {}
        continued = []
        for customer, node in nodes.items():
            credit = self._credits[customer]
            current = self._coordinator_nodes.get(customer, node)
            self._coordinator_nodes[customer] = node
            self._ranks[customer] = rank_coordinator(customer, node)
            if node == self._node:
                self._coordinated.start(customer)
            if customer in self._sessions:
                self._drop_session(customer)
                if current != node:
                    usage = CustomerUsage(customer, NO_SESSION, 0, 0, 0, 0)
                    left.setdefault(current, []).append(usage)
                if is_session_needed(credit, now, self._bounds.limit_window_s):
                    self._begin_session(customer, now)
                    continued.append(customer)
                else:
                    end_session(credit, now)
            if customer not in self._sessions and node in self._ready:
                fill_first_credit(credit)
        for node, usages in left.items():
            self._send_usages(node, usages)
        self._report(continued, now)

    def _drop_session(self, customer: CustomerName) -> None:
        self._sessions.pop(customer, None)
        self._reported.pop(customer, None)
        self._changed.discard(customer)
        self._unanswered.discard(customer)

    def _begin_session(self, customer: CustomerName, now: float) -> None:
        """Begin to report to the customer's coordinator."""
        credit = self._credits[customer]
        begin_session(credit, now)
        recent = count_recent(credit.recent, now, self._bounds.limit_window_s)
        self._session_number += 1
        self._sessions[customer] = (self._session_number, credit.held, recent)
        self._changed.add(customer)
        self._unanswered.add(customer)

    def _make_ready(self) -> LimitsReady:
        return LimitsReady(self._coordinated.list_short())

    def _announce_ready(self) -> None:
        """Allow for first credits at all nodes, now that all that hold credits have reported."""
        self._ready_at = None
        self._apply_ready(self._node, [])
        message = self._make_ready()
        for node in self._linked - {self._node}:
            self._send(node, message)

    def _apply_ready(self, node: NodeId, short: list[str]) -> None:
        self._ready.add(node)
        for customer, current in self._coordinator_nodes.items():
            if current == node and customer not in self._sessions:
                if customer in short:
                    self._withdraw(customer)
                else:
                    fill_first_credit(self._credits[customer])

    def _withdraw(self, customer: CustomerName) -> None:
        """Give up the credits held without a session, and begin one, which confirms that."""
        credit, now = self._credits[customer], self._clock()
        if not credit.paced:
            apply_grant(credit, now, credit.spent, credit.spent, 0.0, True)
        if customer not in self._sessions:
            self._begin_session(customer, now)
        self._changed.add(customer)

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
            self._coordinated.receive(node, usages)
        elif node in self._linked:
            self._telemetry.counters.add("limits.reports_sent")
            self._send(node, UsageReport(usages))

    def _apply_shares(self, node: NodeId, shares: list[LimitShare]) -> None:
        for share in shares:
            customer = CustomerName(share.customer)
            session = self._sessions.get(customer)
            if share.session == NO_SESSION:
                if self._coordinator_nodes.get(customer) == node:
                    self._withdraw(customer)
                    self._unanswered.discard(customer)
                else:
                    # It counts on credits here until it knows that there are none.
                    self._send_usages(node, [CustomerUsage(customer, NO_SESSION, 0, 0, 0, 0)])
                continue
            if session is None or session[0] != share.session:
                continue
            if self._coordinator_nodes[customer] != node:
                continue
            credit = self._credits[customer]
            reported = self._reported.get(customer)
            known = credit.granted if credit.paced and reported is not None else None
            apply_grant(
                credit,
                self._clock(),
                share.granted,
                share.covered,
                share.calls_per_s,
                share.paced,
            )
            self._unanswered.discard(customer)
            credit.report_intervals = share.report_intervals
            if share.paced and not (known == share.granted == reported.granted):
                # The coordinator counts withdrawn credits until it knows that they are not used.
                self._reported.pop(customer, None)
                self._changed.add(customer)
                self._withdrawn.add(customer)
