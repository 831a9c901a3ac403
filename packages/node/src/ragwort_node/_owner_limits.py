"""Clocks and limits for the owner of key ranges."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ragwort_policy import ClaimLimits, JournalLimits


@dataclass(frozen=True, slots=True)
class OwnerClocks:
    """Time sources of an owner.

    Attributes
    ----------
    now
        Monotonic time in seconds that includes the time while the host is suspended.
    wall_ms
        Unix time in milliseconds.
    sleep
        Sleeps for a number of seconds.
    """

    now: Callable[[], float]
    wall_ms: Callable[[], int]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


@dataclass(frozen=True, slots=True)
class OwnerLimits:
    """Limits of each key range that a node owns.

    Attributes
    ----------
    writes_per_s, writes_burst
        Rate limit of journal writes of one range: the fleet's budget divided by the ranges.
    """

    claims: ClaimLimits = field(default_factory=ClaimLimits)
    journal: JournalLimits = field(default_factory=JournalLimits)
    writes_per_s: float = 100 / 64
    writes_burst: float = 4.0
