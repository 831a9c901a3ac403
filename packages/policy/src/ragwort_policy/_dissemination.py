"""The queue of news that rides on messages sent anyway."""

from dataclasses import dataclass, field
from math import ceil, log2

from ragwort_common import NodeId
from ragwort_protocol import News, PeerState, measure_news

_URGENT = frozenset({PeerState.LEAVING, PeerState.DEAD, PeerState.LEFT})


@dataclass(slots=True)
class QueuedNews:
    """News that waits for further messages to ride on.

    ``sent`` counts the messages that have carried it; ``is_urgent`` puts it before other news.
    """

    news: News
    size_bytes: int
    is_urgent: bool
    sent: int = 0


@dataclass(slots=True)
class NewsQueue:
    """News to pass on, at most one piece for each peer."""

    items: dict[NodeId, QueuedNews] = field(default_factory=dict)


def add_news(queue: NewsQueue, news: News) -> None:
    """Queue news; it replaces what is queued of the same peer."""
    is_urgent = news.state in _URGENT
    queue.items[NodeId(news.node_id)] = QueuedNews(news, measure_news(news), is_urgent)


def count_sends(peers: int) -> int:
    """Return how many messages of one node carry a piece of news, for a fleet of this size."""
    return max(1, ceil(log2(peers + 1)))


def take_news(queue: NewsQueue, peers: int, limit_bytes: int) -> list[News]:
    """Return the news for one message: urgent first, then what was sent least often.

    Parameters
    ----------
    peers
        Size of the fleet, from which the number of sends follows.
    limit_bytes
        Room in the message.
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
    """Return whether there is urgent news that no message has carried yet."""
    return any(item.is_urgent and not item.sent for item in queue.items.values())


def take_unsent(queue: NewsQueue, limit_bytes: float) -> list[News]:
    """Return the urgent news that no message has carried yet, to be pushed at once."""
    chosen = []
    for item in queue.items.values():
        if item.is_urgent and not item.sent and item.size_bytes <= limit_bytes:
            limit_bytes -= item.size_bytes
            item.sent = 1
            chosen.append(item.news)
    return chosen


def _order_of(item: QueuedNews) -> tuple[int, bool]:
    # Urgent news goes ahead by a few sends only, so that a storm of it cannot hold back the rest.
    return (item.sent - (4 if item.is_urgent else 0), item.news.profile is not None)


def _count_sent(queue: NewsQueue, item: QueuedNews, peers: int) -> None:
    item.sent += 1
    if item.sent >= count_sends(peers):
        del queue.items[NodeId(item.news.node_id)]
