"""Counts calls and refusals by customer, of the customers with the most calls by name."""

from dataclasses import dataclass
from heapq import nlargest

from ragwort_common import CustomerName

MAX_NAMED = 20
"""Most customers that are counted by name, which bounds the number of metrics."""

RANKING_CALLS = 10_000
"""Number of calls after which the customers counted by name are chosen again: about two minutes of
a node's share of the calls at design scale."""

DECAY = 0.5
"""Factor applied to the recent calls of each customer at such a choice."""

FORGET_BELOW = 0.1
"""Recent calls below which a customer is forgotten."""


@dataclass(slots=True)
class _Totals:
    calls: int = 0
    refused: int = 0


class CustomerCounts:
    """Calls and refusals since the process started, by customer.

    A customer that is no longer counted by name is added to the others, so that the sum over all
    stays right and the number of the others never falls. Its own count starts at 0 if it returns.
    """

    def __init__(self) -> None:
        self._named: dict[CustomerName, _Totals] = {}
        self._others = _Totals()
        self._recent: dict[CustomerName, float] = {}
        self._calls_until_ranking = RANKING_CALLS

    def add(self, customer: CustomerName, refused: bool) -> None:
        """Count a call that has ended, or that was refused."""
        if customer not in self._named and len(self._named) < MAX_NAMED:
            self._named[customer] = _Totals()
        totals = self._named.get(customer, self._others)
        totals.calls += 1
        totals.refused += refused
        self._recent[customer] = self._recent.get(customer, 0.0) + 1
        self._calls_until_ranking -= 1
        if not self._calls_until_ranking:
            self._choose_named()

    def render(self, prefix: str) -> list[str]:
        """Return the counts as lines of the Prometheus exposition format, none without calls."""
        lines = []
        for field in ("calls", "refused") if self._named else ():
            metric = f"{prefix}customer_{field}_total"
            lines.append(f"# TYPE {metric} counter")
            for customer, totals in sorted(self._named.items()):
                label = _escape_label(customer)
                lines.append(f'{metric}{{customer="{label}"}} {getattr(totals, field)}')
            metric = f"{prefix}other_customers_{field}_total"
            lines += [f"# TYPE {metric} counter", f"{metric} {getattr(self._others, field)}"]
        return lines

    def _choose_named(self) -> None:
        """Choose the customers that are counted by name, by their recent calls."""
        self._calls_until_ranking = RANKING_CALLS
        chosen = nlargest(MAX_NAMED, self._recent, self._recent.__getitem__)
        for customer in [name for name in self._named if name not in chosen]:
            totals = self._named.pop(customer)
            self._others.calls += totals.calls
            self._others.refused += totals.refused
        for customer in chosen:
            self._named.setdefault(customer, _Totals())
        decayed = {name: calls * DECAY for name, calls in self._recent.items()}
        self._recent = {name: calls for name, calls in decayed.items() if calls >= FORGET_BELOW}


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
