"""Counters and timings, kept in memory and sent to statsd in batches off the request path."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import statsd

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 1432
"""Largest statsd datagram, so that it fits an Ethernet frame."""

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


async def flush_metrics(
    counters: Counters,
    host: str,
    port: int,
    prefix: str,
    interval_ms: int,
    collect: Callable[[], None],
) -> None:
    """Send what changed to statsd, once an interval, until cancelled.

    ``collect`` is called before each send, to bring the counters up to date.
    """
    client = statsd.StatsClient(host, port, prefix=prefix, maxudpsize=MAX_DATAGRAM_BYTES)
    sent: Counter[str] = Counter()
    while True:
        await asyncio.sleep(interval_ms / 1000)
        collect()
        _flush(client, counters, sent)


def _flush(client: statsd.StatsClient, counters: Counters, sent: Counter[str]) -> None:
    with client.pipeline() as batch:
        for name, total in counters.totals.items():
            change = total - sent[name]
            if change:
                batch.incr(name, change)
                sent[name] = total
        for name, value in counters.gauges.items():
            batch.gauge(name, value)
        for name, timings in counters.take_timings().items():
            for timing in timings:
                batch.timing(name, timing)
