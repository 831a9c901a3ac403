"""Runs non-idempotent calls with an idempotency key at most once."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from ragwort_common import Counters, Outcome, Reason
from ragwort_policy import get_key_range, hash_call, hash_key, read_timestamp_ms
from ragwort_protocol import Refusal, Response, StoredResponse
from ragwort_transport import NO_REPORT, make_refusal

from ragwort_node._call_dispatcher import Call, Claim
from ragwort_node._key_claims import Grant, KeyClaims, KeyedCall, KeyedCallResult, RunReport

MAX_KEPT_ANSWER_BYTES = 64 << 10
"""Maximum body size of a response that the owner stores for repeated calls."""

RunCall = Callable[[Call], Awaitable[Response | Refusal]]


class KeyedCalls:
    """Claims the key of a call before it runs, if its rule requires that."""

    def __init__(
        self,
        claims: KeyClaims,
        run_call: RunCall,
        ranges: int,
        request_owners: Callable[[], None],
        counters: Counters,
    ) -> None:
        self._claims = claims
        self._run_call = run_call
        self._ranges = ranges
        self._request_owners = request_owners
        self._counters = counters
        self._tasks: set[asyncio.Task[Response | Refusal]] = set()

    async def run_call(self, call: Call) -> Response | Refusal:
        """Run a call, under a claim if it has a key and its rule is non-idempotent."""
        if call.treatment.idempotent:
            return await self._run_call(call)
        if not call.key:
            if call.treatment.key_required:
                return make_refusal(Outcome.NOT_RUN, Reason.KEY_MISSING)
            return await self._run_call(call)
        # The result must be reported to the owner in any case, so the task is shielded from the
        # cancellation that follows a disconnect of the caller.
        task = asyncio.create_task(self._run_claimed(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _run_claimed(self, call: Call) -> Response | Refusal:
        replies: list[Response | Refusal] = []

        async def run(grant: Grant) -> RunReport:
            claimed = replace(call, claim=Claim(grant.key_range, grant.epoch))
            reply = await self._run_call(claimed)
            replies.append(reply)
            return _make_report(reply)

        result = await self._claims.run_once(self._describe(call), run)
        if replies:
            return replies[0]
        self._counters.add(f"keys.{result.outcome.value}.{result.reason.value}")
        if result.reason is Reason.NO_OWNER:
            self._request_owners()
        return _make_reply(result)

    def _describe(self, call: Call) -> KeyedCall:
        key_hash = hash_key(call.service, call.treatment.member, call.key)
        return KeyedCall(
            key_hash=key_hash,
            fingerprint=hash_call(call.method, call.target, call.body),
            key_range=get_key_range(key_hash, self._ranges),
            timestamp_ms=read_timestamp_ms(call.key),
            deadline_s=call.deadline,
        )


def _make_report(reply: Response | Refusal) -> RunReport:
    if isinstance(reply, Refusal):
        return RunReport(Outcome(reply.outcome), Reason(reply.reason))
    outcome = Outcome.FAILED if reply.status >= 500 else Outcome.ANSWERED
    answer = None
    if len(reply.body) <= MAX_KEPT_ANSWER_BYTES:
        answer = StoredResponse(reply.status, reply.headers, reply.body)
    return RunReport(outcome, answer=answer)


def _make_reply(result: KeyedCallResult) -> Response | Refusal:
    if result.answer is None:
        return make_refusal(result.outcome, result.reason, result.retry_after_ms)
    answer = result.answer
    return Response(0, answer.status, answer.headers, answer.body, NO_REPORT)
