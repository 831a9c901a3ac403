"""Injects the scheduled faults into the processes of a run; faults of a member may overlap."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable

import aiohttp

from soak.callers import send_crashing_call
from soak.customers import CUSTOMERS
from soak.fleet import GRACE_S, Fleet, Member
from soak.plan import Fault, ScheduledFault

SETTLE_S = 4.0
"""Time after a fault in which links and watches reconnect; the member still counts as disturbed."""

SERVER_DELAY_S = 0.15
"""Delay of each chunk of data between a node and its server during a server-delay fault."""

CRASHING_CALL_INTERVAL_S = 0.15
"""Mean interval between two of these calls."""

SERVER_DOWN_S = 0.5
"""How long a server stays down after such a crash."""


async def inject_faults(fleet: Fleet, schedule: list[ScheduledFault], started_at: float) -> None:
    """Inject every fault at its time, and return once all have ended."""
    async with asyncio.TaskGroup() as group:
        for scheduled in schedule:
            await asyncio.sleep(max(0.0, started_at + scheduled.start_s - time.time()))
            if scheduled.fault is Fault.CONFIGURE:
                group.create_task(fleet.configure())
                continue
            if scheduled.fault is Fault.STORE_PAUSE:
                group.create_task(pause_store(fleet, scheduled.duration_s))
                continue
            if scheduled.fault is Fault.CRASHING_CALLS:
                group.create_task(_send_crashing_calls(fleet, scheduled))
                continue
            for number in scheduled.member_numbers:
                group.create_task(_inject_fault(fleet, fleet.members[number], scheduled))


async def _inject_fault(fleet: Fleet, member: Member, scheduled: ScheduledFault) -> None:
    with member.record_disturbance():
        await _INJECTORS[scheduled.fault](fleet, member, scheduled.duration_s)
        await asyncio.sleep(SETTLE_S)


async def pause_store(fleet: Fleet, duration_s: float) -> None:
    """Pause the store process."""
    fleet.signal(fleet.store, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    fleet.signal(fleet.store, signal.SIGCONT)


async def _send_crashing_calls(fleet: Fleet, scheduled: ScheduledFault) -> None:
    """Send a request that crashes the servers of a service, from the hosts of another one."""
    name = f"crash-{scheduled.start_s:.2f}"
    service = ("lookup", "confirm")[scheduled.member_numbers[0] % 2]
    callers = [member for member in fleet.members if member.service == "inner"]
    rng = random.Random(name)
    until = time.time() + scheduled.duration_s
    with contextlib.ExitStack() as stack:
        for member in fleet.members:
            stack.enter_context(member.record_disturbance())
        async with asyncio.TaskGroup() as group, aiohttp.ClientSession() as session:
            group.create_task(_restart_crashed_servers(fleet, until + SETTLE_S))
            while time.time() < until:
                key = fleet.keys.find_key(CUSTOMERS[0], time.time()) if fleet.keys else None
                call = send_crashing_call(session, rng.choice(callers), service, name, key)
                group.create_task(call)
                await asyncio.sleep(rng.expovariate(1 / CRASHING_CALL_INTERVAL_S))
            await asyncio.sleep(SETTLE_S)


async def _restart_crashed_servers(fleet: Fleet, until: float) -> None:
    while time.time() < until:
        for member in fleet.members:
            if member.server_lock.locked():
                continue
            async with member.server_lock:
                if member.server is not None and member.server.returncode is not None:
                    await asyncio.sleep(SERVER_DOWN_S)
                    await fleet.start_server(member)
        await asyncio.sleep(0.05)


async def _restart_node(
    fleet: Fleet, member: Member, signum: signal.Signals, timeout_s: float
) -> None:
    process = member.node
    fleet.signal(process, signal.SIGCONT)
    fleet.signal(process, signum)
    async with member.node_lock:
        if member.node is not process:
            # An overlapping fault has already restarted the node.
            return
        if process is not None:
            try:
                await asyncio.wait_for(process.wait(), timeout_s)
            except TimeoutError:
                fleet.signal(process, signal.SIGKILL)
                await process.wait()
        await fleet.start_node(member)


async def _kill_node(fleet: Fleet, member: Member, duration_s: float) -> None:
    await _restart_node(fleet, member, signal.SIGKILL, 1.0)


async def _terminate_node(fleet: Fleet, member: Member, duration_s: float) -> None:
    await _restart_node(fleet, member, signal.SIGTERM, GRACE_S)


async def _pause_node(fleet: Fleet, member: Member, duration_s: float) -> None:
    fleet.signal(member.node, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    fleet.signal(member.node, signal.SIGCONT)


async def _reload_node(fleet: Fleet, member: Member, duration_s: float) -> None:
    fleet.signal(member.node, signal.SIGHUP)


async def _restart_server(fleet: Fleet, member: Member, signum: signal.Signals) -> None:
    process = member.server
    fleet.signal(process, signal.SIGCONT)
    fleet.signal(process, signum)
    async with member.server_lock:
        if member.server is not process:
            return
        if process is not None:
            await process.wait()
        await fleet.start_server(member)


async def _kill_server(fleet: Fleet, member: Member, duration_s: float) -> None:
    await _restart_server(fleet, member, signal.SIGKILL)


async def _terminate_server(fleet: Fleet, member: Member, duration_s: float) -> None:
    await _restart_server(fleet, member, signal.SIGTERM)


async def _pause_server(fleet: Fleet, member: Member, duration_s: float) -> None:
    fleet.signal(member.server, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    fleet.signal(member.server, signal.SIGCONT)


async def _reset_server(fleet: Fleet, member: Member, duration_s: float) -> None:
    member.server_proxy.reset()


async def _delay_server(fleet: Fleet, member: Member, duration_s: float) -> None:
    member.server_proxy.delay_s = SERVER_DELAY_S
    await asyncio.sleep(duration_s)
    member.server_proxy.heal()


async def _reset_store(fleet: Fleet, member: Member, duration_s: float) -> None:
    member.store_proxy.reset()


async def _silence_store(fleet: Fleet, member: Member, duration_s: float) -> None:
    member.store_proxy.passes_requests = member.store_proxy.passes_replies = False
    await asyncio.sleep(duration_s)
    member.store_proxy.heal()


async def _drop_store_replies(fleet: Fleet, member: Member, duration_s: float) -> None:
    member.store_proxy.passes_replies = False
    await asyncio.sleep(duration_s)
    member.store_proxy.heal()


async def _kill_member(fleet: Fleet, member: Member, duration_s: float) -> None:
    await asyncio.gather(_kill_server(fleet, member, 0.0), _kill_node(fleet, member, 0.0))


_INJECTORS: dict[Fault, Callable[[Fleet, Member, float], Awaitable[None]]] = {
    Fault.NODE_KILL: _kill_node,
    Fault.NODE_TERM: _terminate_node,
    Fault.NODE_PAUSE: _pause_node,
    Fault.NODE_HUP: _reload_node,
    Fault.SERVER_KILL: _kill_server,
    Fault.SERVER_LEAVE: _terminate_server,
    Fault.SERVER_PAUSE: _pause_server,
    Fault.SERVER_RESET: _reset_server,
    Fault.SERVER_DELAY: _delay_server,
    Fault.STORE_RESET: _reset_store,
    Fault.STORE_SILENCE: _silence_store,
    Fault.STORE_CUT_REPLIES: _drop_store_replies,
    Fault.DOMAIN_KILL: _kill_member,
}
