"""Acquires, renews and releases the leases of key ranges, and answers claims for them."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from expression import Result
from ragwort_common import Epoch, NodeId
from ragwort_policy import KEY_RANGES, NOBODY, OwnerMap, choose_owner, count_excess
from ragwort_protocol import ClaimReply, ClaimRequest, ClaimResult, ClaimVerdict, OwnerNotice
from ragwort_store import Lease, LeaseError, LeaseErrorKind

from ragwort_node._journal_store import JournalStore, format_lease_path
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits
from ragwort_node._range_owner import KeyRangeOwner

log = logging.getLogger(__name__)

LEASE_TTL_MS = 60_000
LEASE_MARGIN_MS = 2_000
RENEW_EVERY_S = 15.0
TICK_S = 5.0
NOT_OWNER_RETRY_MS = 2_000


class RangeLeases(Protocol):
    """The lease calls that the owner needs; ``LeaseClient`` implements them."""

    async def acquire_lease(self, path: str, known_epoch: Epoch) -> Result[Lease, LeaseError]:
        """Acquire a lease that is free or has expired, in an epoch above ``known_epoch``."""

    async def renew_lease(self, lease: Lease) -> Result[Lease, LeaseError]:
        """Extend a lease in the same epoch."""

    async def release_lease(self, lease: Lease) -> Result[None, LeaseError]:
        """Release a lease immediately."""


@dataclass(slots=True)
class _HeldRange:
    """An owned range with its lease, its state and the task that writes its journal."""

    key_range: int
    lease: Lease
    range_owner: KeyRangeOwner
    task: asyncio.Task[None]
    renewed_s: float


class KeyOwner:
    """Manages the key ranges that this node owns; a task calls ``tick`` every ``TICK_S``.

    Parameters
    ----------
    node
        The id of this node.
    store, leases, clocks, limits
        Platform objects, platform leases, clocks, and the limits of each range.
    owners
        The last known owner of each range, shared with the entry and updated by gossip.
    list_nodes
        Returns the nodes that may own ranges now: alive, not leaving, in the preferred region.
    announce
        Called with a notice for peers when a range is acquired or released.
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
        self._held: dict[int, _HeldRange] = {}
        self._epoch_floors: dict[int, Epoch] = {}

    def list_held(self) -> list[OwnerNotice]:
        """Return a notice for each range that this node owns."""
        held = self._held.values()
        return [OwnerNotice(each.key_range, each.lease.epoch, self._node) for each in held]

    async def tick(self) -> None:
        """Drop lost ranges, release those above the fair share, renew leases, acquire ranges."""
        await self._remove_lost()
        await self._release_excess()
        renewals = [self._renew(held) for held in self._held.values() if self._is_due(held)]
        free = [self._acquire(key_range) for key_range in self._list_to_acquire()]
        await asyncio.gather(*renewals, *free)

    async def answer_claim(self, claim: ClaimRequest) -> ClaimReply:
        """Answer a claim that an entry sent to this node."""
        held = self._held.get(claim.key_range)
        if held is None or claim.epoch > held.lease.epoch:
            return self._reply_not_owner(claim)
        return await held.range_owner.answer_claim(claim)

    def record_result(self, result: ClaimResult) -> bool:
        """Record the result of a claimed call; return whether it matched a claim."""
        held = self._held.get(result.key_range)
        return held is not None and held.range_owner.record_result(result)

    async def stop(self) -> None:
        """Release all ranges; none is acquired again while the node is leaving."""
        await asyncio.gather(*[self._release(held) for held in list(self._held.values())])

    def _reply_not_owner(self, claim: ClaimRequest) -> ClaimReply:
        owner = self._owners.find(claim.key_range)
        known = owner is not None and owner.node not in (self._node, NOBODY)
        return ClaimReply(
            claim.attempt,
            ClaimVerdict.NOT_OWNER,
            owner.epoch if owner and known else 0,
            NOT_OWNER_RETRY_MS,
            hint=owner.node if owner and known else "",
        )

    def _list_to_acquire(self) -> list[int]:
        nodes = list(self._list_nodes())
        accepting = set(nodes)
        if self._node not in accepting:
            return []
        counts = self._owners.count_ranges()
        counts[self._node] = len(self._held)
        to_acquire = []
        for key_range in range(self._ranges):
            owner = self._find_known(key_range, accepting)
            if key_range in self._held or (owner is not None and owner != self._node):
                continue
            # Other nodes may still list this node as the owner of a range that it has lost. They do
            # not acquire that range, so this node does, even above its share.
            chosen = owner or choose_owner(key_range, nodes, counts, self._ranges)
            assert chosen is not None
            counts[chosen] = counts.get(chosen, 0) + 1
            if chosen == self._node:
                to_acquire.append(key_range)
        return to_acquire

    def _find_known(self, key_range: int, accepting: set[NodeId]) -> NodeId | None:
        owner = self._owners.find(key_range)
        return owner.node if owner is not None and owner.node in accepting else None

    async def _acquire(self, key_range: int) -> None:
        known = self._owners.find(key_range)
        known_epoch = max(
            self._epoch_floors.get(key_range, Epoch(0)), known.epoch if known else Epoch(0)
        )
        result = await self._leases.acquire_lease(format_lease_path(key_range), known_epoch)
        if result.is_error():
            return
        lease = result.ok
        range_owner = KeyRangeOwner(key_range, lease.epoch, self._store, self._clocks, self._limits)
        range_owner.set_lease_end(lease.deadline)
        task = asyncio.create_task(range_owner.run(), name=f"key range {key_range}")
        self._held[key_range] = _HeldRange(key_range, lease, range_owner, task, self._clocks.now())
        self._owners.record(key_range, self._node, lease.epoch)
        self._announce(OwnerNotice(key_range, lease.epoch, self._node))

    def _is_due(self, held: _HeldRange) -> bool:
        return self._clocks.now() - held.renewed_s >= RENEW_EVERY_S

    async def _renew(self, held: _HeldRange) -> None:
        result = await self._leases.renew_lease(held.lease)
        if result.is_ok():
            held.lease = result.ok
            held.renewed_s = self._clocks.now()
            held.range_owner.set_lease_end(held.lease.deadline)
            await held.range_owner.drop_expired()
        elif result.error.kind is LeaseErrorKind.LOST:
            log.warning("range %d: another node holds the lease", held.key_range)
            self._remove(held)
            held.range_owner.close()

    async def _remove_lost(self) -> None:
        for held in [held for held in self._held.values() if held.task.done()]:
            # The journal has a higher epoch, so the lease object was lost or replaced.
            self._epoch_floors[held.key_range] = held.range_owner.journal.seen_epoch
            self._remove(held)
            await self._leases.release_lease(held.lease)

    async def _release_excess(self) -> None:
        nodes = list(self._list_nodes())
        if self._node not in nodes:
            await self.stop()
            return
        excess = count_excess(len(self._held), len(nodes), self._ranges)
        for held in list(self._held.values())[:excess]:
            await self._release(held)

    async def _release(self, held: _HeldRange) -> None:
        held.range_owner.set_lease_end(0.0)
        self._remove(held)
        await held.range_owner.release()
        await self._leases.release_lease(held.lease)
        self._owners.record(held.key_range, NOBODY, held.lease.epoch)
        self._announce(OwnerNotice(held.key_range, held.lease.epoch, NOBODY))

    def _remove(self, held: _HeldRange) -> None:
        held.task.cancel()
        self._held.pop(held.key_range, None)
