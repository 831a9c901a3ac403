"""The gate of a cold server, with the connection pool to the server replaced by a fake."""

import asyncio
from dataclasses import replace

import pytest
from mesh_gate import HEARTBEAT, AnsweringPool, count_most, make_gate, offer_calls
from ragwort_flow import make_cold_limit
from ragwort_mesh._cold_server import find_cold_limit
from ragwort_model import Addresses, Bounds, ColdStart, Configuration, NodeSettings

from bench import virtual

LIMIT = make_cold_limit(4.0, 10.0, 1.5, 8.0)
BOUND = 10.0 * 1.5 + 8
"""Most calls that the cold server may get in any second."""


HEALTHY = [(b"ragwortvalve-instance-id", b"i"), (b"ragwortvalve-server-load", b"0,0,3")]


def state_cold(pool, cold_ms):
    """Let health checks state how long the server stays cold."""
    pool.headers = [*HEALTHY, (b"ragwortvalve-cold-ms", b"%d" % cold_ms)]


def play(scenario, cold_ms=None):
    async def run():
        gate = make_gate(virtual.read_clock, AnsweringPool(HEALTHY), reported=False)
        gate.set_health_target("/healthz")
        gate.set_cold_limit(LIMIT)
        gate.apply_server_report(replace(HEARTBEAT, cold_ms=cold_ms))
        watch = asyncio.create_task(gate.watch_cold())
        await scenario(gate, gate._pool)
        watch.cancel()

    virtual.run_virtual(run())


async def count_calls(gate, pool, duration_s=3.0):
    """Offer 60 calls a second, and return the most that reach the server in any second of them."""
    pool.arrivals.clear()
    until = virtual.read_clock() + duration_s
    await offer_calls(gate, 60, duration_s)
    return count_most([at for at in pool.arrivals if at < until], 1.0)


@pytest.mark.parametrize("cold_ms", [None, 4000.0])
def test_a_started_server_gets_no_more_calls_than_it_takes_while_cold(cold_ms):
    async def scenario(gate, pool):
        report = gate.make_report()
        assert (report.limit, report.wait_ms) == (1, 100)
        assert 8 <= await count_calls(gate, pool) <= BOUND
        gate.apply_server_report(replace(HEARTBEAT, born_ms=2, cold_ms=cold_ms))
        assert await count_calls(gate, pool) <= BOUND

    play(scenario, cold_ms)


def test_a_server_that_turns_cold_is_limited_before_its_next_report():
    async def scenario(gate, pool):
        await offer_calls(gate, 60, 1)
        state_cold(pool, 4000)
        assert await count_calls(gate, pool) <= BOUND
        state_cold(pool, 0)
        await asyncio.sleep(0.3)
        assert await count_calls(gate, pool, 1.0) >= 60

    play(scenario, 0.0)


def test_a_server_that_returns_is_cold_until_a_health_check_or_report_states_otherwise():
    async def scenario(gate, pool):
        gate.expect_cold()
        assert await count_calls(gate, pool) <= BOUND
        gate.apply_server_report(replace(HEARTBEAT, sequence=2, cold_ms=0.0))
        assert await count_calls(gate, pool, 1.0) >= 60

    play(scenario, 0.0)


def test_a_server_without_a_cold_limit_is_not_asked():
    async def scenario(gate, pool):
        gate.set_cold_limit(None)
        assert await count_calls(gate, pool) >= 60
        assert pool.health_checks == 0

    play(scenario, 4000.0)


def test_the_limit_follows_the_configuration_and_the_settings():
    bounds = Bounds(cold_excess=1.5, cold_slack=8.0)
    settings = NodeSettings("n", "s", "d", "r", Addresses("", "", "", "", "", ""), bounds)
    configuration = Configuration(1, cold_starts={"s": ColdStart(4.0, 10.0)})
    assert find_cold_limit(configuration, settings) == LIMIT
    assert find_cold_limit(None, settings).calls_per_s < 1
    assert find_cold_limit(None, replace(settings, bounds=Bounds())) is None
    assert find_cold_limit(replace(configuration, cold_starts={}), settings) is None
