"""Tells a crash of a server from a single broken connection, and names the calls that it ran."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ragwort_common import CallId, RequestFingerprint

WITHDRAWN_S = 1.0
"""How long a call counts as running after its caller left, in seconds: servers may run it on."""

MAX_WITHDRAWN = 32
"""Most such calls that are kept; a call is withdrawn at a fraction of the rate of calls."""

MAX_SUSPECTS = 64
"""Number of suspects from which on no further ones are added."""

CallT = TypeVar("CallT")


@dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that ran when its server crashed: its caller's id for it, and its fingerprints."""

    call_id: str
    requests: list[RequestFingerprint]


@dataclass(slots=True)
class CrashDetector(Generic[CallT]):
    """The calls that a server runs, and those that it ran when a connection to it broke.

    Attributes
    ----------
    describe
        Returns what is kept of a call; the call itself may be large.
    running
        Calls that the server runs.
    withdrawn
        Calls whose callers left, with the time.
    suspects
        Calls that ran when a connection broke, those that started last first, then those that ran
        when further ones broke; the server may have crashed, until that is known.
    is_checking
        Whether the server is being checked since a connection broke.
    has_crashed
        Whether a crash has been confirmed since the server last reported.
    """

    describe: Callable[[CallT], RunningCall]
    running: dict[CallId, CallT] = field(default_factory=dict)
    withdrawn: deque[tuple[float, RunningCall]] = field(
        default_factory=lambda: deque(maxlen=MAX_WITHDRAWN)
    )
    suspects: list[RunningCall] = field(default_factory=list)
    is_checking: bool = False
    has_crashed: bool = False


def record_start(detector: CrashDetector[CallT], call_id: CallId, call: CallT) -> None:
    """Record that a call is sent to the server."""
    detector.running[call_id] = call


def record_end(detector: CrashDetector[CallT], call_id: CallId) -> None:
    """Record that a call has ended."""
    detector.running.pop(call_id, None)


def record_withdrawal(detector: CrashDetector[CallT], now: float, call_id: CallId) -> None:
    """Record that the caller of a running call has left."""
    call = detector.running.pop(call_id, None)
    if call is not None:
        detector.withdrawn.append((now, detector.describe(call)))


def record_broken_connection(detector: CrashDetector[CallT], now: float) -> bool:
    """Record that the connection of a running call broke before any response.

    The connections of a crashed server break one after the other. All calls that ran since the
    first one broke are kept until the server reports, since a port may accept connections for a
    server that is gone.

    Returns
    -------
    bool
        Whether to check now if the server still runs.
    """
    if detector.is_checking or detector.has_crashed:
        return False
    known = {call.call_id for call in detector.suspects}
    recent = [call for at, call in reversed(detector.withdrawn) if now - at <= WITHDRAWN_S]
    ran = [*map(detector.describe, reversed(detector.running.values())), *recent]
    if len(detector.suspects) < MAX_SUSPECTS:
        detector.suspects += [call for call in ran if call.call_id not in known]
    detector.is_checking = True
    return True


def record_accepted_connection(detector: CrashDetector[CallT]) -> None:
    """Record that the server accepts connections, so that it has not crashed or is already back."""
    detector.is_checking = False


def record_refused_connection(detector: CrashDetector[CallT]) -> list[RunningCall]:
    """Record that the server refuses connections; return the calls that it ran when it crashed.

    A crash is returned once; without a broken connection before, there was none that ran calls.
    """
    detector.is_checking = False
    detector.has_crashed = True
    return _take_suspects(detector)


def record_server_report(detector: CrashDetector[CallT], is_new_start: bool) -> list[RunningCall]:
    """Record a report of the server; return the calls of a crash that the report reveals.

    A report of the same start shows that only connections have broken, unless it is overtaken by
    a check that is under way.
    """
    revealed = _take_suspects(detector) if is_new_start and not detector.has_crashed else []
    if not detector.is_checking:
        detector.suspects = []
    detector.has_crashed = False
    return revealed


def _take_suspects(detector: CrashDetector[CallT]) -> list[RunningCall]:
    suspects, detector.suspects = detector.suspects, []
    detector.withdrawn.clear()
    return suspects
