"""Measures the latency that the nodes add to a call, compared with calling the server directly.

One service runs with two servers and their nodes as processes. The entry reaches its own server
without a link (local) and the other one over a link (remote); the benchmark selects one of them by
draining the other.
"""

import asyncio
import random
from pathlib import Path

import aiohttp
import psutil
import uvloop

from bench.deployment import DeploymentPlan, Fleet, Place, apply_rules, run_fleet, wait_ready
from bench.load import CallPlan, CallStats, open_session, send_at_rate, send_one_by_one
from bench.report import print_result

SEED = 7
WARM_UP_CALLS = 300
CALLS = 2000
CALLS_PER_S = 100.0
DURATION_S = 8.0
TARGET_ADDED_MS = 0.52
HOST = "drum-tracking"
PLAN = DeploymentPlan(
    services=(HOST,),
    domains=(("gyeonggi", "siheung"), ("gyeonggi", "hwaseong")),
    slots=13,
    connections=250,
    service_ms=0.0,
)
RULES = b"drum-tracking GET /** idempotent interactive deadline=2s  # hanbit: benchmark\n"
TOKEN = "bench"
# At the target fleet size a node owns 0.1 key ranges; with two nodes it would own 32.
SETTINGS = {"admin": {"token": TOKEN}, "node": {"key_ranges": 1}}


async def measure_path() -> None:
    """Run the benchmark and print its results."""
    async with run_fleet(PLAN, SETTINGS) as fleet:
        rules = Path(fleet.folder) / "bench.rules"
        rules.write_bytes(RULES)
        await apply_rules(fleet, rules, "bench")
        await wait_ready(fleet)
        async with open_session() as session:
            await _measure_one_by_one(session, fleet)
            await _measure_at_rate(session, fleet)


async def _measure_one_by_one(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    entry, other = fleet.places
    direct = await _run_one_by_one(session, entry.server_url("/drums/1"))
    for name, drained in (("local", other), ("remote", entry)):
        await _set_drain(session, drained, True)
        await asyncio.sleep(1.0)
        cpu_before_s = _sum_cpu(fleet)
        stats = await _run_one_by_one(session, entry.entry_url("/drums/1"))
        cpu_ms = (_sum_cpu(fleet) - cpu_before_s) * 1000 / (CALLS + WARM_UP_CALLS)
        await _set_drain(session, drained, False)
        _report(f"path.{name}.one_by_one", stats, direct)
        print_result(f"path.{name}.cpu_per_call", cpu_ms, "ms", None, SEED)


async def _measure_at_rate(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    entry, other = fleet.places
    direct = await _run_at_rate(session, entry.server_url("/drums/1"))
    await _set_drain(session, entry, True)
    await asyncio.sleep(1.0)
    stats = await _run_at_rate(session, entry.entry_url("/drums/1"))
    await _set_drain(session, entry, False)
    _report("path.remote.at_100_per_s", stats, direct)


async def _run_one_by_one(session: aiohttp.ClientSession, url: str) -> CallStats:
    plan = CallPlan(url, host=HOST)
    await send_one_by_one(session, plan, WARM_UP_CALLS, CallStats())
    stats = CallStats()
    await send_one_by_one(session, plan, CALLS, stats)
    return stats


async def _run_at_rate(session: aiohttp.ClientSession, url: str) -> CallStats:
    plan = CallPlan(url, host=HOST)
    stats = CallStats()
    await send_at_rate(session, lambda: plan, CALLS_PER_S, DURATION_S, stats, random.Random(SEED))
    return stats


def _report(name: str, stats: CallStats, direct: CallStats) -> None:
    if set(stats.outcomes) != {"answered"}:
        raise RuntimeError(f"{name}: not every call was answered: {stats.outcomes}")
    for percent in (50, 99):
        with_nodes_ms, direct_ms = stats.get_percentile(percent), direct.get_percentile(percent)
        print_result(f"{name}.p{percent}", with_nodes_ms, "ms", direct_ms, SEED)
        print_result(
            f"{name}.p{percent}_added", with_nodes_ms - direct_ms, "ms", TARGET_ADDED_MS, SEED
        )


def _sum_cpu(fleet: Fleet) -> float:
    total = 0.0
    for place in fleet.places:
        assert place.process is not None
        times = psutil.Process(place.process.pid).cpu_times()
        total += times.user + times.system
    return total


async def _set_drain(session: aiohttp.ClientSession, place: Place, draining: bool) -> None:
    headers = {"Authorization": f"Bearer {TOKEN}"}
    method = "PUT" if draining else "DELETE"
    async with session.request(method, place.admin_url("/v1/drain"), headers=headers) as response:
        response.raise_for_status()


if __name__ == "__main__":
    uvloop.run(measure_path())
