"""Fencing by epoch: the gate rejects calls whose claim was granted in an outdated epoch."""


class EpochFence:
    """Holds the highest epoch that a gate has seen for each key range.

    It is a second guard: the journal's horizon already separates the grants of two epochs. The
    fence also protects when an owner's clock stood still while its host was suspended, or when the
    platform was restored from an older copy of the journal.
    """

    def __init__(self) -> None:
        self._epochs: dict[int, int] = {}

    def observe(self, key_range: int, epoch: int) -> None:
        """Record an epoch learned from another node."""
        if epoch > self._epochs.get(key_range, 0):
            self._epochs[key_range] = epoch

    def admit(self, key_range: int, epoch: int) -> bool:
        """Return whether a call with a claim of this epoch may still run, and record the epoch."""
        if epoch < self._epochs.get(key_range, 0):
            return False
        self._epochs[key_range] = epoch
        return True
