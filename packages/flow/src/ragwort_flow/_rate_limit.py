"""Limit on the rate at which calls start, as the server states it.

A server in need states how many calls a second it takes from all callers together. All its calls
pass through the gate on its host, so one token bucket there holds the limit for all of them, and
the nodes need not divide it. A full bucket lets calls that arrive together start together.
"""

from dataclasses import dataclass

BURST_S = 0.5
"""Size of the bucket, as the time in which it fills. Any few seconds then bring little more than
the rate; without a burst, calls that arrive together would wait although the server is idle."""

MIN_CALLS_PER_S = 0.5
"""Least rate. Only answers to calls tell that the limit has ended, so some calls have to start."""

HOLD_S = 1.0
"""How long a stated rate holds although later answers don't state it: answers of calls that started
before may arrive out of order."""


@dataclass(slots=True)
class RateLimit:
    """Token bucket; without a rate it is never empty.

    Attributes
    ----------
    calls_per_s
        Rate at which the bucket fills, None without a limit.
    tokens, updated
        Number of calls that may start, as of a time in seconds.
    stated_at
        When the server last stated the rate, in seconds.
    """

    calls_per_s: float | None = None
    tokens: float = 0.0
    updated: float = 0.0
    stated_at: float = 0.0


def set_rate(limit: RateLimit, now: float, calls_per_s: float | None) -> None:
    """Set the rate that the server states in an answer, None if it states none."""
    if calls_per_s is None:
        if now - limit.stated_at > HOLD_S:
            limit.calls_per_s = None
        return
    limit.stated_at = now
    calls_per_s = max(MIN_CALLS_PER_S, calls_per_s)
    if calls_per_s == limit.calls_per_s:
        return
    # A limit starts with an empty bucket: the server states it because it got too many calls.
    tokens = _count_tokens(limit, now) if limit.calls_per_s is not None else 0.0
    limit.calls_per_s = calls_per_s
    limit.tokens = tokens
    limit.updated = now


def take_token(limit: RateLimit, now: float) -> None:
    """Count the start of a call."""
    if limit.calls_per_s is not None:
        limit.tokens = _count_tokens(limit, now) - 1.0
        limit.updated = now


def estimate_token_wait(limit: RateLimit, now: float, count: int) -> float:
    """Return the time until a number of calls may start, in seconds."""
    if limit.calls_per_s is None:
        return 0.0
    return max(0.0, (count - _count_tokens(limit, now)) / limit.calls_per_s)


def has_token(limit: RateLimit, now: float) -> bool:
    """Return whether a call may start now."""
    return limit.calls_per_s is None or _count_tokens(limit, now) >= 1.0


def _count_tokens(limit: RateLimit, now: float) -> float:
    assert limit.calls_per_s is not None, "no rate is set"
    size = max(1.0, limit.calls_per_s * BURST_S)
    return min(size, limit.tokens + (now - limit.updated) * limit.calls_per_s)
