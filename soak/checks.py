"""Checks the records of callers, servers and route polls against the guarantees of the system.

Every check is a pure function that returns one line for each violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from soak.callers import CallResult, VersionObservation

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the call has not run and will not run."""

MAX_CONFIGURE_S = 2.5
"""Time within which an undisturbed node must apply a configuration; the users' shortest bound."""

MAX_REGRESSION_S = 0.25
"""How long a node may still use an older version after a newer one was seen; the users' bound."""

RETRY_RATIO = 0.2
RETRY_EXTRA = 60
RETRY_WINDOW_S = 10.0
"""The users' bound on repeated arrivals: share of the calls, extra number, and window."""

MAX_OVERDUE_S = 0.5
"""How long after its deadline a call may remain unanswered; the users' bound."""

MIN_SERVED_SHARE = 0.9
"""Share of the calls after the last fault that must be served."""

CRASHES_TO_LEARN = 3
CRASH_SETTLE_S = 4.0
MAX_LATER_CRASHES = 3
"""The users' bound on a request that crashes servers: how often it may still crash one, from some
time after it has crashed the third."""

UndisturbedCheck = Callable[[int, float, float], bool]
"""Returns whether no fault affected a member between two times."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """An event in the log of a server; ``customer`` is the one that an arriving request named."""

    instance: str
    at: float
    kind: str
    call_id: str
    customer: str = ""


def read_events(instance: str, lines: Iterable[str]) -> list[ServerEvent]:
    """Return the events in the log of a server; other lines are skipped."""
    events = []
    for line in lines:
        words = line.split()
        if len(words) >= 2 and words[0].replace(".", "").isdigit():
            call_id, customer = "".join(words[2:3]), "".join(words[3:4])
            events.append(ServerEvent(instance, float(words[0]), words[1], call_id, customer))
    return events


def check_answers(results: list[CallResult]) -> list[str]:
    """Report successful answers that are incomplete or not signed for their own call."""
    violations = []
    for result in results:
        if not 200 <= result.status < 300:
            continue
        instance, _, call_id = result.signature.partition(".")
        if call_id != result.call_id or result.body != f"{instance}:".encode() + result.expected:
            violations.append(
                f"{result.call_id}: incomplete answer, or one of another call, "
                f"signed {result.signature!r}"
            )
    return violations


def check_refusals(results: list[CallResult], events: list[ServerEvent]) -> list[str]:
    """Report calls refused as not run that did run, and refusals without Retry-After."""
    runs = Counter(event.call_id for event in events if event.kind == "run")
    violations = []
    for result in results:
        if result.status in NOT_RUN_STATUSES and not result.signature:
            if runs[result.call_id]:
                violations.append(f"{result.call_id}: refused with {result.status} but ran")
            if not result.retry_after:
                violations.append(
                    f"{result.call_id}: refused with {result.status} without Retry-After"
                )
    return violations


def check_single_runs(results: list[CallResult], events: list[ServerEvent]) -> list[str]:
    """Report non-idempotent calls that ran more than once."""
    runs = Counter(event.call_id for event in events if event.kind == "run")
    return [
        f"{result.call_id}: ran {runs[result.call_id]} times"
        for result in results
        if result.service == "confirm" and runs[result.call_id] > 1
    ]


def check_drains(events: list[ServerEvent], drain_s: float) -> list[str]:
    """Report calls that reached a server after its drain time was over."""
    drain_started_at = {event.instance: event.at for event in events if event.kind == "leaving"}
    return [
        f"{event.call_id}: reached {event.instance} "
        f"{event.at - drain_started_at[event.instance]:.2f} s after it began to drain"
        for event in events
        if event.kind == "arrive"
        and event.at > drain_started_at.get(event.instance, event.at) + drain_s
    ]


def check_unanswered(results: list[CallResult], was_undisturbed: UndisturbedCheck) -> list[str]:
    """Report calls that an undisturbed node did not answer, or not in time."""
    violations = []
    for result in results:
        if not was_undisturbed(result.member, result.sent_at - MAX_OVERDUE_S, result.ended_at):
            continue
        if result.status == -1:
            violations.append(f"{result.call_id}: no answer in time from an undisturbed node")
        elif result.status == 0:
            violations.append(f"{result.call_id}: connection closed by an undisturbed node")
    return violations


def check_versions(
    observations: list[VersionObservation],
    accepted_versions: list[tuple[int, float]],
    was_undisturbed: UndisturbedCheck,
) -> list[str]:
    """Report configurations that a node applied too late or replaced by an older one."""
    violations = []
    seen: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
    accepted_at = dict(accepted_versions)
    for observation in observations:
        first_seen = seen[observation.member, observation.node_starts]
        if observation.has_route:
            first_seen.setdefault(observation.version, observation.at)
            continue
        newer = [at for version, at in first_seen.items() if version >= observation.version]
        if newer and observation.at > min(newer) + MAX_REGRESSION_S:
            violations.append(
                f"n{observation.member}: version {observation.version} was replaced by an older one"
            )
        since = accepted_at[observation.version]
        is_late = observation.at - since > MAX_CONFIGURE_S
        if is_late and was_undisturbed(observation.member, since - MAX_CONFIGURE_S, observation.at):
            violations.append(
                f"n{observation.member}: version {observation.version} is still not applied after "
                f"{observation.at - since:.1f} s"
            )
    return violations


def check_retry_budget(results: list[CallResult], events: list[ServerEvent]) -> list[str]:
    """Report services whose calls arrived again more often than the retry budget allows."""
    services = {result.call_id: result.service for result in results}
    seen: set[str] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    for event in sorted(events, key=lambda event: event.at):
        if event.kind != "arrive" or event.call_id not in services:
            continue
        if event.call_id in seen:
            repeats[services[event.call_id]].append(event.at)
        seen.add(event.call_id)
    violations = []
    for service, times in repeats.items():
        sent = sorted(result.sent_at for result in results if result.service == service)
        for at in times:
            count = sum(at - RETRY_WINDOW_S < other <= at for other in times)
            calls = sum(at - 2 * RETRY_WINDOW_S < other <= at for other in sent)
            if count > RETRY_RATIO * calls + RETRY_EXTRA:
                violations.append(f"{service}: {count} repeated arrivals in {RETRY_WINDOW_S:.0f} s")
                break
    return violations


def check_crashing_requests(events: list[ServerEvent]) -> list[str]:
    """Report requests that still reached servers after they had crashed three."""
    crashes: dict[str, list[float]] = defaultdict(list)
    for event in events:
        if event.kind == "crash":
            crashes[event.call_id].append(event.at)
    violations = []
    for request, times in crashes.items():
        times.sort()
        since = times[min(CRASHES_TO_LEARN, len(times)) - 1] + CRASH_SETTLE_S
        later = sum(at > since for at in times)
        if later > MAX_LATER_CRASHES:
            violations.append(f"{request}: crashed {later} more servers after it was known")
    return violations


def check_recovery(results: list[CallResult], fault_free_since: float) -> list[str]:
    """Report a run in which too few calls were served after the last fault."""
    last = [result for result in results if result.sent_at > fault_free_since]
    served = sum(200 <= result.status < 300 for result in last)
    if last and served < MIN_SERVED_SHARE * len(last):
        return [f"{served} of {len(last)} calls served after the last fault"]
    return []
