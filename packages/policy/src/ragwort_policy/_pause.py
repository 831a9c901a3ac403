"""What a node does after it was paused: it distrusts its view until a peer has refreshed it.

Nothing tells a process that it was stopped. It sees only that much more time has gone by on its
monotonic clock since it was last active than its period allows, so each way into membership checks
that first.
"""

from ragwort_policy._detector import is_isolated
from ragwort_policy._gossip_exchange import (
    list_neighbours,
)
from ragwort_policy._gossip_state import Membership


def note_activity(membership: Membership, now: float) -> None:
    """Record that the node is running; after a gap mark its view as stale.

    The time spent paused counts against no peer: open probes are dropped, and suspicions and the
    silence of regions are put off by the length of the gap.
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
        view.heard_at += gap


def is_current(membership: Membership, now: float) -> bool:
    """Return whether the node may act on its view of who owns what.

    It may not after a pause, not even before the first message or tick that follows it, nor while
    it hears nobody. A node that has no peers in its region has nobody to ask.
    """
    if now - membership.active_at > membership.settings.pause_s:
        return False
    if is_isolated(membership):
        return False
    is_alone = membership.has_met and not list_neighbours(membership)
    return membership.is_refreshed or is_alone
