"""Detection of pauses of this process, after which its view is stale until a peer refreshes it.

A process is not notified that it was stopped. It can only observe that much more time than its tick
period has passed on its monotonic clock since it was last active, so each entry point of membership
checks that first.
"""

from ragwort_policy._detector import is_isolated
from ragwort_policy._gossip_exchange import (
    list_neighbours,
)
from ragwort_policy._gossip_state import Membership


def note_activity(membership: Membership, now: float) -> None:
    """Record that the node is running; after a gap, mark its view as stale.

    The pause does not count against any peer: pending probes are dropped, and the timeouts of
    suspicions and of regions are extended by the length of the gap.
    """
    gap = now - membership.active_at
    membership.active_at = now
    if gap <= membership.settings.pause_s:
        return
    membership.counters.pauses += 1
    membership.is_refreshed = False
    membership.next_repair_at = now
    membership.probing.pending.clear()
    for node_id in membership.table.suspects:
        membership.table.peers[node_id].suspect_until += gap
    for view in membership.bridging.regions.values():
        view.received_at += gap


def is_current(membership: Membership, now: float) -> bool:
    """Return whether the node may act on its view of its peers.

    It may not after a pause until a peer has refreshed the view, even before the first message or
    tick after the pause, nor while it is isolated. A node without peers in its region needs no
    refresh once it has received a list of peers.
    """
    if now - membership.active_at > membership.settings.pause_s:
        return False
    if is_isolated(membership):
        return False
    is_alone = membership.has_peer_list and not list_neighbours(membership)
    return membership.is_refreshed or is_alone
