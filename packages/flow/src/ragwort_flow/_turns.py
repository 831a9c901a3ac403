"""Decides at the gate which call runs next on its server, which one waits and which is refused.

Answers a load that shifts in milliseconds: neighbours slow the host down for parts of a second, a
server is slower near its last slots, and more calls come than can be run within their objectives.
A call waits only while its answer is expected within its objective; waiting calls start by their
rank and then by their latest start (earliest deadline first, Liu and Layland, 1973, on the
objective less the expected work). What cannot be in time is refused at once. A call does not start
on a slowed host if it is done sooner by waiting, nor before the host's speed is known if that is
worth a question.
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
"""Slowdown of a server that has just started; from the users' sheets."""

LATE_WAIT_S = 0.03
"""Longest wait with which a call is queued that can't be in time any more."""

LATE_PATIENCE_S = 0.25
"""How long a call that can't be in time any more gives way to those that can: about an objective,
so that it is served too."""

IN_TIME_PART = 1.1
"""Part of the time left to the objective within which the answer of a call that waits has to be
expected. A little over 1: a refused call is worth nothing, and half of the calls are faster than
expected; at 0.85 and at 1.4 callers got less (docs/design/limits.md)."""

MIN_REMAINING_SHARE = 0.2
"""Least part of its work that a running call is expected to have left."""

ERROR_MEMORY = 0.15
"""Weight of the latest call in the share of failed calls: about the last seven count."""

FAILING_LIFE_S = 2.0
"""Mean time for which failed calls speak against a server that gets no further ones."""

SMALL_PART = 0.5
"""Work, as a part of the average, up to which refusing a call saves hardly anything."""


@dataclass(slots=True, frozen=True)
class Offer:
    """A call that asks for its turn; times are on the gate's clock, in seconds.

    Attributes
    ----------
    kind
        Calls of one kind need about the same work.
    rank
        Urgency; 0 is the highest.
    objective
        Until when an answer is worth most.
    deadline
        Until when an answer is of any use.
    first_work_s
        Work of its kind as the entry expects it, in seconds, for a gate that has seen none.
    """

    call_id: CallId
    kind: str
    rank: int
    objective: float
    deadline: float
    first_work_s: float


@dataclass(slots=True)
class TurnState:
    """Everything that a gate knows of its server and its calls.

    Attributes
    ----------
    limit
        Calls that the server may run at once, of its slots.
    last_rank
        Rank of the least urgent calls that were offered.
    failing, failing_at
        Share of failed calls, and when it was worked out.
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
    """A call that runs; ``factor`` is the slowdown at which it started."""

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
    """What a step decided: calls that start now, and waiting calls that are refused."""

    started: list[CallId] = field(default_factory=list)
    refused: list[tuple[CallId, Decision]] = field(default_factory=list)


def start_server(state: TurnState) -> None:
    """Forget what was learned of the server; another one has taken its place."""
    state.speed = SpeedState()
    state.knee = KneeState()
    state.failing = 0.0


def set_server(state: TurnState, now: float, slots: int, cold_s: float) -> None:
    """Take in that the server takes calls, how many at once and for how long it is slow."""
    state.accepting = True
    state.slots = slots
    state.limit = find_limit(state.knee, slots)
    state.cold_until = now + cold_s


def close_server(state: TurnState) -> Turns:
    """Take in that the server takes no further calls; those that wait are refused."""
    state.accepting = False
    refused = [(call.call_id, _refuse_closed()) for call in state.waiting]
    state.waiting.clear()
    return Turns(refused=refused)


def note_slowdown(state: TurnState, now: float, slowdown: float) -> None:
    """Take in how much slower than usual the host says that it is."""
    state_speed(state.speed, now, slowdown)


def note_unanswered_question(state: TurnState, now: float) -> None:
    """Take in that the server did not answer the question for its speed."""
    note_unanswered(state.speed, now)


def wants_speed(state: TurnState, now: float) -> bool:
    """Tell whether a call could start but for the host's speed, which has to be asked for."""
    if len(state.running) >= state.limit:
        return False
    return any(
        gains_by_asking(state.speed, now, _get_work(state, call.offer)) for call in state.waiting
    )


def offer_call(state: TurnState, now: float, offer: Offer) -> Decision:
    """Decide on a call that arrives; a queued one is started by a later step."""
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
    """Take in the end of a running call."""
    ends_beyond_knee = len(state.running) > find_knee_limit(state.slots)
    running = state.running.pop(call_id)
    if succeeded:
        _learn(state, running, (now - running.started) / running.factor, ends_beyond_knee)
    state.failing = _get_failing(state, now)
    state.failing += ((not succeeded) - state.failing) * ERROR_MEMORY
    state.failing_at = now
    return _start_waiting(state, now)


def withdraw_call(state: TurnState, now: float, call_id: CallId) -> Turns:
    """Forget a call that nobody waits for, running or waiting; nothing is learned from it."""
    state.running.pop(call_id, None)
    state.waiting = [call for call in state.waiting if call.call_id != call_id]
    return _start_waiting(state, now)


def review_waiting(state: TurnState, now: float) -> Turns:
    """Refuse the waiting calls that can't be answered by their deadline any more."""
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
    """Return what the entries are told of the server."""
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
    """Tell whether a call is served late rather than refused.

    That is so for the more urgent ones, which are not to be served less often than others, and
    for small ones: most are made by calls that hold a slot elsewhere and would fail with them.
    """
    average_s = _average(list(state.work.mean_s.values()))
    return offer.rank < state.last_rank or work_s <= SMALL_PART * average_s


def _get_failing(state: TurnState, now: float) -> float:
    """Return the share of failed calls, faded with time, so that a server is tried again."""
    return state.failing * exp(min(0.0, state.failing_at - now) / FAILING_LIFE_S)


def _get_work(state: TurnState, offer: Offer) -> float:
    return estimate_work(state.work, offer.kind, offer.first_work_s)


def _learn(state: TurnState, running: _Running, work_s: float, ends_beyond_knee: bool) -> None:
    """Take in the work of a call; what it shows of the knee depends on how full the server was."""
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
    """Return until when a call has to start; one that is late in any case gives way for a time."""
    latest_start = offer.objective - work_s
    return latest_start if latest_start >= now else now + LATE_PATIENCE_S


def _refuse_closed() -> Decision:
    return Decision(Verdict.REFUSED, Reason.LEAVING)


def _may_start(state: TurnState, now: float, work_s: float) -> bool:
    """Tell whether a call of this work had better start now than a little later."""
    if gains_by_waiting(state.speed, now, work_s):
        return False
    return not gains_by_asking(state.speed, now, work_s)


def _list_startable(state: TurnState, now: float) -> Iterator[bool]:
    """Tell for each waiting call, in their order, whether it may start as far as speed goes."""
    for call in state.waiting:
        yield _may_start(state, now, _get_work(state, call.offer))


def _expect_start_factor(state: TurnState, now: float) -> float:
    """Return by how much longer than its work a call runs here that waits for a quick host."""
    if state.speed.tells:
        # What a server states includes its cold start.
        return get_best(state.speed)
    return COLD_SLOWDOWN if now < state.cold_until else 1.0


def _expect_wait(state: TurnState, now: float, ahead: list[Offer], work_s: float) -> float:
    """Return the time until ``work_s`` of work is done that starts after the calls ahead."""
    factor = _expect_start_factor(state, now)
    wait_s = HOLD_S if is_slowed(state.speed, now) else 0.0
    if len(state.running) + len(ahead) >= state.limit:
        remaining = [_get_remaining(state, call, now) for call in state.running.values()]
        ahead_s = sum(_get_work(state, offer) for offer in ahead) * factor
        wait_s = max(wait_s, (_average(remaining) + ahead_s) / state.limit)
    return wait_s + work_s * factor


def _get_remaining(state: TurnState, call: _Running, now: float) -> float:
    """Return the time that a running call is expected to go on.

    One that has run for longer than expected is expected to go on as long again, as with a
    heavy-tailed distribution; so the wait at a server that hangs grows with time.
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
