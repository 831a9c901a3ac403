"""At-most-once execution: claims an idempotency key, runs the call, reports the result."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Result
from ragwort_common import Epoch, NodeId, Outcome, Reason
from ragwort_policy import NOBODY, OwnerMap
from ragwort_protocol import ClaimReply, ClaimRequest, ClaimResult, ClaimVerdict, StoredResponse

log = logging.getLogger(__name__)

MAX_CLAIM_ATTEMPTS = 3
CLAIM_TIMEOUT_S = 1.0
CLAIM_PAUSE_S = 0.05
NO_OWNER_RETRY_MS = 5_000


@dataclass(frozen=True, slots=True)
class ClaimError:
    """A claim without a reply; the owner may have received it."""

    message: str


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """The data of a call with an idempotency key that its owner needs.

    Attributes
    ----------
    key_hash, fingerprint, key_range, timestamp_ms
        As in ``ClaimRequest``.
    deadline_s
        Monotonic time of the caller's deadline.
    """

    key_hash: bytes
    fingerprint: bytes
    key_range: int
    timestamp_ms: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The permission to run one call, which the gate checks."""

    key_range: int
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class RunReport:
    """The result of a granted call; ``answer`` is None if it is not to be stored."""

    outcome: Outcome
    reason: Reason = Reason.NONE
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class KeyedCallResult:
    """The result of a call with an idempotency key.

    Attributes
    ----------
    ran
        True when this request was granted and run; the caller gets the response of that run.
    outcome, reason
        As for any call. ``not-run`` applies to this request only; an earlier one with the same
        key may have run.
    retry_after_ms
        Delay after which a repeat may succeed; zero when it is not known.
    answer
        The stored answer, for a repeat of a completed call.
    """

    ran: bool
    outcome: Outcome
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0
    answer: StoredResponse | None = None


SendClaim = Callable[[NodeId, ClaimRequest], Awaitable[Result[ClaimReply, ClaimError]]]
SendResult = Callable[[NodeId, ClaimResult], None]
Run = Callable[[Grant], Awaitable[RunReport]]

_REFUSALS = {
    ClaimVerdict.RUNNING: (Outcome.UNKNOWN, Reason.KEY_RUNNING),
    ClaimVerdict.UNPROVEN: (Outcome.UNKNOWN, Reason.KEY_UNPROVEN),
    ClaimVerdict.MISMATCH: (Outcome.NOT_RUN, Reason.KEY_MISMATCH),
    ClaimVerdict.IN_FUTURE: (Outcome.NOT_RUN, Reason.KEY_IN_FUTURE),
    ClaimVerdict.BUSY: (Outcome.NOT_RUN, Reason.OVERLOADED),
    ClaimVerdict.NO_LEASE: (Outcome.NOT_RUN, Reason.NO_OWNER),
    ClaimVerdict.NOT_OWNER: (Outcome.NOT_RUN, Reason.NO_OWNER),
}


class KeyClaims:
    """Claims keys for one entry.

    Parameters
    ----------
    owners
        The last known owner of each key range.
    make_attempt
        Returns a globally unique id.
    send_claim
        Sends a claim to an owner; a reply that arrives after the timeout is dropped.
    send_result
        Sends a result without waiting; if it is lost, the outcome of the key stays unknown.
    now
        Monotonic clock in seconds.

    Attributes
    ----------
    counts
        Number of replies by verdict; None counts claims without a reply.
    """

    def __init__(
        self,
        owners: OwnerMap,
        make_attempt: Callable[[], bytes],
        send_claim: SendClaim,
        send_result: SendResult,
        now: Callable[[], float],
    ) -> None:
        self.counts: Counter[ClaimVerdict | None] = Counter()
        self._owners = owners
        self._make_attempt = make_attempt
        self._send_claim = send_claim
        self._send_result = send_result
        self._now = now

    async def run_once(self, call: KeyedCall, run: Run) -> KeyedCallResult:
        """Run a call unless it has run or may have run under the same key.

        ``run`` is awaited at most once. It may try several servers, as long as every attempt
        before the last one is known not to have run.
        """
        attempt = self._make_attempt()
        asked: list[NodeId] = []
        try:
            reply = await self._claim(call, attempt, asked)
        except asyncio.CancelledError:
            self._report_not_run(call, attempt, asked)
            raise
        if reply is None:
            self._report_not_run(call, attempt, asked)
            return KeyedCallResult(False, Outcome.NOT_RUN, Reason.NO_OWNER, NO_OWNER_RETRY_MS)
        if reply.verdict is ClaimVerdict.GRANTED:
            return await self._run_granted(call, attempt, asked[-1], reply, run)
        if reply.verdict is ClaimVerdict.DONE:
            return KeyedCallResult(False, Outcome.ANSWERED, answer=reply.answer)
        outcome, reason = _REFUSALS[reply.verdict]
        return KeyedCallResult(False, outcome, reason, reply.retry_after_ms)

    async def _claim(
        self, call: KeyedCall, attempt: bytes, asked: list[NodeId]
    ) -> ClaimReply | None:
        for retry in range(MAX_CLAIM_ATTEMPTS):
            if retry:
                await asyncio.sleep(CLAIM_PAUSE_S * retry)
            owner = self._owners.find(call.key_range)
            remaining_s = call.deadline_s - self._now()
            if owner is None or owner.node == NOBODY or remaining_s <= 0:
                return None
            request = _make_request(call, attempt, owner.epoch, remaining_s)
            asked.append(owner.node)
            reply = await self._ask_owner(owner.node, request, remaining_s)
            self.counts[reply.verdict if reply else None] += 1
            if reply is not None and not self._apply_hint(call, reply):
                return reply
        return None

    async def _ask_owner(
        self, owner: NodeId, request: ClaimRequest, remaining_s: float
    ) -> ClaimReply | None:
        try:
            async with asyncio.timeout(min(remaining_s, CLAIM_TIMEOUT_S)):
                result = await self._send_claim(owner, request)
        except TimeoutError:
            return None
        return result.ok if result.is_ok() else None

    def _apply_hint(self, call: KeyedCall, reply: ClaimReply) -> bool:
        if reply.verdict is not ClaimVerdict.NOT_OWNER or not reply.hint:
            return False
        return self._owners.record(call.key_range, NodeId(reply.hint), Epoch(reply.epoch))

    async def _run_granted(
        self, call: KeyedCall, attempt: bytes, owner: NodeId, reply: ClaimReply, run: Run
    ) -> KeyedCallResult:
        # If the run ends early, also by cancellation, the outcome of the key is unknown.
        report = RunReport(Outcome.UNKNOWN, Reason.CANCELLED)
        try:
            if self._now() >= call.deadline_s:
                report = RunReport(Outcome.NOT_RUN, Reason.DEADLINE)
            else:
                report = await run(Grant(call.key_range, Epoch(reply.epoch)))
        finally:
            self._send_result(owner, _make_result(call, attempt, report))
        return KeyedCallResult(True, report.outcome, report.reason, answer=report.answer)

    def _report_not_run(self, call: KeyedCall, attempt: bytes, asked: list[NodeId]) -> None:
        # The owner may have granted the claim although no reply arrived, so it is told that the
        # call was not run.
        report = RunReport(Outcome.NOT_RUN)
        for owner in dict.fromkeys(asked):
            self._send_result(owner, _make_result(call, attempt, report))


def _make_request(
    call: KeyedCall, attempt: bytes, epoch: Epoch, remaining_s: float
) -> ClaimRequest:
    return ClaimRequest(
        attempt=attempt,
        key_hash=call.key_hash,
        fingerprint=call.fingerprint,
        key_range=call.key_range,
        epoch=epoch,
        timestamp_ms=call.timestamp_ms,
        budget_ms=remaining_s * 1_000,
    )


def _make_result(call: KeyedCall, attempt: bytes, report: RunReport) -> ClaimResult:
    return ClaimResult(attempt, call.key_hash, call.key_range, report.outcome.value, report.answer)
