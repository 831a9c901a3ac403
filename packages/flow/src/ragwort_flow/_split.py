"""Spreads a route's calls over its parts in proportion to their weights.

The calls take their places in a Kronecker sequence with the golden ratio (Weyl, 1916), which
fills the unit interval evenly at any length. Each node starts at a point of its own, so that few
calls at each of many nodes keep the proportion too. A part's room plays no role.
"""

from collections.abc import Sequence
from dataclasses import dataclass

GOLDEN_RATIO_PART = 0.618033988749895


@dataclass(slots=True)
class SplitState:
    """The point of the sequence, in [0, 1)."""

    point: float


def take_part(state: SplitState, weights: Sequence[float]) -> int:
    """Return the index of the part that gets the next call."""
    state.point = (state.point + GOLDEN_RATIO_PART) % 1.0
    rest = state.point * sum(weights)
    for index, weight in enumerate(weights):
        rest -= weight
        if rest < 0:
            return index
    return max(range(len(weights)), key=lambda index: weights[index])
