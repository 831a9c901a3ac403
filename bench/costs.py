"""Measures the memory and processor time of one node's tables and decisions at several sizes.

Times are the process's processor time, averaged over many iterations. The baseline of each series
is the smallest size in the same run.
"""

import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import (
    CallId,
    Epoch,
    FailureDomain,
    Member,
    NodeId,
    Outcome,
    Reason,
    Region,
    ServiceName,
)
from ragwort_node._services import Services
from ragwort_policy import (
    Arrival,
    ChoiceSettings,
    GateLimits,
    OwnerMap,
    ServerLocation,
    Verdict,
    admit_call,
    choose_server,
    finish_call,
    make_choice_state,
    make_gate_state,
    record_outcome,
    record_report,
    record_sent,
    update_servers,
)
from ragwort_protocol import LoadReport

from bench.report import print_result

SEED = 11
SERVICES = 81
PEERS = (24, 720, 7200)
SERVICE_SIZES = (4, 9, 100)
SLOTS = (4, 13, 64)
OWNER_RANGES = (16, 64, 256)
FIRST_SERVICE = ServiceName("service-0")
DOMAINS = tuple(
    (Region(f"region-{number % 2}"), FailureDomain(f"domain-{number}")) for number in range(8)
)
REPORT = LoadReport(3, 8, 0, 2_000)


@dataclass(slots=True)
class Iterations:
    """Number of iterations of a timing loop; the smoke test runs only a few."""

    count: int = 10_000


def report(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Print a result with the seed of this module."""
    print_result(f"capacity.{name}", value, unit, baseline, SEED)


def time_iterations(work: Callable[[int], object], iterations: int) -> float:
    """Return the mean processor time of an iteration, in microseconds."""
    began = time.process_time()
    for number in range(iterations):
        work(number)
    return (time.process_time() - began) / iterations * 1e6


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the memory allocated by Python for the object that a function builds."""
    tracemalloc.start()
    kept = build()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return held_bytes


def make_locations(count: int) -> list[ServerLocation]:
    """Return servers spread over all failure domains."""
    locations = []
    for number in range(count):
        region, domain = DOMAINS[number % len(DOMAINS)]
        locations.append(ServerLocation(NodeId(f"host-{number:04d}"), domain, region))
    return locations


def measure_choice(iterations: Iterations) -> None:
    """Print the processor time of one attempt's decisions, by the size of the service."""
    first: float | None = None
    for size in SERVICE_SIZES:
        cost_us = time_iterations(_make_attempt_step(size), iterations.count)
        first = first or cost_us
        report(f"choice.{size}_servers", cost_us, "us/attempt", first)


def _make_attempt_step(size: int) -> Callable[[int], None]:
    region, domain = DOMAINS[0]
    state = make_choice_state(ChoiceSettings(), domain, region)
    update_servers(state, make_locations(size), 0.0)
    source = random.Random(SEED)

    def run_attempt(number: int) -> None:
        now = number * 0.01
        node = choose_server(state, now, source)
        call_id = CallId(number)
        record_sent(state, node, call_id, now)
        now += 0.002
        record_outcome(state, node, call_id, Outcome.ANSWERED, Reason.NONE, now)
        record_report(state, node, REPORT, now)

    return run_attempt


def measure_services(iterations: Iterations) -> None:
    """Print the memory of the state for all services, and the time to update one service."""
    first_bytes: float | None = None
    first_us: float | None = None
    for peers in PEERS:
        per_service = max(1, peers // SERVICES)
        count = peers // per_service
        held_bytes = measure_bytes(lambda n=count, size=per_service: _make_services(n, size))
        services = _make_services(count, per_service)
        locations = make_locations(per_service)
        update_us = time_iterations(
            lambda number, s=services, p=locations: s.update(FIRST_SERVICE, p, float(number)),
            max(10, iterations.count // 20),
        )
        first_bytes = first_bytes or held_bytes / peers
        first_us = first_us or update_us
        report(f"services.{peers}_peers.memory", held_bytes / peers, "bytes/server", first_bytes)
        report(f"services.{peers}_peers.update", update_us, "us/update", first_us)


def _make_services(count: int, per_service: int) -> Services:
    region, domain = DOMAINS[0]
    services = Services(domain, region, ChoiceSettings())
    locations = make_locations(count * per_service)
    for number in range(count):
        own = locations[number * per_service : (number + 1) * per_service]
        services.update(ServiceName(f"service-{number}"), own, 0.0)
    return services


def measure_gate(iterations: Iterations) -> None:
    """Print the processor time of admitting and ending a call, by the number of slots."""
    first: float | None = None
    for slots in SLOTS:
        cost_us = time_iterations(_make_admission_step(slots), iterations.count)
        first = first or cost_us
        report(f"gate.{slots}_slots", cost_us, "us/call", first)
    held_bytes = measure_bytes(lambda: make_gate_state(GateLimits(13), 0.0))
    report("gate.memory", held_bytes, "bytes")


def _make_admission_step(slots: int) -> Callable[[int], None]:
    # Keeps half of the slots in use: a call ends once that many later calls have arrived.
    running = slots // 2
    gate = make_gate_state(GateLimits(slots, expected_ms=running * 1.0), 0.0)
    member = Member("hanbit")

    def run_call(number: int) -> None:
        now = number * 0.001
        arrival = Arrival(CallId(number), member, 1, False, now + 1.0)
        if admit_call(gate, now, arrival).verdict is not Verdict.RUN:
            raise RuntimeError("the gate did not run a call although half of its slots were free")
        if number >= running:
            finish_call(gate, now, CallId(number - running), running * 0.001, False)

    return run_call


def measure_owners(iterations: Iterations) -> None:
    """Print the memory of the map of key range owners, and the time to record an owner."""
    first: float | None = None
    for ranges in OWNER_RANGES:
        held_bytes = measure_bytes(lambda n=ranges: _make_owner_map(n)) / ranges
        owners = _make_owner_map(ranges)
        cost_us = time_iterations(
            lambda number, o=owners, n=ranges: o.record(
                number % n, NodeId("host-1"), Epoch(number + 2)
            ),
            iterations.count,
        )
        first = first or held_bytes
        report(f"owners.{ranges}_ranges.memory", held_bytes, "bytes/range", first)
        report(f"owners.{ranges}_ranges.news", cost_us, "us/notice")


def _make_owner_map(ranges: int) -> OwnerMap:
    owners = OwnerMap()
    for number in range(ranges):
        owners.record(number, NodeId(f"host-{number:04d}"), Epoch(1))
    return owners


def measure_costs(iterations: Iterations) -> None:
    """Run every measurement of this module."""
    measure_choice(iterations)
    measure_services(iterations)
    measure_gate(iterations)
    measure_owners(iterations)
