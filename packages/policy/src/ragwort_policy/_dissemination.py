"""The queue of membership updates that are piggybacked on other messages."""

from dataclasses import dataclass, field
from math import ceil, log2

from ragwort_common import NodeId
from ragwort_protocol import PeerState, PeerUpdate, measure_update

_URGENT_STATES = frozenset({PeerState.LEAVING, PeerState.DEAD, PeerState.LEFT})


@dataclass(slots=True)
class QueuedUpdate:
    """A membership update that is still to be piggybacked on further messages.

    ``send_count`` counts the messages that have carried it; ``is_urgent`` gives it priority.
    """

    update: PeerUpdate
    size_bytes: int
    is_urgent: bool
    send_count: int = 0


@dataclass(slots=True)
class UpdateQueue:
    """Membership updates to spread, at most one for each peer."""

    items: dict[NodeId, QueuedUpdate] = field(default_factory=dict)


def enqueue_update(queue: UpdateQueue, update: PeerUpdate) -> None:
    """Queue an update; it replaces the queued update of the same peer."""
    is_urgent = update.state in _URGENT_STATES
    queue.items[NodeId(update.node_id)] = QueuedUpdate(update, measure_update(update), is_urgent)


def count_sends(peers: int) -> int:
    """Return how many messages of one node carry an update, for a fleet of this size."""
    return max(1, ceil(log2(peers + 1)))


def take_updates(queue: UpdateQueue, peers: int, limit_bytes: int) -> list[PeerUpdate]:
    """Return the updates for one message: the least often sent first, with a lead for urgent ones.

    Parameters
    ----------
    peers
        Size of the fleet, which determines how often an update is sent.
    limit_bytes
        Space left in the message.
    """
    if not queue.items:
        return []
    chosen = []
    for item in sorted(queue.items.values(), key=_get_sort_key):
        if item.size_bytes > limit_bytes:
            continue
        limit_bytes -= item.size_bytes
        chosen.append(item.update)
        _record_send(queue, item, peers)
    return chosen


def has_unsent_urgent(queue: UpdateQueue) -> bool:
    """Return whether there are urgent updates that no message has carried yet."""
    return any(item.is_urgent and not item.send_count for item in queue.items.values())


def take_unsent_urgent(queue: UpdateQueue, limit_bytes: float) -> list[PeerUpdate]:
    """Return the urgent updates that no message has carried yet, and count them as sent once."""
    chosen = []
    for item in queue.items.values():
        if item.is_urgent and not item.send_count and item.size_bytes <= limit_bytes:
            limit_bytes -= item.size_bytes
            item.send_count = 1
            chosen.append(item.update)
    return chosen


def _get_sort_key(item: QueuedUpdate) -> tuple[int, bool]:
    # Urgent updates lead by a few sends only, so that many of them cannot starve the others.
    return (item.send_count - (4 if item.is_urgent else 0), item.update.profile is not None)


def _record_send(queue: UpdateQueue, item: QueuedUpdate, peers: int) -> None:
    item.send_count += 1
    if item.send_count >= count_sends(peers):
        del queue.items[NodeId(item.update.node_id)]
