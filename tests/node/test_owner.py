import asyncio
import json

import pytest
from fake_store import FakeStore
from helper import wait_until
from ragwort_common import Epoch, NodeId
from ragwort_node._owner import LEASE_MARGIN_MS, LEASE_TTL_MS, KeyOwner
from ragwort_node._owner_exchange import list_owners
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits
from ragwort_policy import JournalHead, OwnerMap, encode_head
from ragwort_protocol import ClaimRequest, ClaimResult, ClaimVerdict, StoredResponse
from ragwort_standins.platform import PlatformStandIn
from ragwort_store import CallBudget, LeaseClient, ObjectStore, read_boot_clock

from bench.virtual import (
    LeaseTable,
    MemoryLeases,
    MemoryStore,
    read_clock,
    read_wall_ms,
    run_virtual,
)

RANGES = 2
WALL_MS = 1_700_000_000_000
ANSWER = StoredResponse(200, [], b"ok")


class Fleet:
    """Key owners that share a platform; ``nodes`` is the list of alive nodes for all of them."""

    def __init__(self, *names, **limits):
        self.store = MemoryStore(0.01)
        self.nodes = [NodeId(name) for name in names]
        self.notices = []
        self.leases = {}
        self.attempts = 0
        table = LeaseTable()
        clocks = OwnerClocks(read_clock, read_wall_ms)
        self.owners = {}
        self.maps = {name: OwnerMap() for name in names}
        for name in names:
            self.leases[name] = MemoryLeases(name, table)
            self.owners[name] = KeyOwner(
                NodeId(name),
                self.store,
                self.leases[name],
                clocks,
                OwnerLimits(**limits),
                self.maps[name],
                lambda: self.nodes,
                self.notices.append,
                RANGES,
            )

    async def tick(self, *names):
        for name in names or self.owners:
            await self.owners[name].tick()
        await asyncio.sleep(1)

    async def claim(self, name, key, timestamp_ms=0, attempt=None, budget_ms=5_000.0):
        self.attempts += 1
        number = (attempt or self.attempts).to_bytes(16, "big")
        request = ClaimRequest(number, key.encode().ljust(16), b"f", 0, 0, timestamp_ms, budget_ms)
        return await self.owners[name].answer_claim(request)

    def settle(self, name, key, attempt, outcome="answered"):
        number = attempt.to_bytes(16, "big")
        result = ClaimResult(number, key.encode().ljust(16), 0, outcome, ANSWER)
        return self.owners[name].record_result(result)


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


def test_many_claims_stay_within_the_rate_limit_of_writes():
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


def test_concurrent_claims_of_one_key_are_granted_once_and_then_answered():
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


@pytest.mark.parametrize("outcome", ["lost", "reply-lost"])
def test_a_write_without_a_reply_is_read_back_before_the_grant(outcome):
    async def scenario(fleet):
        await fleet.tick()
        fleet.store.write_outcomes.append(outcome)
        assert (await fleet.claim("a", "k")).verdict is ClaimVerdict.GRANTED
        fleet.store.write_outcomes.extend([outcome] * 100)
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


def test_a_stopped_node_releases_its_ranges_immediately():
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


def test_a_claim_that_needs_the_journal_is_refused_immediately_in_an_outage():
    async def scenario(fleet):
        await fleet.tick()
        fleet.store.down = True
        await fleet.claim("a", "first")
        start_s = read_clock()
        assert (await fleet.claim("a", "k")).verdict is ClaimVerdict.BUSY
        assert read_clock() == start_s
        fleet.store.down = False
        await asyncio.sleep(3)
        assert (await fleet.claim("a", "k")).verdict is ClaimVerdict.GRANTED

    run(scenario, "a")


def test_a_claim_that_the_write_rate_cannot_serve_is_refused_immediately():
    async def scenario(fleet):
        await fleet.tick()
        await asyncio.sleep(5)
        for number in range(5):
            start_s = read_clock()
            reply = await fleet.claim("a", f"k{number}", budget_ms=200.0)
        assert reply.verdict is ClaimVerdict.BUSY
        assert read_clock() - start_s < 0.2

    run(scenario, "a")


def test_a_claim_waits_no_longer_than_its_deadline():
    async def scenario(fleet):
        await fleet.tick()
        fleet.store.round_trip_s = 2.0
        start_s = read_clock()
        assert (await fleet.claim("a", "k", budget_ms=300.0)).verdict is ClaimVerdict.BUSY
        assert read_clock() - start_s == pytest.approx(0.3)

    run(scenario, "a")


@pytest.mark.parametrize("epoch", [1, 40])
def test_an_epoch_not_above_the_journal_head_grants_nothing_and_is_skipped(epoch):
    async def scenario(fleet):
        head = JournalHead(Epoch(epoch), 0, read_wall_ms(), 0)
        await fleet.store.create("claims/000/head", encode_head(head))
        await fleet.tick()
        assert (await fleet.claim("a", "k", read_wall_ms())).verdict is ClaimVerdict.NO_LEASE
        await fleet.tick()
        reply = await fleet.claim("a", "k", read_wall_ms())
        assert (reply.verdict, reply.epoch) == (ClaimVerdict.GRANTED, epoch + 1)

    run(scenario, "a")


def test_a_lost_range_that_peers_still_list_is_acquired_again_above_the_share():
    async def scenario(fleet):
        fleet.nodes[:] = ["a"]
        await fleet.tick("a")
        fleet.nodes[:] = ["a", "b"]
        for notice in fleet.notices:
            fleet.maps["b"].record(notice.key_range, NodeId(notice.node), Epoch(notice.epoch))
        for held in fleet.owners["a"]._held.values():
            held.task.cancel()
        await asyncio.sleep(1)
        await fleet.tick("b", "a")
        await fleet.tick("b", "a")
        assert len(fleet.owners["a"].list_held()) == RANGES

    run(scenario, "a", "b")


def test_two_owners_on_the_platforms_api_hand_over_and_survive_a_lost_reply():
    async def scenario(platform, store):
        nodes = [NodeId("a")]
        clocks = OwnerClocks(read_boot_clock, lambda: WALL_MS)
        owners = [
            KeyOwner(
                node,
                store,
                LeaseClient(store, node, ttl_ms=LEASE_TTL_MS, margin_ms=LEASE_MARGIN_MS),
                clocks,
                OwnerLimits(),
                OwnerMap(),
                lambda: nodes,
                lambda notice: None,
                1,
            )
            for node in (NodeId("a"), NodeId("b"))
        ]
        first, second = owners
        await first.tick()
        platform.table.faults.lost_replies = 1
        assert (await ask(first, b"k")).verdict is ClaimVerdict.GRANTED
        assert platform.table.faults.lost_replies == 0
        nodes[:] = ["b"]
        await first.tick()
        await second.tick()
        assert (await ask(second, b"k")).verdict is ClaimVerdict.UNPROVEN
        reply = await ask(second, b"l")
        assert (reply.verdict, reply.epoch) == (ClaimVerdict.GRANTED, 2)
        await second.stop()

    async def ask(owner, key):
        claim = ClaimRequest(b"a" * 16, key * 16, b"f", 0, 0, 0, 30_000.0)
        await wait_until(lambda: owner._held[0].range_owner.table is not None)
        return await owner.answer_claim(claim)

    async def main():
        budget = CallBudget(1e9, 1e9, lambda: 0.0)
        async with PlatformStandIn() as platform, ObjectStore(platform.url, 300, budget) as store:
            await scenario(platform, store)

    asyncio.run(main())


def test_object_of_another_writer_among_the_leases_hides_none_of_them():
    # A name that is not a number, or a number out of range, ended the task that lists the owners.
    async def scenario():
        store = FakeStore()
        lease = {"holder": "a", "nonce": "x", "serial": 1, "ttl_ms": 1, "released": False}
        names = {"3": 7, "other": 1, "\u00b2": 1, "64": 1, "9" * 5000: 1, "4": 2**70}
        for name, epoch in names.items():
            store.put(f"leases/keys/{name}", json.dumps({**lease, "epoch": epoch}).encode())
        listed = await list_owners(store)
        assert [(notice.key_range, notice.epoch) for notice in listed.ok] == [(3, 7)]

    asyncio.run(scenario())
