"""The clocks and limits of the owner of key ranges."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ragwort_policy import ClaimLimits, JournalLimits


@dataclass(frozen=True, slots=True)
class OwnerClocks:
    """The clocks of an owner.

    Attributes
    ----------
    now
        Monotonic seconds that also count while the host is suspended.
    wall_ms
        Wall time in milliseconds of Unix time.
    sleep
        Waits for some seconds.
    """

    now: Callable[[], float]
    wall_ms: Callable[[], int]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


@dataclass(frozen=True, slots=True)
class OwnerLimits:
    """The limits of each key range that a node owns.

    Attributes
    ----------
    writes_per_s, writes_burst
        Pace of journal writes of one range; the fleet's budget divided by the ranges.
    """

    claims: ClaimLimits = field(default_factory=ClaimLimits)
    journal: JournalLimits = field(default_factory=JournalLimits)
    writes_per_s: float = 100 / 64
    writes_burst: float = 4.0
