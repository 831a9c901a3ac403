"""The loads and faults under which the load-balancing policies are compared."""

from collections.abc import Callable
from dataclasses import dataclass

from ragwort_policy import ServerLocation

from bench.events import EventHeap
from bench.servers import SimulatedServer
from bench.sites import Site

FAULT_AT_S = 0.6
ANNOUNCE_DELAY_S = 1.0
SLOWDOWN_S = 0.3
SHIFT_INTERVAL_S = 1.2
COLD_START_S = 1.0


@dataclass(slots=True)
class ScenarioContext:
    """What a scenario acts on; ``announce`` sets the server list of every entry."""

    heap: EventHeap
    site: Site
    servers: list[SimulatedServer]
    announce: Callable[[list[ServerLocation]], None]


@dataclass(slots=True, frozen=True)
class Scenario:
    """A load, as a share of the capacity, and the faults injected during the run."""

    name: str
    load: float
    schedule_faults: Callable[[ScenarioContext], None]
    report_lag_s: float = 0.0
    batch_share: float = 0.0
    warm_ms: float = 0.0


def _inject_no_faults(context: ScenarioContext) -> None:
    del context


def _slow_servers_in_turn(context: ScenarioContext) -> None:
    turn = 0

    def slow_next() -> None:
        nonlocal turn
        server = context.servers[(turn * 2 + turn // 2) % len(context.servers)]
        turn += 1
        server.set_speed(0.1)
        context.heap.call_later(SLOWDOWN_S, server.set_speed, 1.0)
        context.heap.call_later(SHIFT_INTERVAL_S, slow_next)

    context.heap.call_at(FAULT_AT_S, slow_next)


def _fail_fast(context: ScenarioContext) -> None:
    server = context.servers[0]

    def set_failing(value: bool) -> None:
        server.failing = value

    context.heap.call_at(FAULT_AT_S, set_failing, True)
    context.heap.call_at(FAULT_AT_S + 1.0, set_failing, False)


def _announce_others(context: ScenarioContext, excluded: SimulatedServer) -> None:
    context.announce([server.location for server in context.servers if server is not excluded])


def _drain(context: ScenarioContext) -> None:
    server = context.servers[0]
    context.heap.call_at(FAULT_AT_S, server.leave)
    context.heap.call_at(FAULT_AT_S + ANNOUNCE_DELAY_S, _announce_others, context, server)


def _start_cold(context: ScenarioContext) -> None:
    server = context.servers[0]
    _announce_others(context, server)

    def start() -> None:
        server.gate.limit.started_at = context.heap.now
        server.speed = 0.2
        context.announce([server.location for server in context.servers])
        steps = 8
        for step in range(1, steps + 1):
            speed = 0.2 + 0.8 * step / steps
            context.heap.call_later(COLD_START_S * step / steps, server.set_speed, speed)

    context.heap.call_at(FAULT_AT_S, start)


def _lose_domain(context: ScenarioContext) -> None:
    server = context.servers[0]
    context.heap.call_at(FAULT_AT_S, server.kill)
    context.heap.call_at(FAULT_AT_S + ANNOUNCE_DELAY_S, _announce_others, context, server)


def _lose_server_unannounced(context: ScenarioContext) -> None:
    context.heap.call_at(FAULT_AT_S, context.servers[0].kill)


SCENARIOS = [
    Scenario("steady-70", 0.7, _inject_no_faults),
    Scenario("steady-90", 0.9, _inject_no_faults),
    Scenario("shift-70", 0.7, _slow_servers_in_turn),
    Scenario("shift-90", 0.9, _slow_servers_in_turn),
    Scenario("fail-fast-70", 0.7, _fail_fast),
    Scenario("drain-60", 0.6, _drain),
    Scenario("cold-start-60", 0.6, _start_cold, warm_ms=COLD_START_S * 1e3),
    Scenario("overload-200", 2.0, _inject_no_faults, batch_share=0.2),
    Scenario("domain-loss-60", 0.6, _lose_domain),
    Scenario("platform-down-60", 0.6, _lose_server_unannounced),
    Scenario("stale-5-shift-90", 0.9, _slow_servers_in_turn, report_lag_s=0.005),
    Scenario("stale-50-shift-90", 0.9, _slow_servers_in_turn, report_lag_s=0.050),
    Scenario("stale-500-shift-90", 0.9, _slow_servers_in_turn, report_lag_s=0.500),
]
