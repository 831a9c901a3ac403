"""In-memory metrics of a process: counters, gauges and timings awaiting export."""

from collections import Counter

MAX_TIMINGS = 200
"""Maximum timings kept per name between two flushes; further ones are dropped and counted."""


class Counters:
    """Counters since process start, current gauges, and timings since the last flush."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Increment a counter."""
        self.totals[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        self.gauges[name] = value

    def add_timing(self, name: str, milliseconds: float) -> None:
        """Record a timing until the next flush."""
        timings = self._timings.setdefault(name, [])
        if len(timings) < MAX_TIMINGS:
            timings.append(milliseconds)
        else:
            self.totals["metrics.timings_left_out"] += 1

    def drain_timings(self) -> dict[str, list[float]]:
        """Return the timings recorded since the previous call, by name, and clear them."""
        timings = self._timings
        self._timings = {}
        return timings
