"""Calls whose route allows only some regions, through complete nodes."""

import pytest
from helper import wait_until
from mesh_cluster import make_route, run_scenario, stop_quickly
from ragwort_standins.application import shed


async def start(cluster, **fields):
    await cluster.configure(1, a=make_route("s", **fields))
    await cluster.wait_until_linked()


def run_regions(scenario, regions):
    return run_scenario(scenario, ("s",) * len(regions), regions)


def expect_not_sent_to(members, call_ids):
    for member in members:
        if any(member.application.arrivals[call_id] for call_id in call_ids):
            pytest.fail("a call left its home regions")


def test_call_goes_to_its_home_region_also_from_outside():
    async def scenario(cluster):
        await start(cluster, allowedRegions=["r2"])
        away, home = cluster.members
        for number, entry in enumerate((away, home, away, home)):
            status, _, body = await cluster.call(entry, call_id=f"c{number}")
            assert (status, body) == (200, b"i-n2:")
        expect_not_sent_to([away], [f"c{number}" for number in range(4)])

    run_regions(scenario, ("r1", "r2"))


def test_retries_and_hedges_stay_in_the_home_region():
    async def scenario(cluster):
        await start(cluster, allowedRegions=["r1"], targetLatencyMs=60)
        first, second, away = cluster.members
        first.application.response_override = shed
        second.application.service_time_s = 0.2
        call_ids = [f"c{number}" for number in range(8)]
        for call_id in call_ids:
            await cluster.call(away, call_id=call_id)
        expect_not_sent_to([away], call_ids)

    run_regions(scenario, ("r1", "r1", "r2"))


@pytest.mark.parametrize("regions", [["r2"], ["r3"]])
def test_call_without_a_home_server_is_refused_at_once(regions):
    async def scenario(cluster):
        await start(cluster, allowedRegions=regions)
        here, home = cluster.members
        cluster.members.remove(home)
        await stop_quickly(home.node)
        await wait_until(lambda: not here.node._peers.list_links())
        status, headers, _ = await cluster.call(here)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert here.node._telemetry.counters.totals["entry.not-run.no-home-server"] == 1
        expect_not_sent_to([here, home], ["c1"])

    run_regions(scenario, ("r1", "r2"))
