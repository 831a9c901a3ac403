"""Counters and latency histograms in the Prometheus text exposition format.

The prometheus-client library would render the same text, but importing it takes 40 ms, which would
extend the outage whenever a node restarts; the format needs only a few lines.
"""

from bisect import bisect_left

from ragwort_common import Counters

from ragwort_mesh._customer_counts import CustomerCounts

BUCKETS_MS = (5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0)
"""Upper bounds of the histogram buckets, chosen around the users' latency objectives."""

PREFIX = "ragwortvalve_"


class Histograms:
    """Histograms of durations by name, since the process started."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def add(self, name: str, milliseconds: float) -> None:
        """Record one duration."""
        counts = self._counts.setdefault(name, [0] * (len(BUCKETS_MS) + 1))
        counts[bisect_left(BUCKETS_MS, milliseconds)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + milliseconds

    def render(self) -> list[str]:
        """Return the lines of all histograms."""
        lines = []
        for name, counts in sorted(self._counts.items()):
            metric = _make_metric_name(name) + "_ms"
            lines.append(f"# TYPE {metric} histogram")
            total = 0
            for bound, count in zip((*BUCKETS_MS, "+Inf"), counts, strict=True):
                total += count
                lines.append(f'{metric}_bucket{{le="{bound}"}} {total}')
            lines.append(f"{metric}_sum {self._sums[name]:.3f}")
            lines.append(f"{metric}_count {total}")
        return lines


def render_metrics(counters: Counters, histograms: Histograms, customers: CustomerCounts) -> bytes:
    """Return all counters, gauges and histograms in the exposition format."""
    lines = []
    for name, total in sorted(counters.totals.items()):
        lines += [
            f"# TYPE {_make_metric_name(name)}_total counter",
            f"{_make_metric_name(name)}_total {total}",
        ]
    for name, value in sorted(counters.gauges.items()):
        lines += [f"# TYPE {_make_metric_name(name)} gauge", f"{_make_metric_name(name)} {value}"]
    lines += customers.render(PREFIX)
    lines += histograms.render()
    return ("\n".join(lines) + "\n").encode()


def _make_metric_name(name: str) -> str:
    return PREFIX + "".join(letter if letter.isalnum() else "_" for letter in name)
