"""Bandwidth budgets for membership traffic: token buckets with a reserve per traffic class.

A bucket starts empty, so that a node in a restart loop sends no more than one that keeps running.
Received bytes are charged as well, but since they can't be refused, they never use up the reserve
for answers and urgent messages: a node that stopped answering because of incoming traffic would
be declared dead, and disseminating its death would cause even more traffic.
"""

from dataclasses import dataclass, field
from enum import Enum

_BURST_RATIO = 0.35
"""Fraction of the limit on one second that may be sent as a burst; the rest is the fill rate."""


class TrafficClass(Enum):
    """Traffic classes; the value is the fraction of the burst that the class must leave unused.

    When a budget runs low, the classes with the largest reserve stop first.
    """

    URGENT = 0.0
    ANSWER = 0.05
    PROBE = 0.2
    SUMMARY = 0.3
    REPAIR = 0.4


@dataclass(slots=True)
class ByteBudget:
    """A token bucket of bytes.

    Attributes
    ----------
    rate_bytes_per_s
        Fill rate, which is the long-term average of the bytes that may be sent.
    burst_bytes
        Capacity, which is the number of bytes that may be sent at once after an idle time.
    tokens_bytes, filled_at
        Bytes available, and the time of the last refill.
    refused
        Messages refused by the budget, by traffic class.
    """

    rate_bytes_per_s: float
    burst_bytes: float
    filled_at: float
    tokens_bytes: float = 0.0
    refused: dict[TrafficClass, int] = field(default_factory=lambda: dict.fromkeys(TrafficClass, 0))


def make_budget(limit_bytes_per_s: float, now: float) -> ByteBudget:
    """Return an empty budget that limits the bytes sent within any one second."""
    burst_bytes = _BURST_RATIO * limit_bytes_per_s
    return ByteBudget(limit_bytes_per_s - burst_bytes, burst_bytes, now)


def fill_budget(budget: ByteBudget, now: float) -> None:
    """Add the tokens accrued since the last refill."""
    if now <= budget.filled_at:
        return
    gained = (now - budget.filled_at) * budget.rate_bytes_per_s
    budget.tokens_bytes = min(budget.burst_bytes, budget.tokens_bytes + gained)
    budget.filled_at = now


def can_spend(budget: ByteBudget, now: float, traffic: TrafficClass, size_bytes: int) -> bool:
    """Return whether a message of this size and class may be sent now."""
    fill_budget(budget, now)
    reserve = traffic.value * budget.burst_bytes
    return budget.tokens_bytes - size_bytes >= reserve


def try_spend(
    budgets: list[ByteBudget], now: float, traffic: TrafficClass, size_bytes: int
) -> bool:
    """Charge a message to all the budgets, or to none of them if any doesn't allow it."""
    for budget in budgets:
        if not can_spend(budget, now, traffic, size_bytes):
            budget.refused[traffic] += 1
            return False
    for budget in budgets:
        budget.tokens_bytes -= size_bytes
    return True


def charge_received(budget: ByteBudget, now: float, size_bytes: int) -> None:
    """Charge received bytes, down to the level at which probes stop."""
    fill_budget(budget, now)
    floor_bytes = min(budget.tokens_bytes, TrafficClass.PROBE.value * budget.burst_bytes)
    budget.tokens_bytes = max(floor_bytes, budget.tokens_bytes - size_bytes)


def get_available_bytes(budget: ByteBudget, now: float) -> float:
    """Return the bytes available after a refill."""
    fill_budget(budget, now)
    return budget.tokens_bytes


def get_budget_level(budget: ByteBudget, now: float) -> float:
    """Return the available fraction of the burst, 0 to 1."""
    fill_budget(budget, now)
    return budget.tokens_bytes / budget.burst_bytes
