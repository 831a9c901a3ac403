"""The queue of membership updates that are piggybacked on other messages."""

from dataclasses import dataclass, field
from math import ceil, log2

from ragwort_common import NodeId
from ragwort_protocol import News, PeerState, measure_news

_URGENT = frozenset({PeerState.LEAVING, PeerState.DEAD, PeerState.LEFT})


@dataclass(slots=True)
class QueuedNews:
    """A membership update that is still to be piggybacked on further messages.

    ``sent`` counts the messages that have carried it; ``is_urgent`` gives it priority.
    """

    news: News
    size_bytes: int
    is_urgent: bool
    sent: int = 0


@dataclass(slots=True)
class NewsQueue:
    """Membership updates to spread, at most one for each peer."""

    items: dict[NodeId, QueuedNews] = field(default_factory=dict)


def add_news(queue: NewsQueue, news: News) -> None:
    """Queue an update; it replaces the queued update of the same peer."""
    is_urgent = news.state in _URGENT
    queue.items[NodeId(news.node_id)] = QueuedNews(news, measure_news(news), is_urgent)


def count_sends(peers: int) -> int:
    """Return how many messages of one node carry an update, for a fleet of this size."""
    return max(1, ceil(log2(peers + 1)))


def take_news(queue: NewsQueue, peers: int, limit_bytes: int) -> list[News]:
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
    for item in sorted(queue.items.values(), key=_order_of):
        if item.size_bytes > limit_bytes:
            continue
        limit_bytes -= item.size_bytes
        chosen.append(item.news)
        _count_sent(queue, item, peers)
    return chosen


def has_unsent(queue: NewsQueue) -> bool:
    """Return whether there are urgent updates that no message has carried yet."""
    return any(item.is_urgent and not item.sent for item in queue.items.values())


def take_unsent(queue: NewsQueue, limit_bytes: float) -> list[News]:
    """Return the urgent updates that no message has carried yet, and count them as sent once."""
    chosen = []
    for item in queue.items.values():
        if item.is_urgent and not item.sent and item.size_bytes <= limit_bytes:
            limit_bytes -= item.size_bytes
            item.sent = 1
            chosen.append(item.news)
    return chosen


def _order_of(item: QueuedNews) -> tuple[int, bool]:
    # Urgent updates lead by a few sends only, so that many of them cannot starve the others.
    return (item.sent - (4 if item.is_urgent else 0), item.news.profile is not None)


def _count_sent(queue: NewsQueue, item: QueuedNews, peers: int) -> None:
    item.sent += 1
    if item.sent >= count_sends(peers):
        del queue.items[NodeId(item.news.node_id)]
