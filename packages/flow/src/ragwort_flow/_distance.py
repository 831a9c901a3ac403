"""How far a server is from an entry, and the source of random numbers of the decisions."""

from enum import Enum
from typing import Protocol

from ragwort_common import FailureDomain, Region


class RandomSource(Protocol):
    """The part of ``random.Random`` that the decisions use."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


class Distance(Enum):
    """How far a server is from the entry."""

    SAME_DOMAIN = "same-domain"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


def find_distance(
    own: tuple[FailureDomain, Region], other: tuple[FailureDomain, Region]
) -> Distance:
    """Return the distance between two places, each a failure domain and its region."""
    if own[1] != other[1]:
        return Distance.OTHER_REGION
    return Distance.SAME_DOMAIN if own[0] == other[0] else Distance.SAME_REGION
