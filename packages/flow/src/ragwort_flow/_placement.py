"""Chooses at the entry the server for a call, from reports that are always a little old.

Answers a load that shifts faster than reports travel: for each server the time until the answer
is estimated from its latest report, faded by age, and this node's own calls since. Few servers
are compared where there are many (power of two choices, Mitzenmacher 2001), so that entries with
the same reports don't all turn to one server. What an answer's bytes cost between failure domains
counts as time, so that a call leaves its domain for a gain only. It leaves its region only when
that serves it in time and its own region does not.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from ragwort_common import NodeId
from ragwort_protocol import LoadReport

from ragwort_flow._distance import Distance, RandomSource

COMPARED_NEAR = 4
"""Servers of the own failure domain that are compared for one call."""

COMPARED = 4
"""Servers of the region's other domains, and of the other region, that are compared."""

JITTER_PART = 0.1
"""Differences up to this part of the estimate are left to chance, so that entries spread."""

WAIT_LIFE_S = 0.3
"""Mean time for which a stated wait still holds; a few service times."""

CLOSED_LIFE_S = 1.0
"""How long a server that takes no calls is left alone unless it says that it takes them again."""

FAILURE_PART = 1.5
"""Cost of a failed call, as a part of the time left to its objective: it earns nothing, and the
time of its run is lost to its caller too."""

SPARE_SHARE = 0.75
"""Share of its limit up to which a server has slots to spare."""

FAR_MARGIN = 0.9
"""Part of the time left within which the other region has to answer, for a call to go there."""

USUAL_FACTOR = 1.3
"""By how much longer than its work a call usually runs: gates start few calls on slowed hosts."""

FACTOR_LIFE_S = 2.0
"""Mean time for which a stated factor still holds: a cold start, or a server that is slow itself;
what neighbours do is over before it is heard of, and is part of the stated wait."""

FIRST_LIMIT = 4
"""Calls at once of a server that has not reported yet."""

ROUND_TRIPS_S = {
    Distance.SAME_DOMAIN: 0.0005,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.065,
}
"""Times of a message there and back, from the users' sheets, with the nodes' own time."""

CROSSING_PARTS_PER_KB = {
    Distance.SAME_DOMAIN: 0.0,
    Distance.SAME_REGION: 0.025,
    Distance.OTHER_REGION: 0.1,
}
"""What 1,000 bytes cost between domains and regions, as a part of a call's worth: the mean of
the users' two price lists."""

CALL_KB = 0.5
"""Size of a call and its answer without their bodies, in 1,000 bytes."""


@dataclass(slots=True, eq=False)
class Target:
    """What an entry knows of one server.

    Attributes
    ----------
    report, reported_at
        The latest report, and when it arrived; None before the first.
    sent
        Times of the calls sent since the report.
    closed_until
        Until when it gets no calls, since it takes none or can't be reached.
    """

    node: NodeId
    distance: Distance
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent: deque[float] = field(default_factory=deque)
    closed_until: float = 0.0


class Fit(Enum):
    """Whether the answer of the chosen server is expected within the objective."""

    IN_TIME = "in-time"
    LATE = "late"


@dataclass(slots=True, frozen=True)
class Placement:
    """The chosen server and the estimate that decided."""

    target: Target
    finish_s: float
    fit: Fit


def take_report(target: Target, now: float, report: LoadReport) -> None:
    """Take in a report; calls on their way while it was sent still count."""
    target.report = report
    target.reported_at = now
    since = now - ROUND_TRIPS_S[target.distance]
    while target.sent and target.sent[0] <= since:
        target.sent.popleft()
    target.closed_until = 0.0 if report.accepting else now + CLOSED_LIFE_S


def close_target(target: Target, now: float, pause_s: float = CLOSED_LIFE_S) -> None:
    """Leave a server alone for a time."""
    target.closed_until = max(target.closed_until, now + pause_s)


def record_sent(target: Target, now: float) -> None:
    """Take in that a call is sent to a server."""
    target.sent.append(now)


def estimate_finish(target: Target, now: float, work_s: float) -> float:
    """Return the time until the answer of a call of this work, in seconds."""
    base_s = ROUND_TRIPS_S[target.distance]
    report = target.report
    if report is None:
        over = max(0, len(target.sent) + 1 - FIRST_LIMIT)
        return base_s + work_s * (1.0 + over / FIRST_LIMIT)
    age_s = max(0.0, now - target.reported_at)
    told = FACTOR_LIFE_S / (FACTOR_LIFE_S + age_s)
    factor = USUAL_FACTOR + (report.slowdown_percent / 100 - USUAL_FACTOR) * told
    taken = report.in_flight + report.queued + len(target.sent)
    over = max(0, taken + 1 - report.limit)
    own_over = min(over, len(target.sent) + 1) if over else 0
    fade = WAIT_LIFE_S / (WAIT_LIFE_S + age_s)
    wait_s = report.wait_ms / 1e3 * fade + own_over * report.service_time_us / 1e6 / report.limit
    return base_s + wait_s + work_s * factor


def has_room(target: Target) -> bool:
    """Tell whether a server has slots to spare, so that a second send displaces no other call."""
    report = target.report
    if report is None:
        return False
    taken = report.in_flight + report.queued + len(target.sent)
    return taken + 1 <= report.limit * SPARE_SHARE


def choose_target(
    targets: Iterable[Target],
    now: float,
    random: RandomSource,
    exclude: Collection[NodeId],
    work_s: float,
    left_s: float,
    body_kb: float = 0.0,
) -> Placement | None:
    """Return the server whose answer is expected soonest, or None when there is none.

    Parameters
    ----------
    exclude
        Nodes that this call has tried already.
    work_s
        Expected work of the call, in seconds.
    left_s
        Time left until the end of its objective, in seconds.
    body_kb
        Size of the call's and the answer's bodies, in 1,000 bytes.
    """
    by_distance: dict[Distance, list[Target]] = {distance: [] for distance in Distance}
    for target in targets:
        if now >= target.closed_until and target.node not in exclude:
            by_distance[target.distance].append(target)
    near = _draw(by_distance[Distance.SAME_DOMAIN], random, COMPARED_NEAR)
    near += _draw(by_distance[Distance.SAME_REGION], random, COMPARED)
    need = _Need(work_s, left_s, CALL_KB + body_kb)
    best = _find_best(near, now, random, need)
    if best is not None and best.fit is Fit.IN_TIME:
        return best
    far = _draw(by_distance[Distance.OTHER_REGION], random, COMPARED)
    best_far = _find_best(far, now, random, replace(need, left_s=left_s * FAR_MARGIN))
    if best is None or (best_far is not None and best_far.fit is Fit.IN_TIME):
        return best_far or best
    return best


@dataclass(slots=True, frozen=True)
class _Need:
    """What a call needs: its work, the time left, and its size."""

    work_s: float
    left_s: float
    size_kb: float


def _find_best(
    targets: list[Target], now: float, random: RandomSource, need: _Need
) -> Placement | None:
    best: Target | None = None
    best_rank = best_s = 0.0
    for target in targets:
        finish_s = estimate_finish(target, now, need.work_s)
        rank = finish_s * (1.0 + JITTER_PART * random.random())
        # A delay as long as the time left loses the whole worth, so parts of the one are put as
        # parts of the other.
        lost = CROSSING_PARTS_PER_KB[target.distance] * need.size_kb
        if target.report is not None:
            lost += target.report.failing_percent / 100 * FAILURE_PART
        rank += lost * max(need.left_s, finish_s)
        if best is None or rank < best_rank:
            best, best_rank, best_s = target, rank, finish_s
    if best is None:
        return None
    return Placement(best, best_s, Fit.IN_TIME if best_s <= need.left_s else Fit.LATE)


def _draw(targets: list[Target], random: RandomSource, count: int) -> list[Target]:
    if len(targets) <= count:
        return targets
    start = int(random.random() * len(targets))
    # Steps of different lengths give entries different sets of servers to compare.
    step = 1 + int(random.random() * (len(targets) - 1))
    drawn = {(start + step * number) % len(targets) for number in range(count)}
    return [targets[index] for index in drawn]
