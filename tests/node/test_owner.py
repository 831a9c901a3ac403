import asyncio

import pytest
from ragwort_common import NodeId
from ragwort_node._owner import KeyOwner
from ragwort_node._range_owner import OwnerClocks, OwnerLimits
from ragwort_policy import OwnerMap
from ragwort_protocol import Answer, ClaimRequest, ClaimResult, ClaimVerdict

from bench.virtual import MemoryLeases, MemoryStore, read_clock, read_wall_ms, run_virtual

RANGES = 2
ANSWER = Answer(200, [], b"ok")


class Fleet:
    """Key owners that share a platform; ``nodes`` is what they all take for alive."""

    def __init__(self, *names, **limits):
        self.store = MemoryStore(0.01)
        self.nodes = [NodeId(name) for name in names]
        self.notices = []
        self.leases = {}
        self.attempts = 0
        table = {}
        clocks = OwnerClocks(read_clock, read_wall_ms)
        self.owners = {}
        for name in names:
            self.leases[name] = MemoryLeases(name, table)
            self.owners[name] = KeyOwner(
                NodeId(name),
                self.store,
                self.leases[name],
                clocks,
                OwnerLimits(**limits),
                OwnerMap(),
                lambda: self.nodes,
                self.notices.append,
                RANGES,
            )

    async def tick(self, *names):
        for name in names or self.owners:
            await self.owners[name].tick()
        await asyncio.sleep(1)

    async def claim(self, name, key, minted_ms=0, attempt=None, budget_ms=5_000.0):
        self.attempts += 1
        number = (attempt or self.attempts).to_bytes(16, "big")
        request = ClaimRequest(number, key.encode().ljust(16), b"f", 0, 0, minted_ms, budget_ms)
        return await self.owners[name].answer_claim(request)

    def settle(self, name, key, attempt, outcome="answered"):
        number = attempt.to_bytes(16, "big")
        result = ClaimResult(number, key.encode().ljust(16), 0, outcome, ANSWER)
        return self.owners[name].take_result(result)


def run(scenario, *names, **limits):
    async def main():
        await scenario(Fleet(*names, **limits))

    run_virtual(main())


def test_waiting_claims_share_one_write():
    async def scenario(fleet):
        await fleet.tick()
        before = fleet.store.writes
        replies = await asyncio.gather(*[fleet.claim("a", f"k{n}") for n in range(50)])
        assert {reply.verdict for reply in replies} == {ClaimVerdict.GRANTED}
        assert fleet.store.writes - before == 1

    run(scenario, "a")


def test_many_claims_stay_within_the_pace_of_writes():
    async def scenario(fleet):
        await fleet.tick()
        await asyncio.sleep(5)
        before = fleet.store.writes
        claims = []
        for number in range(2_000):
            claims.append(asyncio.create_task(fleet.claim("a", f"k{number}")))
            await asyncio.sleep(0.01)
        replies = await asyncio.gather(*claims)
        assert {reply.verdict for reply in replies} == {ClaimVerdict.GRANTED}
        assert fleet.store.writes - before <= 20 * 100 / 64 + 6

    run(scenario, "a")


def test_one_key_at_once_is_granted_once_and_then_answered():
    async def scenario(fleet):
        await fleet.tick()
        replies = await asyncio.gather(*[fleet.claim("a", "k") for _ in range(5)])
        verdicts = [reply.verdict for reply in replies]
        assert verdicts.count(ClaimVerdict.GRANTED) == 1
        assert verdicts.count(ClaimVerdict.RUNNING) == 4
        attempt = 1 + verdicts.index(ClaimVerdict.GRANTED)
        assert fleet.settle("a", "k", attempt)
        reply = await fleet.claim("a", "k")
        assert (reply.verdict, reply.answer) == (ClaimVerdict.DONE, ANSWER)

    run(scenario, "a")


@pytest.mark.parametrize("fate", ["lost", "reply-lost"])
def test_a_write_without_a_reply_is_read_back_before_the_grant(fate):
    async def scenario(fleet):
        await fleet.tick()
        fleet.store.fates.append(fate)
        assert (await fleet.claim("a", "k")).verdict is ClaimVerdict.GRANTED
        fleet.store.fates.extend([fate] * 100)
        fleet.store.down = True
        assert (await fleet.claim("a", "l")).verdict is ClaimVerdict.BUSY

    run(scenario, "a")


def test_after_a_takeover_old_keys_are_unproven_and_new_ones_granted():
    async def scenario(fleet):
        fleet.nodes.remove("b")
        await fleet.tick("a")
        seen_ms = read_wall_ms()
        assert (await fleet.claim("a", "opaque")).verdict is ClaimVerdict.GRANTED
        assert (await fleet.claim("a", "timed", seen_ms)).verdict is ClaimVerdict.GRANTED
        await asyncio.sleep(61)
        fleet.nodes[:] = ["b"]
        await fleet.tick("b")
        assert (await fleet.claim("b", "opaque")).verdict is ClaimVerdict.UNPROVEN
        assert (await fleet.claim("b", "timed", seen_ms)).verdict is ClaimVerdict.UNPROVEN
        assert (await fleet.claim("b", "new", read_wall_ms())).verdict is ClaimVerdict.GRANTED
        assert (await fleet.claim("a", "late", read_wall_ms())).verdict is ClaimVerdict.NO_LEASE
        await fleet.tick("a")
        assert fleet.owners["a"].list_held() == []

    run(scenario, "a", "b")


def test_a_stopped_node_hands_its_ranges_on_at_once():
    async def scenario(fleet):
        await fleet.tick()
        held = {name: len(owner.list_held()) for name, owner in fleet.owners.items()}
        assert sum(held.values()) == RANGES
        fleet.nodes[:] = ["b"]
        await fleet.owners["a"].stop()
        await fleet.tick("b")
        assert len(fleet.owners["b"].list_held()) == RANGES
        assert [notice.node for notice in fleet.notices].count("") == held["a"]
        assert (await fleet.claim("b", "k", read_wall_ms())).verdict is ClaimVerdict.GRANTED

    run(scenario, "a", "b")


def test_a_leaving_node_releases_its_ranges():
    async def scenario(fleet):
        await fleet.tick()
        fleet.nodes.clear()
        await fleet.tick()
        assert not any(owner.list_held() for owner in fleet.owners.values())

    run(scenario, "a", "b")


def test_an_outage_longer_than_the_lease_stops_grants_but_not_answers():
    async def scenario(fleet):
        await fleet.tick()
        await fleet.claim("a", "k", read_wall_ms(), attempt=7)
        fleet.settle("a", "k", 7)
        fleet.store.down = fleet.leases["a"].down = True
        await asyncio.sleep(61)
        await fleet.tick()
        assert (await fleet.claim("a", "new", read_wall_ms())).verdict is ClaimVerdict.NO_LEASE
        assert (await fleet.claim("a", "k")).verdict is ClaimVerdict.DONE
        fleet.store.down = fleet.leases["a"].down = False
        await fleet.tick()
        assert (await fleet.claim("a", "new", read_wall_ms())).verdict is ClaimVerdict.GRANTED

    run(scenario, "a")


def test_a_claim_is_given_up_at_its_deadline():
    async def scenario(fleet):
        await fleet.tick()
        fleet.store.down = True
        start_s = read_clock()
        assert (await fleet.claim("a", "k", budget_ms=300.0)).verdict is ClaimVerdict.BUSY
        assert read_clock() - start_s == pytest.approx(0.3)

    run(scenario, "a")
