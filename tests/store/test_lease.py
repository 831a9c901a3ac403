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
    StoredObject,
    StoreError,
    is_lease_valid,
)

PATH = "leases/a"
TTL_S = 10.0


@types.coroutine
def wait_for_outcome():
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
        if await wait_for_outcome() != "deliver":
            return Error(StoreError(ErrorKind.UNAVAILABLE, ""))
        found = self.data is not None
        result = Ok(StoredObject(path, self.version, self.data)) if found else Error(NOT_FOUND)
        lost = await wait_for_outcome() != "deliver"
        return Error(StoreError(ErrorKind.UNAVAILABLE, "")) if lost else result

    async def create(self, path, data):
        return await self.update(path, data, 0)

    async def update(self, path, data, expected_version):
        match await wait_for_outcome():
            case "refuse":
                return Error(StoreError(ErrorKind.UNAVAILABLE, ""))
            case "delay":
                self.delayed.append((data, expected_version))
                return Error(StoreError(ErrorKind.UNCERTAIN, ""))
        result = self.write(path, data, expected_version)
        lost = await wait_for_outcome() != "deliver"
        return Error(StoreError(ErrorKind.UNCERTAIN, "")) if lost else result

    def write(self, path, data, expected_version):
        if expected_version != self.version:
            return Error(StoreError(ErrorKind.CONFLICT, ""))
        previous, written = json.loads(self.data or b'{"nonce": ""}'), json.loads(data)
        if previous["nonce"] != written["nonce"]:
            assert (
                written["epoch"] > self.epochs[-1]
            ), "the epoch did not increase with a new holder"
        self.epochs.append(written["epoch"])
        self.version += 1
        self.data = data
        return Ok(StoredObject(path, self.version, data))


NOT_FOUND = StoreError(ErrorKind.NOT_FOUND, "")


@dataclass
class LeaseProcess:
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

    def has_valid_lease(self):
        return self.lease is not None and is_lease_valid(self.lease, self.read_clock())

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

    def step(self, outcome):
        if self.running is None:
            return
        try:
            self.running.send(outcome)
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
        self.processes = [
            LeaseProcess(self.store, "n1", "p1", 0.0, 0.96),
            LeaseProcess(self.store, "n1", "p2", 5e6, 1.04),
            LeaseProcess(self.store, "n2", "p3", -70.0, 1.0),
        ]

    @rule(index=indexes, kind=kinds, steps=st.integers(1, 3))
    def run_steps(self, index, kind, steps):
        self.processes[index].start(kind)
        for _ in range(steps):
            self.processes[index].step("deliver")

    @rule(index=indexes, outcome=st.sampled_from(["deliver"] * 4 + ["lose", "refuse", "delay"]))
    def step(self, index, outcome):
        self.processes[index].step(outcome)

    @rule(index=indexes, kind=kinds)
    def run_to_completion(self, index, kind):
        process = self.processes[index]
        process.start(kind)
        while process.running is not None:
            process.step("deliver")

    @rule(index=indexes)
    def take_over(self, index):
        """Retry until the time to live of the current holder has passed."""
        for _ in range(3):
            self.run_to_completion(index, "acquire")
            self.at_most_one_valid_holder()
            self.advance(TTL_S)
        self.run_to_completion(index, "acquire")

    @precondition(lambda self: self.store.delayed)
    @rule()
    def deliver_delayed(self):
        data, version = self.store.delayed.pop(0)
        self.store.write(PATH, data, version)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 5.0, TTL_S - 0.9, TTL_S, TTL_S + 0.5]))
    def advance(self, seconds):
        self.now += seconds
        for process in self.processes:
            process.now = self.now

    @invariant()
    def at_most_one_valid_holder(self):
        valid_holders = [process.nonce for process in self.processes if process.has_valid_lease()]
        assert len(valid_holders) <= 1, valid_holders

    def teardown(self):
        # After any faults, a process that keeps retrying gets the lease from a healthy platform.
        self.run_to_completion(0, "acquire")
        self.take_over(0)
        assert self.processes[0].has_valid_lease()
        self.at_most_one_valid_holder()


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


def test_a_write_whose_reply_was_lost_is_recognised_as_own():
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


def test_a_released_lease_is_free_at_once_and_lost_to_its_former_holder():
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


def test_a_platform_restored_from_a_snapshot_grants_no_lease_before_a_missing_holder_expires():
    async def scenario(platform, clock, first, second):
        lease = (await first.acquire_lease(PATH)).ok
        await first.release_lease(lease)
        platform.table.take_snapshot()
        current = (await second.acquire_lease(PATH)).ok
        platform.table.restore_snapshot()
        known_epoch = Epoch(current.epoch + 1)
        assert (await first.acquire_lease(PATH, known_epoch)).error.kind is LeaseErrorKind.HELD
        clock.now += TTL_S
        assert (await first.acquire_lease(PATH, known_epoch)).ok.epoch == known_epoch + 1
        assert not is_lease_valid(current, clock.now)

    run_with_clients(scenario)


def test_acquiring_an_object_that_is_not_a_lease_is_invalid():
    async def scenario(platform, clock, first, second):
        for data in (b"", b"[1]", b'{"epoch": 1}', b"[" * 9999):
            platform.table.write(PATH, data)
            assert (await first.acquire_lease(PATH)).error.kind is LeaseErrorKind.INVALID

    run_with_clients(scenario)
