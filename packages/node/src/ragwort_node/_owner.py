"""Acquires, renews and releases the leases of key ranges, and answers claims for them."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result
from ragwort_common import Epoch, NodeId
from ragwort_policy import KEY_RANGES, NOBODY, OwnerMap, choose_owner, count_excess
from ragwort_protocol import ClaimReply, ClaimRequest, ClaimResult, ClaimVerdict, OwnerNotice

from ragwort_node._range_owner import JournalStore, OwnerClocks, OwnerLimits, RangeKeeper

log = logging.getLogger(__name__)

LEASE_TTL_S = 60.0
RENEW_EVERY_S = 15.0
TICK_S = 5.0
NOT_OWNER_RETRY_MS = 2_000


class LeaseFailure(Enum):
    """Why a lease call failed: another node holds the lease, or the platform did not say."""

    LOST = "lost"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class RangeLease:
    """A held lease.

    Attributes
    ----------
    epoch
        Grows each time that the lease changes hands, and each time that a node starts anew.
    until_s
        The owner's monotonic time up to which it is held, counted from before the request.
    version
        Version of the lease's object.
    """

    key_range: int
    epoch: Epoch
    until_s: float
    version: int


class RangeLeases(Protocol):
    """The leases of the key ranges at the platform."""

    async def acquire(self, key_range: int) -> Result[RangeLease, LeaseFailure]:
        """Take a lease that is free or has lapsed."""

    async def renew(self, lease: RangeLease) -> Result[RangeLease, LeaseFailure]:
        """Hold a lease for longer, in the same epoch."""

    async def release(self, lease: RangeLease) -> Result[None, LeaseFailure]:
        """Give a lease up at once."""


@dataclass(slots=True)
class _Held:
    """An owned range: its lease, its state and the task that writes its journal."""

    lease: RangeLease
    keeper: RangeKeeper
    task: asyncio.Task[None]
    renewed_s: float


class KeyOwner:
    """Owns this node's key ranges; ``run`` is its task.

    Parameters
    ----------
    node
        This node.
    store, leases, clocks, limits
        The platform's objects and leases, the clocks, and the limits of each range.
    owners
        Last known owners, shared with the entry and fed by gossip.
    list_nodes
        Returns the nodes that may own ranges now: alive, not leaving, in the preferred region.
    announce
        Takes the news of an owned range, for gossip.
    """

    def __init__(
        self,
        node: NodeId,
        store: JournalStore,
        leases: RangeLeases,
        clocks: OwnerClocks,
        limits: OwnerLimits,
        owners: OwnerMap,
        list_nodes: Callable[[], Iterable[NodeId]],
        announce: Callable[[OwnerNotice], None],
        ranges: int = KEY_RANGES,
    ) -> None:
        self._node = node
        self._store = store
        self._leases = leases
        self._clocks = clocks
        self._limits = limits
        self._owners = owners
        self._list_nodes = list_nodes
        self._announce = announce
        self._ranges = ranges
        self._held: dict[int, _Held] = {}

    def list_held(self) -> list[OwnerNotice]:
        """Return the ranges that this node owns."""
        return [self._make_notice(held.lease) for held in self._held.values()]

    async def run(self) -> None:
        """Renew and acquire leases until cancelled."""
        while True:
            await self.tick()
            await self._clocks.sleep(TICK_S)

    async def tick(self) -> None:
        """Renew the leases that are due, give up what is lost or too much, take what is free."""
        await self._drop_lost()
        await self._release_excess()
        renewals = [self._renew(held) for held in self._held.values() if self._is_due(held)]
        free = [self._acquire(number) for number in self._list_wanted()]
        await asyncio.gather(*renewals, *free)

    async def answer_claim(self, claim: ClaimRequest) -> ClaimReply:
        """Decide a claim that an entry sent to this node."""
        held = self._held.get(claim.key_range)
        if held is None or claim.epoch > held.lease.epoch:
            return self._point_elsewhere(claim)
        return await held.keeper.answer_claim(claim)

    def take_result(self, result: ClaimResult) -> bool:
        """Take in how a claimed call ended; tell whether it was of use."""
        held = self._held.get(result.key_range)
        return held is not None and held.keeper.take_result(result)

    async def stop(self) -> None:
        """Release all ranges at once; call it after ``run`` has been cancelled."""
        await asyncio.gather(*[self._release(held) for held in list(self._held.values())])

    def _point_elsewhere(self, claim: ClaimRequest) -> ClaimReply:
        owner = self._owners.find(claim.key_range)
        known = owner is not None and owner.node not in (self._node, NOBODY)
        return ClaimReply(
            claim.attempt,
            ClaimVerdict.NOT_OWNER,
            owner.epoch if owner and known else 0,
            NOT_OWNER_RETRY_MS,
            hint=owner.node if owner and known else "",
        )

    def _list_wanted(self) -> list[int]:
        nodes = list(self._list_nodes())
        accepting = set(nodes)
        if self._node not in accepting:
            return []
        counts = self._owners.count_ranges()
        counts[self._node] = len(self._held)
        wanted = []
        for number in range(self._ranges):
            owner = self._find_known(number, accepting)
            if number in self._held or (owner is not None and owner != self._node):
                continue
            # A range that the others still take for this node's is acquired again in any case.
            chosen = owner or choose_owner(number, nodes, counts, self._ranges)
            assert chosen is not None
            counts[chosen] = counts.get(chosen, 0) + 1
            if chosen == self._node:
                wanted.append(number)
        return wanted

    def _find_known(self, number: int, accepting: set[NodeId]) -> NodeId | None:
        owner = self._owners.find(number)
        return owner.node if owner is not None and owner.node in accepting else None

    async def _acquire(self, number: int) -> None:
        got = await self._leases.acquire(number)
        if got.is_error():
            return
        lease = got.ok
        keeper = RangeKeeper(number, lease.epoch, self._store, self._clocks, self._limits)
        keeper.extend_lease(lease.until_s)
        task = asyncio.create_task(keeper.run(), name=f"key range {number}")
        self._held[number] = _Held(lease, keeper, task, self._clocks.now())
        self._owners.learn(number, self._node, lease.epoch)
        self._announce(self._make_notice(lease))

    def _is_due(self, held: _Held) -> bool:
        return self._clocks.now() - held.renewed_s >= RENEW_EVERY_S

    async def _renew(self, held: _Held) -> None:
        got = await self._leases.renew(held.lease)
        if got.is_ok():
            held.lease = got.ok
            held.renewed_s = self._clocks.now()
            held.keeper.extend_lease(held.lease.until_s)
            await held.keeper.drop_expired()
        elif got.error is LeaseFailure.LOST:
            log.warning("range %d: another node holds the lease", held.lease.key_range)
            self._forget(held)
            held.keeper.close()

    async def _drop_lost(self) -> None:
        for held in [held for held in self._held.values() if held.task.done()]:
            self._forget(held)
            await self._leases.release(held.lease)

    async def _release_excess(self) -> None:
        nodes = list(self._list_nodes())
        if self._node not in nodes:
            await self.stop()
            return
        excess = count_excess(len(self._held), len(nodes), self._ranges)
        for held in list(self._held.values())[:excess]:
            await self._release(held)

    async def _release(self, held: _Held) -> None:
        held.keeper.extend_lease(0.0)
        self._forget(held)
        await held.keeper.release()
        await self._leases.release(held.lease)
        self._owners.learn(held.lease.key_range, NOBODY, held.lease.epoch)
        self._announce(OwnerNotice(held.lease.key_range, held.lease.epoch, NOBODY))

    def _forget(self, held: _Held) -> None:
        held.task.cancel()
        self._held.pop(held.lease.key_range, None)

    def _make_notice(self, lease: RangeLease) -> OwnerNotice:
        return OwnerNotice(lease.key_range, lease.epoch, self._node)
