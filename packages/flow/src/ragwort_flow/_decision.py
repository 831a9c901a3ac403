"""Admission decisions of the scheduler."""

from dataclasses import dataclass
from enum import Enum

from ragwort_common import Reason


class Verdict(Enum):
    """What the scheduler does with a new call."""

    RUN = "run"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Decision:
    """The scheduler's decision on a new call."""

    verdict: Verdict
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0


RUN = Decision(Verdict.RUN)
QUEUED = Decision(Verdict.QUEUED)
EXPIRED = Decision(Verdict.REFUSED, Reason.DEADLINE)
