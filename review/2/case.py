"""A heartbeat of another writer, for an unknown service with many slots, stops a node."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import World, exchange, make_configuration, make_route, run_case  # noqa: E402

SLOTS = 2**31 - 1
"""The largest 32-bit integer, as a writer without a limit may state it."""

OBSERVED_S = 30.0
"""How long the node is watched after the heartbeat."""


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(world: World, trouble: bool) -> list[str]:
    """Play the case, and return why the rule is broken."""
    nodes = [
        world.add_node(("tracker", "pickups")[number // 2], f"z{number % 2 + 1}")
        for number in range(4)
    ]
    for node in nodes:
        world.add_server(node)
    routes = {
        "r-status": make_route("tracker", "/status/", "idempotent", 800, 300),
        "r-confirm": make_route("pickups", "/confirm/", "non_idempotent", 1000, 400),
    }
    services = {name: {"healthPath": "/healthz"} for name in ("tracker", "pickups")}
    await world.start(make_configuration(1, routes, services))
    record = world.record
    node = nodes[0]
    calls: set = set()
    outcomes: list[tuple[float, int]] = []
    checks: list[tuple[float, bool]] = []

    async def send(method: str, path: str, deadline_ms: int) -> None:
        at = record.now()
        _, result = await world.call(node, path, deadline_ms, method)
        outcomes.append((at, result.status))

    async def send_calls() -> None:
        while True:
            calls.add(asyncio.create_task(send("GET", "/status/1", 800)))
            calls.add(asyncio.create_task(send("POST", "/confirm/1", 1000)))
            await asyncio.sleep(0.1)

    async def check_readiness() -> None:
        while True:
            at = record.now()
            answered = await node.is_ready()
            checks.append((at, answered))
            record.write("ready-check", node=node.name, answered=answered)
            await asyncio.sleep(1.0)

    tasks = [asyncio.create_task(send_calls()), asyncio.create_task(check_readiness())]
    await asyncio.sleep(4.0)
    sent_at = record.now()
    if trouble:
        beat = {
            "service": "no-such-service",
            "addr": f"{node.ip}:1",
            "zone": node.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        address = f"{node.ip}:{world.ports['control']}"
        headers = {"Content-Type": "application/json"}
        path = "/-/instances/i-other"
        record.write("foreign-heartbeat", node=node.name, content=json.dumps(beat))
        result = await exchange(
            address, "PUT", path, headers, json.dumps(beat).encode(), timeout_s=1.0
        )
        record.write("foreign-heartbeat-answered", status=result.status, error=result.error)
    cpu_s = read_cpu_s(node.process.pid)
    since = record.now()
    await asyncio.sleep(sent_at + OBSERVED_S - since)
    used = (read_cpu_s(node.process.pid) - cpu_s) / (record.now() - since)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*calls)

    answers = [status for at, status in outcomes if at > sent_at + 1.0]
    ready = [answered for at, answered in checks if at > sent_at + 1.0]
    served = sum(status > 0 for status in answers)
    record.write(
        "result",
        requests=len(answers),
        answered=served,
        ready_checks=len(ready),
        ready=sum(ready),
        processor_share=f"{used:.2f}",
    )
    print(
        f"{served} of {len(answers)} requests and {sum(ready)} of {len(ready)} readiness checks"
        f" answered, {used:.2f} of a core used"
    )
    if served or any(ready) or used < 0.5:
        return []
    return [
        f"Fault: {node.name} doesn't hand back the processor: for {OBSERVED_S:.0f} s none of"
        f" {len(answers)} requests and {len(ready)} readiness checks was answered"
    ]


run_case(play)
