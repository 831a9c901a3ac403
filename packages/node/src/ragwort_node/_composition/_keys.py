"""Builds the components that run calls with idempotency keys at most once."""

import asyncio
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import NodeId
from ragwort_policy import Membership, OwnerMap, is_current, list_alive
from ragwort_store import LeaseClient, read_boot_clock

from ragwort_node._claim_exchange import ClaimExchange
from ragwort_node._composition._path import PathParts
from ragwort_node._composition._shared import Shared
from ragwort_node._keyed_call import KeyedCalls
from ragwort_node._once import KeyClaims
from ragwort_node._owner import LEASE_MARGIN_MS, LEASE_TTL_MS, TICK_S, KeyOwner
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits
from ragwort_node._owner_news import OwnerNews

KEY_WRITES_PER_S = 100.0
"""Budget of platform writes for the journals of all key ranges in the fleet together."""


@dataclass(frozen=True, slots=True)
class KeyParts:
    """The owner of key ranges, and the components with which the entry claims keys."""

    news: OwnerNews
    owner: KeyOwner
    exchange: ClaimExchange
    claims: KeyClaims
    calls: KeyedCalls


def build_keys(
    shared: Shared, path: PathParts, get_membership: Callable[[], Membership]
) -> KeyParts:
    """Return the components that keep non-idempotent calls from running twice."""

    def list_others() -> list[NodeId]:
        alive = list_alive(get_membership())
        return [peer.node_id for peer in alive if peer.node_id != shared.node_id]

    def list_owner_nodes() -> list[NodeId]:
        # A claim whose key has no timestamp waits for a platform write, so owners in the
        # platform's region are preferred.
        alive = list_alive(get_membership())
        near = [peer for peer in alive if peer.region == shared.settings.platform.region]
        return [peer.node_id for peer in near or alive]

    owners = OwnerMap()
    ranges = shared.settings.node.key_ranges
    counters, store, send = shared.counters, shared.store, path.pool.send
    news = OwnerNews(owners, path.fence, list_others, send, counters, shared.random)
    owner = KeyOwner(
        shared.node_id,
        store,
        LeaseClient(store, shared.node_id, read_boot_clock, LEASE_TTL_MS, LEASE_MARGIN_MS),
        OwnerClocks(read_boot_clock, lambda: time.time_ns() // 1_000_000),
        OwnerLimits(writes_per_s=KEY_WRITES_PER_S / ranges),
        owners,
        list_owner_nodes,
        news.announce,
        ranges,
    )
    exchange = ClaimExchange(shared.node_id, owner, path.pool, counters)
    claims = KeyClaims(
        owners,
        lambda: uuid.uuid4().bytes,
        exchange.send_claim,
        exchange.send_result,
        shared.clock,
    )
    calls = KeyedCalls(claims, path.caller.run_call, ranges, news.want_list, counters)
    return KeyParts(news, owner, exchange, claims, calls)


async def keep_ranges(
    shared: Shared, keys: KeyParts, get_membership: Callable[[], Membership]
) -> None:
    """Renew and acquire key ranges until cancelled; pause while the view of peers is outdated."""
    while True:
        if is_current(get_membership(), shared.clock()):
            await keys.owner.tick()
        await asyncio.sleep(TICK_S)
