"""Compares the load-balancing policy with random, round robin and least reported load.

The real policy runs against simulated servers and links in virtual time, with fixed seeds, and
one JSON object is printed per line. ``--quick`` runs a few scenarios at one site, ``--only TEXT``
those whose name contains the text, ``--policy-only`` omits the baselines, ``--table`` prints one
table row per run instead.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random
from sys import argv

from ragwort_common import FailureDomain, Member, Region
from ragwort_policy import ChoiceSettings, GateLimits, ProbeSettings, ServerLocation

from bench.choosers import (
    Chooser,
    make_least_load,
    make_plain_least_load,
    make_policy,
    make_random,
    make_round_robin,
)
from bench.entries import Call, Entry, RunStats
from bench.events import EventHeap
from bench.scenarios import SCENARIOS, Scenario, ScenarioContext
from bench.servers import SimulatedServer
from bench.sites import HANBIT, INDICE, Site

SEED = 20260
WARM_UP_S = 0.4
DEADLINE_S = 1.0
BATCH_DEADLINE_S = 10.0
IDEMPOTENT_SHARE = 0.8
WORK_SIGMA = 0.5
PROBE_BYTES_PER_S = 1500.0
FAR_PROBE_BYTES_PER_S = 300.0
PLAIN_BASELINE_SCENARIOS = ("steady-90", "shift-70", "shift-90")
QUICK_SCENARIOS = ("steady-90", "shift-90", "fail-fast-70", "overload-200")

ChooserFactory = Callable[[FailureDomain, Region, Random], Chooser]

BASELINES: dict[str, ChooserFactory] = {
    "random": make_random,
    "round-robin": make_round_robin,
    "least-load": make_least_load,
    "plain-least-load": make_plain_least_load,
}
POLICY: ChooserFactory = make_policy(
    ChoiceSettings(), ProbeSettings(), PROBE_BYTES_PER_S, FAR_PROBE_BYTES_PER_S
)


@dataclass(slots=True)
class Result:
    """The results of one run."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    p99_all_ms: float
    refused_part: float
    refusal_p99_ms: float
    unanswered_part: float
    attempts_per_call: float
    hedges_per_call: float
    crossing_part: float
    watch_bytes_per_s: float
    far_watch_bytes_per_s: float
    useful_part: float


UNITS = {
    "p50_ms": "ms",
    "p99_ms": "ms",
    "p999_ms": "ms",
    "p99_all_ms": "ms",
    "refusal_p99_ms": "ms",
    "watch_bytes_per_s": "bytes/s per node",
    "far_watch_bytes_per_s": "bytes/s per node",
}


def run_scenario(
    site: Site,
    scenario: Scenario,
    make_chooser: ChooserFactory,
    hedging: bool = False,
    seed: int = SEED,
) -> Result:
    """Run one scenario with one chooser; arrivals and service times depend only on the seed."""
    heap = EventHeap()
    stats = RunStats()
    limits = GateLimits(
        slots=site.slots,
        expected_ms=site.service_s * 1e3,
        queue_wait_ms=site.service_s * 2e3,
        warm_ms=scenario.warm_ms,
    )
    servers = [
        SimulatedServer(heap, location, limits, scenario.report_lag_s)
        for location in site.list_servers()
    ]
    for server in servers:
        server.gate.limit.started_at = -1e9
    entries = _make_entries(heap, site, servers, stats, make_chooser, hedging, seed)

    def announce(locations: list[ServerLocation]) -> None:
        for entry in entries:
            entry.chooser.update(locations, heap.now)

    announce([server.location for server in servers])
    scenario.schedule_faults(ScenarioContext(heap, site, servers, announce))
    _schedule_calls(heap, site, scenario, entries, Random(seed + 1))
    useful_before: list[float] = []
    heap.call_at(WARM_UP_S, lambda: useful_before.append(_sum_useful_work(servers)))
    heap.run(site.duration_s)
    useful_s = _sum_useful_work(servers) - useful_before[0]
    heap.run(site.duration_s + DEADLINE_S)
    return _summarize(stats, site, len(entries), useful_s)


def _sum_useful_work(servers: list[SimulatedServer]) -> float:
    return sum(server.useful_s for server in servers)


def _make_entries(
    heap: EventHeap,
    site: Site,
    servers: list[SimulatedServer],
    stats: RunStats,
    make_chooser: ChooserFactory,
    hedging: bool,
    seed: int,
) -> list[Entry]:
    by_node = {server.location.node: server for server in servers}
    ids = count()
    domains = [domain for domain in site.regions for _ in range(site.entries_per_domain)]
    return [
        Entry(
            heap,
            site,
            domain,
            make_chooser(domain, site.regions[domain], Random(seed + 100 + number)),
            by_node,
            stats,
            ids,
            WARM_UP_S,
            hedging,
        )
        for number, domain in enumerate(domains)
    ]


def _schedule_calls(
    heap: EventHeap, site: Site, scenario: Scenario, entries: list[Entry], random: Random
) -> None:
    rate = site.capacity_per_s * scenario.load
    mean_factor = 2.718281828 ** (WORK_SIGMA**2 / 2)

    def arrive() -> None:
        now = heap.now
        batch = random.random() < scenario.batch_share
        call = Call(
            created=now,
            deadline=now + (BATCH_DEADLINE_S if batch else DEADLINE_S),
            member=Member("first" if random.random() < 0.5 else "second"),
            batch=batch,
            idempotent=random.random() < IDEMPOTENT_SHARE,
            work_s=site.service_s * random.lognormvariate(0.0, WORK_SIGMA) / mean_factor,
        )
        entry = entries[int(random.random() * len(entries))]
        gap = random.expovariate(rate)
        if now + gap < site.duration_s:
            heap.call_later(gap, arrive)
        entry.start(call)

    heap.call_at(0.0, arrive)


def _summarize(stats: RunStats, site: Site, nodes: int, useful_s: float) -> Result:
    measured_s = site.duration_s - WARM_UP_S
    latencies = sorted(stats.latencies_s)
    refusals = sorted(stats.refusal_latencies_s)
    calls = stats.calls
    # To its caller, a call without an answer is as slow as one that ends at its deadline.
    missing = len(refusals) + stats.unknown + stats.failed
    return Result(
        p50_ms=_get_quantile(latencies, 0.5) * 1e3,
        p99_ms=_get_quantile(latencies, 0.99) * 1e3,
        p999_ms=_get_quantile(latencies, 0.999) * 1e3,
        p99_all_ms=_get_quantile(latencies + [DEADLINE_S] * missing, 0.99) * 1e3,
        refused_part=len(refusals) / calls,
        refusal_p99_ms=_get_quantile(refusals, 0.99) * 1e3,
        unanswered_part=(stats.unknown + stats.failed) / calls,
        attempts_per_call=stats.attempts / calls,
        hedges_per_call=stats.hedges / calls,
        crossing_part=stats.cross_region_attempts / calls,
        watch_bytes_per_s=stats.watch_bytes / nodes / measured_s,
        far_watch_bytes_per_s=stats.far_watch_bytes / nodes / measured_s,
        useful_part=useful_s / measured_s / (len(site.regions) * site.slots),
    )


def _get_quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


def _print_lines(name: str, policy: Result, baseline: str, other: Result) -> None:
    for field in Result.__dataclass_fields__:
        value = getattr(policy, field)
        baseline_value = getattr(other, field)
        line = {
            "name": f"choice.{name}.{field.removesuffix('_ms')}",
            "value": round(value, 4),
            "unit": UNITS.get(field, "part"),
            "baseline": f"{baseline}={round(baseline_value, 4)}",
            "ratio": round(baseline_value / value, 3) if value else None,
            "seed": SEED,
        }
        print(json.dumps(line))


def _print_row(name: str, chooser: str, result: Result) -> None:
    print(
        f"{name:28} {chooser:12} p50 {result.p50_ms:6.1f} p99 {result.p99_ms:6.1f}"
        f" p99.9 {result.p999_ms:6.1f} p99all {result.p99_all_ms:6.1f}"
        f" ref {result.refused_part:.4f}"
        f" ({result.refusal_p99_ms:5.1f} ms) una {result.unanswered_part:.4f}"
        f" att {result.attempts_per_call:.3f} hed {result.hedges_per_call:.3f}"
        f" far {result.crossing_part:.3f} B/s {result.watch_bytes_per_s:6.0f}"
        f" farB/s {result.far_watch_bytes_per_s:5.0f} use {result.useful_part:.3f}",
        flush=True,
    )


def run_all(sites: list[Site], is_selected: Callable[[str], bool], table: bool) -> None:
    """Run the selected scenarios at the sites and print their results."""
    for site in sites:
        for scenario in SCENARIOS:
            if not is_selected(scenario.name):
                continue
            name = f"{site.name}.{scenario.name}"
            results = {"policy": run_scenario(site, scenario, POLICY)}
            if "shift" in scenario.name:
                results["policy+hedge"] = run_scenario(site, scenario, POLICY, hedging=True)
            for baseline, make_chooser in BASELINES.items():
                if baseline == "plain-least-load" and scenario.name not in PLAIN_BASELINE_SCENARIOS:
                    continue
                results[baseline] = run_scenario(site, scenario, make_chooser)
            for chooser, result in results.items():
                if table:
                    _print_row(name, chooser, result)
                elif chooser in BASELINES:
                    _print_lines(name, results["policy"], chooser, result)
            if not table and "policy+hedge" in results:
                hedged = results["policy+hedge"]
                _print_lines(f"{name}.hedged", hedged, "least-load", results["least-load"])


def main(arguments: list[str]) -> None:
    """Run the benchmark with the given command-line arguments."""
    only = arguments[arguments.index("--only") + 1] if "--only" in arguments else ""
    quick = "--quick" in arguments

    def is_selected(name: str) -> bool:
        return (not quick or name in QUICK_SCENARIOS) and only in name

    if "--policy-only" in arguments:
        BASELINES.clear()
    if quick:
        BASELINES.pop("plain-least-load", None)
    sites = [HANBIT] if quick else [HANBIT, INDICE]
    run_all(sites, is_selected, "--table" in arguments)


if __name__ == "__main__":
    main(argv[1:])
