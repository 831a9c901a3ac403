"""Limit on a customer's calls over all nodes: how its coordinator divides it.

The coordinator keeps the customer's token bucket, from which it takes the calls that entries report
as admitted. In calm, every entry holds a few credits, and those with recent calls hold the bucket's
content in proportion, so that all may admit calls the moment they arrive. When the bucket would be
empty before entries could react, the customer is short: all credits are withdrawn, and the entries
get shares of the rate in proportion to their demand.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwort_common import NodeId

from ragwort_flow._customer_limit import (
    FIRST_CREDIT,
    SLOTS_PER_WINDOW,
    CallLimit,
    RecentCalls,
    count_recent,
    record_calls,
    subtract_recent,
)

REACTION_S = 0.1
"""Time from a call until all entries know of the shortage that it causes: a report and a grant
between regions (30 ms each), and the delays of two event loops."""

TOLERANCE_FRACTION = 0.4
"""Fraction of the tolerance by which the bucket may be overdrawn. The rest covers calls that are
admitted while a shortage is being announced."""

SHARED_EXCESS = 0.25
"""Fraction of the excess that is added to the rate while it is shared. Entries with small shares
can't use them up, and without it fewer calls than the limit allows would be admitted."""

CATCH_UP_S = 0.5
"""Time in which the shares use up what is left in the bucket."""

MAX_CATCH_UP = 0.25
"""Maximum fraction of the rate that is added for that: entries out of reach keep their shares."""

WINDOW_RANGE = (0.2, 0.5)
"""Fractions of the tolerance that the calls of a window may use: from the first on, a customer is
short in any case, and from there to the second its shares shrink to zero. The rest covers calls
that are not yet reported."""

CREDIT_RATIO = 8.0
"""Further credits of an entry, as a multiple of the calls that its share brings in ``REACTION_S``.
With 1.35 calls a second per node and 2 credits, 11 of 4,647 calls were refused below the limit."""

SETTLE_S = 0.35
"""How long a new coordinator grants nothing: entries choose it and report within one interval."""

DEMAND_S = 0.5
"""Time over which the demand is averaged."""

MAX_WEIGHT = 200.0
"""Sum of the entries' weights above which all are halved, so that they follow the latest calls and
stay as they are while there are none."""

MIN_WEIGHT_S = 4.0
"""Minimum time in which calls bring that sum. At 450 calls a second and 67 entries, 200 calls are 3
per entry, too few to tell its demand: 11 of 22,610 calls were refused below the limit."""

LASTING_DEMAND = 1.5
"""Demand, in relation to the rate, above which a shortage of many entries goes on although some of
the bucket is unused. At 300 nodes it ended and began again twice a second, with 600 messages."""

SILENT_S = 0.8
"""After this long without a report, the share of an entry stays reserved for it: it is out of reach
and still goes by the share. Entries with a share report at each interval of 0.25 s."""

MIN_CHANGE = 0.2
"""Minimum relative change of a share that is sent."""

MAX_RATE_CHANGE = 0.3
"""Relative change of the rate that is divided, above which all shares are sent at once; else an
entry's share follows when it has reported."""

REPORT_INTERVAL_S = 0.25
"""Interval of reports and reviews."""

MAX_REPORT_INTERVALS = 6
"""Maximum number of intervals between the reports of an entry with a share. At 700 nodes and 100
calls a second a jump exceeds the bound of 625 calls by 3 with 8, a jump and a cut by 70 with 15."""

ENTRIES_PER_INTERVAL = 50
"""Number of entries with a share that report in one interval: with more, each reports less
often, so that a short customer costs its coordinator 200 reports of 30 bytes a second. At 300 nodes
it took 1,200 reports and 1,000 grants a second, five times the 14 KB/s allowed for control."""


@dataclass(slots=True)
class EntryUsage:
    """What a coordinator knows of an entry, in one session.

    Attributes
    ----------
    admitted, spent, arrived, heard_at
        Totals of the latest report, and when it came.
    granted, calls_per_s
        Total of the credits granted, and share of the rate, as last sent.
    outdated
        Whether the entry goes by another total than the one granted, by its latest report.
    exposed
        Credits that have been withdrawn, until the entry is known to go without them.
    weight
        Number of recent calls, which fades as further calls arrive.
    report_intervals
        Intervals between its reports while it has a share, as last sent.
    recent
        Calls reported in the last window.
    """

    heard_at: float
    granted: int
    admitted: int = 0
    spent: int = 0
    arrived: int = 0
    calls_per_s: float = 0.0
    outdated: bool = True
    exposed: int = 0
    weight: float = 0.0
    report_intervals: int = 1
    recent: RecentCalls = field(default_factory=RecentCalls)


@dataclass(frozen=True, slots=True)
class Grant:
    """An entry's total of credits, its share of the rate, and whether it must keep to the share.

    The total ``covered`` leaves out credits that the customer's bucket does not cover.
    """

    granted: int
    covered: int
    calls_per_s: float
    paced: bool
    report_intervals: int = 1


@dataclass(slots=True)
class LimitCoordinator:
    """A customer's token bucket and the entries that draw on it.

    Attributes
    ----------
    part
        Part of the limit that this coordinator divides; less than 1 if nodes are out of reach.
    settled_at
        From when credits are granted, in seconds.
    tokens, updated
        Content of the bucket as of a time; negative if overdrawn.
    reserved
        Calls per second by the shares of entries that are out of reach.
    exposed, weight
        Sums of the entries' values.
    recent
        Calls reported in the last window.
    demand, demand_at
        Arrived calls, fading with ``DEMAND_S``, as of a time.
    short
        Whether the demand exceeds the limit.
    shared_rate, report_intervals
        Rate in calls per second of which all entries have their shares, and intervals between the
        reports of each.
    """

    limit: CallLimit
    settled_at: float
    part: float = 1.0
    tokens: float = 0.0
    updated: float = 0.0
    reserved: float = 0.0
    exposed: int = 0
    recent: RecentCalls = field(default_factory=RecentCalls)
    demand: float = 0.0
    demand_at: float = 0.0
    short: bool = False
    shared_rate: float = 0.0
    report_intervals: int = 1
    settled: bool = False
    entries: dict[NodeId, EntryUsage] = field(default_factory=dict)
    weight: float = 0.0


def start_coordinator(limit: CallLimit, now: float) -> LimitCoordinator:
    """Return a coordinator with an empty bucket."""
    return LimitCoordinator(limit, now + SETTLE_S, updated=now, demand_at=now)


def add_entry(
    coordinator: LimitCoordinator, now: float, node: NodeId, held: int, recent: int
) -> None:
    """Begin a session with an entry; ``recent`` calls were admitted there in the last window."""
    former = coordinator.entries.get(node)
    drop_entry(coordinator, node)
    usage = coordinator.entries[node] = EntryUsage(now, held)
    if former is not None and not (held or former.granted or former.calls_per_s):
        # Its first credits are withdrawn, for which it has begun the session.
        usage.outdated = former.outdated
    window_s = coordinator.limit.window_s
    for index in range(SLOTS_PER_WINDOW):
        # When they were admitted isn't known: evenly over the window, the earliest calls first.
        count = recent * (index + 1) // SLOTS_PER_WINDOW - recent * index // SLOTS_PER_WINDOW
        if count:
            at = now - window_s + (index + 1) * window_s / SLOTS_PER_WINDOW
            _record_calls(coordinator, usage, at, count)


def drop_entry(coordinator: LimitCoordinator, node: NodeId) -> None:
    """Forget an entry that is out of reach or reports to another coordinator, and its calls."""
    usage = coordinator.entries.pop(node, None)
    if usage is not None:
        coordinator.weight -= usage.weight
        coordinator.exposed -= usage.exposed
        subtract_recent(coordinator.recent, usage.recent)


def set_part(coordinator: LimitCoordinator, now: float, part: float) -> None:
    """Set the part of the limit that this coordinator divides."""
    if part != coordinator.part:
        _refill(coordinator, now)
        coordinator.part = part
        _refill(coordinator, now)


def set_limit(coordinator: LimitCoordinator, now: float, limit: CallLimit) -> None:
    """Apply a changed limit at once."""
    _refill(coordinator, now)
    if limit.window_s != coordinator.limit.window_s:
        coordinator.recent = RecentCalls()
        for usage in coordinator.entries.values():
            usage.recent = RecentCalls()
    coordinator.limit = limit
    _refill(coordinator, now)


def record_usage(
    coordinator: LimitCoordinator,
    now: float,
    node: NodeId,
    arrived: int,
    admitted: int,
    spent: int,
    granted: int,
) -> None:
    """Apply the totals that an entry reports; ``granted`` is the total that it goes by."""
    usage = coordinator.entries[node]
    count, demand = admitted - usage.admitted, arrived - usage.arrived
    _refill(coordinator, now)
    coordinator.tokens -= count
    # Entries that report less often admitted the calls since their last report, not just now.
    late = coordinator.short and usage.report_intervals > 1 and usage.heard_at < now
    _record_calls(coordinator, usage, (usage.heard_at + now) / 2 if late else now, count)
    coordinator.demand = max(0.0, _fade_demand(coordinator, now) + demand)
    coordinator.demand_at = now
    usage.heard_at = now
    usage.admitted, usage.spent, usage.arrived = admitted, spent, arrived
    # A grant may be lost, or the report may have crossed it.
    usage.outdated |= granted != usage.granted
    if granted == usage.granted:
        _set_exposed(coordinator, usage, 0)
    # The entry may have gone on while its credit was being withdrawn; the bucket has paid for that.
    usage.granted = max(usage.granted, spent)
    weight = max(0.0, usage.weight + demand)
    coordinator.weight += weight - usage.weight
    usage.weight = weight
    if coordinator.weight > max(MAX_WEIGHT, coordinator.demand / DEMAND_S * MIN_WEIGHT_S):
        for other in coordinator.entries.values():
            other.weight /= 2
        coordinator.weight = sum(other.weight for other in coordinator.entries.values())


def plan_grants(
    coordinator: LimitCoordinator,
    now: float,
    reporter: NodeId | None = None,
    others: Iterable[NodeId] = (),
) -> dict[NodeId, Grant]:
    """Return what changes for which entries.

    Parameters
    ----------
    reporter
        The entry that has just reported; None at regular intervals, when all are reviewed.
    others
        Nodes in reach; those without a session hold first credits, which a shortage withdraws.
    """
    if now < coordinator.settled_at:
        return {}
    _refill(coordinator, now)
    if not coordinator.settled:
        coordinator.settled = True
        coordinator.tokens = _estimate_tokens(coordinator, now)
    was_short = coordinator.short
    coordinator.short = _is_short(coordinator, now)
    if coordinator.short != was_short:
        if coordinator.short:
            for node in others:
                if node not in coordinator.entries:
                    add_entry(coordinator, now, node, FIRST_CREDIT, 0)
        coordinator.shared_rate = 0.0
        for usage in coordinator.entries.values():
            usage.outdated = True
    elif reporter is not None and coordinator.short:
        return {}
    elif reporter is not None:
        return _grant_in_calm(coordinator, [reporter], replies=True)
    coordinator.reserved = 0.0
    if coordinator.short:
        return _share_rate(coordinator, now)
    return _grant_in_calm(coordinator, coordinator.entries)


def _record_calls(coordinator: LimitCoordinator, usage: EntryUsage, now: float, count: int) -> None:
    window_s = coordinator.limit.window_s
    count_recent(usage.recent, now, window_s)
    for recent in (coordinator.recent, usage.recent):
        record_calls(recent, now, window_s, count)


def _set_exposed(coordinator: LimitCoordinator, usage: EntryUsage, exposed: int) -> None:
    coordinator.exposed += exposed - usage.exposed
    usage.exposed = exposed


def _refill(coordinator: LimitCoordinator, now: float) -> None:
    limit, part = coordinator.limit, coordinator.part
    gained = (now - coordinator.updated) * (limit.calls_per_s * part - coordinator.reserved)
    floor = -limit.tolerance * TOLERANCE_FRACTION * part
    tokens = min(limit.burst * part, coordinator.tokens + gained)
    coordinator.tokens = max(floor, tokens)
    coordinator.updated = now


def _estimate_tokens(coordinator: LimitCoordinator, now: float) -> float:
    """Return the content of a new coordinator's bucket: empty or, after many calls, overdrawn."""
    limit, part = coordinator.limit, coordinator.part
    left = part * limit.per_window - count_recent(coordinator.recent, now, limit.window_s)
    return max(min(left, 0.0), -part * limit.tolerance * TOLERANCE_FRACTION)


def _fade_demand(coordinator: LimitCoordinator, now: float) -> float:
    return coordinator.demand * max(0.0, 1.0 - (now - coordinator.demand_at) / DEMAND_S)


def _measure_excess(coordinator: LimitCoordinator, now: float, pending: float = 0.0) -> float:
    """Return the excess that the last window may have, as a fraction of the tolerance."""
    limit, part = coordinator.limit, coordinator.part
    recent = count_recent(coordinator.recent, now, limit.window_s) + coordinator.exposed + pending
    return (recent - part * limit.per_window) / max(1.0, part * limit.tolerance)


def _is_short(coordinator: LimitCoordinator, now: float) -> bool:
    """Return whether the bucket would be overdrawn before entries can react."""
    reserve = coordinator.part * coordinator.limit.tolerance * TOLERANCE_FRACTION
    demand = _fade_demand(coordinator, now) / DEMAND_S
    rate = coordinator.limit.calls_per_s * coordinator.part
    is_lasting = coordinator.short and coordinator.report_intervals > 1
    if is_lasting and demand > LASTING_DEMAND * rate:
        return True
    # A shortage ends only once half of the reserve is there again, so that it is not announced
    # anew with each call.
    if coordinator.tokens <= demand * REACTION_S - (reserve / 2 if coordinator.short else reserve):
        return True
    return _measure_excess(coordinator, now) > WINDOW_RANGE[0]


def _grant_in_calm(
    coordinator: LimitCoordinator, nodes: Iterable[NodeId], replies: bool = False
) -> dict[NodeId, Grant]:
    limit, part = coordinator.limit, coordinator.part
    pool = max(0.0, coordinator.tokens + part * limit.tolerance * TOLERANCE_FRACTION)
    grants = {}
    for node in nodes:
        usage = coordinator.entries[node]
        ratio = usage.weight / coordinator.weight if coordinator.weight else 0.0
        calls_per_s = round(limit.calls_per_s * part * ratio, 3)
        in_reaction = calls_per_s * REACTION_S
        covered = int(ratio * pool)
        wanted = max(FIRST_CREDIT + round(CREDIT_RATIO * in_reaction), covered)
        held = usage.granted - usage.spent
        if replies or held < wanted or held > 2 * wanted or usage.outdated:
            usage.outdated = False
            usage.granted = usage.spent + wanted
            usage.calls_per_s = calls_per_s
            grants[node] = Grant(usage.granted, usage.spent + covered, calls_per_s, False)
    return grants


def _estimate_pending(coordinator: LimitCoordinator, now: float) -> float:
    """Return how many calls entries that report less often have admitted since their reports."""
    if coordinator.report_intervals == 1:
        return 0.0
    entries = coordinator.entries.values()
    rate = max(1e-9, sum(usage.calls_per_s for usage in entries))
    pending = sum(usage.calls_per_s * (now - usage.heard_at) for usage in entries)
    return pending * min(1.0, _fade_demand(coordinator, now) / DEMAND_S / rate)


def _share_rate(coordinator: LimitCoordinator, now: float) -> dict[NodeId, Grant]:
    """Withdraw the credits that are left, and divide the rate by the entries' demand."""
    limit = coordinator.limit
    pending = _estimate_pending(coordinator, now)
    first, last = WINDOW_RANGE
    left = min(1.0, max(0.0, (last - _measure_excess(coordinator, now, pending)) / (last - first)))
    reserve = coordinator.part * limit.tolerance * TOLERANCE_FRACTION
    # What the window does not allow is lost, else it would be made up for all at once.
    coordinator.tokens = (coordinator.tokens + reserve) * left - reserve
    rate = limit.calls_per_s * coordinator.part
    left_over = max(0.0, coordinator.tokens + reserve - pending)
    catch_up = min(MAX_CATCH_UP * rate, left_over / CATCH_UP_S)
    rate = left * (rate * (1.0 + SHARED_EXCESS * limit.excess) + catch_up)
    silent = {
        node
        for node, usage in coordinator.entries.items()
        if usage.calls_per_s
        and now - usage.heard_at > SILENT_S + (usage.report_intervals - 1) * REPORT_INTERVAL_S
    }
    coordinator.reserved = sum(coordinator.entries[node].calls_per_s for node in silent)
    rate = max(0.0, rate - coordinator.reserved)
    weight = coordinator.weight - sum(coordinator.entries[node].weight for node in silent)
    is_changed = abs(rate - coordinator.shared_rate) > MAX_RATE_CHANGE * coordinator.shared_rate
    if is_changed:
        coordinator.shared_rate = rate
    sharers = sum(usage.weight > 0.0 for usage in coordinator.entries.values())
    coordinator.report_intervals = intervals = min(
        MAX_REPORT_INTERVALS, max(1, round(sharers / ENTRIES_PER_INTERVAL))
    )
    grants = {}
    for node, usage in coordinator.entries.items():
        if not (is_changed or usage.outdated or now - usage.heard_at <= REPORT_INTERVAL_S):
            continue
        if node in silent:
            if usage.outdated:
                _set_exposed(coordinator, usage, max(usage.exposed, usage.granted - usage.spent))
                usage.granted, usage.outdated = usage.spent, False
                grants[node] = Grant(usage.granted, usage.granted, usage.calls_per_s, True)
            continue
        calls_per_s = round(rate * usage.weight / weight, 3) if weight > 0.0 else 0.0
        if usage.outdated or abs(calls_per_s - usage.calls_per_s) > MIN_CHANGE * usage.calls_per_s:
            usage.outdated = False
            _set_exposed(coordinator, usage, max(usage.exposed, usage.granted - usage.spent))
            usage.granted = usage.spent
            usage.calls_per_s = calls_per_s
            usage.report_intervals = intervals
            grants[node] = Grant(usage.granted, usage.granted, calls_per_s, True, intervals)
    return grants
