"""Runs calls: chooses a server, sends the call, and retries on other servers where that is safe."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field

from ragwort_common import FailureDomain, NodeId, Outcome, Reason, ServiceName
from ragwort_flow import (
    Distance,
    Eligibility,
    Placement,
    RetryBudget,
    RetryLimits,
    Target,
    Timing,
    WorkEstimates,
    acquire_retry,
    check_eligibility,
    choose_target,
    count_call,
    estimate_work,
    explain_absence,
    get_hedge_delay,
    has_spare_capacity,
    list_eligible,
    record_sent,
    suspend_target,
    update_report,
)
from ragwort_model import Route, RouteName
from ragwort_protocol import Refusal, Request, Response
from ragwort_transport import NO_REPORT, exchange_call, make_refusal, wait_for_first_success

from ragwort_mesh._call import Attempt, Call
from ragwort_mesh._crash_ledger import CrashLedger, CrashRefusal
from ragwort_mesh._gate import Gate
from ragwort_mesh._peers import Peers
from ragwort_mesh._targets import Targets
from ragwort_mesh._telemetry import Telemetry

MAX_GATES = 4
"""Maximum number of gates that one call is sent to: those in its region and two in the other."""

MAX_MOVES = 2
"""How often one call may be given back by a gate for a better one; then a gate queues it."""

REPLY_SLACK_S = 0.04
"""How long after the deadline a gate's reply is still awaited: covers the gate's own timers and the
one-way latency between regions."""

NO_SERVER_RETRY_MS = 300
"""Retry delay for a service without a server: about the interval between server reports."""

HEDGE_BUDGET_FRACTION = 0.6
"""Fraction of the retry budget that hedged requests may use; retries after failures get the
rest."""

OTHER_REGION_PAUSE_S = 0.25
"""How long a server in the other region gets no calls after it refused one as overloaded: its load
is known only from its replies, and traffic between regions is billed."""

DEFAULT_WORK_FRACTION = 0.25
"""Estimated work of a route without measurements, as a fraction of its objective; according to the
users' data sheets the real fraction is between 0.2 and 0.4."""

BODY_SIZE_WEIGHT = 0.1
"""Weight of the latest call in a route's moving average of body sizes: covers about ten calls."""

_REACHED_SERVER = frozenset({Reason.SHED, Reason.MISDIRECTED})
"""Refusal reasons of calls that were sent to a server but not run by it."""


@dataclass(slots=True)
class Progress:
    """State of a call across its attempts.

    Attributes
    ----------
    tried
        Nodes that the call was sent to.
    sent
        Number of servers that the call may have reached.
    may_have_run
        Whether a server may have run the call.
    answer
        Latest server response, returned if no later attempt gives a better one.
    refusal
        The latest refusal.
    retry_after_ms
        Shortest retry delay named by a gate; 0 if none was named.
    attempts
        Log entries of the attempts.
    crash_refusal
        Why the call is not sent to a server, or not to another one, if it may crash it.
    reachable
        Reachable servers of its service by their eligibility, if none was left for the call.
    """

    tried: set[NodeId] = field(default_factory=set)
    sent: int = 0
    may_have_run: bool = False
    answer: Response | None = None
    refusal: Refusal | None = None
    retry_after_ms: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    crash_refusal: CrashRefusal | None = None
    reachable: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class PlacementInputs:
    """What the choice of a server goes by.

    Attributes
    ----------
    targets, unreachable
        The reachable servers of the service, and the nodes of the others.
    evacuated
        Failure domains whose servers may get no calls.
    work_s, body_kb
        Expected work of a call in seconds, and size of its bodies in 1,000 bytes.
    now
        Time on the node's clock, in seconds.
    """

    targets: list[Target]
    unreachable: list[NodeId]
    evacuated: Collection[FailureDomain]
    work_s: float
    body_kb: float
    now: float


class Dispatcher:
    """Routes calls to servers; keeps work estimates, body sizes and retry budgets per service.

    Parameters
    ----------
    list_evacuated
        Returns the failure domains whose servers may get no calls.
    """

    def __init__(
        self,
        node: NodeId,
        gate: Gate,
        peers: Peers,
        targets: Targets,
        crashes: CrashLedger,
        telemetry: Telemetry,
        clock: Callable[[], float],
        limits: RetryLimits,
        random_source: random.Random,
        list_evacuated: Callable[[], Collection[FailureDomain]] = frozenset,
    ) -> None:
        self._node = node
        self._gate = gate
        self._peers = peers
        self._targets = targets
        self._crashes = crashes
        self._telemetry = telemetry
        self._clock = clock
        self._limits = limits
        self._random = random_source
        self._list_evacuated = list_evacuated
        self._work = WorkEstimates()
        self._mean_body_kb: dict[RouteName, float] = {}
        self._retry_budgets: dict[ServiceName, RetryBudget] = {}

    def set_retry_limits(self, limits: RetryLimits) -> None:
        """Apply new limits to all retry budgets."""
        self._limits = limits
        for budget in self._retry_budgets.values():
            budget.limits = limits

    def estimate_work(self, route: Route) -> float:
        """Return the estimated work of a call, in seconds."""
        default_s = route.objective_ms * DEFAULT_WORK_FRACTION / 1000
        return estimate_work(self._work, route.name, default_s)

    async def run_call(self, call: Call, progress: Progress) -> Response | Refusal:
        """Run a call, and return its response or the final refusal."""
        count_call(self._get_retry_budget(call.service), self._clock())
        while True:
            now = self._clock()
            if now >= call.deadline:
                return self._finish(progress, Reason.DEADLINE)
            # A trial may be refused by busy gates, so it isn't checked again until it has run.
            if progress.sent or not progress.attempts:
                progress.crash_refusal = self._crashes.find_refusal(call)
            if progress.crash_refusal is not None:
                return self._finish_crashing(progress, progress.crash_refusal)
            placement = self._choose(call, progress, now)
            if placement is None:
                return self._finish(progress, self._explain_absence(call, progress, now))
            reply = await self._try_hedged(call, placement, progress)
            if self._is_final(call, reply, progress):
                return reply if isinstance(reply, Response) else self._finish(progress, Reason.NONE)

    def _choose(self, call: Call, progress: Progress, now: float) -> Placement | None:
        if len(progress.tried) >= MAX_GATES:
            return None
        return choose_target(
            self._list_eligible(call, now),
            now,
            self._random,
            progress.tried,
            self.estimate_work(call.route),
            call.objective - now,
            self._mean_body_kb.get(call.route.name, 0.0),
        )

    def _list_eligible(self, call: Call, now: float) -> Iterable[Target]:
        usable = self._list_usable(call.service, now)
        return list_eligible(usable, call.allowed_regions, self._list_evacuated())

    def _explain_absence(self, call: Call, progress: Progress, now: float) -> Reason:
        """Return why there is no further server for a call, and record what there is."""
        regions, evacuated = call.allowed_regions, self._list_evacuated()
        if regions is None and not evacuated:
            return Reason.NO_SERVER
        reachable = list(self._list_usable(call.service, now))
        found = [check_eligibility(target, regions, evacuated) for target in reachable]
        progress.reachable = {kind.value: found.count(kind) for kind in Eligibility}
        return explain_absence(reachable, regions, evacuated)

    def _list_usable(self, service: ServiceName, now: float) -> Iterator[Target]:
        for target in self._targets.list_targets(service):
            if target.node == self._node:
                update_report(target, now, self._gate.make_report())
            elif self._peers.find_link(target.node) is None:
                continue
            yield target

    def get_placement_inputs(self, route: Route, service: ServiceName) -> PlacementInputs:
        """Return what the choice of a server for a call would go by now."""
        now = self._clock()
        targets = list(self._list_usable(service, now))
        reachable = {target.node for target in targets}
        known = self._targets.list_targets(service)
        return PlacementInputs(
            targets=targets,
            unreachable=[target.node for target in known if target.node not in reachable],
            evacuated=self._list_evacuated(),
            work_s=self.estimate_work(route),
            body_kb=self._mean_body_kb.get(route.name, 0.0),
            now=now,
        )

    async def _try_hedged(
        self, call: Call, placement: Placement, progress: Progress
    ) -> Response | Refusal:
        """Send a call to a server, and to a second one if the first is likely to respond late."""
        delay_s = self._get_hedge_delay(call)
        if delay_s is None:
            return await self._try_target(call, placement, progress)
        first = asyncio.ensure_future(self._try_target(call, placement, progress))
        tries = {first}
        try:
            await asyncio.wait(tries, timeout=delay_s)
            if first.done():
                return first.result()
            second = self._choose_hedge(call, progress)
            if second is None:
                return await first
            self._telemetry.counters.add("entry.hedges")
            tries.add(asyncio.ensure_future(self._try_target(call, second, progress)))
            return await wait_for_first_success(tries)
        finally:
            for other in tries:
                other.cancel()

    def _get_hedge_delay(self, call: Call) -> float | None:
        if not call.route.idempotent or call.route.max_servers < 2:
            return None
        work_s = self.estimate_work(call.route)
        return get_hedge_delay(call.objective - self._clock(), work_s)

    def _choose_hedge(self, call: Call, progress: Progress) -> Placement | None:
        now = self._clock()
        if progress.sent + 1 >= call.route.max_servers:
            return None
        if self._crashes.is_suspect(call):
            self._telemetry.counters.add("entry.hedges_of_suspects")
            return None
        placement = self._choose(call, progress, now)
        if (
            placement is None
            or placement.timing is not Timing.IN_TIME
            or not has_spare_capacity(placement.target)
        ):
            self._telemetry.counters.add("entry.hedges_too_late")
            return None
        budget = self._get_retry_budget(call.service)
        if not acquire_retry(budget, now, self._targets.count_nodes(), HEDGE_BUDGET_FRACTION):
            self._telemetry.counters.add("entry.hedges_over_budget")
            return None
        return placement

    async def _try_target(
        self, call: Call, placement: Placement, progress: Progress
    ) -> Response | Refusal:
        target = placement.target
        started = self._clock()
        age_s = started - target.reported_at if target.report is not None else None
        progress.tried.add(target.node)
        record_sent(target, started)
        may_move = placement.has_alternative and len(progress.tried) <= MAX_MOVES
        reply = await self._send(target, call, may_move)
        now = self._clock()
        if reply.report is not NO_REPORT:
            update_report(target, now, reply.report)
        if isinstance(reply, Refusal):
            _apply_refusal(target, now, reply)
        self._record_result(call, reply, progress)
        progress.attempts.append(
            Attempt(
                target.node,
                round(placement.response_time_s * 1000, 1),
                None if age_s is None else round(age_s * 1000, 1),
                _describe_result(reply),
                round((now - started) * 1000, 1),
            )
        )
        return reply

    def _record_result(self, call: Call, reply: Response | Refusal, progress: Progress) -> None:
        if isinstance(reply, Response):
            progress.sent += 1
            progress.may_have_run = True
            progress.answer = reply
            self._record_body_size(call, reply)
            if reply.work_ms:
                self._work.mean_s[call.route.name] = reply.work_ms / 1000
            return
        progress.refusal = reply
        if reply.outcome != Outcome.NOT_RUN.value:
            progress.sent += 1
            progress.may_have_run = True
        elif Reason(reply.reason) in _REACHED_SERVER:
            progress.sent += 1
        if reply.retry_after_ms and (
            not progress.retry_after_ms or reply.retry_after_ms < progress.retry_after_ms
        ):
            progress.retry_after_ms = reply.retry_after_ms

    def _record_body_size(self, call: Call, reply: Response) -> None:
        size_kb = (len(call.body) + len(reply.body)) / 1000
        mean_kb = self._mean_body_kb.get(call.route.name, size_kb)
        self._mean_body_kb[call.route.name] = mean_kb + (size_kb - mean_kb) * BODY_SIZE_WEIGHT

    def _is_final(self, call: Call, reply: Response | Refusal, progress: Progress) -> bool:
        """Return whether the reply ends the call; if not, another server is tried."""
        if isinstance(reply, Response):
            if reply.status < 500 or not call.route.idempotent:
                return True
        elif reply.outcome == Outcome.NOT_RUN.value:
            if reply.reason == Reason.CRASHES_SERVERS.value:
                return True
            if Reason(reply.reason) not in _REACHED_SERVER:
                # No server received the call, so a retry does not count against the budget.
                return False
        elif not call.route.idempotent:
            return True
        now = self._clock()
        if progress.sent >= call.route.max_servers or now >= call.deadline:
            return True
        budget = self._get_retry_budget(call.service)
        if not acquire_retry(budget, now, self._targets.count_nodes()):
            self._telemetry.counters.add("entry.repeats_refused")
            return True
        self._telemetry.counters.add("entry.repeats")
        return False

    def _finish(self, progress: Progress, reason: Reason) -> Response | Refusal:
        """Return the best result of a call that will not be retried."""
        if progress.answer is not None:
            return progress.answer
        if progress.may_have_run:
            if progress.refusal is not None and progress.refusal.outcome != Outcome.NOT_RUN.value:
                return progress.refusal
            return make_refusal(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
        refusal = progress.refusal
        # An evacuated host's gate may refuse a call before this node knows of the evacuated domain.
        if refusal is None or refusal.reason == Reason.EVACUATED.value:
            retry_after_ms = progress.retry_after_ms or NO_SERVER_RETRY_MS
            return make_refusal(Outcome.NOT_RUN, reason, retry_after_ms)
        return make_refusal(Outcome.NOT_RUN, Reason(refusal.reason), progress.retry_after_ms)

    def _finish_crashing(
        self, progress: Progress, crash_refusal: CrashRefusal
    ) -> Response | Refusal:
        """Return the best result of a call whose request has crashed servers."""
        progress.refusal = make_refusal(
            Outcome.NOT_RUN, Reason.CRASHES_SERVERS, crash_refusal.retry_after_ms
        )
        progress.retry_after_ms = crash_refusal.retry_after_ms
        return self._finish(progress, Reason.CRASHES_SERVERS)

    async def _send(self, target: Target, call: Call, may_move: bool) -> Response | Refusal:
        if target.node == self._node:
            return await self._gate.run_call(self._make_request(0, call, may_move))
        link = self._peers.find_link(target.node)
        if link is None:
            return make_refusal(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        request = self._make_request(link.take_call_id(), call, may_move)
        return await exchange_call(link, request, REPLY_SLACK_S, body_on_request=True)

    def _make_request(self, call_id: int, call: Call, may_move: bool) -> Request:
        now = self._clock()
        route = call.route
        return Request(
            call_id=call_id,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            budget_ms=(call.deadline - now) * 1000,
            idempotent=route.idempotent,
            route=route.name,
            rank=route.rank if call.rank is None else call.rank,
            member=call.customer or "",
            objective_ms=(call.objective - now) * 1000,
            work_ms=self.estimate_work(call.route) * 1000,
            may_move=may_move,
        )

    def _get_retry_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(self._limits)
        return budget


def _apply_refusal(target: Target, now: float, refusal: Refusal) -> None:
    """Stop using a server for a while if its node is gone, or if it is remote and overloaded."""
    reason = Reason(refusal.reason)
    if reason is Reason.CONNECTION_LOST and refusal.report is NO_REPORT:
        # The link broke. When a server breaks its connection, its gate's refusal has a report, and
        # the server is judged by that.
        suspend_target(target, now)
    elif reason is Reason.OVERLOADED and target.distance is Distance.OTHER_REGION:
        suspend_target(target, now, OTHER_REGION_PAUSE_S)


def _describe_result(reply: Response | Refusal) -> str:
    if isinstance(reply, Response):
        return str(reply.status)
    return f"{reply.outcome}:{reply.reason}"
