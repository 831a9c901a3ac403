"""Rate limit of the journal writes of one key range, as a token bucket."""


class WriteRateLimiter:
    """A token bucket that limits the rate of writes and allows bursts.

    Parameters
    ----------
    writes_per_s, burst
        Sustained rate, and number of writes that may be sent at once.
    now
        Monotonic time in seconds.
    """

    def __init__(self, writes_per_s: float, burst: float, now: float) -> None:
        self._writes_per_s = writes_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_s = now

    def try_acquire(self, now: float) -> bool:
        """Take a token if there is one; return whether a write may be sent now."""
        earned = (now - self._filled_s) * self._writes_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def get_next_time(self) -> float:
        """Return the time at which the next write may be sent, which may have passed."""
        return self._filled_s + max(0.0, 1 - self._tokens) / self._writes_per_s
