import asyncio
import random

import pytest
from helper import wait_until
from ragwort_common import Counters, Outcome, Reason
from ragwort_node._gate import Gate
from ragwort_node._tracing import Tracer
from ragwort_policy import EpochFence, GateLimits
from ragwort_protocol import Refusal, Request, Response, replace_fields
from ragwort_transport import CONNECT_FAILED, CONNECTION_LOST, Answer


class FakeServer:
    """Answers once ``release`` is set; records completed and cancelled calls."""

    def __init__(self, result=None):
        self.result = result or Answer(200, [], b"ok")
        self.release = asyncio.Event()
        self.started, self.ended, self.cancelled, self.deadlines = [], [], [], []

    async def run_call(self, method, target, headers, body, budget_ms):
        self.started.append(target)
        self.deadlines.append((dict(headers).get(b"ragwort-deadline-ms"), budget_ms))
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        self.ended.append(target)
        return self.result


def make_request(target=b"/", idempotent=True, budget_ms=5000.0, batch=False):
    return Request(7, "GET", target, [], b"", budget_ms, idempotent, batch, "hanbit")


def run_gate(scenario, slots=1, result=None):
    async def run():
        server = FakeServer(result)
        loop = asyncio.get_running_loop()
        counters = Counters()
        tracer = Tracer(0.0, random.Random(1), counters)
        fence = EpochFence()
        gate = Gate(
            server, GateLimits(slots, queue_wait_ms=500.0), counters, loop.time, tracer, fence
        )
        await scenario(gate, server)

    asyncio.run(run())


def start(gate, *targets, **options):
    requests = [make_request(target, **options) for target in targets]
    return [asyncio.create_task(gate.run_call(request)) for request in requests]


@pytest.mark.parametrize(
    ("result", "outcome", "reason"),
    [
        (CONNECT_FAILED, Outcome.NOT_RUN, Reason.CONNECT_FAILED),
        (CONNECTION_LOST, Outcome.UNKNOWN, Reason.CONNECTION_LOST),
        (Answer(503, [(b"ragwort-shed", b"true")], b""), Outcome.NOT_RUN, Reason.SHED),
    ],
)
def test_a_failure_of_the_server_is_refused_with_a_load_report(result, outcome, reason):
    async def scenario(gate, server):
        server.release.set()
        reply = await gate.run_call(make_request())
        assert isinstance(reply, Refusal)
        assert (reply.outcome, reply.reason) == (outcome.value, reason.value)
        assert reply.call_id == 7
        assert reply.report.limit == 1

    run_gate(scenario, result=result)


def test_a_leaving_gate_refuses_new_calls_at_once_and_finishes_running_ones():
    async def scenario(gate, server):
        (running,) = start(gate, b"/1")
        await wait_until(lambda: server.started)
        gate.set_leaving(True)
        reply = await gate.run_call(make_request())
        assert (reply.outcome, reply.reason) == ("not-run", "leaving")
        idle = asyncio.create_task(gate.wait_idle())
        await asyncio.sleep(0)
        assert not idle.done()
        server.release.set()
        assert isinstance(await running, Response)
        await idle
        gate.set_leaving(False)
        assert isinstance(await gate.run_call(make_request()), Response)

    run_gate(scenario)


def test_the_queue_runs_interactive_before_batch():
    async def scenario(gate, server):
        tasks = start(gate, b"/1")
        await wait_until(lambda: server.started)
        tasks += start(gate, b"/batch", batch=True)
        tasks += start(gate, b"/2")
        await asyncio.sleep(0)
        server.release.set()
        await asyncio.gather(*tasks)
        assert server.ended == [b"/1", b"/2", b"/batch"]

    run_gate(scenario)


def test_a_queued_call_ends_as_not_run_at_its_deadline_and_frees_its_place():
    async def scenario(gate, server):
        (running,) = start(gate, b"/1")
        await wait_until(lambda: server.started)
        reply = await gate.run_call(make_request(b"/late", budget_ms=30.0, batch=True))
        assert (reply.outcome, reply.reason) == ("not-run", "deadline")
        server.release.set()
        await running
        await gate.wait_idle()
        assert server.started == [b"/1"]
        assert gate.make_report().in_flight == 0

    run_gate(scenario)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_cancelled_call_is_aborted_only_if_it_is_idempotent(idempotent):
    async def scenario(gate, server):
        running, queued = start(gate, b"/1", b"/2", idempotent=idempotent)
        await wait_until(lambda: server.started)
        running.cancel()
        queued.cancel()
        await asyncio.gather(running, queued, return_exceptions=True)
        server.release.set()
        await gate.wait_idle()
        assert server.started == [b"/1"]
        assert (server.cancelled if idempotent else server.ended) == [b"/1"]
        assert gate.make_report().in_flight == 0

    run_gate(scenario)


def test_a_claim_of_an_epoch_that_is_over_is_refused_as_not_run():
    async def scenario(gate, server):
        server.release.set()
        replies = []
        for epoch in (3, 4, 3, 4):
            request = replace_fields(make_request(), epoch=epoch, key_range=9)
            replies.append(await gate.run_call(request))
        assert [type(reply) for reply in replies] == [Response, Response, Refusal, Response]
        assert (replies[2].outcome, replies[2].reason) == ("not-run", "no-owner")
        assert len(server.started) == 3

    run_gate(scenario)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_member_at_its_limit_is_refused_and_others_are_not(idempotent):
    async def scenario(gate, server):
        tasks = start(gate, b"/1", b"/2", idempotent=idempotent)
        await wait_until(lambda: len(server.started) == 2)
        full = replace_fields(make_request(idempotent=idempotent), limit=2)
        reply = await gate.run_call(full)
        assert (reply.outcome, reply.reason) == ("not-run", "limit")
        assert reply.retry_after_ms > 0
        server.release.set()
        other = replace_fields(full, member="indice")
        assert isinstance(await gate.run_call(other), Response)
        await asyncio.gather(*tasks)
        assert isinstance(await gate.run_call(full), Response)

    run_gate(scenario, slots=4)


def test_the_server_receives_the_remaining_time():
    async def scenario(gate, server):
        server.release.set()
        await gate.run_call(make_request(budget_ms=250.0))
        ((header, budget_ms),) = server.deadlines
        assert 0 < int(header) == int(budget_ms) <= 250

    run_gate(scenario)


def test_queued_calls_are_shed_while_the_server_hangs():
    async def scenario(gate, server):
        tasks = start(gate, *[b"/%d" % number for number in range(8)])
        refusals = asyncio.as_completed(tasks)
        reply = await next(refusals)
        assert (reply.outcome, reply.reason) == ("not-run", "overloaded")
        assert server.started == [b"/0"]
        server.release.set()
        await asyncio.gather(*tasks)

    run_gate(scenario)
