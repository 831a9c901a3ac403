"""Measures the cost of a decision and the size of its state at 24, 720 and 7,200 servers.

The servers are in 8 failure domains of 2 regions and belong to 81 services at the two larger sizes
and to 6 at the smallest. The baseline of times is a reference operation in the same run and
interpreter: a call of ``min`` over nine numbers with a key function.
"""

import json
from collections.abc import Callable
from random import Random
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from ragwort_common import Outcome, Reason
from ragwort_policy import (
    Arrival,
    ChoiceSettings,
    ChoiceState,
    GateLimits,
    ProbeSettings,
    ServerLocation,
    admit_call,
    choose_server,
    finish_call,
    make_choice_state,
    make_gate_state,
    make_probe_budget,
    make_report,
    plan_probe,
    record_outcome,
    record_report,
    record_sent,
    update_servers,
)
from ragwort_protocol import LoadReport, Probe, ProbeReply, encode_frame

SEED = 20260
SIZES = {24: 6, 720: 81, 7200: 81}
ROUNDS = 10_000
REPEATS = 5
CALLS_PER_S = 94.0
REPORT = LoadReport(7, 13, 2, 20_000)


def make_states(servers: int, services: int) -> list[ChoiceState]:
    """Return one entry's choice states for all services."""
    states = []
    for service in range(services):
        state = make_choice_state(ChoiceSettings(), "domain-0", "region-0")
        locations = [
            ServerLocation(f"node-{number}", f"domain-{number % 8}", f"region-{number % 2}")
            for number in range(service, servers, services)
        ]
        update_servers(state, locations, 0.0)
        states.append(state)
    return states


def run_decisions(states: list[ChoiceState]) -> float:
    """Return the mean time of a whole decision: choice, probe plan, sending, outcome, report."""
    random = Random(SEED)
    budget = make_probe_budget(1500.0, 0.0)
    far_budget = make_probe_budget(300.0, 0.0)
    settings = ProbeSettings()
    before = process_time()
    for number in range(ROUNDS):
        now = number / CALLS_PER_S
        state = states[number % len(states)]
        node = choose_server(state, now, random)
        plan_probe(state, budget, far_budget, settings, now)
        record_sent(state, node, number, now)
        record_outcome(state, node, number, Outcome.ANSWERED, Reason.NONE, now + 0.02)
        record_report(state, node, REPORT, now + 0.02)
    return (process_time() - before) / ROUNDS


def run_admissions() -> float:
    """Return the mean time for a busy gate to admit a call, end one and make a report."""
    gate = make_gate_state(GateLimits(slots=13), 0.0)
    before = process_time()
    for number in range(ROUNDS):
        now = number * 0.0015
        admit_call(gate, now, Arrival(number, "member", 1, False, now + 1.0))
        if len(gate.running) > 12:
            finish_call(gate, now, next(iter(gate.running)), 0.02, False)
        make_report(gate, now)
    return (process_time() - before) / ROUNDS


def run_reference_operation() -> float:
    """Return the mean time of the reference operation."""
    numbers = [number * 7 % 9 for number in range(9)]
    before = process_time()
    for _ in range(ROUNDS):
        min(numbers, key=lambda number: -number)
    return (process_time() - before) / ROUNDS


def measure_state(servers: int, services: int) -> int:
    """Return the memory of one entry's choice states for all services, in bytes."""
    start()
    before = get_traced_memory()[0]
    states = make_states(servers, services)
    size = get_traced_memory()[0] - before
    stop()
    del states
    return size


def print_line(name: str, value: float, unit: str, baseline: str, ratio: float | None) -> None:
    """Print one result as a line of JSON."""
    line = {"name": name, "value": value, "unit": unit, "baseline": baseline}
    print(json.dumps(line | {"ratio": ratio, "seed": SEED}))


def find_minimum(measure: Callable[[], float]) -> float:
    """Return the minimum of several measurements, the one least disturbed by other load."""
    return min(measure() for _ in range(REPEATS))


def main() -> None:
    """Run the benchmark."""
    reference_s = find_minimum(run_reference_operation)
    baseline = f"min-of-nine={reference_s * 1e6:.2f}us"
    for servers, services in SIZES.items():
        states = make_states(servers, services)
        cost_s = find_minimum(lambda states=states: run_decisions(states))
        ratio = round(cost_s / reference_s, 1)
        print_line(f"decision.time.{servers}", round(cost_s * 1e6, 2), "us", baseline, ratio)
        core_share = round(cost_s * CALLS_PER_S, 6)
        print_line(
            f"decision.core.{servers}", core_share, "part of a core at 94 calls/s", "none", None
        )
        size = measure_state(servers, services)
        print_line(f"decision.state.{servers}", size, "bytes", "none", round(size / servers, 1))
    cost_s = find_minimum(run_admissions)
    ratio = round(cost_s / reference_s, 1)
    print_line("gate.admission", round(cost_s * 1e6, 2), "us", baseline, ratio)
    probe = len(encode_frame(Probe(1 << 20))) + len(encode_frame(ProbeReply(1 << 20, REPORT)))
    print_line("probe.bytes", probe, "bytes without packet headers", "none", None)
    print_line("report.bytes", len(encode_frame(REPORT)) - 5, "bytes on an answer", "none", None)


if __name__ == "__main__":
    main()
