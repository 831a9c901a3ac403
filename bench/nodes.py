"""Measures node processes without traffic: memory, processor time and platform calls.

Fleets of three sizes start one after another and are then idle at the same time, so that the
benchmark takes less than a minute. The platform stand-in counts platform calls by kind; a waiting
watch counts once per request.
"""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator

import aiohttp
import psutil

from bench.costs import report
from bench.deployment import (
    HANBIT,
    DeploymentPlan,
    Fleet,
    Place,
    apply_rules,
    run_fleet,
    start_node,
    wait_ready,
)

SERVICES = ("drum-tracking", "collections", "cleaning-records")
SETTLE_S = 7.0
# Leases are renewed every 15 s, so a window of that length has one renewal of each range.
IDLE_S = 15.0
RESTART_S = 15.0
RULES = b"drum-tracking GET /** idempotent deadline=2s  # hanbit: lookups\n"


@contextlib.asynccontextmanager
async def _run_ready_fleet(services: int, start_lock: asyncio.Lock) -> AsyncIterator[Fleet]:
    plan = DeploymentPlan(
        SERVICES[:services], HANBIT.domains, slots=13, connections=250, service_ms=0.0
    )
    async with contextlib.AsyncExitStack() as stack:
        async with start_lock:
            fleet = await stack.enter_async_context(run_fleet(plan))
            await _apply_rules(fleet)
            await wait_ready(fleet)
        yield fleet


async def _apply_rules(fleet: Fleet) -> None:
    path = fleet.folder / "capacity.rules"
    path.write_bytes(RULES)
    await apply_rules(fleet, path, "bench")


async def _count_calls(fleet: Fleet) -> Counter[str]:
    url = f"{fleet.platform_url}/control/counts"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return Counter(await response.json())


def _sum_cpu(fleet: Fleet) -> float:
    total = 0.0
    for place in fleet.places:
        times = _find_process(place).cpu_times()
        total += times.user + times.system
    return total


def _find_process(place: Place) -> psutil.Process:
    assert place.process is not None
    return psutil.Process(place.process.pid)


async def _measure_idle(fleet: Fleet) -> None:
    size = len(fleet.places)
    started = await _count_calls(fleet)
    for kind, count in sorted(started.items()):
        report(f"nodes.{size}.start.{kind}", count / size, "platform calls/node")
    await asyncio.sleep(SETTLE_S)
    before, cpu, began = await _count_calls(fleet), _sum_cpu(fleet), time.monotonic()
    await asyncio.sleep(IDLE_S)
    elapsed = time.monotonic() - began
    spent, after = _sum_cpu(fleet) - cpu, await _count_calls(fleet)
    resident = [_find_process(place).memory_info().rss for place in fleet.places]
    report(f"nodes.{size}.resident.mean", sum(resident) / size / 1e6, "MB/node")
    report(f"nodes.{size}.resident.most", max(resident) / 1e6, "MB/node")
    report(f"nodes.{size}.idle.cpu", 100 * spent / elapsed / size, "% of a core/node")
    for kind, count in sorted((after - before).items()):
        report(f"nodes.{size}.idle.{kind}", count / elapsed, "platform calls/s, fleet")


async def _measure_restart(fleet: Fleet) -> None:
    size = len(fleet.places)
    place = fleet.places[-1]
    assert place.process is not None
    before, began = await _count_calls(fleet), time.monotonic()
    place.process.terminate()
    await place.process.wait()
    await start_node(fleet, place)
    await wait_ready(fleet)
    await asyncio.sleep(max(0.0, began + RESTART_S - time.monotonic()))
    after = await _count_calls(fleet)
    for kind, count in sorted((after - before).items()):
        report(f"nodes.{size}.restart.{kind}", count, "platform calls")


async def _measure_fleet(services: int, start_lock: asyncio.Lock) -> None:
    async with _run_ready_fleet(services, start_lock) as fleet:
        await _measure_idle(fleet)
        await _measure_restart(fleet)


async def measure_nodes() -> None:
    """Measure fleets of 4, 8 and 12 nodes."""
    start_lock = asyncio.Lock()
    await asyncio.gather(*(_measure_fleet(count, start_lock) for count in (1, 2, 3)))
