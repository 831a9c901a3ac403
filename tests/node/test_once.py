import asyncio

import pytest
from expression import Error, Ok
from ragwort_common import Epoch, NodeId, Outcome, Reason
from ragwort_node._key_claims import ClaimError, KeyClaims, KeyedCall, RunReport
from ragwort_policy import OwnerMap
from ragwort_protocol import ClaimReply, ClaimVerdict, StoredResponse

from bench.virtual import read_clock, run_virtual

ANSWER = StoredResponse(201, [], b"made")


class Owners:
    """Fake owners that reply to claims from a list and record claims and results."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.claims = []
        self.results = []
        self.runs = []
        self.map = OwnerMap()
        self.map.record(3, NodeId("a"), Epoch(5))
        self.claimer = KeyClaims(
            self.map,
            lambda: b"attempt",
            self.send_claim,
            lambda node, result: self.results.append((node, result.outcome, result.answer)),
            read_clock,
        )

    async def send_claim(self, node, request):
        self.claims.append((node, request.attempt))
        reply = self.replies.pop(0)
        if reply == "silence":
            await asyncio.sleep(100)
        if reply == "broken":
            return Error(ClaimError("link broke"))
        return Ok(reply)

    async def run(self, grant):
        self.runs.append(grant.epoch)
        await asyncio.sleep(0.1)
        return RunReport(Outcome.ANSWERED, answer=ANSWER)

    def call(self, run=None, budget_s=10.0):
        async def main():
            call = KeyedCall(b"k" * 16, b"f" * 16, 3, 0, read_clock() + budget_s)
            return await self.claimer.run_once(call, run or self.run)

        return run_virtual(main())


def reply(verdict, **fields):
    return ClaimReply(b"attempt", verdict, fields.pop("epoch", 5), **fields)


GRANTED = reply(ClaimVerdict.GRANTED)


@pytest.mark.parametrize("before", [[], ["broken"], ["silence", "broken"]])
def test_a_claim_without_a_reply_is_sent_again_as_the_same_attempt(before):
    owners = Owners(*before, GRANTED)
    result = owners.call()
    assert (result.ran, result.outcome, result.answer) == (True, Outcome.ANSWERED, ANSWER)
    assert owners.claims == [("a", b"attempt")] * (len(before) + 1)
    assert owners.runs == [5]
    assert owners.results == [("a", "answered", ANSWER)]


def test_an_entry_without_a_grant_does_not_run_and_reports_that_to_the_owner():
    owners = Owners("broken", "silence", "broken")
    result = owners.call()
    assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.NO_OWNER)
    assert result.retry_after_ms > 0
    assert owners.runs == []
    assert owners.results == [("a", "not-run", None)]


@pytest.mark.parametrize(
    ("verdict", "outcome", "reason"),
    [
        (ClaimVerdict.RUNNING, Outcome.UNKNOWN, Reason.KEY_RUNNING),
        (ClaimVerdict.UNPROVEN, Outcome.UNKNOWN, Reason.KEY_UNPROVEN),
        (ClaimVerdict.MISMATCH, Outcome.NOT_RUN, Reason.KEY_MISMATCH),
        (ClaimVerdict.IN_FUTURE, Outcome.NOT_RUN, Reason.KEY_IN_FUTURE),
        (ClaimVerdict.BUSY, Outcome.NOT_RUN, Reason.OVERLOADED),
        (ClaimVerdict.NO_LEASE, Outcome.NOT_RUN, Reason.NO_OWNER),
        (ClaimVerdict.NOT_OWNER, Outcome.NOT_RUN, Reason.NO_OWNER),
    ],
)
def test_a_refused_claim_is_not_run_and_gives_a_reason(verdict, outcome, reason):
    owners = Owners(reply(verdict, retry_after_ms=700))
    result = owners.call()
    assert (result.ran, result.outcome, result.reason) == (False, outcome, reason)
    assert result.retry_after_ms == 700
    assert owners.runs == []


def test_a_repeat_gets_the_first_answer():
    result = Owners(reply(ClaimVerdict.DONE, answer=ANSWER)).call()
    assert (result.ran, result.outcome, result.answer) == (False, Outcome.ANSWERED, ANSWER)


def test_a_hint_leads_to_the_new_owner():
    hint = reply(ClaimVerdict.NOT_OWNER, hint="b", epoch=6)
    owners = Owners(hint, reply(ClaimVerdict.GRANTED, epoch=6))
    assert owners.call().ran
    assert [node for node, _ in owners.claims] == ["a", "b"]
    assert owners.runs == [6]
    assert owners.results[0][0] == "b"


def test_a_hint_of_an_older_epoch_is_not_followed():
    owners = Owners(reply(ClaimVerdict.NOT_OWNER, hint="b", epoch=4))
    assert owners.call().reason is Reason.NO_OWNER
    assert len(owners.claims) == 1


def test_a_cancelled_run_leaves_the_outcome_of_the_key_unknown():
    async def fail(grant):
        raise asyncio.CancelledError

    owners = Owners(GRANTED)
    with pytest.raises(asyncio.CancelledError):
        owners.call(fail)
    assert owners.results == [("a", "unknown", None)]


def test_a_grant_that_comes_after_the_deadline_is_not_run():
    owners = Owners("silence", GRANTED)
    result = owners.call(budget_s=0.5)
    assert (result.outcome, owners.runs) == (Outcome.NOT_RUN, [])
    assert owners.results == [("a", "not-run", None)]


def test_a_caller_disconnect_during_the_claim_releases_the_key():
    owners = Owners("silence")

    async def main():
        call = KeyedCall(b"k" * 16, b"f" * 16, 3, 0, read_clock() + 10)
        task = asyncio.create_task(owners.claimer.run_once(call, owners.run))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait([task])

    run_virtual(main())
    assert (owners.results, owners.runs) == ([("a", "not-run", None)], [])
