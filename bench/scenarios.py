"""The loads and faults under which the load-balancing policies are compared."""

from collections.abc import Callable
from dataclasses import dataclass

from ragwort_policy import ServerPlace

from bench.events import EventHeap
from bench.fakes import FakeServer
from bench.sites import Site

FAULT_AT_S = 0.6
NEWS_AFTER_S = 1.0
SLOW_S = 0.3
SHIFT_EVERY_S = 1.2
COLD_S = 1.0


@dataclass(slots=True)
class Stage:
    """What a scenario acts on; ``announce`` sets the server list of every entry."""

    heap: EventHeap
    site: Site
    servers: list[FakeServer]
    announce: Callable[[list[ServerPlace]], None]


@dataclass(slots=True, frozen=True)
class Scenario:
    """A load, as a share of the capacity, and the faults injected during the run."""

    name: str
    load: float
    prepare: Callable[[Stage], None]
    report_lag_s: float = 0.0
    batch_part: float = 0.0
    warm_ms: float = 0.0


def _leave_alone(stage: Stage) -> None:
    del stage


def _shift_load(stage: Stage) -> None:
    turn = 0

    def slow_next() -> None:
        nonlocal turn
        server = stage.servers[(turn * 2 + turn // 2) % len(stage.servers)]
        turn += 1
        server.set_speed(0.1)
        stage.heap.call_later(SLOW_S, server.set_speed, 1.0)
        stage.heap.call_later(SHIFT_EVERY_S, slow_next)

    stage.heap.call_at(FAULT_AT_S, slow_next)


def _fail_fast(stage: Stage) -> None:
    server = stage.servers[0]

    def set_failing(value: bool) -> None:
        server.failing = value

    stage.heap.call_at(FAULT_AT_S, set_failing, True)
    stage.heap.call_at(FAULT_AT_S + 1.0, set_failing, False)


def _announce_others(stage: Stage, gone: FakeServer) -> None:
    stage.announce([server.place for server in stage.servers if server is not gone])


def _drain(stage: Stage) -> None:
    server = stage.servers[0]
    stage.heap.call_at(FAULT_AT_S, server.leave)
    stage.heap.call_at(FAULT_AT_S + NEWS_AFTER_S, _announce_others, stage, server)


def _start_cold(stage: Stage) -> None:
    server = stage.servers[0]
    _announce_others(stage, server)

    def start() -> None:
        server.gate.limit.started_at = stage.heap.now
        server.speed = 0.2
        stage.announce([server.place for server in stage.servers])
        steps = 8
        for step in range(1, steps + 1):
            speed = 0.2 + 0.8 * step / steps
            stage.heap.call_later(COLD_S * step / steps, server.set_speed, speed)

    stage.heap.call_at(FAULT_AT_S, start)


def _lose_domain(stage: Stage) -> None:
    server = stage.servers[0]
    stage.heap.call_at(FAULT_AT_S, server.die)
    stage.heap.call_at(FAULT_AT_S + NEWS_AFTER_S, _announce_others, stage, server)


def _lose_server_unannounced(stage: Stage) -> None:
    stage.heap.call_at(FAULT_AT_S, stage.servers[0].die)


SCENARIOS = [
    Scenario("steady-70", 0.7, _leave_alone),
    Scenario("steady-90", 0.9, _leave_alone),
    Scenario("shift-70", 0.7, _shift_load),
    Scenario("shift-90", 0.9, _shift_load),
    Scenario("fail-fast-70", 0.7, _fail_fast),
    Scenario("drain-60", 0.6, _drain),
    Scenario("cold-start-60", 0.6, _start_cold, warm_ms=COLD_S * 1e3),
    Scenario("overload-200", 2.0, _leave_alone, batch_part=0.2),
    Scenario("domain-loss-60", 0.6, _lose_domain),
    Scenario("platform-down-60", 0.6, _lose_server_unannounced),
    Scenario("stale-5-shift-90", 0.9, _shift_load, report_lag_s=0.005),
    Scenario("stale-50-shift-90", 0.9, _shift_load, report_lag_s=0.050),
    Scenario("stale-500-shift-90", 0.9, _shift_load, report_lag_s=0.500),
]
