"""Budgets for the bytes of watching: token buckets with a reserve for each class of traffic.

A bucket starts empty, so that a node that restarts again and again spends no more than one that
runs on. Bytes received are charged too. They cannot be refused, so they are charged only as far as
they leave the reserve that answers and urgent news are paid from: a node that fell silent because
others write to it would be taken for dead, and the news of that would bring yet more traffic.
"""

from dataclasses import dataclass, field
from enum import Enum

_BURST_SHARE = 0.35


class Traffic(Enum):
    """Classes of traffic; the value is the share of the burst that the class must leave over.

    A class with a higher share stops sooner when the budget runs low.
    """

    URGENT = 0.0
    ANSWER = 0.05
    PROBE = 0.2
    SUMMARY = 0.3
    REPAIR = 0.4


@dataclass(slots=True)
class Budget:
    """A token bucket of bytes.

    Attributes
    ----------
    rate_bytes_per_s
        Bytes that the budget allows in a second, over any long time.
    burst_bytes
        Bytes that it allows at once after a quiet time.
    tokens_bytes, filled_at
        Bytes left, and when that was worked out.
    refused
        Sends that the budget did not allow, for each class.
    """

    rate_bytes_per_s: float
    burst_bytes: float
    filled_at: float
    tokens_bytes: float = 0.0
    refused: dict[Traffic, int] = field(default_factory=lambda: dict.fromkeys(Traffic, 0))


def make_budget(limit_bytes_per_s: float, now: float) -> Budget:
    """Return an empty budget that keeps what is sent in any one second under a limit."""
    burst_bytes = _BURST_SHARE * limit_bytes_per_s
    return Budget(limit_bytes_per_s - burst_bytes, burst_bytes, now)


def fill_budget(budget: Budget, now: float) -> None:
    """Add the bytes that the time since the last call has brought."""
    if now <= budget.filled_at:
        return
    gained = (now - budget.filled_at) * budget.rate_bytes_per_s
    budget.tokens_bytes = min(budget.burst_bytes, budget.tokens_bytes + gained)
    budget.filled_at = now


def can_spend(budget: Budget, now: float, traffic: Traffic, size_bytes: int) -> bool:
    """Return whether a message of this size may be sent now."""
    fill_budget(budget, now)
    reserve = traffic.value * budget.burst_bytes
    return budget.tokens_bytes - size_bytes >= reserve


def try_spend(budgets: list[Budget], now: float, traffic: Traffic, size_bytes: int) -> bool:
    """Charge a message to all of the budgets, or to none when one of them does not allow it."""
    for budget in budgets:
        if not can_spend(budget, now, traffic, size_bytes):
            budget.refused[traffic] += 1
            return False
    for budget in budgets:
        budget.tokens_bytes -= size_bytes
    return True


def charge_received(budget: Budget, now: float, size_bytes: int) -> None:
    """Charge bytes that have arrived, down to the reserve of probes."""
    fill_budget(budget, now)
    floor_bytes = min(budget.tokens_bytes, Traffic.PROBE.value * budget.burst_bytes)
    budget.tokens_bytes = max(floor_bytes, budget.tokens_bytes - size_bytes)


def measure_tokens_bytes(budget: Budget, now: float) -> float:
    """Return the bytes that are left."""
    fill_budget(budget, now)
    return budget.tokens_bytes


def measure_level(budget: Budget, now: float) -> float:
    """Return the share of the burst that is left, 0 to 1."""
    fill_budget(budget, now)
    return budget.tokens_bytes / budget.burst_bytes
