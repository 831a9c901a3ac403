"""The decisions about one call, as pure code: placing, queueing, refusing and repeating."""

from ragwort_flow._decision import EXPIRED, QUEUED, RUN, Decision, Verdict
from ragwort_flow._distance import Distance, RandomSource, find_distance
from ragwort_flow._hedging import SECOND_SLOWDOWN, get_hedge_delay
from ragwort_flow._instance_watch import (
    InstanceWatch,
    is_ready,
    take_departure,
    take_heartbeat,
)
from ragwort_flow._knee import LEARNED_CALLS
from ragwort_flow._placement import (
    USUAL_SLOWDOWN,
    Fit,
    Placement,
    Target,
    choose_target,
    close_target,
    estimate_finish,
    has_room,
    record_sent,
    take_report,
)
from ragwort_flow._repeats import RepeatBudget, RepeatLimits, count_call, take_repeat
from ragwort_flow._slowdown import expect_run, fade_slowdown
from ragwort_flow._split import SplitState, take_part
from ragwort_flow._turns import (
    Offer,
    Turns,
    TurnState,
    close_server,
    end_call,
    note_slowdown,
    offer_call,
    report_load,
    review_waiting,
    set_server,
    start_server,
    withdraw_call,
)
from ragwort_flow._watchers import WATCHERS_PER_DOMAIN, is_watcher_among, rank_node
from ragwort_flow._work import (
    WorkClock,
    WorkEstimates,
    estimate_work,
    learn_work,
    read_work_clock,
    state_slowdown,
)

__all__ = [
    "Decision",
    "Distance",
    "EXPIRED",
    "Fit",
    "InstanceWatch",
    "LEARNED_CALLS",
    "Offer",
    "Placement",
    "QUEUED",
    "RUN",
    "RandomSource",
    "RepeatBudget",
    "RepeatLimits",
    "SECOND_SLOWDOWN",
    "SplitState",
    "Target",
    "TurnState",
    "Turns",
    "USUAL_SLOWDOWN",
    "WATCHERS_PER_DOMAIN",
    "Verdict",
    "WorkClock",
    "WorkEstimates",
    "choose_target",
    "close_server",
    "close_target",
    "count_call",
    "end_call",
    "estimate_finish",
    "estimate_work",
    "expect_run",
    "fade_slowdown",
    "find_distance",
    "get_hedge_delay",
    "has_room",
    "is_ready",
    "is_watcher_among",
    "learn_work",
    "note_slowdown",
    "offer_call",
    "read_work_clock",
    "rank_node",
    "record_sent",
    "report_load",
    "review_waiting",
    "set_server",
    "start_server",
    "state_slowdown",
    "take_departure",
    "take_heartbeat",
    "take_part",
    "take_repeat",
    "take_report",
    "withdraw_call",
]
