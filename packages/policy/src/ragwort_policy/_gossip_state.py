"""The state that the parts of membership share."""

from dataclasses import dataclass, field

from ragwort_common import NodeId, Region, Revision
from ragwort_protocol import Message, ServiceLoad

from ragwort_policy._budget import Budget, Traffic
from ragwort_policy._dissemination import NewsQueue
from ragwort_policy._gossip_settings import MembershipSettings
from ragwort_policy._peer import Peer
from ragwort_policy._table import Change, PeerTable


@dataclass(slots=True)
class Send:
    """A message to put on the link to a peer; the budgets have been charged for it."""

    to: NodeId
    message: Message
    size_bytes: int
    traffic: Traffic


@dataclass(slots=True)
class PendingPing:
    """A probe that has not been answered.

    ``origin`` is the peer on whose behalf it was sent, with the sequence to answer it by.
    """

    target: NodeId
    deadline: float
    is_relayed: bool = False
    origin: NodeId | None = None
    origin_sequence: int = 0


@dataclass(slots=True)
class Probing:
    """State of the failure detector.

    ``silent`` holds the targets that have failed since any probe was last answered.
    """

    order: list[NodeId] = field(default_factory=list)
    next_at: float = 0.0
    sequence: int = 0
    pending: dict[int, PendingPing] = field(default_factory=dict)
    silent: set[NodeId] = field(default_factory=set)
    isolated_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """The last load that another region reported of a service, and when that was."""

    region: Region
    load: ServiceLoad
    heard_at: float


@dataclass(slots=True)
class RegionView:
    """What this node last heard of another region.

    ``reporter`` is the node there that last wrote to this one itself, at ``reported_at``.
    """

    heard_at: float
    origin: str = ""
    version: int = 0
    reporter: NodeId = NodeId("")
    reported_at: float = float("-inf")
    loads: dict[str, RegionLoad] = field(default_factory=dict)


@dataclass(slots=True)
class Bridging:
    """State of the exchange between regions; queue and loads are filled on bridges only.

    ``is_bridge`` is worked out once a tick.
    """

    is_bridge: bool = False
    next_load_at: float = 0.0
    next_report_at: float = 0.0
    next_repair_at: float = 0.0
    version: int = 0
    next_service: int = 0
    queue: NewsQueue = field(default_factory=NewsQueue)
    loads: dict[NodeId, int] = field(default_factory=dict)
    regions: dict[Region, RegionView] = field(default_factory=dict)


@dataclass(slots=True)
class GossipCounters:
    """Counts for statsd."""

    probes_failed: int = 0
    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    repairs: int = 0
    pauses: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0


@dataclass(slots=True)
class Membership:
    """All that one node knows of its peers, and what it is about to tell them.

    Attributes
    ----------
    own
        This node's own record, which stands in the table too.
    budget, paid_budget
        Budgets for all watching, and for what crosses between regions.
    has_met
        Whether the platform or a peer has told this node who its peers are since its start.
    is_refreshed
        False from a start or a pause until a peer has brought the table up to date.
    active_at
        When this node last did anything here, in seconds of its own clock.
    highest_revision, highest_holder
        Highest rules revision heard of, and a peer that has stated it itself; empty while it is
        known only from the relayed report of another region.
    free_slots
        Slots free on the server beside this node.
    """

    settings: MembershipSettings
    own: Peer
    budget: Budget
    paid_budget: Budget
    active_at: float
    next_repair_at: float
    next_reconnect_at: float
    next_housekeeping_at: float
    table: PeerTable = field(default_factory=PeerTable)
    queue: NewsQueue = field(default_factory=NewsQueue)
    probing: Probing = field(default_factory=Probing)
    bridging: Bridging = field(default_factory=Bridging)
    counters: GossipCounters = field(default_factory=GossipCounters)
    changes: list[Change] = field(default_factory=list)
    has_met: bool = False
    is_refreshed: bool = False
    highest_revision: Revision = Revision(0)
    highest_holder: NodeId = NodeId("")
    free_slots: int = 0
