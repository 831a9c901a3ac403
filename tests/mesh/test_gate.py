"""The gate, with its connection pool to the server replaced by a fake."""

import asyncio
from dataclasses import replace

import pytest
from helper import wait_until
from mesh_gate import (
    HEARTBEAT,
    SIGNED,
    AnsweringPool,
    count_most,
    make_gate,
    make_request,
    offer_calls,
)
from msgspec import structs
from ragwort_common import CustomerName, Outcome, Reason
from ragwort_flow import ColdLimit, is_expected_cold, record_reported_slowdown
from ragwort_flow._customer_shares import record_arrival
from ragwort_mesh._clock import read_clock
from ragwort_model import InstanceId, InstanceState
from ragwort_protocol import Refusal, Response
from ragwort_transport import Answer, Failure

from bench import virtual


def make_speed_answer(percent, status=200):
    """Return a response in which a server states its host's slowdown."""
    return Answer(status, [(b"ragwortvalve-server-load", b"0,0,3,%d" % percent)], b"")


def run_scenario(scenario):
    async def run():
        async with asyncio.timeout(10):
            return await scenario(make_gate())

    return asyncio.run(run())


def test_cancelled_call_frees_its_slot_at_any_step():
    async def scenario(gate):
        for steps in range(6):
            calls = [asyncio.create_task(gate.run_call(make_request())) for _ in range(5)]
            for _ in range(steps):
                await asyncio.sleep(0)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            assert gate.make_report().in_flight == 0
            assert gate.make_report().queued == 0
        await gate.work.wait_idle()

    run_scenario(scenario)


def test_non_idempotent_call_continues_after_its_caller_leaves():
    async def scenario(gate):
        call = asyncio.create_task(gate.run_call(make_request(idempotent=False)))
        await wait_until(lambda: gate._pool.held)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        assert gate.make_report().in_flight == 1
        assert gate.work.count == 1
        gate._pool.held[0].set_result(Answer(200, SIGNED, b""))
        await gate.work.wait_idle()
        assert gate.make_report().in_flight == 0
        assert gate._pool.cancelled == 0

    run_scenario(scenario)


def test_queued_calls_start_in_order_and_are_refused_when_the_gate_stops():
    async def scenario(gate):
        calls = [asyncio.create_task(gate.run_call(make_request())) for _ in range(5)]
        await wait_until(lambda: gate.make_report().queued)
        limit = gate.make_report().limit
        assert len(gate._pool.held) == limit
        gate._pool.held[0].set_result(Answer(200, SIGNED, b""))
        await wait_until(lambda: len(gate._pool.held) == limit + 1)
        gate.stop_accepting()
        for held in gate._pool.held[1:]:
            held.set_result(Answer(200, SIGNED, b""))
        replies = await asyncio.gather(*calls)
        refused = [reply for reply in replies if isinstance(reply, Refusal)]
        assert len(refused) == 5 - limit - 1
        assert all(reply.reason == Reason.LEAVING.value for reply in refused)
        assert all(reply.outcome == Outcome.NOT_RUN.value for reply in refused)
        answered = [reply for reply in replies if isinstance(reply, Response)]
        assert len(answered) == limit + 1

    run_scenario(scenario)


def test_evacuated_server_finishes_its_calls_and_gets_no_others_until_the_end():
    async def scenario(gate):
        gate.set_health_target("/healthz")
        calls = [asyncio.create_task(gate.run_call(make_request())) for _ in range(5)]
        await wait_until(lambda: gate.make_report().queued)
        started = len(gate._pool.held)
        gate.set_evacuated(True)
        gate.apply_server_report(replace(HEARTBEAT, sequence=2))
        calls.append(asyncio.create_task(gate.run_call(make_request())))
        for held in gate._pool.held:
            held.set_result(Answer(200, SIGNED, b""))
        replies = [reply for reply in await asyncio.gather(*calls) if isinstance(reply, Refusal)]
        assert len(replies) == 6 - started == 6 - len(gate._pool.held)
        assert {(r.outcome, r.reason) for r in replies} == {("not-run", "evacuated")}
        gate.set_cold_limit(ColdLimit(4.0, 1.0, 1.0))
        watch = asyncio.create_task(gate.watch_cold())
        gate.set_evacuated(False)
        assert gate.accepting
        # The latest report is of before the end, so it doesn't say that the server is warm.
        assert is_expected_cold(gate._state.cold)
        await wait_until(lambda: gate._pool.speed_queries)
        watch.cancel()

    run_scenario(scenario)


def test_server_that_left_meanwhile_gets_no_calls_when_its_domain_is_no_longer_evacuated():
    gate = make_gate(evacuated=None)
    assert not gate.accepting
    gate.apply_server_report(replace(HEARTBEAT, sequence=2, state=InstanceState.DRAINING))
    gate.set_evacuated(False)
    assert not gate.accepting
    gate.apply_server_report(replace(HEARTBEAT, instance=InstanceId("j"), born_ms=2))
    assert gate.accepting


def make_noisy(gate, now):
    """Put the gate on a host with noisy neighbours, with a speed reported one second ago."""
    gate.set_health_target("/healthz")
    record_reported_slowdown(gate._state, now - 1.0, 1.0)


def test_long_call_waits_for_the_host_speed_and_then_for_a_fast_host():
    async def scenario(gate):
        make_noisy(gate, read_clock())
        call = asyncio.create_task(gate.run_call(make_request(work_ms=200.0)))
        await wait_until(lambda: gate._pool.speed_queries)
        assert not gate._pool.held
        gate._pool.speed_queries[0].set_result(make_speed_answer(500))
        await wait_until(lambda: len(gate._pool.speed_queries) == 2)
        assert not gate._pool.held
        # The speed is also read from the response of an unhealthy server.
        gate._pool.speed_queries[1].set_result(make_speed_answer(100, 503))
        await wait_until(lambda: gate._pool.held)
        gate._pool.held[0].set_result(Answer(200, SIGNED, b""))
        assert isinstance(await call, Response)

    run_scenario(scenario)


def test_unanswered_speed_query_does_not_delay_a_call():
    async def scenario(gate):
        make_noisy(gate, read_clock())
        call = asyncio.create_task(gate.run_call(make_request(work_ms=200.0)))
        await wait_until(lambda: gate._pool.speed_queries)
        gate._pool.speed_queries[0].set_result(Failure(Outcome.UNKNOWN, Reason.DEADLINE))
        await wait_until(lambda: gate._pool.held)
        gate._pool.held[0].set_result(Answer(200, SIGNED, b""))
        assert isinstance(await call, Response)

    run_scenario(scenario)


def test_call_starts_immediately_without_a_health_path():
    async def scenario(gate):
        make_noisy(gate, read_clock())
        gate.set_health_target(None)
        call = asyncio.create_task(gate.run_call(make_request(work_ms=200.0)))
        await wait_until(lambda: gate._pool.held)
        assert not gate._pool.speed_queries
        gate._pool.held[0].set_result(Answer(200, SIGNED, b""))
        await call

    run_scenario(scenario)


@pytest.mark.parametrize("limit", [0.0, 3.0, 14.4])
def test_server_gets_no_more_calls_than_the_rate_that_it_takes(limit):
    settled_s, window_s = 4.0, 4.0

    async def play():
        pool = AnsweringPool([(b"server-limit", b"%.1f" % limit)])
        gate = make_gate(virtual.read_clock, pool)
        started = virtual.read_clock()
        replies = await offer_calls(gate, 50, 14)
        settled = [at for at in pool.arrivals if at >= started + settled_s]
        excess = count_most(settled, window_s) - (1.5 * limit * window_s + 5)
        if excess > 0:
            pytest.fail("the server got more calls than it takes")
        assert len(settled) >= 0.9 * limit * (14 - settled_s)
        assert all(reply.retry_after_ms > 0 for reply in replies if isinstance(reply, Refusal))

    virtual.run_virtual(play())


def test_rate_stated_to_a_health_check_holds_from_the_first_call():
    async def play():
        answer = [
            (b"ragwortvalve-instance-id", b"i"),
            (b"ragwortvalve-server-load", b"0,0,3"),
            (b"server-limit", b"2"),
        ]
        pool = AnsweringPool(answer)
        gate = make_gate(virtual.read_clock, pool, reported=False)
        gate.set_health_target("/healthz")
        await gate.check_health()
        gate.apply_server_report(HEARTBEAT)
        pool.arrivals.clear()
        await asyncio.gather(*(gate.run_call(make_request()) for _ in range(20)))
        assert count_most(pool.arrivals, 1.0) <= 3

    virtual.run_virtual(play())


def test_server_that_no_longer_states_a_rate_gets_all_calls():
    async def play():
        pool = AnsweringPool([(b"server-limit", b"5")])
        gate = make_gate(virtual.read_clock, pool)
        await offer_calls(gate, 50, 6)
        pool.headers = []
        await offer_calls(gate, 50, 2)
        pool.arrivals.clear()
        replies = await offer_calls(gate, 50, 4)
        assert all(isinstance(reply, Response) for reply in replies)

    virtual.run_virtual(play())


def test_server_that_states_that_it_leaves_gets_no_further_calls():
    async def play():
        pool = AnsweringPool([(b"server-leaving", b"1")])
        gate = make_gate(virtual.read_clock, pool)
        assert isinstance(await gate.run_call(make_request()), Response)
        gate.apply_server_report(replace(HEARTBEAT, sequence=2))
        refusal = await gate.run_call(make_request())
        if not isinstance(refusal, Refusal):
            pytest.fail("a leaving server got a call")
        assert refusal.reason == Reason.LEAVING.value
        gate.apply_server_report(
            replace(HEARTBEAT, instance=InstanceId("j"), born_ms=HEARTBEAT.born_ms + 1)
        )
        assert isinstance(await gate.run_call(make_request()), Response)

    virtual.run_virtual(play())


def test_calls_given_up_for_more_urgent_ones_are_counted_and_logged_with_their_figures():
    async def play():
        gate = make_gate(virtual.read_clock, AnsweringPool([]))
        lines = []
        gate._telemetry.events.write = lambda event, **fields: lines.append((event, fields))
        request = make_request()
        for _ in range(400):
            for rank in (0, 2):
                offered = structs.replace(request, rank=rank, objective_ms=50.0)
                asyncio.create_task(gate.run_call(offered))
            await asyncio.sleep(0.004)
        await asyncio.sleep(2)
        assert gate._telemetry.counters.gauges["gate.given_up"] > 50
        first, *others = [fields for event, fields in lines if event == "calls-triaged"]
        assert len(others) <= 2
        assert [described["rank"] for described in first["classes"]] == [0, 2]

    virtual.run_virtual(play())


def test_calls_beyond_a_customers_share_are_counted_and_logged_with_its_rates():
    async def play():
        gate = make_gate(virtual.read_clock, AnsweringPool([]))
        lines = []
        gate._telemetry.events.write = lambda event, **fields: lines.append((event, fields))
        now = virtual.read_clock()
        for step in range(200):
            for customer in ("a", "b", "c") * 8:
                record_arrival(gate._state.shares, now - 100.0 + step / 2, CustomerName(customer))
        for number in range(800):
            customer = "bc"[number // 20 % 2] if number % 20 == 0 else "a"
            offered = structs.replace(make_request(), member=customer, objective_ms=50.0)
            asyncio.create_task(gate.run_call(offered))
            await asyncio.sleep(0.002)
        await asyncio.sleep(2)
        assert gate._telemetry.counters.gauges["gate.put_behind"] > 100
        line = [fields for event, fields in lines if event == "calls-triaged"][-1]
        assert line["shares_known"] and line["customers"] == 3
        [beyond] = line["beyond"]
        assert beyond["customer"] == "a"
        assert beyond["per_s"] > 2 * beyond["usual_per_s"]

    virtual.run_virtual(play())
