"""A server leaves with DELETE, its node is killed, and an older heartbeat arrives late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import World, make_configuration, make_route, run_case  # noqa: E402

LATE_S = 2.0
"""How late the heartbeat is: pages, "A heartbeat may arrive seconds late"."""

LEAVES_FOR_S = 14.0
"""How long the server serves after its DELETE: pages, "at times many seconds"."""


async def play(world: World, trouble: bool) -> list[str]:
    """Play the case, and return why the rule is broken."""
    first = world.add_node("pickups", "z1")
    second = world.add_node("pickups", "z2")
    entry = world.add_node("tracker", "z1")
    leaving = world.add_server(first)
    world.add_server(second)
    world.add_server(entry)
    routes = {"r-confirm": make_route("pickups", "/confirm/", "non_idempotent", 1000, 400)}
    services = {name: {"healthPath": "/healthz"} for name in ("pickups", "tracker")}
    await world.start(make_configuration(1, routes, services))
    record = world.record
    lost = []

    async def send() -> None:
        call_id, result = await world.call(entry, "/confirm/1", 1000, "POST", body=b"confirm")
        if result.status in (0, 502, 504):
            lost.append(call_id)

    async def send_calls(calls: set) -> None:
        while True:
            calls.add(asyncio.create_task(send()))
            await asyncio.sleep(0.05)

    calls: set = set()
    traffic = asyncio.create_task(send_calls(calls))
    await asyncio.sleep(3.0)
    # The last heartbeat before the departure is held up on its way.
    leaving.reports_draining = False
    late = leaving.make_beat()
    leaving.state = "draining"
    left_at = record.now()
    status = await leaving.leave()
    assert status == 200, f"the departure was not acknowledged: {status}"
    acknowledged = record.now()
    record.write("departure-acknowledged", server=leaving.instance)
    if trouble:
        await asyncio.sleep(0.2)
        await first.kill()
        await asyncio.sleep(0.3)
        await first.start()
    restarted = record.now()
    await asyncio.sleep(left_at + LATE_S - record.now())
    await leaving.send_beat(late)
    await asyncio.sleep(left_at + LEAVES_FOR_S - record.now())
    leaving.exit()
    await asyncio.sleep(2.0)
    traffic.cancel()
    await asyncio.gather(*calls)

    drain_s = world.bounds["drainMs"] / 1000
    # The node's own machine is in touch again stableWindowMs after its start.
    in_touch = max(acknowledged + drain_s, restarted + world.bounds["stableWindowMs"] / 1000)
    late_arrivals = [run for run in leaving.requests if run.arrived > in_touch]
    all_late = [run for run in leaving.requests if run.arrived > acknowledged + drain_s]
    at_work = [run for run in leaving.requests if run.ran and not run.status]
    record.write(
        "result",
        arrivals_later_than_drain=len(all_late),
        arrivals_with_all_machines_in_touch=len(late_arrivals),
        cut_off_at_work=len(at_work),
        calls_without_answer=len(lost),
    )
    if not late_arrivals:
        return []
    return [
        f"DRAIN: {len(late_arrivals)} requests reached {leaving.instance} later than drainMs after"
        f" its departure was acknowledged, with all machines in touch; the last one"
        f" {late_arrivals[-1].arrived - acknowledged:.1f} s after it; {len(at_work)} were at work"
        f" there when it exited"
    ]


run_case(play)
