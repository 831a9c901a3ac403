"""Counts and timings that a process keeps in memory until they are exported."""

from collections import Counter

MAX_TIMINGS = 200
"""Most timings kept of one name between two flushes; more are counted and left out."""


class Counters:
    """Counts by name since the process started, and timings since the last flush."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to its present value."""
        self.gauges[name] = value

    def add_timing(self, name: str, milliseconds: float) -> None:
        """Keep a timing until the next flush."""
        timings = self._timings.setdefault(name, [])
        if len(timings) < MAX_TIMINGS:
            timings.append(milliseconds)
        else:
            self.totals["metrics.timings_left_out"] += 1

    def take_timings(self) -> dict[str, list[float]]:
        """Return the timings since the last call, by name."""
        timings = self._timings
        self._timings = {}
        return timings
