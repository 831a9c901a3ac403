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

from ragwort_node._composition._fleet_state import FleetStateComponents
from ragwort_node._composition._idempotency import IdempotencyComponents
from ragwort_node._composition._request_path import RequestPathComponents
from ragwort_node._gossip import PeerMessage, put_event


def route_message(
    request_path: RequestPathComponents,
    idempotency: IdempotencyComponents,
    fleet_state: FleetStateComponents,
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
            sent = link.send(ProbeReply(message.probe_id, request_path.gate.make_report()))
            counters.add("watching.probe_bytes_out", sent)
        case ProbeReply():
            request_path.prober.receive(link.peer, message)
        case ClaimRequest():
            idempotency.claim_exchange.receive_claim(link, message)
        case ClaimReply():
            idempotency.claim_exchange.receive_reply(message)
        case ClaimResult():
            idempotency.claim_exchange.receive_result(message)
        case OwnerNotice():
            idempotency.owner_exchange.receive(message)
        case RevisionNotice():
            fleet_state.configuration.receive_notice(link.peer, message)
        case _:
            put_event(fleet_state.gossip, PeerMessage(link.peer, message))
