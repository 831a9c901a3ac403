"""Records of peers, and the order that decides which of two updates of a peer is newer.

An incarnation is the wall-clock time of the peer's start in milliseconds, shifted left to make
room for the number of times that the peer has refuted a suspicion since. The upper part, the
generation, identifies one start of the peer.
"""

from dataclasses import dataclass
from hashlib import blake2b

from ragwort_common import FailureDomain, Incarnation, NodeId, Region, Revision, ServiceName
from ragwort_protocol import PeerState, PeerUpdate, Profile

REFUTATION_BITS = 12
GONE_STATES = frozenset({PeerState.DEAD, PeerState.LEFT})

_RANK_BYTES = 8
_USABLE_STATES = frozenset({PeerState.ALIVE, PeerState.SUSPECT})


@dataclass(slots=True)
class Peer:
    """A node's record of one peer.

    Attributes
    ----------
    rank
        Hash of the node id, the same on every node; it determines elections and the peer's bucket.
    profile_generation
        Generation of the peer that the profile belongs to.
    revision
        Highest rules revision that the peer itself has stated to this node.
    changed_at
        When the state or incarnation last changed here, in seconds of this node's monotonic clock.
    suspect_until
        When an unrefuted suspicion becomes a death; infinite while there is none.
    """

    node_id: NodeId
    profile: Profile
    incarnation: Incarnation
    state: PeerState
    rank: int
    changed_at: float
    profile_generation: int
    revision: Revision = Revision(0)
    suspect_until: float = float("inf")

    @property
    def service(self) -> ServiceName:
        """Service of the server beside the peer."""
        return ServiceName(self.profile.service)

    @property
    def region(self) -> Region:
        """Region of the peer."""
        return Region(self.profile.region)

    @property
    def failure_domain(self) -> FailureDomain:
        """Failure domain of the peer."""
        return FailureDomain(self.profile.failure_domain)

    @property
    def is_usable(self) -> bool:
        """Whether the peer's own state allows giving it new work."""
        return self.state in _USABLE_STATES

    @property
    def is_gone(self) -> bool:
        """Whether the peer is known to have died or left."""
        return self.state in GONE_STATES


def first_incarnation(wall_ms: int, announced: int = 0) -> Incarnation:
    """Return the incarnation of a peer that is starting.

    Parameters
    ----------
    wall_ms
        Wall-clock time in milliseconds. It may have been set back since an earlier start.
    announced
        Incarnation in the peer's own earlier announcement; zero if there is none or it could not
        be read. In that case, an update from another peer that still holds the incarnation of the
        earlier start makes the starting one raise its own, with ``raise_incarnation``.
    """
    generation = max(wall_ms, get_generation(announced) + 1)
    return Incarnation(generation << REFUTATION_BITS)


def raise_incarnation(own: int, seen: int) -> Incarnation:
    """Return an incarnation that supersedes both the peer's own and one seen in an update."""
    if get_generation(seen) > get_generation(own):
        return Incarnation((get_generation(seen) + 1) << REFUTATION_BITS)
    return Incarnation(max(own, seen) + 1)


def get_generation(incarnation: int) -> int:
    """Return the generation of an incarnation, which identifies one start of the peer."""
    return incarnation >> REFUTATION_BITS


def is_newer(incarnation: int, state: PeerState, peer: Peer) -> bool:
    """Return whether an update with this incarnation and state supersedes a peer's record."""
    if incarnation != peer.incarnation:
        return incarnation > peer.incarnation
    return state.value > peer.state.value


def compute_rank(text: str) -> int:
    """Return a 64-bit hash of a text, the same on every node."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_RANK_BYTES).digest(), "big")


def describe_peer(peer: Peer, with_profile: bool) -> PeerUpdate:
    """Return an update with the content of a peer's record."""
    profile = peer.profile if with_profile else None
    return PeerUpdate(peer.node_id, peer.incarnation, peer.state, profile)
