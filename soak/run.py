"""Runs a seed: starts the processes, injects the scheduled faults and checks the guarantees."""

import asyncio
import itertools
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from bench.deployment import find_free_ports
from soak import checks, customer_checks, placement_checks
from soak.callers import CallResult, VersionObservation, poll_versions, run_callers
from soak.customers import LIMITED_CUSTOMER, KeyRing
from soak.faults import SETTLE_S, inject_faults
from soak.fleet import DRAIN_S, Fleet, Member
from soak.operations import ScheduledOperation, plan_operations, run_operations
from soak.pipeline import Batch, check_order, run_pipelining_callers
from soak.plan import Fault, ScheduledFault, plan_faults

FAULT_FREE_S = 5.0
"""Time without faults at the end of a run, in which calls must be served again."""

STARTUP_TIMEOUT_S = 20.0
"""Time limit for every member to serve its first call."""

LIMITED_CALLERS = 1
"""Callers of the limited customer at each member; six send at least six times its limit."""


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
    tail_s
        Time after the end of the last fault.
    fault_free_s
        The last part of it, in which calls must be served again.
    extended
        Whether the run has customers, cold servers, a home route and pipelining callers, and an
        operator who removes keys and evacuates domains. Runs of one seed have the same faults with
        and without it.
    """

    seconds: float = 12.0
    domains: int = 2
    copies: int = 1
    callers: int = 2
    faults: tuple[Fault, ...] = tuple(Fault)
    tail_s: float = 2 * SETTLE_S + FAULT_FREE_S
    fault_free_s: float = FAULT_FREE_S
    extended: bool = False


@dataclass(slots=True)
class RunReport:
    """Outcome of a run.

    Attributes
    ----------
    statuses
        Number of calls by status, as in ``CallResult.status``.
    runs
        Number of runs in the logs of the servers, inner and repeated calls included.
    violations
        Violations that the checks found, one line each.
    started_at
        Unix time at which the run started.
    """

    seed: int
    schedule: list[ScheduledFault]
    operations: list[ScheduledOperation] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    runs: int = 0
    violations: list[str] = field(default_factory=list)
    # Left out of the representation, which asyncio.run makes of the result: it took 4 s.
    results: list[CallResult] = field(default_factory=list, repr=False)
    started_at: float = 0.0


def run_seed(seed: int, options: Options, folder: Path | None = None) -> RunReport:
    """Run one seed and return its report; logs are kept only if a folder is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run(seed, options, folder))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(_run(seed, options, Path(temporary)))


async def _run(seed: int, options: Options, folder: Path) -> RunReport:
    fleet = Fleet(folder, find_free_ports(1)[0], keys=KeyRing() if options.extended else None)
    try:
        await fleet.start(options.domains, options.copies)
        call_numbers = itertools.count(1)
        await _wait_until_served(fleet, seed, call_numbers)
        domains = _list_domains(fleet)
        schedule = plan_faults(seed, options.seconds, domains, list(options.faults))
        return await _run_schedule(fleet, seed, options, schedule, call_numbers)
    finally:
        await fleet.stop()


def _list_domains(fleet: Fleet) -> list[list[int]]:
    ordered = sorted(fleet.members, key=lambda member: (member.domain, member.number))
    groups = itertools.groupby(ordered, key=lambda member: member.domain)
    return [[member.number for member in members] for _, members in groups]


async def _wait_until_served(fleet: Fleet, seed: int, call_numbers: "itertools.count[int]") -> None:
    """Wait until every member has served a call."""
    deadline = time.time() + STARTUP_TIMEOUT_S
    while time.time() < deadline:
        results = await run_callers(fleet, seed, 1, time.time() + 0.3, call_numbers)
        served = {result.member for result in results if result.status == 200}
        if len(served) == len(fleet.members):
            return
    raise TimeoutError(
        f"not every member served a call within {STARTUP_TIMEOUT_S:.0f} s of the start"
    )


async def _run_schedule(
    fleet: Fleet,
    seed: int,
    options: Options,
    schedule: list[ScheduledFault],
    call_numbers: "itertools.count[int]",
) -> RunReport:
    started_at = time.time()
    operations = _plan_operations(fleet, seed, options)
    limited_callers = LIMITED_CALLERS if options.extended else 0
    last = max(
        (scheduled.start_s + scheduled.duration_s for scheduled in (*schedule, *operations)),
        default=0.0,
    )
    until = started_at + max(options.seconds, last) + options.tail_s
    observations: list[VersionObservation] = []
    async with asyncio.TaskGroup() as group:
        caller_task = group.create_task(
            run_callers(fleet, seed, options.callers, until, call_numbers)
        )
        group.create_task(poll_versions(fleet, until, observations))
        group.create_task(inject_faults(fleet, schedule, started_at))
        group.create_task(run_operations(fleet, operations, started_at))
        limited_task = group.create_task(
            run_callers(fleet, seed, limited_callers, until, call_numbers, (LIMITED_CUSTOMER,))
        )
        pipeline_task = group.create_task(_run_pipelines(fleet, seed, until, call_numbers))
    pipelined, batches = pipeline_task.result()
    results = [*caller_task.result(), *limited_task.result(), *pipelined]
    events = _read_events(fleet)
    report = RunReport(seed, schedule, operations, started_at=started_at)
    report.statuses.update(result.status for result in results)
    report.results = results
    report.runs = sum(event.kind == "run" for event in events)
    was_undisturbed = _make_undisturbed_check(fleet.members)
    report.violations = [
        *checks.check_answers(results),
        *checks.check_refusals(results, events),
        *checks.check_single_runs(results, events),
        *checks.check_drains(events, DRAIN_S),
        *checks.check_unanswered(results, was_undisturbed),
        *checks.check_versions(observations, fleet.accepted_versions, was_undisturbed),
        *checks.check_retry_budget(results, events),
        *checks.check_crashing_requests(events),
        *checks.check_recovery(
            customer_checks.select_servable(results), until - options.fault_free_s
        ),
    ]
    if options.extended:
        places = {str(member.number): member for member in fleet.members}
        report.violations += [
            *customer_checks.check_keys(results, events, was_undisturbed),
            *customer_checks.check_customer_fields(results, events),
            *customer_checks.check_limit(results, events),
            *placement_checks.check_evacuations(events, fleet.evacuations, places),
            *placement_checks.check_home_regions(results, events, places),
            *placement_checks.check_cold_starts(events, places),
            *check_order(batches),
        ]
    return report


async def _run_pipelines(
    fleet: Fleet, seed: int, until: float, call_numbers: "itertools.count[int]"
) -> tuple[list[CallResult], list[Batch]]:
    if fleet.keys is None:
        return [], []
    return await run_pipelining_callers(fleet, seed, until, call_numbers)


def _plan_operations(fleet: Fleet, seed: int, options: Options) -> list[ScheduledOperation]:
    domains = sorted({member.domain for member in fleet.members})
    return plan_operations(seed, options.seconds, domains) if options.extended else []


def _read_events(fleet: Fleet) -> list[checks.ServerEvent]:
    events = []
    for path in fleet.folder.glob("i-*.log"):
        lines = path.read_text("utf-8", "replace").splitlines()
        events += checks.read_events(path.stem, lines)
    return events


def _make_undisturbed_check(members: list[Member]) -> checks.UndisturbedCheck:
    by_number = {member.number: member for member in members}
    return lambda number, since, until: by_number[number].was_undisturbed(since, until)
