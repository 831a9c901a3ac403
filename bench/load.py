"""Sends HTTP calls, one by one or at a steady rate, and records their outcomes and latencies."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
import numpy as np

CALL_TIMEOUT_S = 15
REQUEST_ID = "X-Request-Id"
_request_numbers = itertools.count(1)


@dataclass(slots=True)
class CallStats:
    """Latencies of answered calls, the number of calls by outcome, and the outcome of each call."""

    latencies_ms: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    request_ids: dict[str, str] = field(default_factory=dict)

    def get_percentile(self, percent: float) -> float:
        """Return a percentile of the latencies in milliseconds, or NaN if no call was answered."""
        if not self.latencies_ms:
            return float("nan")
        return float(np.percentile(self.latencies_ms, percent))


@dataclass(frozen=True, slots=True)
class CallPlan:
    """A call to send; ``host`` is the Host header, which names the service."""

    url: str
    method: str = "GET"
    host: str = ""
    body: bytes = b""
    key: str = ""


async def send_call(session: aiohttp.ClientSession, plan: CallPlan, stats: CallStats) -> None:
    """Send one call and record its outcome."""
    request_id = f"call-{next(_request_numbers)}"
    headers = {REQUEST_ID: request_id}
    if plan.host:
        headers["Host"] = plan.host
    if plan.key:
        headers["Idempotency-Key"] = plan.key
    started = time.perf_counter()
    try:
        async with session.request(
            plan.method, plan.url, headers=headers, data=plan.body or None
        ) as response:
            await response.read()
            default_outcome = "answered" if response.status < 500 else "failed"
            outcome = response.headers.get("Ragwort-Outcome", default_outcome)
    except (aiohttp.ClientError, TimeoutError):
        outcome = "unknown"
    if outcome == "answered":
        stats.latencies_ms.append((time.perf_counter() - started) * 1000)
    stats.outcomes[outcome] += 1
    stats.request_ids[request_id] = outcome


async def send_one_by_one(
    session: aiohttp.ClientSession, plan: CallPlan, count: int, stats: CallStats
) -> None:
    """Send calls one at a time, each after the previous one has ended."""
    for _ in range(count):
        await send_call(session, plan, stats)


async def send_at_rate(
    session: aiohttp.ClientSession,
    make_plan: Callable[[], CallPlan],
    calls_per_s: float,
    seconds: float,
    stats: CallStats,
    random_source: random.Random,
) -> None:
    """Send calls as a Poisson process (open loop), without waiting for earlier calls to end."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    due = loop.time()
    tasks: set[asyncio.Task[None]] = set()
    while True:
        due += random_source.expovariate(calls_per_s)
        if due >= end:
            break
        await asyncio.sleep(max(0.0, due - loop.time()))
        task = asyncio.create_task(send_call(session, make_plan(), stats))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


def open_session() -> aiohttp.ClientSession:
    """Return an HTTP client session without a limit on concurrent connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
