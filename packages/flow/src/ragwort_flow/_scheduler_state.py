"""State of the scheduler: the server, and its running and waiting calls."""

from dataclasses import dataclass, field

from ragwort_common import CallId, CustomerName, Reason

from ragwort_flow._cold_start import ColdState
from ragwort_flow._concurrency_limit import KneeState
from ragwort_flow._customer_shares import CustomerShares
from ragwort_flow._decision import Decision
from ragwort_flow._rate_limit import RateLimit
from ragwort_flow._service_ratio import ServiceRatios
from ragwort_flow._speed import SpeedState
from ragwort_flow._work import WorkEstimates


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call submitted to the scheduler; times are on the scheduler's clock, in seconds.

    Attributes
    ----------
    kind
        Class of calls that need about the same work.
    rank
        Priority; 0 is the highest.
    objective
        Time until which a response has the highest value.
    deadline
        Time after which a response has no value.
    default_work_s
        The entry node's estimate of the work in seconds, used until calls of the kind have run.
    may_move
        Whether another server is expected to serve the call in time if it is refused here.
    customer
        Customer of the call; None if it has none, as a nested call.
    """

    call_id: CallId
    kind: str
    rank: int
    objective: float
    deadline: float
    default_work_s: float
    may_move: bool = False
    customer: CustomerName | None = None


@dataclass(slots=True)
class SchedulerState:
    """The scheduler's state: its server, and the running and waiting calls.

    Attributes
    ----------
    closed_reason
        Reason to refuse calls while they are not accepted.
    limit
        Current concurrency limit, at most the number of slots.
    max_rank
        Rank of the calls with the lowest priority so far.
    failure_ratio, failure_ratio_at
        Ratio of failed calls, and when it was last updated.
    ratios
        How often each class of calls is served.
    shares
        What each customer sends, and which calls are beyond that.
    given_up, slots_kept, put_behind
        Number of calls that were refused since not all could be in time, of calls that found a slot
        kept free for more urgent ones, and of calls beyond their customer's share in overload.
    """

    accepting: bool = False
    closed_reason: Reason = Reason.LEAVING
    slots: int = 1
    limit: int = 1
    cold: ColdState = field(default_factory=ColdState)
    speed: SpeedState = field(default_factory=SpeedState)
    work: WorkEstimates = field(default_factory=WorkEstimates)
    running: dict[CallId, "Running"] = field(default_factory=dict)
    waiting: list["Waiting"] = field(default_factory=list)
    max_rank: int = 0
    failure_ratio: float = 0.0
    failure_ratio_at: float = 0.0
    knee: KneeState = field(default_factory=KneeState)
    rate: RateLimit = field(default_factory=RateLimit)
    ratios: ServiceRatios = field(default_factory=ServiceRatios)
    shares: CustomerShares = field(default_factory=CustomerShares)
    given_up: int = 0
    slots_kept: int = 0
    put_behind: int = 0


@dataclass(slots=True, frozen=True)
class Running:
    """A running call; ``slowdown`` is the one at which it started."""

    pending: PendingCall
    started: float
    slowdown: float
    is_slowdown_known: bool
    above_knee: bool


@dataclass(slots=True, order=True)
class Waiting:
    """A waiting call; ``due`` is the latest start at which it is in time.

    ``is_beyond_share`` may move to another call of the customer, see ``move_marks``.
    """

    rank: int
    latest_start: float
    call_id: CallId
    pending: PendingCall = field(compare=False)
    work_s: float = field(compare=False)
    due: float = field(compare=False)
    customer: CustomerName | None = field(compare=False, default=None)
    is_beyond_share: bool = field(compare=False, default=False)

    @property
    def kind(self) -> str:
        return self.pending.kind


@dataclass(slots=True, frozen=True)
class SchedulingResult:
    """Decisions of one scheduling step: calls to start, and waiting calls to refuse."""

    started: list[CallId] = field(default_factory=list)
    refused: list[tuple[CallId, Decision]] = field(default_factory=list)
