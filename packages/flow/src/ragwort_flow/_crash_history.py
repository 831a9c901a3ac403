"""Finds the requests that crash the servers which run them, from the crashes of a whole fleet.

The load answered: a request comes again and again, under new ids and at any host, and each server
that begins to run it crashes. No server's crash tells which of the calls that it ran was the cause;
only the request that ran in several crashes stands out. This is fault localization by the spectrum
of failed runs (Jones and Harrold, "Empirical evaluation of the Tarantula automatic
fault-localization technique", 2005): an answered run of a request clears it, and a crash that
another request explains better does not count against it.
"""

from dataclasses import dataclass, field
from math import inf

from ragwort_common import RequestFingerprint
from ragwort_model import CrashId, CrashRecord

CRASHES_TO_BLAME = 3
"""Crashes that a request must have been running in to be refused."""

MAX_AGE_S = 900.0
"""How long a crash counts, in seconds."""

MAX_CRASHES = 256
"""Most crashes that are kept: 1.4 MB with twelve requests each, 6.5 MB with the most."""

FIRST_TRIAL_S = 10.0
"""Time from the third crash of a request until it may run again, as a trial, in seconds. A request
that only ran beside the cause is refused no longer."""

TRIAL_FACTOR = 4.0
"""Factor of that time for each further crash."""

MAX_TRIAL_S = 600.0
"""Maximum of that time, in seconds."""

TRIAL_PASS_S = 2.0
"""How long after the start of a trial the gates let the request through, in seconds."""

TIED_TRIAL_S = 3.0
"""Time between the trials of requests that ran in exactly the same crashes, in seconds. One is
enough to tell the cause from those that only ran beside it; over ``TRIAL_PASS_S``, so that no two
of them run at once."""

MAX_TIED_CRASHES = CRASHES_TO_BLAME + 1
"""Most crashes of such requests up to which their trials come that early: the fingerprints of one
request with a query are always tied."""


@dataclass(slots=True)
class Crash:
    """A crash that the history holds.

    Attributes
    ----------
    happened_at
        When it happened, on this node's clock, in seconds.
    suspects
        Those of its requests that have not been cleared.
    """

    record: CrashRecord
    happened_at: float
    suspects: set[RequestFingerprint]


@dataclass(slots=True)
class CrashHistory:
    """Recent crashes.

    Attributes
    ----------
    crashes
        Crashes by id, the oldest arrival first.
    by_request
        The crashes of each suspect.
    recurring
        Requests that are suspects of two crashes or more.
    trials
        When the latest trial of a request started, on this node's clock, in seconds.
    """

    crashes: dict[CrashId, Crash] = field(default_factory=dict)
    by_request: dict[RequestFingerprint, set[CrashId]] = field(default_factory=dict)
    recurring: set[RequestFingerprint] = field(default_factory=set)
    trials: dict[RequestFingerprint, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Blame:
    """Why a request is refused.

    Attributes
    ----------
    crashes
        The crashes that count against it, in order of time.
    retry_at
        When it may run again as a trial, on this node's clock, in seconds.
    """

    crashes: tuple[Crash, ...]
    retry_at: float


def record_crash(history: CrashHistory, record: CrashRecord, happened_at: float) -> bool:
    """Add a crash, and return whether it is new."""
    if record.crash_id in history.crashes:
        return False
    crash = Crash(record, happened_at, set(record.requests))
    history.crashes[record.crash_id] = crash
    for request in crash.suspects:
        crash_ids = history.by_request.setdefault(request, set())
        crash_ids.add(record.crash_id)
        if len(crash_ids) > 1:
            history.recurring.add(request)
    if len(history.crashes) > MAX_CRASHES:
        _drop_crash(history, _choose_dropped(history))
    return True


def clear_request(history: CrashHistory, request: RequestFingerprint) -> None:
    """Take a request off all crashes, since a server has run it and answered."""
    for crash_id in history.by_request.pop(request, set()):
        history.crashes[crash_id].suspects.discard(request)
    history.recurring.discard(request)
    history.trials.pop(request, None)


def forget_old_crashes(history: CrashHistory, now: float) -> None:
    """Drop the crashes that no longer count."""
    for crash_id, crash in list(history.crashes.items()):
        if now - crash.happened_at > MAX_AGE_S:
            _drop_crash(history, crash_id)


def find_blame(history: CrashHistory, now: float, request: RequestFingerprint) -> Blame | None:
    """Return why a request is to be refused, or None if it may run like any other.

    A crash does not count if another of its suspects was running in more crashes.
    """
    if request not in history.recurring:
        return None
    crashes = [
        crash
        for crash in map(history.crashes.__getitem__, history.by_request[request])
        if now - crash.happened_at <= MAX_AGE_S and not _is_explained(history, crash, request)
    ]
    if len(crashes) < CRASHES_TO_BLAME:
        return None
    crashes.sort(key=lambda crash: crash.happened_at)
    wait_s = FIRST_TRIAL_S * TRIAL_FACTOR ** (len(crashes) - CRASHES_TO_BLAME)
    if len(crashes) <= MAX_TIED_CRASHES:
        wait_s = min(wait_s, _find_tied_wait(history, crashes, request))
    latest = max(crashes[-1].happened_at, history.trials.get(request, 0.0))
    return Blame(tuple(crashes), latest + min(wait_s, MAX_TRIAL_S))


def start_trial(history: CrashHistory, now: float, request: RequestFingerprint) -> None:
    """Record that a refused request runs once more, to see whether it still crashes its server."""
    if request in history.recurring:
        history.trials[request] = now


def is_in_trial(history: CrashHistory, now: float, request: RequestFingerprint) -> bool:
    """Return whether a trial of a request started a moment ago."""
    started = history.trials.get(request)
    return started is not None and now - started < TRIAL_PASS_S


def _is_explained(history: CrashHistory, crash: Crash, request: RequestFingerprint) -> bool:
    own = len(history.by_request[request])
    return any(
        len(history.by_request[other]) > max(own, CRASHES_TO_BLAME - 1)
        for other in crash.suspects
        if other != request
    )


def _find_tied_wait(
    history: CrashHistory, crashes: list[Crash], request: RequestFingerprint
) -> float:
    """Return when a request's trial comes if others ran in the same crashes, else infinity.

    They take turns, in an order that all nodes agree on. After its first trial a request waits
    until all of them have had one.
    """
    crash_ids = history.by_request[request]
    suspects = set.intersection(*(crash.suspects for crash in crashes))
    tied = sorted(other for other in suspects if history.by_request[other] == crash_ids)
    if len(tied) < 2:
        return inf
    had_trial = history.trials.get(request, -inf) >= crashes[-1].happened_at
    turns = len(tied) if had_trial else tied.index(request) + 1
    return turns * TIED_TRIAL_S


def _choose_dropped(history: CrashHistory) -> CrashId:
    """Return the oldest crash, if possible one whose requests were in no other crash."""
    for crash_id, crash in history.crashes.items():
        if not crash.suspects & history.recurring:
            return crash_id
    return next(iter(history.crashes))


def _drop_crash(history: CrashHistory, crash_id: CrashId) -> None:
    for request in history.crashes.pop(crash_id).suspects:
        crash_ids = history.by_request[request]
        crash_ids.discard(crash_id)
        if len(crash_ids) < 2:
            history.recurring.discard(request)
            history.trials.pop(request, None)
        if not crash_ids:
            del history.by_request[request]
