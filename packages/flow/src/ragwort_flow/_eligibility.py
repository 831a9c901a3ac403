"""Which servers may get a call: those of its home regions that are in no evacuated domain.

The home regions of a call are those that its route and its customer allow. Unlike the choice among
the servers, which weighs costs, this is a limit that nothing outweighs.
"""

from collections.abc import Collection, Iterable
from enum import Enum
from typing import Protocol, TypeVar

from ragwort_common import FailureDomain, Reason, Region


class Located(Protocol):
    """A server with its location."""

    @property
    def failure_domain(self) -> FailureDomain:
        """Failure domain of the server's host."""

    @property
    def region(self) -> Region:
        """Region of the server's host."""


LocatedTarget = TypeVar("LocatedTarget", bound=Located)


class Eligibility(Enum):
    """Whether a server may get a call, and if not, why.

    Attributes
    ----------
    AWAY
        It is outside the home regions of the call, whether or not its domain is evacuated.
    EVACUATED
        It is in a home region, but in an evacuated failure domain.
    """

    ELIGIBLE = "eligible"
    AWAY = "away"
    EVACUATED = "evacuated"


def check_eligibility(
    target: Located,
    allowed_regions: Collection[Region] | None,
    evacuated: Collection[FailureDomain],
) -> Eligibility:
    """Return whether a server may get a call.

    Parameters
    ----------
    allowed_regions
        Home regions of the call; None if it has none and any region will do.
    evacuated
        Failure domains whose servers may get no calls.
    """
    if allowed_regions is not None and target.region not in allowed_regions:
        return Eligibility.AWAY
    if target.failure_domain in evacuated:
        return Eligibility.EVACUATED
    return Eligibility.ELIGIBLE


def list_eligible(
    targets: Iterable[LocatedTarget],
    allowed_regions: Collection[Region] | None,
    evacuated: Collection[FailureDomain],
) -> Iterable[LocatedTarget]:
    """Return the servers that may get a call; see ``check_eligibility``."""
    if allowed_regions is None and not evacuated:
        return targets
    return (
        target
        for target in targets
        if check_eligibility(target, allowed_regions, evacuated) is Eligibility.ELIGIBLE
    )


def explain_absence(
    targets: Iterable[Located],
    allowed_regions: Collection[Region] | None,
    evacuated: Collection[FailureDomain],
) -> Reason:
    """Return the reason to refuse a call for which no server was found.

    It is that of the home regions if they rule out the servers that could have run the call:
    without them, a server outside an evacuated domain would be left, or within them there is none.

    Parameters
    ----------
    targets
        All reachable servers of the service.
    """
    if allowed_regions is None:
        return Reason.NO_SERVER
    found = [
        (check_eligibility(target, allowed_regions, evacuated), target.failure_domain in evacuated)
        for target in targets
    ]
    if any(eligibility is Eligibility.ELIGIBLE for eligibility, _ in found):
        return Reason.NO_SERVER
    has_home = any(eligibility is Eligibility.EVACUATED for eligibility, _ in found)
    all_evacuated = all(is_evacuated for _, is_evacuated in found)
    return Reason.NO_SERVER if has_home and all_evacuated else Reason.NO_HOME_SERVER
