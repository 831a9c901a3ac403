"""Decides, among waiting calls of different ranks, which go next and which are given up.

While all can be in time, the one with the earliest latest start goes first (earliest deadline
first). Otherwise the more urgent go first, and of those of a rank that cannot all be in time, the
longest are given up until the others can (Moore and Hodgson, 1968). Within a rank, calls beyond
their customer's share go last and are given up among themselves. A slot is kept free for urgent
short calls where that brings more of them in time than it costs less urgent ones.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from heapq import heappop, heappush
from operator import attrgetter
from typing import Protocol, TypeVar

from ragwort_flow._service_ratio import ServiceRatios, estimate_rate

FEASIBLE_RATIO = 0.85
"""Fraction of the time left to their objectives within which all waiting calls have to be expected
to be served in time. The rest covers calls that take longer than expected."""

RANK_WEIGHT = 2.0
"""Weight of a call in time relative to one of the next lower rank."""

MAX_RANK_STEPS = 3
"""Most ranks that add to the weight: ranks of customers are far apart."""

AVOIDED_LATE_RATIO = 0.8
"""Share of urgent calls that are late since no slot is free, if they could not wait at all."""


class WaitingCall(Protocol):
    """A waiting call, with the latest start at which it is in time, and its work at full speed."""

    @property
    def rank(self) -> int: ...
    @property
    def kind(self) -> str: ...
    @property
    def due(self) -> float: ...
    @property
    def work_s(self) -> float: ...


class Share(IntEnum):
    """Place of a call among those of its rank while not all can be in time, by its customer."""

    FIRST = 0
    WITHIN = 1
    BEYOND = 2


Call = TypeVar("Call", bound=WaitingCall)


@dataclass(slots=True, frozen=True)
class Outlook:
    """What is expected of the server.

    Attributes
    ----------
    wait_s
        Time until a slot is expected to be free.
    limit
        Number of calls that run at a time.
    slowdown
        Slowdown of the calls that start next.
    """

    now: float
    wait_s: float
    limit: int
    slowdown: float


def has_equal_share(call: WaitingCall) -> Share:
    """Return the place of a call where customers make no difference."""
    return Share.WITHIN


def order_calls(
    calls: Iterable[Call],
    outlook: Outlook,
    starved: set[tuple[int, str]],
    find_share: Callable[[Call], Share] = has_equal_share,
) -> list[Call]:
    """Return the calls in the order in which they start."""
    by_due = sorted(calls, key=attrgetter("due"))
    if not starved and are_all_in_time(by_due, outlook):
        return by_due
    now = outlook.now

    def get_position(call: Call) -> tuple[bool, bool, bool, int, Share]:
        share = find_share(call)
        is_first = (call.rank, call.kind) in starved
        # Calls that will be late go after those that can be in time.
        return not is_first, call.due < now, share is not Share.FIRST, call.rank, share

    # The sort is stable, so calls stay in the order of their latest start.
    return sorted(by_due, key=get_position)


def find_excess(
    calls: Sequence[Call],
    outlook: Outlook,
    tolerance: float,
    kept: set[tuple[int, str]],
    find_share: Callable[[Call], Share] = has_equal_share,
) -> list[Call]:
    """Return the calls, given in order, that are given up so that the others are in time.

    Parameters
    ----------
    tolerance
        Fraction of the time left to its objective within which a call has to be served.
    kept
        Classes whose calls are served even if late, unless they are beyond their customer's share.
    """
    excess: list[Call] = []
    longest: list[tuple[float, int]] = []
    group: tuple[int, Share] | None = None
    work_s = 0.0
    for index, call in enumerate(calls):
        share = find_share(call)
        if (call.rank, share) != group:
            group, longest = (call.rank, share), []
        run_s = call.work_s * outlook.slowdown
        work_s += run_s
        if share is not Share.BEYOND and (call.rank, call.kind) in kept:
            continue
        heappush(longest, (-run_s, -index))
        finish_s = outlook.wait_s + (work_s - run_s) / outlook.limit + run_s
        if finish_s > (call.due + call.work_s - outlook.now) * tolerance:
            _, position = heappop(longest)
            excess.append(calls[-position])
            work_s -= calls[-position].work_s * outlook.slowdown
    return excess


def is_slot_kept(
    ratios: ServiceRatios, now: float, rank: int, work_s: float, free_slots: int
) -> bool:
    """Return whether a call must not take a slot because more urgent calls are about to need it.

    These are the calls that would miss their objective if they waited until it ends. Less urgent
    calls leave one slot free for them if the more urgent ones that are late otherwise weigh more
    than the calls that the slot could run.
    """
    if free_slots > 1:
        return False
    gain_per_s = 0.0
    for (other_rank, _), counts in ratios.classes.items():
        if other_rank < rank and counts.slack_s < work_s:
            weight = RANK_WEIGHT ** min(MAX_RANK_STEPS, rank - other_rank)
            avoided_ratio = AVOIDED_LATE_RATIO * (1.0 - max(0.0, counts.slack_s) / work_s)
            gain_per_s += estimate_rate(counts, now) * weight * avoided_ratio
    return gain_per_s * work_s > 1.0


def are_all_in_time(calls: Sequence[Call], outlook: Outlook) -> bool:
    """Return whether calls are all expected to be in time in a given order, with a margin."""
    ahead_s = 0.0
    for call in calls:
        run_s = call.work_s * outlook.slowdown
        left_s = call.due + call.work_s - outlook.now
        if outlook.wait_s + ahead_s / outlook.limit + run_s > left_s * FEASIBLE_RATIO:
            return False
        ahead_s += run_s
    return True
