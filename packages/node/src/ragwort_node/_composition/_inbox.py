"""Routes messages from peers, other than calls, to the components that handle them."""

from ragwort_common import Counters
from ragwort_protocol import (
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    Message,
    OwnerNotice,
    Probe,
    ProbeReply,
    RevisionNotice,
)
from ragwort_transport import Link

from ragwort_node._composition._keys import KeyParts
from ragwort_node._composition._path import PathParts
from ragwort_node._composition._watching import WatchingParts
from ragwort_node._gossip import PeerMessage, put_event


def route_message(
    path: PathParts,
    keys: KeyParts,
    watching: WatchingParts,
    counters: Counters,
    link: Link,
    message: Message,
) -> None:
    """Pass a message received on a link to the component that handles it."""
    if link.peer is None:
        counters.add("link.unexpected_messages")
        return
    match message:
        case Probe():
            sent = link.send(ProbeReply(message.probe_id, path.gate.make_report()))
            counters.add("watching.probe_bytes_out", sent)
        case ProbeReply():
            path.prober.receive(link.peer, message)
        case ClaimRequest():
            keys.exchange.receive_claim(link, message)
        case ClaimReply():
            keys.exchange.receive_reply(message)
        case ClaimResult():
            keys.exchange.receive_result(message)
        case OwnerNotice():
            keys.news.receive(message)
        case RevisionNotice():
            watching.configuration.hear_notice(link.peer, message)
        case _:
            put_event(watching.gossip, PeerMessage(link.peer, message))
