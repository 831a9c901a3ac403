"""The leases of key ranges, kept as lease objects of the platform."""

from collections.abc import Callable

from expression import Result
from ragwort_common import Epoch, NodeId
from ragwort_platform import (
    Lease,
    LeaseClient,
    LeaseError,
    LeaseErrorKind,
    ObjectStore,
    StoreError,
    read_holder,
)
from ragwort_policy import OwnerMap
from ragwort_protocol import OwnerNotice

from ragwort_node._owner import LEASE_TTL_S, LeaseFailure, RangeLease

LEASES_PREFIX = "leases/keys/"
LEASE_MARGIN_S = 2.0
"""How much earlier than its end an owner stops to rely on a lease; it covers clock drift."""


class KeyLeases:
    """Acquires, renews and releases the leases of key ranges for one node."""

    def __init__(
        self, store: ObjectStore, node: NodeId, owners: OwnerMap, clock: Callable[[], float]
    ) -> None:
        self._owners = owners
        self._client = LeaseClient(
            store, node, clock, int(LEASE_TTL_S * 1000), int(LEASE_MARGIN_S * 1000)
        )

    async def acquire(self, key_range: int) -> Result[RangeLease, LeaseFailure]:
        """Take a lease that is free or has lapsed."""
        known = self._owners.find(key_range)
        floor = known.epoch if known else Epoch(0)
        got = await self._client.acquire_lease(_lease_path(key_range), floor)
        return _convert(got, key_range)

    async def renew(self, lease: RangeLease) -> Result[RangeLease, LeaseFailure]:
        """Hold a lease for longer, in the same epoch."""
        return _convert(await self._client.renew_lease(_make_lease(lease)), lease.key_range)

    async def release(self, lease: RangeLease) -> Result[None, LeaseFailure]:
        """Give a lease up at once."""
        released = await self._client.release_lease(_make_lease(lease))
        return released.map_error(_convert_error)


async def list_owners(store: ObjectStore) -> Result[list[OwnerNotice], StoreError]:
    """Return the owner of each range as the platform's lease objects name it."""
    listed = await store.list_objects(LEASES_PREFIX)
    return listed.map(
        lambda listing: [
            OwnerNotice(int(holder.path.removeprefix(LEASES_PREFIX)), holder.epoch, holder.holder)
            for item in listing.items
            if (holder := read_holder(item)) is not None
        ]
    )


def _lease_path(key_range: int) -> str:
    return f"{LEASES_PREFIX}{key_range:04d}"


def _make_lease(lease: RangeLease) -> Lease:
    return Lease(_lease_path(lease.key_range), lease.epoch, lease.version, lease.until_s)


def _convert(got: Result[Lease, LeaseError], key_range: int) -> Result[RangeLease, LeaseFailure]:
    return got.map(
        lambda lease: RangeLease(key_range, lease.epoch, lease.deadline, lease.version)
    ).map_error(_convert_error)


def _convert_error(error: LeaseError) -> LeaseFailure:
    return LeaseFailure.LOST if error.kind is LeaseErrorKind.LOST else LeaseFailure.UNAVAILABLE
