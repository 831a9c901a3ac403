"""Calls whose route allows only some regions, through complete nodes."""

import pytest
from helper import wait_until
from mesh_cluster import make_route, run_scenario, stop_quickly
from ragwort_standins.application import shed


async def start(cluster, **fields):
    await cluster.configure(1, a=make_route("s", **fields))
    await cluster.wait_until_linked()


def test_first_attempts_retries_and_hedges_stay_in_the_home_region():
    async def scenario(cluster):
        await start(cluster, allowedRegions=["r2"], targetLatencyMs=60)
        away, first, second = cluster.members
        assert (await cluster.call(away))[0] == 200
        first.application.response_override = shed
        second.application.service_time_s = 0.2
        for number in range(8):
            await cluster.call(away, call_id=f"c{number}")
        if away.application.requests:
            pytest.fail("a call left its home region")

    run_scenario(scenario, ("s", "s", "s"), ("r1", "r2", "r2"))


@pytest.mark.parametrize("region", ["r2", "r3"])
def test_call_without_a_home_server_in_reach_is_refused_at_once(region):
    async def scenario(cluster):
        await start(cluster, allowedRegions=[region])
        here, other = cluster.members
        cluster.members.remove(other)
        await stop_quickly(other.node)
        await wait_until(lambda: not here.node._peers.list_links())
        status, headers, _ = await cluster.call(here)
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert here.node._telemetry.counters.totals["entry.not-run.no-home-server"] == 1
        assert not here.application.requests

    run_scenario(scenario, ("s", "s"), ("r1", "r2"))
