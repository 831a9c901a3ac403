"""Limits how many calls a node makes to the platform."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class CallBudget:
    """A token bucket: ``calls_per_s`` on average, with bursts of up to ``burst_calls``.

    Parameters
    ----------
    calls_per_s
        Tokens added each second.
    burst_calls
        Capacity of the bucket in tokens; it starts full.
    clock
        Returns monotonic time in seconds.
    """

    calls_per_s: float
    burst_calls: float
    clock: Callable[[], float]
    _tokens: float = field(init=False)
    _filled_at: float = field(init=False)

    def __post_init__(self) -> None:
        self._tokens = self.burst_calls
        self._filled_at = self.clock()

    def take_token(self) -> bool:
        """Take one token if available, and return whether there was one."""
        now = self.clock()
        added = (now - self._filled_at) * self.calls_per_s
        self._tokens = min(self.burst_calls, self._tokens + added)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
