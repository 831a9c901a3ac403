"""The events that other tasks send to the gossip task."""

import asyncio
from dataclasses import dataclass, field

from ragwort_common import Incarnation, NodeId, Revision
from ragwort_protocol import Message, PeerState, PeerUpdate


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message was received from a peer."""

    sender: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A link to a peer broke or could not be opened."""

    node_id: NodeId


@dataclass(frozen=True, slots=True)
class PeersListed:
    """The announcements were listed from the platform."""

    announced: list[PeerUpdate]


@dataclass(frozen=True, slots=True)
class EarlierStartFound:
    """A previous start of this node announced a higher incarnation than the current one."""

    incarnation: Incarnation
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class SeedsFound:
    """Links to seed addresses were opened, which gave the ids of their nodes."""

    node_ids: list[NodeId]


@dataclass(frozen=True, slots=True)
class StateRequested:
    """The node has to announce a new state: leaving, alive again or left."""

    state: PeerState
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class RevisionApplied:
    """A rules revision came into force on this node."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class LoadChanged:
    """The number of free slots on the local server changed."""

    free_slots: int


GossipEvent = (
    PeerMessage
    | LinkLost
    | PeersListed
    | EarlierStartFound
    | SeedsFound
    | StateRequested
    | RevisionApplied
    | LoadChanged
)
