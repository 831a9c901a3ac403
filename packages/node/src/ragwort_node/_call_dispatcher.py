"""Runs a call for an entry: selects a server, sends the call to it, retries and hedges."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import CallId, Counters, Epoch, NodeId, Outcome, Reason, ServiceName
from ragwort_policy import (
    Attempt,
    choose_server,
    credit_attempts,
    get_hedge_delay,
    record_latency,
    record_outcome,
    record_report,
    record_sent,
    try_hedge,
    try_retry,
)
from ragwort_protocol import Refusal, Request, Response
from ragwort_rules import Priority, Treatment
from ragwort_transport import NO_REPORT, exchange_call, make_refusal, wait_for_first_success

from ragwort_node._gate import Gate
from ragwort_node._pool import LinkPool
from ragwort_node._prober import Prober
from ragwort_node._services import Services, ServiceState

NO_SERVER_RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to run a call with an idempotency key, in one epoch of its key range."""

    key_range: int
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Call:
    """A complete request from a caller, with the rule that it matched.

    Attributes
    ----------
    deadline
        Monotonic time in seconds.
    nested
        True when a server made the call while it handled another call.
    key
        Value of the ``Idempotency-Key`` header, or an empty string.
    claim
        The claim under which the call runs, once its key has been claimed.
    """

    service: ServiceName
    treatment: Treatment
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    deadline: float
    nested: bool = False
    key: str = ""
    claim: Claim | None = None


class CallDispatcher:
    """Sends calls to the gates of the selected servers, over the links of the pool."""

    def __init__(
        self,
        node_id: NodeId,
        gate: Gate,
        pool: LinkPool,
        services: Services,
        prober: Prober,
        counters: Counters,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._node_id = node_id
        self._gate = gate
        self._pool = pool
        self._services = services
        self._prober = prober
        self._counters = counters
        self._clock = clock
        self._random = random_source
        self._ids = itertools.count(1)

    async def run_call(self, call: Call) -> Response | Refusal:
        """Run a call and return the server's response, or the refusal of the last attempt."""
        state = self._services.find(call.service)
        if state is None:
            return _refuse_no_server()
        self._prober.probe(state)
        credit_attempts(state.retries)
        tried = _list_excluded(state, call.treatment)
        last = _refuse_no_server()
        for number in itertools.count(1):
            if self._clock() >= call.deadline:
                return make_refusal(Outcome.NOT_RUN, Reason.DEADLINE)
            node = self._choose(state, tried)
            if node is None:
                return last
            last = await self._try_hedged(state, node, call, tried)
            if isinstance(last, Response) or not self._may_retry(state, last, call, number):
                return last
            self._counters.add("entry.retries")
        raise AssertionError("unreachable")

    def _choose(self, state: ServiceState, tried: set[NodeId]) -> NodeId | None:
        node = choose_server(state.choice, self._clock(), self._random, tried)
        if node is not None:
            tried.add(node)
        return node

    def _may_retry(self, state: ServiceState, refusal: Refusal, call: Call, number: int) -> bool:
        outcome, reason = Outcome(refusal.outcome), Reason(refusal.reason)
        treatment = call.treatment
        # The rule's retry limit applies to attempts that may have run; the first counts too.
        repeatable = treatment.idempotent and number <= treatment.retries
        attempt = Attempt(outcome, reason, repeatable, call.nested, number)
        return try_retry(state.retries, attempt)

    async def _try_hedged(
        self, state: ServiceState, node: NodeId, call: Call, tried: set[NodeId]
    ) -> Response | Refusal:
        """Run an attempt; start a second one in parallel when it is slow and the rule allows it."""
        if call.treatment.hedge_percent <= 0:
            return await self._try_server(state, node, call)
        first = asyncio.ensure_future(self._try_server(state, node, call))
        attempts = {first}
        try:
            await asyncio.wait(attempts, timeout=get_hedge_delay(state.hedge))
            if first.done() or not try_hedge(state.hedge, call.treatment.idempotent, call.nested):
                return await first
            second = self._choose(state, tried)
            if second is None:
                return await first
            self._counters.add("entry.hedges")
            attempts.add(asyncio.ensure_future(self._try_server(state, second, call)))
            return await wait_for_first_success(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _try_server(
        self, state: ServiceState, node: NodeId, call: Call
    ) -> Response | Refusal:
        """Run one attempt and record its result for server selection."""
        call_id = CallId(next(self._ids))
        started = self._clock()
        record_sent(state.choice, node, call_id, started)
        self._counters.add("entry.attempts")
        outcome, reason = Outcome.UNKNOWN, Reason.CANCELLED
        try:
            reply = await self._send(node, call)
            outcome, reason = _classify_reply(reply)
        finally:
            now = self._clock()
            record_outcome(state.choice, node, call_id, outcome, reason, now, self._random.random())
        if reply.report is not NO_REPORT:
            record_report(state.choice, node, reply.report, now)
        if outcome is Outcome.ANSWERED:
            allowed = call.treatment.hedge_percent / 100
            record_latency(state.hedge, now - started, allowed)
        return reply

    async def _send(self, node: NodeId, call: Call) -> Response | Refusal:
        if node == self._node_id:
            return await self._gate.run_call(self._make_request(0, call))
        link = self._pool.find_link(node) or await self._pool.open_link(node)
        if link is None:
            return make_refusal(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        if self._clock() >= call.deadline:
            return make_refusal(Outcome.NOT_RUN, Reason.DEADLINE)
        request = self._make_request(link.take_call_id(), call)
        return await exchange_call(link, request)

    def _make_request(self, call_id: int, call: Call) -> Request:
        treatment, claim = call.treatment, call.claim
        return Request(
            call_id=call_id,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            budget_ms=(call.deadline - self._clock()) * 1000,
            idempotent=treatment.idempotent,
            batch=treatment.priority is Priority.BATCH,
            member=treatment.member,
            share=treatment.share,
            limit=treatment.limit or 0,
            epoch=claim.epoch if claim else 0,
            key_range=claim.key_range if claim else 0,
        )


def _refuse_no_server() -> Refusal:
    return make_refusal(Outcome.NOT_RUN, Reason.NO_SERVER, NO_SERVER_RETRY_AFTER_MS)


def _list_excluded(state: ServiceState, treatment: Treatment) -> set[NodeId]:
    """Return the servers in failure domains that the rule excludes."""
    if not treatment.domains:
        return set()
    return {
        node
        for node, view in state.choice.servers.items()
        if view.location.failure_domain not in treatment.domains
    }


def _classify_reply(reply: Response | Refusal) -> tuple[Outcome, Reason]:
    if isinstance(reply, Refusal):
        return Outcome(reply.outcome), Reason(reply.reason)
    if reply.status >= 500:
        return Outcome.FAILED, Reason.NONE
    return Outcome.ANSWERED, Reason.NONE
