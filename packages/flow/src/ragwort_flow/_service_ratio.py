"""How often the calls of each class arrive at a server and are refused.

A class is a kind of calls with a rank. The counts decay with time, so that they follow the load.
"""

from dataclasses import dataclass, field
from math import exp

DECAY_S = 10.0
"""Time constant with which the counts decay."""

RATE_DECAY_S = 2.0
"""Time constant of the arrival rate. With 10 s, an overload was noticed only after some seconds, in
which late calls piled up; a shorter one follows bursts of a few hundred milliseconds."""

MIN_OFFERED = 0.5
"""Count from which on a class counts as present: one call in the last seven seconds."""

MAX_CLASSES = 64
"""Number of classes from which on those that are no longer present are forgotten."""

MIN_REFUSED = 1.0
"""Count of all refused calls from which on a class can be found to be served too rarely."""

FLOOR_RATIO = 0.3
"""Least service ratio of a class relative to that of all calls. A quarter is required; the rest
covers calls that are admitted but not served by then."""

MAX_DIFFERENCE = 0.02
"""How much less often than a less urgent class a class may be served before its calls go first.
It may be served less often by 0.05 at most."""


@dataclass(slots=True)
class ClassCounts:
    """Decaying counts of a class, as of a time in seconds, and its mean time to wait.

    Attributes
    ----------
    recent
        Count of arrivals that decays faster, for the arrival rate.
    work_s
        Expected work of a call.
    slack_s
        Mean time that a call may wait on arrival without missing its objective.
    """

    offered: float = 0.0
    refused: float = 0.0
    recent: float = 0.0
    work_s: float = 0.0
    slack_s: float = 0.0
    at: float = 0.0


@dataclass(slots=True)
class ServiceRatios:
    """Counts by class: rank and kind."""

    classes: dict[tuple[int, str], ClassCounts] = field(default_factory=dict)


def record_offered(
    ratios: ServiceRatios, now: float, rank: int, kind: str, work_s: float, slack_s: float
) -> None:
    """Count a call that has arrived."""
    counts = ratios.classes.get((rank, kind))
    if counts is None:
        if len(ratios.classes) >= MAX_CLASSES:
            _forget_absent(ratios, now)
        counts = ratios.classes[rank, kind] = ClassCounts(at=now)
    _decay(counts, now)
    counts.offered += 1.0
    counts.recent += 1.0
    counts.work_s = work_s
    counts.slack_s += (slack_s - counts.slack_s) / min(DECAY_S, counts.offered)


def record_refused(ratios: ServiceRatios, now: float, rank: int, kind: str) -> None:
    """Count a call that was refused although no other server takes it."""
    counts = ratios.classes.get((rank, kind))
    if counts is not None:
        _decay(counts, now)
        counts.refused += 1.0


def has_several_ranks(ratios: ServiceRatios, now: float) -> bool:
    """Return whether calls of different ranks have arrived recently."""
    ranks = {rank for rank, _ in ratios.classes}
    if len(ranks) < 2:
        return False
    present = (key[0] for key, counts in ratios.classes.items() if _is_present(counts, now))
    return len(set(present)) > 1


def estimate_rate(counts: ClassCounts, now: float) -> float:
    """Return the recent arrival rate of a class, in calls per second."""
    return counts.recent * _get_factor(counts, now, RATE_DECAY_S) / RATE_DECAY_S


def estimate_load(ratios: ServiceRatios, now: float) -> float:
    """Return the recent load in slots: the work that arrives in a second, in seconds."""
    return sum(estimate_rate(counts, now) * counts.work_s for counts in ratios.classes.values())


def get_ratio(counts: ClassCounts) -> float:
    """Return the part of a class's recent calls that was not refused, with one call added."""
    return 1.0 - counts.refused / (counts.offered + 1.0)


def list_starved(ratios: ServiceRatios, now: float) -> set[tuple[int, str]]:
    """Return the classes that are served so rarely that their calls go first.

    These are served less often than a less urgent class, or much less often than all calls.
    """
    offered = refused = 0.0
    for counts in ratios.classes.values():
        factor = _get_factor(counts, now)
        offered += counts.offered * factor
        refused += counts.refused * factor
    if refused < MIN_REFUSED:
        return set()
    floor = FLOOR_RATIO * (1.0 - refused / (offered + 1.0))
    starved = set()
    # Ratios of the less urgent classes, and of those of the present rank, from the least urgent on.
    highest = highest_of_rank = 0.0
    last_rank: int | None = None
    for key in sorted(ratios.classes, reverse=True):
        counts = ratios.classes[key]
        if key[0] != last_rank:
            last_rank, highest = key[0], max(highest, highest_of_rank)
        ratio = get_ratio(counts)
        if ratio < max(floor, highest - MAX_DIFFERENCE):
            starved.add(key)
        if _is_present(counts, now):
            highest_of_rank = max(highest_of_rank, ratio)
    return starved


def _is_present(counts: ClassCounts, now: float) -> bool:
    return counts.offered * _get_factor(counts, now) > MIN_OFFERED


def _get_factor(counts: ClassCounts, now: float, decay_s: float = DECAY_S) -> float:
    return exp(min(0.0, counts.at - now) / decay_s)


def _decay(counts: ClassCounts, now: float) -> None:
    factor = _get_factor(counts, now)
    counts.offered *= factor
    counts.refused *= factor
    counts.recent *= _get_factor(counts, now, RATE_DECAY_S)
    counts.at = now


def _forget_absent(ratios: ServiceRatios, now: float) -> None:
    ratios.classes = {
        key: counts for key, counts in ratios.classes.items() if _is_present(counts, now)
    }
