"""What other tasks tell the gossip task."""

import asyncio
from dataclasses import dataclass, field

from ragwort_common import Incarnation, NodeId, Revision
from ragwort_protocol import Message, News, PeerState


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message that a link has brought."""

    sender: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A link to a peer has broken or could not be opened."""

    node_id: NodeId


@dataclass(frozen=True, slots=True)
class PeersListed:
    """The platform has listed the announcements."""

    announced: list[News]


@dataclass(frozen=True, slots=True)
class EarlierStartFound:
    """An earlier start of this node has announced an incarnation above its present one."""

    incarnation: Incarnation
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class SeedsFound:
    """Seed addresses have been connected, and their nodes are known now."""

    node_ids: list[NodeId]


@dataclass(frozen=True, slots=True)
class StateWanted:
    """The node's server leaves, takes work again, or the node stops."""

    state: PeerState
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class RevisionApplied:
    """A rules revision has come into force on this node."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class LoadChanged:
    """The number of free slots on the server beside this node has changed."""

    free_slots: int


GossipEvent = (
    PeerMessage
    | LinkLost
    | PeersListed
    | EarlierStartFound
    | SeedsFound
    | StateWanted
    | RevisionApplied
    | LoadChanged
)
