import asyncio
import random

import pytest
from helper import wait_until
from ragwort_common import Counters, Member, NodeId, Outcome, Reason, ServiceName
from ragwort_node._call_dispatcher import Call, CallDispatcher, Claim
from ragwort_node._prober import Prober
from ragwort_node._services import Services
from ragwort_policy import ChoiceSettings, ServerLocation, make_probe_budget
from ragwort_protocol import Cancel, LoadReport, Response
from ragwort_rules import Treatment
from ragwort_transport import make_refusal

SERVICE = ServiceName("tracking")
REPORT = LoadReport(0, 8, 0, 1000)
ANSWER = Response(0, 200, [], b"ok", REPORT)


def refuse(outcome, reason):
    return make_refusal(outcome, reason)


class FakeLink:
    """A fake link to one peer that takes its replies from a list; None means no reply."""

    def __init__(self, node, replies, log):
        self._node, self._replies, self._log = node, replies, log
        self._ids = iter(range(1, 100))

    def take_call_id(self):
        return next(self._ids)

    def start_call(self, request, body_on_request):
        assert not body_on_request
        self._log.append((self._node, request))
        future = asyncio.get_running_loop().create_future()
        reply = self._replies.pop(0) if self._replies else None
        if reply is not None:
            future.set_result(reply)
        return future

    def is_body_unsent(self, call_id):
        return False

    def forget_call(self, call_id):
        pass

    def send(self, message):
        self._log.append((self._node, message))


class FakePool:
    def __init__(self, links):
        self._links = links
        self.late_links = {}

    def find_link(self, node):
        return self._links.get(node)

    async def open_link(self, node):
        """Take longer than a short deadline; return None unless ``late_links`` has the node."""
        await asyncio.sleep(0.03)
        return self.late_links.get(node)


def run_call(replies, treatment, scenario=None, domains=None, **fields):
    """Run one call with the peers ``n0``, ``n1`` and so on; return the reply and sent messages.

    ``replies`` has a list of replies for each peer, or None for an unreachable peer. Peers that
    share a list consume its replies one after the other.
    """

    async def run():
        log, counters, loop = [], Counters(), asyncio.get_running_loop()
        nodes = [NodeId(f"n{number}") for number in range(len(replies))]
        links = {
            node: FakeLink(node, own, log)
            for node, own in zip(nodes, replies, strict=True)
            if own is not None
        }
        services = Services("d0", "r", ChoiceSettings())
        locations = [ServerLocation(node, f"d{node[1:]}", "r") for node in nodes]
        services.update(SERVICE, locations, loop.time())
        budget = make_probe_budget(0.0, loop.time())
        prober = Prober(services, lambda *_: 0, budget, budget, counters, loop.time)
        pool, source = FakePool(links), random.Random(1)
        if fields.pop("opens_late", False):
            pool.late_links, pool._links = links, {}
        dispatcher = CallDispatcher(
            "own", None, pool, services, prober, counters, loop.time, source
        )
        deadline = loop.time() + fields.pop("budget_s", 20.0)
        call = Call(SERVICE, treatment, "GET", b"/", [], b"", deadline, **fields)
        task = asyncio.create_task(dispatcher.run_call(call))
        if scenario:
            await scenario(task, log)
        return await task, log

    return asyncio.run(run())


def list_tried(log):
    return [node for node, message in log if not isinstance(message, Cancel)]


SAFE = Treatment(Member("hanbit"), idempotent=True, retries=1)
ONCE = Treatment(Member("hanbit"))
NOT_RUN = refuse(Outcome.NOT_RUN, Reason.OVERLOADED)
LOST = refuse(Outcome.UNKNOWN, Reason.CONNECTION_LOST)


@pytest.mark.parametrize("treatment", [SAFE, ONCE])
def test_a_call_that_was_not_run_is_retried_on_another_server(treatment):
    replies = [NOT_RUN, NOT_RUN, ANSWER]
    reply, log = run_call([replies, replies, replies], treatment)
    assert reply == ANSWER
    assert sorted(list_tried(log)) == ["n0", "n1", "n2"]


@pytest.mark.parametrize(
    ("treatment", "fields", "attempts"),
    [
        (SAFE, {}, 2),
        (SAFE, {"nested": True}, 1),
        (Treatment(Member("hanbit"), idempotent=True), {}, 1),
        (ONCE, {}, 1),
        (ONCE, {"claim": Claim(3, 4)}, 1),
    ],
)
def test_after_a_possible_run_only_an_outermost_idempotent_call_is_retried(
    treatment, fields, attempts
):
    reply, log = run_call([[LOST], [LOST]], treatment, **fields)
    assert reply.outcome == "unknown"
    assert len(list_tried(log)) == attempts


def test_a_server_response_is_passed_through_and_never_retried():
    failed = Response(0, 500, [], b"", REPORT)
    reply, log = run_call([[failed], [failed]], SAFE)
    assert reply == failed
    assert len(list_tried(log)) == 1


def test_an_unreachable_server_is_not_run_and_another_one_answers():
    reply, _ = run_call([None, [ANSWER]], ONCE)
    assert reply == ANSWER


def test_only_servers_in_allowed_domains_are_tried():
    treatment = Treatment(Member("hanbit"), domains=frozenset({"d2"}))
    reply, log = run_call([[ANSWER], [ANSWER], [ANSWER]], treatment)
    assert (reply, list_tried(log)) == (ANSWER, ["n2"])


def test_without_a_server_nothing_runs_and_the_refusal_has_a_retry_delay():
    reply, _ = run_call([], ONCE)
    assert (reply.outcome, reply.reason) == ("not-run", "no-server")
    assert reply.retry_after_ms > 0


def test_a_call_that_passes_its_deadline_is_unknown_and_cancelled_at_the_gate():
    reply, log = run_call([[None]], ONCE, budget_s=0.02)
    assert (reply.outcome, reply.reason) == ("unknown", "deadline")
    assert [type(message) for _, message in log][1:] == [Cancel]


def test_a_caller_disconnect_cancels_the_call_at_the_gate():
    async def scenario(task, log):
        await wait_until(lambda: log)
        task.cancel()
        await wait_until(lambda: isinstance(log[-1][1], Cancel))

    with pytest.raises(asyncio.CancelledError):
        run_call([[None]], SAFE, scenario)


def test_a_slow_hedged_call_is_answered_by_a_second_server_and_the_first_is_cancelled():
    treatment = Treatment(Member("hanbit"), idempotent=True, hedge_percent=2.0)
    replies = [None, ANSWER]
    reply, log = run_call([replies, replies], treatment)
    assert reply == ANSWER
    first, second = list_tried(log)
    assert first != second
    assert [node for node, message in log if isinstance(message, Cancel)] == [first]


def test_a_claim_is_sent_to_the_gate_with_its_range_and_epoch():
    _, log = run_call([[ANSWER]], ONCE, claim=Claim(3, 4))
    assert (log[0][1].key_range, log[0][1].epoch) == (3, 4)


def test_a_deadline_that_passes_while_a_link_opens_leaves_the_call_not_run():
    reply, log = run_call([[ANSWER]], ONCE, budget_s=0.01, opens_late=True)
    assert (reply.outcome, reply.reason, log) == ("not-run", "deadline", [])
