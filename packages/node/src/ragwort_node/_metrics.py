"""Sends metrics to statsd in batches, outside of the request path."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import statsd
from ragwort_common import Counters

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 1432
"""Maximum size of a statsd datagram, so that it fits into an Ethernet frame."""


async def flush_metrics(
    counters: Counters,
    host: str,
    port: int,
    prefix: str,
    interval_ms: int,
    collect: Callable[[], None],
) -> None:
    """Send changed counters, gauges and timings to statsd in each interval, until cancelled.

    ``collect`` is called before each flush to update the counters.
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
        for name, timings in counters.drain_timings().items():
            for timing in timings:
                batch.timing(name, timing)
