import asyncio

import pytest
from ragwort_common import Counters, Epoch, Member, Outcome, Reason, ServiceName
from ragwort_node._call_dispatcher import Call, Claim
from ragwort_node._key_claims import Grant, KeyedCallResult
from ragwort_node._keyed_call import MAX_KEPT_ANSWER_BYTES, KeyedCalls
from ragwort_protocol import LoadReport, Response, StoredResponse
from ragwort_rules import Treatment
from ragwort_transport import make_refusal

REPORT = LoadReport(0, 1, 0, 0)
ONCE = Treatment(Member("hanbit"))
SAFE = Treatment(Member("hanbit"), idempotent=True)
REQUIRED = Treatment(Member("hanbit"), key_required=True)


class FakeClaims:
    """Grants every claim, or returns a fixed result; records claims and reports."""

    def __init__(self, result=None):
        self.result = result
        self.claimed, self.reports = [], []

    async def run_once(self, call, run):
        self.claimed.append(call)
        if self.result is not None:
            return self.result
        report = await run(Grant(call.key_range, Epoch(7)))
        self.reports.append(report)
        return KeyedCallResult(True, report.outcome, report.reason, answer=report.answer)


def run_keyed(treatment, key, claims, reply, release=None):
    """Run one call; return its reply, the calls that ran, and the requests for owners."""
    ran, wanted = [], []

    async def run_call(call):
        ran.append(call)
        if release is not None:
            await release.wait()
        return reply

    async def run():
        keyed = KeyedCalls(claims, run_call, 64, lambda: wanted.append(1), Counters())
        call = Call(ServiceName("s"), treatment, "POST", b"/a", [], b"b", 9.0, key=key)
        task = asyncio.create_task(keyed.run_call(call))
        if release is not None:
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            release.set()
            await asyncio.gather(*keyed._tasks)
            return None
        return await task

    return asyncio.run(run()), ran, wanted


@pytest.mark.parametrize(("treatment", "key"), [(SAFE, "k"), (SAFE, ""), (ONCE, "")])
def test_a_call_that_needs_no_claim_runs_without_one(treatment, key):
    claims, answer = FakeClaims(), Response(0, 200, [], b"", REPORT)
    reply, ran, _ = run_keyed(treatment, key, claims, answer)
    assert (reply, len(ran), claims.claimed) == (answer, 1, [])


def test_a_call_whose_rule_requires_a_key_does_not_run_without_one():
    reply, ran, _ = run_keyed(REQUIRED, "", FakeClaims(), None)
    assert (reply.outcome, reply.reason, ran) == ("not-run", "key-missing", [])


@pytest.mark.parametrize(
    ("reply", "outcome", "kept"),
    [
        (Response(0, 200, [], b"ok", REPORT), Outcome.ANSWERED, StoredResponse(200, [], b"ok")),
        (Response(0, 500, [], b"no", REPORT), Outcome.FAILED, StoredResponse(500, [], b"no")),
        (Response(0, 200, [], b"x" * (MAX_KEPT_ANSWER_BYTES + 1), REPORT), Outcome.ANSWERED, None),
        (make_refusal(Outcome.UNKNOWN, Reason.CONNECTION_LOST), Outcome.UNKNOWN, None),
        (make_refusal(Outcome.NOT_RUN, Reason.OVERLOADED), Outcome.NOT_RUN, None),
    ],
)
def test_a_granted_call_runs_under_its_claim_and_its_result_is_reported(reply, outcome, kept):
    claims = FakeClaims()
    result, ran, _ = run_keyed(ONCE, "k", claims, reply)
    (call,), (report,) = ran, claims.reports
    assert result == reply
    assert call.claim == Claim(claims.claimed[0].key_range, Epoch(7))
    assert (report.outcome, report.answer) == (outcome, kept)


def test_a_repeat_gets_the_first_answer_and_does_not_run():
    first = StoredResponse(201, [(b"x", b"1")], b"first")
    claims = FakeClaims(KeyedCallResult(False, Outcome.ANSWERED, answer=first))
    reply, ran, _ = run_keyed(ONCE, "k", claims, None)
    assert (reply.status, reply.headers, reply.body, ran) == (201, first.headers, b"first", [])


def test_a_claim_without_an_owner_is_refused_and_the_owners_are_looked_up():
    claims = FakeClaims(KeyedCallResult(False, Outcome.NOT_RUN, Reason.NO_OWNER, 5000))
    reply, ran, wanted = run_keyed(ONCE, "k", claims, None)
    assert (reply.reason, reply.retry_after_ms, ran, wanted) == ("no-owner", 5000, [], [1])


def test_the_result_is_reported_after_a_caller_disconnect():
    claims = FakeClaims()
    answer = Response(0, 200, [], b"ok", REPORT)
    run_keyed(ONCE, "k", claims, answer, release=asyncio.Event())
    assert [report.outcome for report in claims.reports] == [Outcome.ANSWERED]
