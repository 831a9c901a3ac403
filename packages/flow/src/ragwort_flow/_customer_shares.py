"""Finds the calls of customers that send far more than usual to a full server.

Each customer may send a multiple of its usual rate, in which it is measured against how much more
the other customers send than usual. A call beyond that is put behind those of its rank while not
all can be in time. A customer that is served much less often than all goes first.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp, inf
from operator import attrgetter
from typing import Protocol

from ragwort_common import CustomerName

USUAL_DECAY_S = 300.0
"""Time constant of the usual rates: a surge of a minute at 6 times the usual rate doubles it."""

RECENT_DECAY_S = 10.0
"""Time constant of recent counts; the same as of the counts by class."""

LEARNING_S = 60.0
"""Time after the first call until which no customer is put behind others: a server at which each
customer makes one call in 15 s has seen four of each by then."""

MIN_LEARNED = 50.0
"""Count of calls from which on the usual rates count as known."""

ALLOWED_GROWTH = 1.5
"""Multiple of its usual rate that a customer may send. With 2, a surge of the largest customer was
felt more by the others (docs/design/overload.md)."""

MAX_TOKENS = 8.0
"""Number of calls that a customer may send at once beyond that. Of the calls of customers that call
at random times at their usual rate, at most 1 in 10,000 is put behind; with 4, 1 in 100."""

BURST_S = 0.5
"""Seconds at the allowed rate that a customer may also send at once, since a large one's calls come
in bursts of more than a few."""

LEAST_SHARE = 0.5
"""Least rate counted as usual, relative to the mean of the customers: those that rarely call cost
others little when they call more often."""

FLOOR_RATIO = 0.3
"""Least service ratio of a customer relative to that of all; a quarter is required."""

PRESENT_S = 7.0
"""Time since its last call during which a customer is present: about as long as a class is."""

FORGET_S = 900.0
"""Time since its last call after which a customer is removed: its usual rate has fallen to a
twentieth."""

MAX_CUSTOMERS = 1024
"""Number of customers that are remembered; beyond it, the one that has not called for longest is
removed."""

REFRESH_S = 0.1
"""How long the set of customers that go first is used: it costs a pass over all."""


@dataclass(slots=True)
class CustomerUsage:
    """Decaying counts of calls as of a time in seconds.

    Attributes
    ----------
    usual
        Count of arrivals that decays slowly.
    offered, refused
        Counts of recent arrivals, and of refusals without another server expected to serve.
    tokens
        Number of calls that may arrive before the next is put behind others.
    called_at
        When the last call arrived.
    is_beyond
        Whether it was put behind others.
    """

    usual: float = 0.0
    offered: float = 0.0
    refused: float = 0.0
    tokens: float = MAX_TOKENS
    called_at: float = -inf
    is_beyond: bool = False
    at: float = -inf


@dataclass(slots=True)
class CustomerShares:
    """What each customer sends to a server.

    Attributes
    ----------
    customers
        Calls of each customer, the one that called last at the end.
    learning_since
        When the first call arrived, or the first after a long time without calls.
    first, first_at
        Customers that go first, and when that was found.
    """

    customers: dict[CustomerName, CustomerUsage] = field(default_factory=dict)
    total: CustomerUsage = field(default_factory=CustomerUsage)
    learning_since: float = inf
    first: frozenset[CustomerName] = frozenset()
    first_at: float = -inf


class SharedCall(Protocol):
    """A waiting call, with the latest start at which it is in time."""

    is_beyond_share: bool

    @property
    def due(self) -> float: ...


def record_arrival(shares: CustomerShares, now: float, customer: CustomerName | None) -> bool:
    """Count a call that has arrived, and return whether it is beyond its customer's share."""
    if customer is None:
        return False
    if now - shares.total.at > USUAL_DECAY_S:
        # Whatever was usual before is out of date.
        shares.customers.clear()
        shares.total = CustomerUsage()
        shares.learning_since = now
    # The table is kept in the order of the latest calls.
    usage = shares.customers.pop(customer, None) or CustomerUsage(at=now, called_at=now)
    _forget_absent(shares, now)
    shares.customers[customer] = usage
    elapsed_s = now - usage.called_at
    usage.called_at = now
    usage.is_beyond = False
    for counts in (usage, shares.total):
        _decay(counts, now)
        counts.usual += 1.0
        counts.offered += 1.0
    if not is_learned(shares, now) or len(shares.customers) < 2:
        usage.tokens = MAX_TOKENS
        return False
    rate = ALLOWED_GROWTH * estimate_allowed_rate(shares, now, usage)
    usage.tokens = min(MAX_TOKENS + BURST_S * rate, usage.tokens + elapsed_s * rate)
    if usage.tokens >= 1.0:
        usage.tokens -= 1.0
        return False
    usage.is_beyond = customer not in list_first_customers(shares, now)
    return usage.is_beyond


def record_customer_refused(
    shares: CustomerShares, now: float, customer: CustomerName | None
) -> None:
    """Count a call that was refused although no other server takes it."""
    usage = shares.customers.get(customer) if customer is not None else None
    if usage is not None:
        for counts in (usage, shares.total):
            _decay(counts, now)
            counts.refused += 1.0


def is_learned(shares: CustomerShares, now: float) -> bool:
    """Return whether usual rates are known."""
    return now - shares.learning_since >= LEARNING_S and shares.total.usual >= MIN_LEARNED


def needs_sharing(shares: CustomerShares, now: float) -> bool:
    """Return whether several customers have called recently."""
    if len(shares.customers) < 2:
        return False
    # The last two customers that called are at the end.
    others = iter(reversed(shares.customers.values()))
    next(others)
    return now - next(others).called_at < PRESENT_S


def estimate_allowed_rate(shares: CustomerShares, now: float, usage: CustomerUsage) -> float:
    """Return a customer's usual rate, scaled by how much more the others send than usual."""
    known_s = _get_known_time(shares, now)
    mean = shares.total.usual / len(shares.customers)
    rate = max(usage.usual, LEAST_SHARE * mean) / known_s
    others_usual = (shares.total.usual - usage.usual) / known_s
    others_recent = (shares.total.offered - usage.offered) / RECENT_DECAY_S
    if others_recent > others_usual > 0.0:
        rate *= others_recent / others_usual
    return rate


def estimate_usual_rate(shares: CustomerShares, now: float, usage: CustomerUsage) -> float:
    """Return a customer's usual rate in calls per second."""
    return usage.usual * _get_factor(usage, now, USUAL_DECAY_S) / _get_known_time(shares, now)


def estimate_recent_rate(usage: CustomerUsage, now: float) -> float:
    """Return a customer's recent rate in calls per second."""
    return usage.offered * _get_factor(usage, now) / RECENT_DECAY_S


def list_beyond(shares: CustomerShares, now: float) -> list[CustomerName]:
    """Return the customers whose last call was beyond their share, that with most calls first."""
    found = [
        (estimate_recent_rate(usage, now), customer)
        for customer, usage in shares.customers.items()
        if usage.is_beyond and now - usage.called_at < RECENT_DECAY_S
    ]
    return [customer for _, customer in sorted(found, reverse=True)]


def list_first_customers(shares: CustomerShares, now: float) -> frozenset[CustomerName]:
    """Return the customers that are served so much less often than all that they go first."""
    if now - shares.first_at < REFRESH_S:
        return shares.first
    shares.first_at = now
    shares.first = frozenset()
    total = shares.total
    if total.refused * _get_factor(total, now) >= 1.0 and len(shares.customers) > 1:
        floor = FLOOR_RATIO * get_customer_ratio(total)
        shares.first = frozenset(
            customer
            for customer, usage in shares.customers.items()
            if get_customer_ratio(usage) < floor
        )
    return shares.first


def get_customer_ratio(usage: CustomerUsage) -> float:
    """Return the part of a customer's recent calls that was not refused, with one call added."""
    return 1.0 - usage.refused / (usage.offered + 1.0)


def move_marks(calls: Iterable[SharedCall]) -> None:
    """Move the marks of waiting calls of a customer and rank to the ones with most time to start.

    So a call that comes back is not behind one of its customer that arrived later.
    """
    by_due = sorted(calls, key=attrgetter("due"), reverse=True)
    count = sum(call.is_beyond_share for call in by_due)
    for index, call in enumerate(by_due):
        call.is_beyond_share = index < count


def _decay(counts: CustomerUsage, now: float) -> None:
    factor = _get_factor(counts, now)
    counts.usual *= _get_factor(counts, now, USUAL_DECAY_S)
    counts.offered *= factor
    counts.refused *= factor
    counts.at = now


def _get_factor(counts: CustomerUsage, now: float, decay_s: float = RECENT_DECAY_S) -> float:
    return exp(min(0.0, counts.at - now) / decay_s)


def _get_known_time(shares: CustomerShares, now: float) -> float:
    """Return the seconds of calls at a steady rate that the usual counts stand for."""
    known_s = USUAL_DECAY_S * (1.0 - exp((shares.learning_since - now) / USUAL_DECAY_S))
    return max(known_s, 1.0)


def _forget_absent(shares: CustomerShares, now: float) -> None:
    """Remove the customers that have not called for long, or longest if there are too many."""
    while shares.customers:
        customer, usage = next(iter(shares.customers.items()))
        if now - usage.called_at <= FORGET_S and len(shares.customers) < MAX_CUSTOMERS:
            return
        del shares.customers[customer]
