"""What a gate decides about a call that arrives."""

from dataclasses import dataclass
from enum import Enum

from ragwort_common import Reason


class Verdict(Enum):
    """What the gate does with a call that arrives."""

    RUN = "run"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Decision:
    """The gate's answer to an arrival."""

    verdict: Verdict
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0


RUN = Decision(Verdict.RUN)
QUEUED = Decision(Verdict.QUEUED)
EXPIRED = Decision(Verdict.REFUSED, Reason.DEADLINE)
