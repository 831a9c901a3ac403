"""Limit on the rate at which calls start at a cold server.

A server is cold for some time after its start, and may turn cold later; at a high rate of calls it
then crashes. All its calls pass through the gate on its host, so one token bucket there (Turner,
1986) holds the limit for all nodes.
"""

from dataclasses import dataclass
from math import inf

BURST_RATIO = 0.5
"""Size of the bucket as a fraction of the slack. The rest covers calls that start at a steady rate
and reach the server closer together."""

MIN_CALLS_PER_S = 0.1
"""Least rate, so that expected waits are finite."""

UNCONFIGURED_CALLS_PER_S = 0.5
"""Rate of a cold server before its own rate is known. A node knows it within a fraction of a second
after its start; meanwhile other servers get the calls."""


@dataclass(slots=True, frozen=True)
class ColdLimit:
    """What a cold server takes.

    Attributes
    ----------
    duration_s
        How long a server is cold after its start; infinite if that is not known yet.
    calls_per_s, burst
        Rate and size of the token bucket.
    """

    duration_s: float
    calls_per_s: float
    burst: float


@dataclass(slots=True)
class ColdState:
    """Until when a server is cold, and its token bucket.

    Attributes
    ----------
    limit
        Limit while the server is cold, None if it has none.
    until
        When coldness ends, as last stated; infinite until the server states it.
    started_at
        Start of a server that has not stated how long it is cold.
    tokens, updated
        Number of calls that may start, as of a time in seconds.
    """

    limit: ColdLimit | None = None
    until: float = -inf
    started_at: float | None = None
    tokens: float = 0.0
    updated: float = 0.0


def make_cold_limit(
    duration_s: float, calls_per_s: float, excess: float, slack: float
) -> ColdLimit:
    """Return the limit that keeps any second within ``calls_per_s * excess + slack`` calls."""
    calls_per_s = max(MIN_CALLS_PER_S, calls_per_s * min(1.0, excess))
    # A smaller bucket would never hold a whole token.
    return ColdLimit(duration_s, calls_per_s, max(1.0, slack * BURST_RATIO))


def make_unconfigured_limit() -> ColdLimit:
    """Return the limit of a server whose service's cold start is not known yet."""
    return ColdLimit(inf, UNCONFIGURED_CALLS_PER_S, 1.0)


def set_cold_limit(state: ColdState, now: float, limit: ColdLimit | None) -> None:
    """Set the limit, or None if cold servers of the service have none."""
    was_limited = is_limited(state, now)
    if was_limited:
        state.tokens = _count_tokens(state, now)
        state.updated = now
    state.limit = limit
    _begin(state, now, was_limited)


def record_statement(state: ColdState, now: float, cold_s: float) -> None:
    """Record how long the server states that it stays cold; 0 if it is not cold."""
    was_limited = is_limited(state, now)
    state.until = now + cold_s
    state.started_at = None
    _begin(state, now, was_limited)


def record_cold_start(state: ColdState, now: float) -> None:
    """Record the start of a server that does not state how long it is cold."""
    was_limited = is_limited(state, now)
    state.until = -inf
    state.started_at = now
    _begin(state, now, was_limited)


def expect_cold(state: ColdState, now: float) -> None:
    """Treat the server as cold until it states otherwise."""
    if state.limit is None:
        return
    was_limited = is_limited(state, now)
    state.until = inf
    state.started_at = None
    _begin(state, now, was_limited)


def forget_server(state: ColdState) -> None:
    """Forget what the server stated, because a new instance has replaced it."""
    state.until = -inf
    state.started_at = None


def is_expected_cold(state: ColdState) -> bool:
    """Return whether the server is treated as cold only until it states otherwise."""
    return state.until == inf


def get_remaining(state: ColdState, now: float) -> float:
    """Return how long the server is still expected to be cold, in seconds."""
    until = state.until
    if state.started_at is not None and state.limit is not None:
        until = state.started_at + state.limit.duration_s
    return max(0.0, until - now)


def is_cold(state: ColdState, now: float) -> bool:
    """Return whether the server is cold."""
    return get_remaining(state, now) > 0.0


def is_limited(state: ColdState, now: float) -> bool:
    """Return whether the rate of calls is limited because the server is cold."""
    return state.limit is not None and is_cold(state, now)


def has_cold_token(state: ColdState, now: float) -> bool:
    """Return whether one more call may start."""
    return not is_limited(state, now) or _count_tokens(state, now) >= 1.0


def take_cold_token(state: ColdState, now: float) -> None:
    """Count the start of a call."""
    if is_limited(state, now):
        state.tokens = _count_tokens(state, now) - 1.0
        state.updated = now


def estimate_cold_wait(state: ColdState, now: float, count: int) -> float:
    """Return the time until a number of calls may start, in seconds."""
    if state.limit is None or not is_cold(state, now):
        return 0.0
    wait_s = (count - _count_tokens(state, now)) / state.limit.calls_per_s
    return min(max(0.0, wait_s), get_remaining(state, now))


def bound_concurrency(state: ColdState, now: float, service_time_s: float) -> float:
    """Return how many calls run at a time at the limited rate; infinite without a limit.

    This follows from Little's law.
    """
    if state.limit is None or not is_cold(state, now):
        return inf
    return state.limit.calls_per_s * service_time_s


def _begin(state: ColdState, now: float, was_limited: bool) -> None:
    """Empty the bucket when coldness becomes known.

    The server may have received calls in the last second, perhaps from a node that was restarted.
    """
    if not was_limited:
        state.tokens = 0.0
        state.updated = now


def _count_tokens(state: ColdState, now: float) -> float:
    assert state.limit is not None, "no limit is set"
    added = (now - state.updated) * state.limit.calls_per_s
    return min(state.limit.burst, state.tokens + added)
