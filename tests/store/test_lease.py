import asyncio
import json
import types
from dataclasses import dataclass, field

from expression import Error, Ok
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from ragwort_common import Epoch, NodeId
from ragwort_standins.platform import PlatformStandIn
from ragwort_store import (
    CallBudget,
    ErrorKind,
    Lease,
    LeaseClient,
    LeaseErrorKind,
    ObjectStore,
    Stored,
    StoreError,
    holds,
)

PATH = "leases/a"
TTL_S = 10.0


@types.coroutine
def pause():
    """Suspend the caller until the state machine sends the outcome of its message."""
    return (yield)


class SteppedStore:
    """A store in which the state machine decides when and whether messages are delivered."""

    def __init__(self):
        self.version = 0
        self.data = None
        self.delayed = []
        self.epochs = [0]

    async def get(self, path):
        if await pause() != "deliver":
            return Error(StoreError(ErrorKind.UNAVAILABLE, ""))
        found = self.data is not None
        result = Ok(Stored(path, self.version, self.data)) if found else Error(NOT_FOUND)
        lost = await pause() != "deliver"
        return Error(StoreError(ErrorKind.UNAVAILABLE, "")) if lost else result

    async def create(self, path, data):
        return await self.update(path, data, 0)

    async def update(self, path, data, expected_version):
        match await pause():
            case "refuse":
                return Error(StoreError(ErrorKind.UNAVAILABLE, ""))
            case "delay":
                self.delayed.append((data, expected_version))
                return Error(StoreError(ErrorKind.UNCERTAIN, ""))
        result = self.write(path, data, expected_version)
        lost = await pause() != "deliver"
        return Error(StoreError(ErrorKind.UNCERTAIN, "")) if lost else result

    def write(self, path, data, expected_version):
        if expected_version != self.version:
            return Error(StoreError(ErrorKind.CONFLICT, ""))
        before, after = json.loads(self.data or b'{"nonce": ""}'), json.loads(data)
        if before["nonce"] != after["nonce"]:
            assert after["epoch"] > self.epochs[-1], "the epoch did not increase with a new holder"
        self.epochs.append(after["epoch"])
        self.version += 1
        self.data = data
        return Ok(Stored(path, self.version, data))


NOT_FOUND = StoreError(ErrorKind.NOT_FOUND, "")


@dataclass
class Holder:
    """One process, whose clock has its own offset and rate."""

    store: SteppedStore
    name: str
    nonce: str
    offset_s: float
    rate: float
    now: float = 0.0
    lease: Lease | None = None
    running: object = None
    client: LeaseClient = field(init=False)

    def __post_init__(self):
        node = NodeId(self.name)
        self.client = LeaseClient(self.store, node, self.read_clock, nonce=self.nonce)

    def read_clock(self):
        return self.offset_s + self.now * self.rate

    def believes(self):
        return self.lease is not None and holds(self.lease, self.read_clock())

    def start(self, kind):
        if self.running is not None:
            return
        if kind == "acquire":
            self.running = self.client.acquire_lease(PATH)
        elif self.lease is not None and kind == "renew":
            self.running = self.client.renew_lease(self.lease)
        elif self.lease is not None:
            lease, self.lease = self.lease, None
            self.running = self.client.release_lease(lease)
        if self.running is not None:
            self.running.send(None)

    def step(self, fate):
        if self.running is None:
            return
        try:
            self.running.send(fate)
        except StopIteration as stop:
            self.running = None
            if stop.value.is_ok() and stop.value.ok is not None:
                self.lease = stop.value.ok
            elif stop.value.is_error() and stop.value.error.kind is LeaseErrorKind.LOST:
                self.lease = None


indexes = st.integers(0, 2)
kinds = st.sampled_from(["acquire", "acquire", "renew", "release"])


class LeaseMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = SteppedStore()
        # The first two are a paused process and its successor on the same node.
        self.holders = [
            Holder(self.store, "n1", "p1", 0.0, 0.96),
            Holder(self.store, "n1", "p2", 5e6, 1.04),
            Holder(self.store, "n2", "p3", -70.0, 1.0),
        ]

    @rule(index=indexes, kind=kinds, steps=st.integers(1, 3))
    def run_part(self, index, kind, steps):
        self.holders[index].start(kind)
        for _ in range(steps):
            self.holders[index].step("deliver")

    @rule(index=indexes, fate=st.sampled_from(["deliver"] * 4 + ["lose", "refuse", "delay"]))
    def step(self, index, fate):
        self.holders[index].step(fate)

    @rule(index=indexes, kind=kinds)
    def run_whole(self, index, kind):
        holder = self.holders[index]
        holder.start(kind)
        while holder.running is not None:
            holder.step("deliver")

    @rule(index=indexes)
    def take_over(self, index):
        """Retry until the time to live of the current holder has passed."""
        for _ in range(3):
            self.run_whole(index, "acquire")
            self.one_holder_at_most()
            self.advance(TTL_S)
        self.run_whole(index, "acquire")

    @precondition(lambda self: self.store.delayed)
    @rule()
    def land_delayed(self):
        data, version = self.store.delayed.pop(0)
        self.store.write(PATH, data, version)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 5.0, TTL_S - 0.9, TTL_S, TTL_S + 0.5]))
    def advance(self, seconds):
        self.now += seconds
        for holder in self.holders:
            holder.now = self.now

    @invariant()
    def one_holder_at_most(self):
        believers = [holder.nonce for holder in self.holders if holder.believes()]
        assert len(believers) <= 1, believers

    def teardown(self):
        # After any faults, a process that keeps retrying gets the lease from a healthy platform.
        self.run_whole(0, "acquire")
        self.take_over(0)
        assert self.holders[0].believes()
        self.one_holder_at_most()


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(max_examples=200, stateful_step_count=30)


def run_with_clients(scenario, timeout_ms=2000):
    async def run():
        budget = CallBudget(1e9, 1e9, lambda: 0.0)
        async with (
            PlatformStandIn() as platform,
            ObjectStore(platform.url, timeout_ms, budget) as store,
        ):
            clock = types.SimpleNamespace(now=100.0)
            clients = [LeaseClient(store, NodeId(name), lambda: clock.now) for name in "ab"]
            await scenario(platform, clock, *clients)

    asyncio.run(run())


def test_a_lost_reply_is_recognised_as_ones_own():
    async def scenario(platform, clock, first, second):
        platform.table.faults.lost_replies = 1
        lease = (await first.acquire_lease(PATH)).ok
        platform.table.faults.lost_replies = 1
        assert lease.deadline == 109.0
        clock.now = 103.0
        renewed = (await first.renew_lease(lease)).ok
        assert (renewed.epoch, renewed.deadline) == (lease.epoch, 112.0)
        assert (await first.renew_lease(lease)).is_ok()
        assert (await second.acquire_lease(PATH)).error.kind is LeaseErrorKind.HELD

    run_with_clients(scenario, timeout_ms=100)


def test_a_released_lease_is_free_at_once_and_a_taken_one_is_lost():
    async def scenario(platform, clock, first, second):
        lease = (await first.acquire_lease(PATH)).ok
        assert (await first.release_lease(lease)).is_ok()
        taken = (await second.acquire_lease(PATH)).ok
        assert taken.epoch == lease.epoch + 1
        assert (await first.renew_lease(lease)).error.kind is LeaseErrorKind.LOST
        assert (await first.acquire_lease(PATH)).error.retry_after_s == TTL_S
        clock.now += TTL_S
        assert (await first.acquire_lease(PATH)).ok.epoch == taken.epoch + 1

    run_with_clients(scenario)


def test_a_platform_with_an_older_copy_gives_no_lease_before_its_unseen_holder_lapsed():
    async def scenario(platform, clock, first, second):
        lease = (await first.acquire_lease(PATH)).ok
        await first.release_lease(lease)
        platform.table.take_snapshot()
        current = (await second.acquire_lease(PATH)).ok
        platform.table.restore_snapshot()
        floor = Epoch(current.epoch + 1)
        assert (await first.acquire_lease(PATH, floor)).error.kind is LeaseErrorKind.HELD
        clock.now += TTL_S
        assert (await first.acquire_lease(PATH, floor)).ok.epoch == floor + 1
        assert not holds(current, clock.now)

    run_with_clients(scenario)


def test_an_object_that_is_no_lease_is_left_alone():
    async def scenario(platform, clock, first, second):
        for data in (b"", b"[1]", b'{"epoch": 1}', b"[" * 9999):
            platform.table.write(PATH, data)
            assert (await first.acquire_lease(PATH)).error.kind is LeaseErrorKind.INVALID

    run_with_clients(scenario)
