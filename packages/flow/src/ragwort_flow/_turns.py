"""Scheduler of a server's calls: decides which calls run, wait or are refused.

It handles load that shifts within milliseconds: noisy neighbours slow the host down for fractions
of a second, a server may slow down when nearly all slots are taken, and more calls may arrive than
can run within their objectives. A call is queued only while its response is expected within its
objective, and otherwise refused at once. Queued calls start in the order of their rank and then of
their latest start time, the objective less the expected work (earliest deadline first, Liu and
Layland, 1973). A call is deferred on a slowed host if it would finish sooner that way, and until
the host's slowdown is known if that is worth a probe.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import exp

from ragwort_common import CallId, Reason
from ragwort_protocol import LoadReport

from ragwort_flow._decision import EXPIRED, QUEUED, RUN, Decision, Verdict
from ragwort_flow._knee import (
    LEARNED_CALLS,
    KneeState,
    find_knee_limit,
    find_limit,
    learn_below,
    learn_beyond,
)
from ragwort_flow._speed import (
    HOLD_S,
    SpeedState,
    expect_factor,
    gains_by_asking,
    gains_by_waiting,
    get_best,
    is_slowed,
    is_speed_known,
    note_unanswered,
    state_speed,
)
from ragwort_flow._work import WorkEstimates, estimate_work, learn_work

COLD_SLOWDOWN = 2.0
"""Slowdown of a server that has just started; from the users' data sheets."""

LATE_WAIT_S = 0.03
"""Maximum expected wait at which a call that will miss its objective is still queued."""

LATE_PATIENCE_S = 0.25
"""How long a call that will miss its objective yields to those that can meet theirs. It is about
one objective, so that the late call is served too."""

IN_TIME_PART = 1.1
"""Fraction of the time left to the objective within which the response of a queued call has to be
expected. It is slightly over 1 because a refused call has no value and half of the calls are faster
than expected; 0.85 and 1.4 both gave callers less (docs/design/limits.md)."""

MIN_REMAINING_SHARE = 0.2
"""Minimum expected remaining time of a running call, as a fraction of its expected run time."""

ERROR_MEMORY = 0.15
"""Weight of the latest call in the failure ratio: about the last seven calls count."""

FAILING_LIFE_S = 2.0
"""Time constant with which the failure ratio decays while a server gets no calls."""

SMALL_PART = 0.5
"""Work, as a fraction of the average, up to which refusing a call saves hardly anything."""


@dataclass(slots=True, frozen=True)
class Offer:
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
    first_work_s
        The entry node's estimate of the work in seconds, used until calls of the kind have run.
    """

    call_id: CallId
    kind: str
    rank: int
    objective: float
    deadline: float
    first_work_s: float


@dataclass(slots=True)
class TurnState:
    """The scheduler's state: its server, and the running and waiting calls.

    Attributes
    ----------
    limit
        Current concurrency limit, at most the number of slots.
    last_rank
        Rank of the calls with the lowest priority so far.
    failing, failing_at
        Ratio of failed calls, and when it was last updated.
    """

    accepting: bool = False
    slots: int = 1
    limit: int = 1
    cold_until: float = 0.0
    speed: SpeedState = field(default_factory=SpeedState)
    work: WorkEstimates = field(default_factory=WorkEstimates)
    running: dict[CallId, "_Running"] = field(default_factory=dict)
    waiting: list["_Waiting"] = field(default_factory=list)
    last_rank: int = 0
    failing: float = 0.0
    failing_at: float = 0.0
    knee: KneeState = field(default_factory=KneeState)


@dataclass(slots=True, frozen=True)
class _Running:
    """A running call; ``factor`` is the slowdown at which it started."""

    offer: Offer
    started: float
    factor: float
    is_factor_known: bool
    beyond_knee: bool


@dataclass(slots=True, frozen=True, order=True)
class _Waiting:
    rank: int
    latest_start: float
    call_id: CallId
    offer: Offer = field(compare=False)


@dataclass(slots=True, frozen=True)
class Turns:
    """Decisions of one scheduling step: calls to start, and waiting calls to refuse."""

    started: list[CallId] = field(default_factory=list)
    refused: list[tuple[CallId, Decision]] = field(default_factory=list)


def start_server(state: TurnState) -> None:
    """Reset what was learned about the server, because a new instance has replaced it."""
    state.speed = SpeedState()
    state.knee = KneeState()
    state.failing = 0.0


def set_server(state: TurnState, now: float, slots: int, cold_s: float) -> None:
    """Accept calls, with the server's number of slots and the remaining time of its cold start."""
    state.accepting = True
    state.slots = slots
    state.limit = find_limit(state.knee, slots)
    state.cold_until = now + cold_s


def close_server(state: TurnState) -> Turns:
    """Stop accepting calls and refuse the waiting ones."""
    state.accepting = False
    refused = [(call.call_id, _refuse_closed()) for call in state.waiting]
    state.waiting.clear()
    return Turns(refused=refused)


def note_slowdown(state: TurnState, now: float, slowdown: float) -> None:
    """Record the slowdown that the server reports for its host."""
    state_speed(state.speed, now, slowdown)


def note_unanswered_question(state: TurnState, now: float) -> None:
    """Record that the server did not respond to a probe."""
    note_unanswered(state.speed, now)


def wants_speed(state: TurnState, now: float) -> bool:
    """Return whether a waiting call could start if a probe gave the host's slowdown."""
    if len(state.running) >= state.limit:
        return False
    return any(
        gains_by_asking(state.speed, now, _get_work(state, call.offer)) for call in state.waiting
    )


def offer_call(state: TurnState, now: float, offer: Offer) -> Decision:
    """Decide whether a new call runs, is queued for a later step, or is refused."""
    if not state.accepting:
        return _refuse_closed()
    if offer.deadline <= now:
        return EXPIRED
    state.last_rank = max(state.last_rank, offer.rank)
    work_s = _get_work(state, offer)
    has_slot = len(state.running) < state.limit and not any(_list_startable(state, now))
    if has_slot and _may_start(state, now, work_s):
        _start(state, now, offer)
        return RUN
    entry = _Waiting(offer.rank, _get_latest_start(offer, now, work_s), offer.call_id, offer)
    ahead = [call.offer for call in state.waiting if call < entry]
    wait_s = _expect_wait(state, now, ahead, 0.0)
    finish = now + _expect_wait(state, now, ahead, work_s)
    in_time = finish - now <= (offer.objective - now) * IN_TIME_PART
    may_be_late = wait_s <= LATE_WAIT_S or _is_worth_a_wait(state, offer, work_s)
    if finish > offer.deadline or not (in_time or may_be_late):
        return Decision(Verdict.REFUSED, Reason.OVERLOADED, max(1, int(wait_s * 1e3)))
    state.waiting.append(entry)
    state.waiting.sort()
    return QUEUED


def end_call(state: TurnState, now: float, call_id: CallId, succeeded: bool) -> Turns:
    """Record the completion of a running call, and start waiting ones."""
    ends_beyond_knee = len(state.running) > find_knee_limit(state.slots)
    running = state.running.pop(call_id)
    if succeeded:
        _learn(state, running, (now - running.started) / running.factor, ends_beyond_knee)
    state.failing = _get_failing(state, now)
    state.failing += ((not succeeded) - state.failing) * ERROR_MEMORY
    state.failing_at = now
    return _start_waiting(state, now)


def withdraw_call(state: TurnState, now: float, call_id: CallId) -> Turns:
    """Remove a cancelled call, running or waiting, without updating any estimate."""
    state.running.pop(call_id, None)
    state.waiting = [call for call in state.waiting if call.call_id != call_id]
    return _start_waiting(state, now)


def review_waiting(state: TurnState, now: float) -> Turns:
    """Refuse the waiting calls that can no longer meet their deadline, and start others."""
    refused = []
    kept = []
    ahead: list[Offer] = []
    for call in state.waiting:
        work_s = _get_work(state, call.offer)
        if call.offer.deadline <= now:
            refused.append((call.call_id, EXPIRED))
        elif now + _expect_wait(state, now, ahead, work_s) > call.offer.deadline:
            retry_ms = int(_expect_wait(state, now, ahead, 0.0) * 1e3)
            refused.append(
                (call.call_id, Decision(Verdict.REFUSED, Reason.OVERLOADED, max(1, retry_ms)))
            )
        else:
            kept.append(call)
            ahead.append(call.offer)
    state.waiting = kept
    started = _start_waiting(state, now).started
    return Turns(started, refused)


def report_load(state: TurnState, now: float) -> LoadReport:
    """Return the load report for the entry nodes."""
    mean_s = _average(list(state.work.mean_s.values()))
    factor = _expect_start_factor(state, now)
    wait_s = _expect_wait(state, now, [call.offer for call in state.waiting], 0.0)
    return LoadReport(
        in_flight=len(state.running),
        limit=state.limit,
        queued=len(state.waiting),
        service_time_us=int(mean_s * factor * 1e6),
        accepting=state.accepting,
        warm_percent=100,
        slowdown_percent=int(factor * 100),
        wait_ms=int(wait_s * 1e3),
        failing_percent=int(_get_failing(state, now) * 100),
    )


def _is_worth_a_wait(state: TurnState, offer: Offer, work_s: float) -> bool:
    """Return whether a call is served late rather than refused.

    This applies to calls of higher priority, which must not be served less often than others, and
    to small calls: most are made by calls that hold a slot elsewhere and would fail with them.
    """
    average_s = _average(list(state.work.mean_s.values()))
    return offer.rank < state.last_rank or work_s <= SMALL_PART * average_s


def _get_failing(state: TurnState, now: float) -> float:
    """Return the failure ratio, which decays with time so that the server is tried again."""
    return state.failing * exp(min(0.0, state.failing_at - now) / FAILING_LIFE_S)


def _get_work(state: TurnState, offer: Offer) -> float:
    return estimate_work(state.work, offer.kind, offer.first_work_s)


def _learn(state: TurnState, running: _Running, work_s: float, ends_beyond_knee: bool) -> None:
    """Update the estimates from a call's work; those of the knee depend on the utilization."""
    if not running.is_factor_known:
        return
    kind = running.offer.kind
    if running.beyond_knee and ends_beyond_knee:
        expected_s = state.work.mean_s.get(kind, 0.0)
        if expected_s <= 0:
            learn_work(state.work, kind, work_s)
        elif state.knee.below >= LEARNED_CALLS:
            learn_beyond(state.knee, work_s / expected_s)
    elif not (running.beyond_knee or ends_beyond_knee):
        learn_below(state.knee)
        learn_work(state.work, kind, work_s)
    state.limit = find_limit(state.knee, state.slots)


def _get_latest_start(offer: Offer, now: float, work_s: float) -> float:
    """Return the latest start time of a call; one that will miss its objective is put off."""
    latest_start = offer.objective - work_s
    return latest_start if latest_start >= now else now + LATE_PATIENCE_S


def _refuse_closed() -> Decision:
    return Decision(Verdict.REFUSED, Reason.LEAVING)


def _may_start(state: TurnState, now: float, work_s: float) -> bool:
    """Return whether a call may start now, rather than be deferred or wait for a probe."""
    if gains_by_waiting(state.speed, now, work_s):
        return False
    return not gains_by_asking(state.speed, now, work_s)


def _list_startable(state: TurnState, now: float) -> Iterator[bool]:
    """Yield for each waiting call, in order, whether the host's slowdown lets it start."""
    for call in state.waiting:
        yield _may_start(state, now, _get_work(state, call.offer))


def _expect_start_factor(state: TurnState, now: float) -> float:
    """Return the expected slowdown of a call that is deferred until the host is fast."""
    if state.speed.tells:
        # The reported slowdown includes that of a cold start.
        return get_best(state.speed)
    return COLD_SLOWDOWN if now < state.cold_until else 1.0


def _expect_wait(state: TurnState, now: float, ahead: list[Offer], work_s: float) -> float:
    """Return the time to complete ``work_s`` of work that is queued behind the calls ahead."""
    factor = _expect_start_factor(state, now)
    wait_s = HOLD_S if is_slowed(state.speed, now) else 0.0
    if len(state.running) + len(ahead) >= state.limit:
        remaining = [_get_remaining(state, call, now) for call in state.running.values()]
        ahead_s = sum(_get_work(state, offer) for offer in ahead) * factor
        wait_s = max(wait_s, (_average(remaining) + ahead_s) / state.limit)
    return wait_s + work_s * factor


def _get_remaining(state: TurnState, call: _Running, now: float) -> float:
    """Return the expected remaining time of a running call.

    A call that has overrun its expected run time is expected to take as long again as the overrun,
    as with a heavy-tailed distribution. The estimated wait at a hung server thus grows with time.
    """
    run_s = _get_work(state, call.offer) * call.factor
    return max(run_s * MIN_REMAINING_SHARE, abs(run_s - (now - call.started)))


def _start(state: TurnState, now: float, offer: Offer) -> None:
    beyond_knee = len(state.running) + 1 > find_knee_limit(state.slots)
    speed = state.speed
    factor = expect_factor(speed, now) if speed.tells else _expect_start_factor(state, now)
    state.running[offer.call_id] = _Running(
        offer, now, factor, is_speed_known(speed, now), beyond_knee
    )


def _start_waiting(state: TurnState, now: float) -> Turns:
    started = []
    kept = []
    for call in state.waiting:
        has_slot = len(state.running) < state.limit
        if has_slot and _may_start(state, now, _get_work(state, call.offer)):
            _start(state, now, call.offer)
            started.append(call.call_id)
        else:
            kept.append(call)
    state.waiting = kept
    return Turns(started=started)


def _average(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
