"""Load balancing at the entry node, based on load reports that are always slightly stale.

Load shifts faster than reports arrive. The response time of each server is therefore estimated from
its latest report, discounted by age, and the calls that this node has sent since. Where there are
many servers, only a few are compared (power of two choices, Mitzenmacher, 2001), so that entry
nodes with the same reports don't all choose the same server. The cost of transferring bytes between
failure domains is converted to time, so a call leaves its domain only where that pays. It leaves
its region only if the other region can meet the objective and its own can't.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from ragwort_common import FailureDomain, NodeId, Region
from ragwort_protocol import LoadReport

from ragwort_flow._distance import Distance, RandomSource

MAX_SAME_DOMAIN_CANDIDATES = 4
"""Maximum number of servers of the own failure domain compared for one call."""

MAX_CANDIDATES = 4
"""Maximum number compared from the region's other domains, and from the other region."""

JITTER_RATIO = 0.1
"""Random jitter as a fraction of the estimate, so that entry nodes spread their calls."""

WAIT_HALF_LIFE_S = 0.3
"""Age at which a reported queueing delay counts half; a few service times."""

SUSPENSION_S = 1.0
"""How long a server that refuses calls gets none, unless it reports sooner that it accepts them."""

FAILURE_COST_RATIO = 1.5
"""Cost of a failed call as a multiple of the time left to its objective. It is over 1 since the
caller loses the time that the call ran as well as its value."""

SPARE_UTILIZATION = 0.75
"""Utilization of a server's limit up to which it has spare capacity."""

OTHER_REGION_TIME_RATIO = 0.9
"""Fraction of the time left within which a server of the other region has to respond."""

DEFAULT_SLOWDOWN = 1.3
"""Expected slowdown without a fresh report: schedulers start few calls on slowed hosts."""

SLOWDOWN_HALF_LIFE_S = 2.0
"""Age at which a reported slowdown counts half. It covers cold starts and servers that are slow in
themselves; slowdowns by noisy neighbours end before the report arrives and are part of the reported
queueing delay."""

DEFAULT_LIMIT = 4
"""Assumed concurrency limit of a server that has not reported yet."""

ROUND_TRIPS_S = {
    Distance.SAME_DOMAIN: 0.0005,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.065,
}
"""Round-trip times from the users' data sheets, including the nodes' processing time."""

TRANSFER_COST_RATIO_PER_KB = {
    Distance.SAME_DOMAIN: 0.0,
    Distance.SAME_REGION: 0.025,
    Distance.OTHER_REGION: 0.1,
}
"""Cost of transferring 1,000 bytes as a fraction of a call's value: the mean of the users' two
price lists."""

CALL_OVERHEAD_KB = 0.5
"""Size of a call and its response without their bodies, in 1,000 bytes."""


@dataclass(slots=True, eq=False)
class Target:
    """What an entry node knows about one server.

    Attributes
    ----------
    report, reported_at
        The latest load report (None before the first) and when it arrived.
    sent
        Send times of the calls since the report.
    suspended_until
        Time until which it gets no calls because it refuses them or is unreachable.
    failure_domain, region
        Location of its host.
    """

    node: NodeId
    distance: Distance
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent: deque[float] = field(default_factory=deque)
    suspended_until: float = 0.0
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


class Timing(Enum):
    """Whether the response of the chosen server is expected within the objective."""

    IN_TIME = "in-time"
    LATE = "late"


@dataclass(slots=True, frozen=True)
class Placement:
    """The chosen server and its estimated response time.

    Attributes
    ----------
    has_alternative
        Whether another server of the region has spare capacity and is expected to respond within
        the objective.
    """

    target: Target
    response_time_s: float
    timing: Timing
    has_alternative: bool = False


def update_report(target: Target, now: float, report: LoadReport) -> None:
    """Store a report; calls in transit when it was sent still count as sent since."""
    target.report = report
    target.reported_at = now
    since = now - ROUND_TRIPS_S[target.distance]
    while target.sent and target.sent[0] <= since:
        target.sent.popleft()
    target.suspended_until = 0.0 if report.accepting else now + SUSPENSION_S


def suspend_target(target: Target, now: float, pause_s: float = SUSPENSION_S) -> None:
    """Send no calls to a server for some time."""
    target.suspended_until = max(target.suspended_until, now + pause_s)


def record_sent(target: Target, now: float) -> None:
    """Record that a call is being sent to a server."""
    target.sent.append(now)


def estimate_response_time(target: Target, now: float, work_s: float) -> float:
    """Return the estimated response time of a call of the given work, in seconds."""
    base_s = ROUND_TRIPS_S[target.distance]
    report = target.report
    if report is None:
        excess = max(0, len(target.sent) + 1 - DEFAULT_LIMIT)
        return base_s + work_s * (1.0 + excess / DEFAULT_LIMIT)
    age_s = max(0.0, now - target.reported_at)
    slowdown_weight = SLOWDOWN_HALF_LIFE_S / (SLOWDOWN_HALF_LIFE_S + age_s)
    slowdown = (
        DEFAULT_SLOWDOWN + (report.slowdown_percent / 100 - DEFAULT_SLOWDOWN) * slowdown_weight
    )
    occupied = report.in_flight + report.queued + len(target.sent)
    excess = max(0, occupied + 1 - report.limit)
    own_excess = min(excess, len(target.sent) + 1) if excess else 0
    wait_weight = WAIT_HALF_LIFE_S / (WAIT_HALF_LIFE_S + age_s)
    wait_s = (
        report.wait_ms / 1e3 * wait_weight
        + own_excess * report.service_time_us / 1e6 / report.limit
    )
    return base_s + wait_s + work_s * slowdown


def has_spare_capacity(target: Target) -> bool:
    """Return whether a server has spare capacity, so that a hedge displaces no other call."""
    report = target.report
    if report is None:
        return False
    occupied = report.in_flight + report.queued + len(target.sent)
    return occupied + 1 <= report.limit * SPARE_UTILIZATION


def choose_target(
    targets: Iterable[Target],
    now: float,
    random: RandomSource,
    exclude: Collection[NodeId],
    work_s: float,
    left_s: float,
    body_kb: float = 0.0,
) -> Placement | None:
    """Return the server with the lowest estimated cost, or None if no server is available.

    Parameters
    ----------
    exclude
        Nodes that this call has already been sent to.
    work_s
        Expected work of the call, in seconds.
    left_s
        Time left until its objective, in seconds.
    body_kb
        Size of the call's and the response's bodies, in 1,000 bytes.
    """
    by_distance: dict[Distance, list[Target]] = {distance: [] for distance in Distance}
    for target in targets:
        if now >= target.suspended_until and target.node not in exclude:
            by_distance[target.distance].append(target)
    near = _sample(by_distance[Distance.SAME_DOMAIN], random, MAX_SAME_DOMAIN_CANDIDATES)
    near += _sample(by_distance[Distance.SAME_REGION], random, MAX_CANDIDATES)
    demand = _CallDemand(work_s, left_s, CALL_OVERHEAD_KB + body_kb)
    best = _find_best(near, now, random, demand)
    if best is not None and best.timing is Timing.IN_TIME:
        return best
    far = _sample(by_distance[Distance.OTHER_REGION], random, MAX_CANDIDATES)
    best_far = _find_best(
        far, now, random, replace(demand, left_s=left_s * OTHER_REGION_TIME_RATIO)
    )
    if best is None or (best_far is not None and best_far.timing is Timing.IN_TIME):
        return replace(best_far, has_alternative=False) if best_far is not None else best
    return best


@dataclass(slots=True, frozen=True)
class _CallDemand:
    """Properties of a call that determine its cost: work, time left and transfer size."""

    work_s: float
    left_s: float
    size_kb: float


def _find_best(
    targets: list[Target], now: float, random: RandomSource, demand: _CallDemand
) -> Placement | None:
    best: Target | None = None
    best_cost = best_s = 0.0
    spare: list[Target] = []
    for target in targets:
        response_time_s = estimate_response_time(target, now, demand.work_s)
        if response_time_s <= demand.left_s and has_spare_capacity(target):
            spare.append(target)
        cost = response_time_s * (1.0 + JITTER_RATIO * random.random())
        # A delay as long as the time left loses the whole value of the call, so a loss given as a
        # fraction of the value is converted to the same fraction of the time left.
        loss = TRANSFER_COST_RATIO_PER_KB[target.distance] * demand.size_kb
        if target.report is not None:
            loss += target.report.failing_percent / 100 * FAILURE_COST_RATIO
        cost += loss * max(demand.left_s, response_time_s)
        if best is None or cost < best_cost:
            best, best_cost, best_s = target, cost, response_time_s
    if best is None:
        return None
    timing = Timing.IN_TIME if best_s <= demand.left_s else Timing.LATE
    return Placement(best, best_s, timing, any(target is not best for target in spare))


def _sample(targets: list[Target], random: RandomSource, count: int) -> list[Target]:
    if len(targets) <= count:
        return targets
    start = int(random.random() * len(targets))
    # A random stride gives entry nodes different sets of servers to compare.
    step = 1 + int(random.random() * (len(targets) - 1))
    sampled = {(start + step * number) % len(targets) for number in range(count)}
    return [targets[index] for index in sampled]
