"""Paces the journal writes of one key range with a token bucket."""


class WritePace:
    """Allows writes at a rate, and some more after a quiet time.

    Parameters
    ----------
    writes_per_s, burst
        The rate, and how many writes may follow each other at once.
    now
        Monotonic time in seconds.
    """

    def __init__(self, writes_per_s: float, burst: float, now: float) -> None:
        self._writes_per_s = writes_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_s = now

    def take_turn(self, now: float) -> bool:
        """Tell whether a write may be sent now, and count it."""
        earned = (now - self._filled_s) * self._writes_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def find_turn(self) -> float:
        """Return the time of the next turn; it may have passed."""
        return self._filled_s + max(0.0, 1 - self._tokens) / self._writes_per_s
