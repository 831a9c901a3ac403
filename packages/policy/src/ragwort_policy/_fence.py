"""Refuses, at the gate, calls whose claim was granted in an epoch that is known to be over."""


class EpochFence:
    """Keeps the highest epoch that a gate has seen of each key range.

    It is a second guard: the journal's horizon already keeps the grants of two epochs apart.
    The fence still holds when an owner's clock stood still while its host was suspended, or
    when the platform came back with an older copy of the journal.
    """

    def __init__(self) -> None:
        self._epochs: dict[int, int] = {}

    def learn(self, key_range: int, epoch: int) -> None:
        """Take in an epoch that was heard of."""
        if epoch > self._epochs.get(key_range, 0):
            self._epochs[key_range] = epoch

    def admit(self, key_range: int, epoch: int) -> bool:
        """Tell whether a call with a claim of this epoch may still run."""
        if epoch < self._epochs.get(key_range, 0):
            return False
        self._epochs[key_range] = epoch
        return True
