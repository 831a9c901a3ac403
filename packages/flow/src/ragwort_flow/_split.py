"""Traffic splitting: distributes a route's calls over its parts in proportion to their weights.

Calls are assigned by a Kronecker sequence with the golden ratio (Weyl, 1916), which covers the unit
interval evenly at any length. Each node starts at its own point, so that the proportion also holds
for a few calls at each of many nodes. The load of the parts is not taken into account.
"""

from collections.abc import Sequence
from dataclasses import dataclass

GOLDEN_RATIO_FRACTION = 0.618033988749895


@dataclass(slots=True)
class SplitState:
    """Current point of the sequence, in [0, 1)."""

    point: float


def choose_service_index(state: SplitState, weights: Sequence[float]) -> int:
    """Return the index of the service for the next call."""
    state.point = (state.point + GOLDEN_RATIO_FRACTION) % 1.0
    rest = state.point * sum(weights)
    for index, weight in enumerate(weights):
        rest -= weight
        if rest < 0:
            return index
    return max(range(len(weights)), key=lambda index: weights[index])
