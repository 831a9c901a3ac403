"""Shares between customers at a full server, compared with other orders, in virtual time.

Prints, for each order and load: the share of all calls in time, that of the customers at their
usual rate, that of the worst-served tenth of these, the share of all calls served by their
deadline, and how often the first customer is served relative to all.
"""

from contextlib import ExitStack
from itertools import chain
from unittest.mock import patch

from flow_simulation import Hosts, Kind, Result, simulate_ragwort
from ragwort_common import CustomerName
from ragwort_flow import SchedulerState, _call_start, _customer_shares, _overload, _scheduler
from ragwort_flow._customer_shares import LEAST_SHARE, CustomerUsage, record_arrival

SLOTS = 5
SECONDS = 20
SEEDS = (1, 2)
SHAPES = ((0.053, 0.3, 2.0, 0.6), (0.333, 1.6, 6.0, 0.4))
"""Work, objective, deadline (each in seconds), and part of the calls of each kind."""


def make_kinds(rates: list[float], load: float) -> list[Kind]:
    """Return the calls of customers with relative rates, whose sum uses the capacity ``load``."""
    work_s = sum(shape[0] * shape[3] for shape in SHAPES)
    scale = load * SLOTS / work_s / sum(rates)
    return [
        Kind(f"k{kind}", work, objective, deadline, 1, rate * scale * part, customer=f"c{customer}")
        for customer, rate in enumerate(rates)
        for kind, (work, objective, deadline, part) in enumerate(SHAPES)
    ]


def learn(state: SchedulerState, usual: list[float], total_per_s: float) -> None:
    """Let a scheduler know the customers' usual rates, relative to each other."""
    calls = [
        ((step + 0.5) / (rate / sum(usual) * total_per_s) - 400.0, f"c{customer}")
        for customer, rate in enumerate(usual)
        for step in range(int(400.0 * rate / sum(usual) * total_per_s))
    ]
    for at, customer in sorted(calls):
        record_arrival(state.shares, at, CustomerName(customer))


class StartTimeFairQueue:
    """Start-time fair queueing (Goyal and others, 1996) in place of the order by latest start.

    Calls of a customer go by latest start; only those that start use up its share.
    """

    def __init__(self, by_usual_rate: bool) -> None:
        self._by_usual_rate = by_usual_rate
        self._finished: dict[str, float] = {}
        self._virtual_time = 0.0

    def order(self, state, now, calls):
        """Return waiting calls in the order in which they start."""
        next_tags: dict[str, float] = {}
        tags = {}
        for call in sorted(calls, key=lambda call: (call.due < now, call.due)):
            customer = call.customer
            tag = next_tags.get(customer, self._find_tag(customer))
            tags[call.call_id] = tag
            next_tags[customer] = tag + call.work_s / self._get_weight(state, customer)
        return sorted(
            calls, key=lambda call: (call.due < now, call.rank, tags[call.call_id], call.due)
        )

    def start(self, start, state, now, pending):
        """Start a call with the given function, and advance the virtual time."""
        tag = self._find_tag(pending.customer)
        self._virtual_time = max(self._virtual_time, tag)
        weight = self._get_weight(state, pending.customer)
        self._finished[pending.customer] = tag + pending.default_work_s / weight
        start(state, now, pending)

    def _find_tag(self, customer):
        return max(self._virtual_time, self._finished.get(customer, 0.0))

    def _get_weight(self, state, customer):
        if not self._by_usual_rate or not state.shares.total.usual:
            return 1.0
        usage = state.shares.customers.get(customer, CustomerUsage())
        mean = state.shares.total.usual / len(state.shares.customers)
        return max(usage.usual, LEAST_SHARE * mean) / mean


def make_patches(order: str) -> list:
    """Return the replacements that make the scheduler use an order."""
    ignored = patch.object(_scheduler, "record_arrival", count_only)
    none_first = patch.object(_overload, "list_first_customers", lambda *words: frozenset())
    always = patch.object(_overload, "needs_sharing", lambda *words: True)
    if order == "before":
        never = patch.object(_overload, "needs_sharing", lambda *words: False)
        return [ignored, none_first, never]
    if order == "giving up, no shares":
        return [ignored, none_first, always]
    if order.startswith("fair queueing"):
        queue = StartTimeFairQueue(order.endswith("usual rates"))
        patches = [ignored, none_first, always]
        for module in (_overload, _call_start, _scheduler):
            patches.append(patch.object(module, "order_waiting", queue.order))
        start = _call_start.start_call
        for module in (_call_start, _scheduler):
            patches.append(
                patch.object(module, "start_call", lambda *words: queue.start(start, *words))
            )
        return patches
    if order.startswith("shares, "):
        growth, tokens = order.removeprefix("shares, ").split(" and ")
        return [
            patch.object(_customer_shares, "ALLOWED_GROWTH", float(growth)),
            patch.object(_customer_shares, "MAX_TOKENS", float(tokens)),
        ]
    return []


def count_only(shares, now, customer):
    """Count a call as the scheduler does, but as within its customer's share."""
    record_arrival(shares, now, customer)
    return False


def simulate(
    order: str, rates: list[float], usual: list[float] | None, load: float, seed: int
) -> Result:
    """Simulate a server whose customers send at given rates, and that knows their usual ones."""
    kinds = make_kinds(rates, load)
    per_s = sum(kind.per_s for kind in kinds) * (sum(usual) / sum(rates) if usual else 1.0)

    def prepare(state: SchedulerState) -> None:
        if usual:
            learn(state, usual, per_s)

    with ExitStack() as stack:
        for replacement in make_patches(order):
            stack.enter_context(replacement)
        hosts = Hosts(slots=SLOTS, share=0.0, full_slowdown=1.0)
        return simulate_ragwort(kinds, 1, seed, SECONDS, hosts=hosts, prepare=prepare)


def list_ratios(table: dict[str, int], result: Result) -> dict[str, float]:
    """Return the part of each customer's calls that a table of the result counts."""
    return {name: table.get(name, 0) / offered for name, offered in result.offered.items()}


def measure(order: str, rates: list[float], usual: list[float] | None, load: float) -> list[float]:
    """Return the five figures of an order, as means over the seeds."""
    rows = []
    for seed in SEEDS:
        result = simulate(order, rates, usual, load, seed)
        in_time = list_ratios(result.in_time, result)
        others = [name for name in in_time if name != "c0"]
        worst = sorted(in_time[name] for name in others)[: max(1, len(others) // 10)]
        calm = sum(result.in_time.get(name, 0) for name in others)
        served = sum(result.served.values()) / sum(result.offered.values())
        rows.append(
            (
                result.get_in_time_ratio(),
                calm / sum(result.offered[name] for name in others),
                sum(worst) / len(worst),
                served,
                list_ratios(result.served, result)["c0"] / served,
            )
        )
    return [sum(column) / len(rows) for column in zip(*rows, strict=True)]


SKEWED = [1.0 / (number + 1) for number in range(40)]
CASES = {
    "surge of one in 21": ([6.0] + [1.0] * 20, [1.0] * 21),
    "surge of the largest of 40": ([4.0, *SKEWED[1:]], SKEWED),
    "large, usual rate": ([10.0] + [1.0] * 20, [10.0] + [1.0] * 20),
    "surge of one in 3": ([6.0, 1.0, 1.0], [1.0] * 3),
    "all at twice": ([2.0] * 21, [1.0] * 21),
    "surge, restarted node": ([6.0] + [1.0] * 20, None),
}
LOADS = (1.2, 2.0, 4.0)
ORDERS = (
    "before",
    "giving up, no shares",
    "fair queueing, equal weights",
    "fair queueing, usual rates",
    "chosen",
)


def main() -> None:
    """Print one line for each case, load and order."""
    variants = [f"shares, {words}" for words in ("1.25 and 8", "2 and 8", "1.5 and 4")]
    for case, (rates, usual) in CASES.items():
        for load in LOADS:
            for order in chain(ORDERS, variants if case.endswith(("21", "40")) else ()):
                figures = " ".join(f"{value:.3f}" for value in measure(order, rates, usual, load))
                print(f"{case:28} {load} {order:30} {figures}", flush=True)


if __name__ == "__main__":
    main()
