"""Demonstrates a whole deployment that answers real calls while one of its servers is killed."""

import asyncio
import contextlib
import itertools
import random
import signal
import sys
from pathlib import Path

import uvloop
from tabulate import tabulate

from bench.deployment import HANBIT, Fleet, apply_rules, count_runs, run_fleet, wait_ready
from bench.load import CallPlan, CallStats, open_session, send_at_rate

RULES = Path("docs/examples/hanbit.rules")
SEED = 20261203
CALLS_PER_S = 300.0
DURATION_S = 8.0
KILL_AFTER_S = 3.0
DIRECT_CALLS_PER_S = 100.0
EXIT_INTERRUPTED = 130


async def show_demo() -> int:
    """Run the demo and print its table; return the exit status."""
    print("starting the platform stand-in, 12 servers and a node beside each ...", flush=True)
    async with run_fleet(HANBIT) as fleet:
        await apply_rules(fleet, RULES, author="demo")
        await wait_ready(fleet)
        print("sending calls; one server is killed during the run ...", flush=True)
        direct = await _measure_direct(fleet)
        stats, duplicates = await _measure_nodes(fleet)
    _print_table(direct, stats, duplicates)
    return 0 if duplicates == 0 else 1


async def _measure_direct(fleet: Fleet) -> CallStats:
    stats = CallStats()
    source = random.Random(SEED)
    urls = [place.server_url("/drums/17") for place in fleet.find_places("drum-tracking")]
    async with open_session() as session:
        await send_at_rate(
            session,
            lambda: CallPlan(source.choice(urls)),
            DIRECT_CALLS_PER_S,
            2.0,
            stats,
            source,
        )
    return stats


async def _measure_nodes(fleet: Fleet) -> tuple[CallStats, int]:
    stats = CallStats()
    source = random.Random(SEED)
    numbers = itertools.count(1)
    victim = fleet.find_places("drum-tracking")[1]

    def make_plan() -> CallPlan:
        entry = source.choice(fleet.places)
        number = next(numbers)
        if number % 10 == 0:
            return CallPlan(
                entry.entry_url("/confirmations"),
                method="POST",
                host="collections",
                body=b'{"drums": 12}',
                key=f"confirmation-{number}",
            )
        return CallPlan(entry.entry_url(f"/drums/{number}"), host="drum-tracking")

    async def kill_server() -> None:
        await asyncio.sleep(KILL_AFTER_S)
        assert victim.server is not None
        victim.server.kill()

    async with open_session() as session:
        killing = asyncio.create_task(kill_server())
        await send_at_rate(session, make_plan, CALLS_PER_S, DURATION_S, stats, source)
        await killing
        runs = await count_runs(session, fleet)
    return stats, sum(1 for count in runs.values() if count > 1)


def _print_table(direct: CallStats, stats: CallStats, duplicates: int) -> None:
    outcomes = stats.outcomes
    rows = [
        ("calls sent", sum(outcomes.values())),
        ("answered", outcomes["answered"]),
        ("refused as not run", outcomes["not-run"]),
        ("unknown", outcomes["unknown"]),
        ("failed by the server", outcomes["failed"]),
        ("duplicate runs", duplicates),
        ("p50 through the nodes, ms", f"{stats.get_percentile(50):.2f}"),
        ("p50 calling the server directly, ms", f"{direct.get_percentile(50):.2f}"),
        ("p99 through the nodes, ms", f"{stats.get_percentile(99):.2f}"),
        ("p99 calling the server directly, ms", f"{direct.get_percentile(99):.2f}"),
    ]
    print(tabulate(rows, tablefmt="plain", disable_numparse=True))


async def _run_interruptible() -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        return await show_demo()
    print("interrupted; all started processes have been stopped", file=sys.stderr)
    return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(uvloop.run(_run_interruptible()))
