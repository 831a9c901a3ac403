"""Network distance between nodes, and the interface of the random number generator."""

from enum import Enum
from typing import Protocol

from ragwort_common import FailureDomain, Region


class RandomSource(Protocol):
    """The subset of ``random.Random`` that this package uses."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


class Distance(Enum):
    """Network distance of a server from the entry node."""

    SAME_DOMAIN = "same-domain"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


def find_distance(
    own: tuple[FailureDomain, Region], other: tuple[FailureDomain, Region]
) -> Distance:
    """Return the distance between two locations, each a failure domain and its region."""
    if own[1] != other[1]:
        return Distance.OTHER_REGION
    return Distance.SAME_DOMAIN if own[0] == other[0] else Distance.SAME_REGION
