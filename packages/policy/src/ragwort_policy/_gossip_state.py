"""The state shared by the parts of membership."""

from dataclasses import dataclass, field

from ragwort_common import NodeId, Region, Revision
from ragwort_protocol import Message, ServiceLoad

from ragwort_policy._budget import ByteBudget, TrafficClass
from ragwort_policy._dissemination import UpdateQueue
from ragwort_policy._gossip_settings import MembershipSettings
from ragwort_policy._peer import Peer
from ragwort_policy._table import Change, PeerTable


@dataclass(slots=True)
class OutgoingMessage:
    """A message to send to a peer; the budgets have already been charged for it."""

    to: NodeId
    message: Message
    size_bytes: int
    traffic: TrafficClass


@dataclass(slots=True)
class PendingPing:
    """A probe that has not been answered.

    ``origin`` is the peer that requested an indirect probe, ``origin_sequence`` the sequence number
    of its request.
    """

    target: NodeId
    deadline: float
    is_relayed: bool = False
    origin: NodeId | None = None
    origin_sequence: int = 0


@dataclass(slots=True)
class ProbingState:
    """State of the failure detector.

    ``failed_targets`` holds the targets whose probes have failed since any probe was last answered.
    """

    probe_order: list[NodeId] = field(default_factory=list)
    next_probe_at: float = 0.0
    sequence: int = 0
    pending: dict[int, PendingPing] = field(default_factory=dict)
    failed_targets: set[NodeId] = field(default_factory=set)
    isolated_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """The last load that another region reported for a service, and when it was received."""

    region: Region
    load: ServiceLoad
    received_at: float


@dataclass(slots=True)
class RegionView:
    """The last information received from another region.

    ``reporter`` is the node there that last sent a report directly to this one, at ``reported_at``.
    """

    received_at: float
    origin: str = ""
    version: int = 0
    reporter: NodeId = NodeId("")
    reported_at: float = float("-inf")
    loads: dict[str, RegionLoad] = field(default_factory=dict)


@dataclass(slots=True)
class BridgingState:
    """State of the exchange between regions; queue and loads are used on bridges only.

    ``is_bridge`` is computed once a tick.
    """

    is_bridge: bool = False
    next_load_at: float = 0.0
    next_report_at: float = 0.0
    next_repair_at: float = 0.0
    version: int = 0
    next_service: int = 0
    queue: UpdateQueue = field(default_factory=UpdateQueue)
    loads: dict[NodeId, int] = field(default_factory=dict)
    regions: dict[Region, RegionView] = field(default_factory=dict)


@dataclass(slots=True)
class GossipCounters:
    """Event and byte counts, exported to statsd."""

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
    """A node's view of its peers, and the updates that it has yet to send.

    Attributes
    ----------
    own
        This node's own record; the table holds the same object.
    budget, paid_budget
        Traffic budgets of all membership messages, and of those between regions.
    has_met
        Whether this node has received a list of peers from the platform or a peer since its start.
    is_refreshed
        False from a start or a pause until an exchange with a peer has brought the table up to
        date.
    active_at
        When this node last ran a tick or handled a message, in seconds of its monotonic clock.
    highest_revision, highest_holder
        Highest rules revision known, and a peer that has stated it itself; empty while it is known
        only from the relayed report of another region.
    free_slots
        Free slots of the server beside this node.
    """

    settings: MembershipSettings
    own: Peer
    budget: ByteBudget
    paid_budget: ByteBudget
    active_at: float
    next_repair_at: float
    next_reconnect_at: float
    next_housekeeping_at: float
    table: PeerTable = field(default_factory=PeerTable)
    queue: UpdateQueue = field(default_factory=UpdateQueue)
    probing: ProbingState = field(default_factory=ProbingState)
    bridging: BridgingState = field(default_factory=BridgingState)
    counters: GossipCounters = field(default_factory=GossipCounters)
    changes: list[Change] = field(default_factory=list)
    has_peer_list: bool = False
    is_refreshed: bool = False
    highest_revision: Revision = Revision(0)
    highest_holder: NodeId = NodeId("")
    free_slots: int = 0
