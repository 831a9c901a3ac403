"""Builds the components that run calls with idempotency keys at most once."""

import asyncio
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import NodeId
from ragwort_policy import Membership, OwnerMap, is_current, list_usable_peers
from ragwort_store import LeaseClient, read_boot_clock

from ragwort_node._claim_exchange import ClaimExchange
from ragwort_node._composition._context import NodeContext
from ragwort_node._composition._request_path import RequestPathComponents
from ragwort_node._key_claims import KeyClaims
from ragwort_node._keyed_call import KeyedCalls
from ragwort_node._owner import LEASE_MARGIN_MS, LEASE_TTL_MS, TICK_S, KeyOwner
from ragwort_node._owner_exchange import OwnerExchange
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits

KEY_WRITES_PER_S = 100.0
"""Budget of platform writes for the journals of all key ranges in the fleet together."""


@dataclass(frozen=True, slots=True)
class IdempotencyComponents:
    """The owner of key ranges, and the components with which the entry claims keys."""

    owner_exchange: OwnerExchange
    owner: KeyOwner
    claim_exchange: ClaimExchange
    claims: KeyClaims
    calls: KeyedCalls


def build_idempotency(
    context: NodeContext,
    request_path: RequestPathComponents,
    get_membership: Callable[[], Membership],
) -> IdempotencyComponents:
    """Return the components that keep non-idempotent calls from running twice."""

    def list_other_nodes() -> list[NodeId]:
        alive = list_usable_peers(get_membership())
        return [peer.node_id for peer in alive if peer.node_id != context.node_id]

    def list_eligible_owners() -> list[NodeId]:
        # A claim whose key has no timestamp waits for a platform write, so owners in the
        # platform's region are preferred.
        alive = list_usable_peers(get_membership())
        in_region = [peer for peer in alive if peer.region == context.settings.platform.region]
        return [peer.node_id for peer in in_region or alive]

    owners = OwnerMap()
    ranges = context.settings.node.key_ranges
    counters, store, send = context.counters, context.store, request_path.pool.send
    owner_exchange = OwnerExchange(
        owners, request_path.fence, list_other_nodes, send, counters, context.random
    )
    owner = KeyOwner(
        context.node_id,
        store,
        LeaseClient(store, context.node_id, read_boot_clock, LEASE_TTL_MS, LEASE_MARGIN_MS),
        OwnerClocks(read_boot_clock, lambda: time.time_ns() // 1_000_000),
        OwnerLimits(writes_per_s=KEY_WRITES_PER_S / ranges),
        owners,
        list_eligible_owners,
        owner_exchange.announce,
        ranges,
    )
    claim_exchange = ClaimExchange(context.node_id, owner, request_path.pool, counters)
    claims = KeyClaims(
        owners,
        lambda: uuid.uuid4().bytes,
        claim_exchange.send_claim,
        claim_exchange.send_result,
        context.clock,
    )
    calls = KeyedCalls(
        claims, request_path.dispatcher.run_call, ranges, owner_exchange.request_listing, counters
    )
    return IdempotencyComponents(owner_exchange, owner, claim_exchange, claims, calls)


async def maintain_ranges(
    context: NodeContext,
    idempotency: IdempotencyComponents,
    get_membership: Callable[[], Membership],
) -> None:
    """Renew and acquire key ranges until cancelled; pause while the view of peers is outdated."""
    while True:
        if is_current(get_membership(), context.clock()):
            await idempotency.owner.tick()
        await asyncio.sleep(TICK_S)
