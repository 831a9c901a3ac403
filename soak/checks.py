"""Checks the records of callers, servers and route polls against the guarantees of the system.

Every check is a pure function that returns one line for each violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from soak.callers import Result, Sighting

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the call has not run and will not run."""

CONFIGURE_S = 2.5
"""Time within which an undisturbed node must apply a configuration; the users' shortest bound."""

REGRESS_S = 0.25
"""How long a node may still use an older version after a newer one was seen; the users' bound."""

RETRY_RATIO = 0.2
RETRY_EXTRA = 60
RETRY_WINDOW_S = 10.0
"""The users' bound on repeated arrivals: share of the calls, extra number, and window."""

HELD_S = 0.5
"""How long after its deadline a call may remain unanswered; the users' bound."""

LEAST_SERVED = 0.9
"""Share of the calls after the last fault that must be served."""

IsSound = Callable[[int, float, float], bool]
"""Returns whether no fault affected a member between two times."""


@dataclass(frozen=True, slots=True)
class Fact:
    """An event in the log of a server."""

    instance: str
    at: float
    kind: str
    call_id: str


def read_facts(instance: str, lines: Iterable[str]) -> list[Fact]:
    """Return the events in the log of a server; other lines are skipped."""
    facts = []
    for line in lines:
        words = line.split()
        if len(words) >= 2 and words[0].replace(".", "").isdigit():
            facts.append(Fact(instance, float(words[0]), words[1], "".join(words[2:3])))
    return facts


def check_answers(results: list[Result]) -> list[str]:
    """Report successful answers that are incomplete or not signed for their own call."""
    broken = []
    for result in results:
        if not 200 <= result.status < 300:
            continue
        instance, _, call_id = result.signature.partition(".")
        if call_id != result.call_id or result.body != f"{instance}:".encode() + result.expected:
            broken.append(
                f"{result.call_id}: incomplete answer, or one of another call, "
                f"signed {result.signature!r}"
            )
    return broken


def check_refusals(results: list[Result], facts: list[Fact]) -> list[str]:
    """Report calls refused as not run that did run, and refusals without Retry-After."""
    runs = Counter(fact.call_id for fact in facts if fact.kind == "run")
    broken = []
    for result in results:
        if result.status in NOT_RUN and not result.signature:
            if runs[result.call_id]:
                broken.append(f"{result.call_id}: refused with {result.status} but ran")
            if not result.retry_after:
                broken.append(f"{result.call_id}: refused with {result.status} without Retry-After")
    return broken


def check_once(results: list[Result], facts: list[Fact]) -> list[str]:
    """Report non-idempotent calls that ran more than once."""
    runs = Counter(fact.call_id for fact in facts if fact.kind == "run")
    return [
        f"{result.call_id}: ran {runs[result.call_id]} times"
        for result in results
        if result.service == "confirm" and runs[result.call_id] > 1
    ]


def check_leaving(facts: list[Fact], drain_s: float) -> list[str]:
    """Report calls that reached a server after its drain time was over."""
    left = {fact.instance: fact.at for fact in facts if fact.kind == "leaving"}
    return [
        f"{fact.call_id}: reached {fact.instance} "
        f"{fact.at - left[fact.instance]:.2f} s after it began to drain"
        for fact in facts
        if fact.kind == "arrive" and fact.at > left.get(fact.instance, fact.at) + drain_s
    ]


def check_cuts(results: list[Result], is_sound: IsSound) -> list[str]:
    """Report calls that an undisturbed node did not answer, or not in time."""
    broken = []
    for result in results:
        if not is_sound(result.member, result.sent_at - HELD_S, result.ended_at):
            continue
        if result.status == -1:
            broken.append(f"{result.call_id}: no answer in time from an undisturbed node")
        elif result.status == 0:
            broken.append(f"{result.call_id}: connection closed by an undisturbed node")
    return broken


def check_versions(
    sightings: list[Sighting], configured: list[tuple[int, float]], is_sound: IsSound
) -> list[str]:
    """Report configurations that a node applied too late or replaced by an older one."""
    broken = []
    seen: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
    accepted = dict(configured)
    for sighting in sightings:
        own = seen[sighting.member, sighting.starts]
        if sighting.known:
            own.setdefault(sighting.version, sighting.at)
            continue
        newer = [at for version, at in own.items() if version >= sighting.version]
        if newer and sighting.at > min(newer) + REGRESS_S:
            broken.append(
                f"n{sighting.member}: version {sighting.version} was replaced by an older one"
            )
        since = accepted[sighting.version]
        late = sighting.at - since > CONFIGURE_S
        if late and is_sound(sighting.member, since - CONFIGURE_S, sighting.at):
            broken.append(
                f"n{sighting.member}: version {sighting.version} is still not applied after "
                f"{sighting.at - since:.1f} s"
            )
    return broken


def check_budget(results: list[Result], facts: list[Fact]) -> list[str]:
    """Report services whose calls arrived again more often than the retry budget allows."""
    services = {result.call_id: result.service for result in results}
    seen: set[str] = set()
    further: dict[str, list[float]] = defaultdict(list)
    for fact in sorted(facts, key=lambda fact: fact.at):
        if fact.kind != "arrive" or fact.call_id not in services:
            continue
        if fact.call_id in seen:
            further[services[fact.call_id]].append(fact.at)
        seen.add(fact.call_id)
    broken = []
    for service, times in further.items():
        sent = sorted(result.sent_at for result in results if result.service == service)
        for at in times:
            count = sum(at - RETRY_WINDOW_S < other <= at for other in times)
            calls = sum(at - 2 * RETRY_WINDOW_S < other <= at for other in sent)
            if count > RETRY_RATIO * calls + RETRY_EXTRA:
                broken.append(f"{service}: {count} repeated arrivals in {RETRY_WINDOW_S:.0f} s")
                break
    return broken


def check_recovery(results: list[Result], calm_since: float) -> list[str]:
    """Report a run in which too few calls were served after the last fault."""
    last = [result for result in results if result.sent_at > calm_since]
    served = sum(200 <= result.status < 300 for result in last)
    if last and served < LEAST_SERVED * len(last):
        return [f"{served} of {len(last)} calls served after the last fault"]
    return []
