"""A customer without a limit gets one while its calls wait; nodes that refuse such a call end."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import World, make_configuration, make_route, run_case  # noqa: E402

BOUNDS = {"quotaWindowS": 5, "quotaExcess": 0.1, "quotaSlack": 20}
ROUNDS = 8
"""Most times that the limit is set; the check needs three ends of a process."""

ENDS, MACHINES = 3, 2
"""The Fault rule: ends of a machine's process, on a tenth of the machines, two at least."""


def work(path: str) -> float:
    """Return the time that a request works: neighbours slow a quarter of them down fivefold."""
    base_s = 0.333 if path.startswith("/archive/") else 0.133
    return base_s * random.uniform(0.7, 1.3) * (3.0 if random.random() < 0.15 else 1.0)


async def play(world: World, trouble: bool) -> list[str]:
    """Play the case, and return why the rule is broken."""
    nodes = [world.add_node("records", f"z{number % 2 + 1}") for number in range(4)]
    for node in nodes:
        world.add_server(node, slots=5, queue=10, work_s=work)
    routes = {
        "r-archive": make_route("records", "/archive/", "idempotent", 4000, 1625, priority=3),
        "r-check": make_route("records", "/check/", "idempotent", 2000, 500, priority=1),
    }
    services = {"records": {"healthPath": "/healthz"}}
    version = 0

    def configure(is_limited: bool) -> dict:
        nonlocal version
        version += 1
        rate = {"ratePerS": 40, "burst": 40} if is_limited else {"ratePerS": 0, "burst": 0}
        tenants = {
            "desk": {"apiKeys": ["key-desk"], "priority": 0, "ratePerS": 0, "burst": 0},
            "batch": {"apiKeys": ["key-batch"], "priority": 2, **rate},
        }
        return make_configuration(version, routes, services, tenants)

    await world.start(configure(False))
    record = world.record
    calls: set = set()

    async def send_checks() -> None:
        while True:
            for node in nodes:
                call = world.call(node, "/check/1", 2000, key="key-desk")
                calls.add(asyncio.create_task(call))
            await asyncio.sleep(0.04)

    traffic = asyncio.create_task(send_checks())
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        for node in nodes:
            for _ in range(12):
                call = world.call(node, "/archive/1", 4000, key="key-batch")
                calls.add(asyncio.create_task(call))
        await asyncio.sleep(0.25)
        if trouble:
            await world.configure(configure(True))
        # A process that ends by itself still serves for some seconds.
        await asyncio.sleep(7.0)
        if sum(len(node.own_ends) >= ENDS for node in nodes) >= MACHINES:
            break
        if trouble:
            await world.configure(configure(False))
        for node in nodes:
            while not await node.is_ready():
                await asyncio.sleep(0.2)
        await asyncio.sleep(4.0)
    traffic.cancel()
    results = await asyncio.gather(*calls)
    refused = sum(result.status == 0 for _, result in results)
    for node in nodes:
        for line in node.read_log("log", "raw"):
            if line.get("level") != "INFO":
                record.write("node-log", node=node.name, error=str(line)[-60:].rpartition("n")[2])
    ends = {node.name: len(node.own_ends) for node in nodes}
    record.write("result", ends=ends, calls=len(results), calls_without_answer=refused)
    if sum(count >= ENDS for count in ends.values()) < MACHINES:
        print("processes ended by themselves:", ends)
        return []
    return [f"Fault: processes ended by themselves, {ends}, with no disruption on their machines"]


run_case(play, BOUNDS)
