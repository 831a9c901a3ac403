"""Recognizes callers that come back after a refusal or a failure, and how long they have waited.

A caller's latency objective starts with its first attempt, but each attempt has an id of its own
and states only the time left until the caller's deadline. That deadline itself stays: arrival time
plus time left is the same for all attempts of a caller, to within the jitter of the network, and
differs between callers. An attempt whose deadline is that of a call that this node has just left
unserved is therefore taken for the same caller. Callers that return to another node are not
recognized, and count as new.
"""

from collections import deque
from dataclasses import dataclass, field

DEADLINE_TOLERANCE_S = 0.002
"""Largest difference between the deadlines of two attempts of one caller, as this node sees them:
covers the jitter of the network, and that callers state the time left in whole milliseconds."""

MAX_UNSERVED = 4096
"""Maximum number of unserved calls that a node remembers; the oldest are forgotten first."""


@dataclass(slots=True, frozen=True)
class UnservedCall:
    """A call that was not served; times are on the node's clock, in seconds.

    Attributes
    ----------
    kind
        Class of calls whose callers can be mistaken for each other.
    first_arrived
        When the first attempt of its caller arrived.
    """

    kind: str
    deadline: float
    first_arrived: float


@dataclass(slots=True)
class UnservedCalls:
    """The latest unserved calls whose deadline has not passed, in the order of their end."""

    calls: deque[UnservedCall] = field(default_factory=lambda: deque(maxlen=MAX_UNSERVED))
    by_slot: dict[tuple[str, int], list[UnservedCall]] = field(default_factory=dict)


def record_unserved(state: UnservedCalls, now: float, call: UnservedCall) -> None:
    """Remember a call that was not served, until its deadline."""
    if len(state.calls) == MAX_UNSERVED:
        _forget(state, state.calls.popleft())
    while state.calls and state.calls[0].deadline <= now:
        _forget(state, state.calls.popleft())
    state.calls.append(call)
    state.by_slot.setdefault(_get_slot(call.kind, call.deadline), []).append(call)


def claim_first_arrival(state: UnservedCalls, kind: str, deadline: float, now: float) -> float:
    """Return when the first attempt of a call's caller arrived; ``now`` if it is a new caller.

    The unserved attempt is forgotten, since only one later attempt can follow it.
    """
    slot = _get_slot(kind, deadline)
    found = [
        call
        for number in (slot[1] - 1, slot[1], slot[1] + 1)
        for call in state.by_slot.get((kind, number), ())
        if abs(call.deadline - deadline) <= DEADLINE_TOLERANCE_S
    ]
    if not found:
        return now
    closest = min(found, key=lambda call: abs(call.deadline - deadline))
    _forget(state, closest)
    return closest.first_arrived


def _get_slot(kind: str, deadline: float) -> tuple[str, int]:
    return kind, int(deadline / DEADLINE_TOLERANCE_S)


def _forget(state: UnservedCalls, call: UnservedCall) -> None:
    slot = _get_slot(call.kind, call.deadline)
    calls = state.by_slot.get(slot)
    if calls is None or call not in calls:
        return
    calls.remove(call)
    if not calls:
        del state.by_slot[slot]
