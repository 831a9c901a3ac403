"""Runs a seed: starts the processes, injects the scheduled faults and checks the guarantees."""

import asyncio
import itertools
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from bench.deployment import take_ports
from soak import checks
from soak.callers import Result, Sighting, run_callers, watch_versions
from soak.faults import SETTLE_S, apply_faults
from soak.fleet import DRAIN_S, Fleet, Member
from soak.plan import Fault, Step, plan_faults

CALM_S = 5.0
"""Time without faults at the end of a run, in which calls must be served again."""

START_S = 20.0
"""Time limit for every member to serve its first call."""


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a run.

    Attributes
    ----------
    seconds
        Time in which faults start.
    domains
        Number of failure domains.
    copies
        Servers of each service in a failure domain.
    callers
        Callers at each member.
    faults
        Kinds of faults to inject.
    """

    seconds: float = 12.0
    domains: int = 2
    copies: int = 1
    callers: int = 2
    faults: tuple[Fault, ...] = tuple(Fault)


@dataclass(slots=True)
class Report:
    """Outcome of a run.

    Attributes
    ----------
    statuses
        Number of calls by status, as in ``Result.status``.
    runs
        Number of runs in the logs of the servers, inner and repeated calls included.
    broken
        Violations that the checks found, one line each.
    began
        Unix time at which the run started.
    """

    seed: int
    steps: list[Step]
    statuses: Counter[int] = field(default_factory=Counter)
    runs: int = 0
    broken: list[str] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)
    began: float = 0.0


def run_seed(seed: int, options: Options, folder: Path | None = None) -> Report:
    """Run one seed and return its report; logs are kept only if a folder is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run(seed, options, folder))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(_run(seed, options, Path(temporary)))


async def _run(seed: int, options: Options, folder: Path) -> Report:
    fleet = Fleet(folder, take_ports(1)[0])
    try:
        await fleet.start(options.domains, options.copies)
        numbers = itertools.count(1)
        await _wait_served(fleet, seed, numbers)
        domains = _list_domains(fleet)
        steps = plan_faults(seed, options.seconds, domains, list(options.faults))
        return await _play(fleet, seed, options, steps, numbers)
    finally:
        await fleet.stop()


def _list_domains(fleet: Fleet) -> list[list[int]]:
    ordered = sorted(fleet.members, key=lambda member: (member.domain, member.number))
    groups = itertools.groupby(ordered, key=lambda member: member.domain)
    return [[member.number for member in members] for _, members in groups]


async def _wait_served(fleet: Fleet, seed: int, numbers: "itertools.count[int]") -> None:
    """Wait until every member has served a call."""
    deadline = time.time() + START_S
    while time.time() < deadline:
        results = await run_callers(fleet, seed, 1, time.time() + 0.3, numbers)
        served = {result.member for result in results if result.status == 200}
        if len(served) == len(fleet.members):
            return
    raise TimeoutError(f"not every member served a call within {START_S:.0f} s of the start")


async def _play(
    fleet: Fleet,
    seed: int,
    options: Options,
    steps: list[Step],
    numbers: "itertools.count[int]",
) -> Report:
    began = time.time()
    last = max((step.at_s + step.for_s for step in steps), default=0.0)
    until = began + max(options.seconds, last) + 2 * SETTLE_S + CALM_S
    sightings: list[Sighting] = []
    async with asyncio.TaskGroup() as group:
        calls = group.create_task(run_callers(fleet, seed, options.callers, until, numbers))
        group.create_task(watch_versions(fleet, until, sightings))
        group.create_task(apply_faults(fleet, steps, began))
    results = calls.result()
    facts = _read_facts(fleet)
    report = Report(seed, steps, Counter(result.status for result in results), began=began)
    report.results = results
    report.runs = sum(fact.kind == "run" for fact in facts)
    is_sound = _make_sound(fleet.members)
    report.broken = [
        *checks.check_answers(results),
        *checks.check_refusals(results, facts),
        *checks.check_once(results, facts),
        *checks.check_leaving(facts, DRAIN_S),
        *checks.check_cuts(results, is_sound),
        *checks.check_versions(sightings, fleet.configured, is_sound),
        *checks.check_budget(results, facts),
        *checks.check_recovery(results, until - CALM_S),
    ]
    return report


def _read_facts(fleet: Fleet) -> list[checks.Fact]:
    facts = []
    for path in fleet.folder.glob("i-*.log"):
        lines = path.read_text("utf-8", "replace").splitlines()
        facts += checks.read_facts(path.stem, lines)
    return facts


def _make_sound(members: list[Member]) -> checks.IsSound:
    by_number = {member.number: member for member in members}
    return lambda number, since, until: by_number[number].was_sound(since, until)
