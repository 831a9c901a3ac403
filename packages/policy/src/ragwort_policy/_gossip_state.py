"""The state that the parts of membership share, and the one way by which they send."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import log10
from typing import Protocol, TypeVar

from ragwort_common import NodeId, Region, Revision
from ragwort_protocol import Message, News, PeerState, Ping, ServiceLoad, encode_frame

from ragwort_policy._budget import (
    Budget,
    Traffic,
    measure_level,
    measure_tokens_bytes,
    try_spend,
)
from ragwort_policy._dissemination import NewsQueue, add_news, take_news
from ragwort_policy._peer import Peer, describe_peer, generation_of, raise_incarnation
from ragwort_policy._table import (
    Change,
    PeerTable,
    estimate_size,
    list_region,
    merge_news,
    set_state,
    start_suspicion,
)

_T = TypeVar("_T")

NEWS_RESERVE = 0.4

_FRAME_MARGIN_BYTES = 64
_LEAST_NEWS_BYTES = 64
_FAR_STATES = frozenset({PeerState.ALIVE, PeerState.LEAVING, PeerState.DEAD, PeerState.LEFT})


class RandomSource(Protocol):
    """The part of ``random.Random`` that membership uses."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def choice(self, seq: Sequence[_T]) -> _T:
        """Return one element of a sequence."""

    def sample(self, population: Sequence[_T], k: int) -> list[_T]:
        """Return distinct elements of a sequence."""

    def shuffle(self, x: list[_T]) -> None:
        """Put a list in random order."""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods, timeouts and sizes of membership.

    Attributes
    ----------
    probe_period_s
        Time between two probes of one node while the budget lasts.
    probe_timeout_s, relay_timeout_s
        How long to wait for a direct answer, and then for one through other peers.
    relays
        Peers that are asked to probe a silent one.
    suspicion_factor
        Suspicion timeout in probe periods, for each power of ten of the region's size; a region
        of fewer than a hundred counts as a hundred.
    push_fanout
        Peers to which urgent news is pushed at once.
    news_bytes
        Most bytes of news on one message.
    repair_period_s, repair_bytes
        Time between two exchanges of digests, and most bytes of one of their messages.
    reconnect_period_s
        Time between two tries to reach a peer that counts as dead.
    pause_s
        A gap in this node's own activity after which its view counts as stale.
    isolation_targets, isolation_hold_s
        Number of peers that fail in a row after which a node takes itself for cut off, and how
        long it then holds back from declaring deaths.
    load_period_s, load_notices_per_s
        Time between two reports of load, and the most of them that a bridge is to receive.
    cut_after_s
        Silence after which a region counts as unreachable.
    tombstone_s
        How long a peer that is gone is remembered; more than the longest cut.
    orphan_s
        How long a peer is gone before its announcement is removed from the platform.
    """

    probe_period_s: float = 0.5
    probe_timeout_s: float = 0.25
    relay_timeout_s: float = 0.4
    relays: int = 3
    suspicion_factor: float = 4.0
    push_fanout: int = 3
    news_bytes: int = 1400
    repair_period_s: float = 10.0
    repair_bytes: int = 2000
    reconnect_period_s: float = 10.0
    pause_s: float = 2.5
    isolation_targets: int = 5
    isolation_hold_s: float = 60.0
    load_period_s: float = 2.0
    load_notices_per_s: float = 180.0
    cut_after_s: float = 15.0
    tombstone_s: float = 86_400.0
    orphan_s: float = 600.0


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


def emit(
    membership: Membership,
    sends: list[Send],
    now: float,
    to: NodeId,
    message: Message,
    traffic: Traffic,
) -> bool:
    """Add a message to the sends if the budgets allow it, and return whether they did."""
    size_bytes = len(encode_frame(message))
    if not try_spend(_budgets_to(membership, to), now, traffic, size_bytes):
        return False
    membership.counters.sent_bytes += size_bytes
    sends.append(Send(to, message, size_bytes, traffic))
    return True


def fit_bytes(
    membership: Membership, now: float, to: NodeId, traffic: Traffic, wanted_bytes: int
) -> int:
    """Return how much a message to a peer may hold so that the budgets allow it now.

    Long messages are cut to this, since one that is longer than a budget's burst would never go.
    """
    room = min(
        measure_tokens_bytes(budget, now) - traffic.value * budget.burst_bytes
        for budget in _budgets_to(membership, to)
    )
    return min(wanted_bytes, int(room) - _FRAME_MARGIN_BYTES)


def pick_news(membership: Membership, now: float, to: NodeId, traffic: Traffic) -> list[News]:
    """Return the news to ride on a message to a peer.

    What is held against the receiver itself always rides along, so that it can refute it. The
    rest shrinks with the budget's level.
    """
    news = _accuse(membership, to)
    wanted_bytes = int(membership.settings.news_bytes * _share_for_news(membership, now))
    room = fit_bytes(membership, now, to, traffic, wanted_bytes)
    if room < _LEAST_NEWS_BYTES:
        return news
    news += take_news(membership.queue, len(membership.table.peers), room)
    return news


def _share_for_news(membership: Membership, now: float) -> float:
    # News stops well before probes and answers do. If it took the room for answers, live nodes
    # would be suspected, and the news of that would make matters worse.
    level = measure_level(membership.budget, now)
    return min(1.0, max(0.0, (level - NEWS_RESERVE) / NEWS_RESERVE))


def make_ping(membership: Membership, now: float, to: NodeId, sequence: int) -> Ping:
    """Return a probe for a peer, with news."""
    news = pick_news(membership, now, to, Traffic.PROBE)
    return Ping(sequence, membership.own.revision, news)


def take_in(membership: Membership, news: list[News], now: float, passes_on: bool = True) -> None:
    """Merge news from a peer, and queue for others what was new if it is to be passed on."""
    for item in news:
        if item.node_id == membership.own.node_id:
            defend(membership, item, now)
        else:
            learn(membership, item, now, passes_on)


def learn(membership: Membership, news: News, now: float, passes_on: bool = True) -> bool:
    """Merge news of another peer; return whether it changed anything."""
    change = merge_news(membership.table, news, now)
    if change is None:
        return False
    membership.changes.append(change)
    if passes_on:
        spread(membership, change.peer, news)
    if change.peer.state is PeerState.SUSPECT and change.peer.region == membership.own.region:
        start_suspicion(membership.table, change.peer, now + suspicion_timeout_s(membership))
    return True


def spread(membership: Membership, peer: Peer, news: News) -> None:
    """Queue news for the own region, and on a bridge for the other regions too."""
    add_news(membership.queue, news)
    is_far_news = news.state in _FAR_STATES and peer.region == membership.own.region
    if is_far_news and membership.bridging.is_bridge:
        add_news(membership.bridging.queue, news)


def note_revision(membership: Membership, revision: int, holder: NodeId) -> None:
    """Note a rules revision that a peer has in force, or that is only heard of."""
    peer = membership.table.peers.get(holder)
    if peer is not None and revision > peer.revision:
        peer.revision = Revision(revision)
    is_higher = revision > membership.highest_revision
    if is_higher or (revision == membership.highest_revision and not membership.highest_holder):
        membership.highest_revision = Revision(revision)
        membership.highest_holder = holder


def defend(membership: Membership, news: News, now: float) -> None:
    """Refute news of this node itself that would take it out of use.

    News older than what this node states is answered too: its sender has missed the refutation.
    """
    own = membership.own
    if own.state is PeerState.LEFT:
        return
    is_newer_news = (news.incarnation, news.state.value) > (own.incarnation, own.state.value)
    if not is_newer_news:
        if news.state is not PeerState.ALIVE and news.incarnation < own.incarnation:
            spread(membership, own, describe_peer(own, with_profile=False))
        return
    is_other_start = news.incarnation > own.incarnation
    incarnation = raise_incarnation(own.incarnation, news.incarnation)
    set_state(membership.table, own, incarnation, own.state, now)
    own.profile_generation = generation_of(incarnation)
    membership.counters.refutations += 1
    spread(membership, own, describe_peer(own, with_profile=is_other_start))


def suspicion_timeout_s(membership: Membership) -> float:
    """Return how long a suspected peer has to refute; it grows with the region's size."""
    settings = membership.settings
    size = estimate_size(membership.table, membership.own.region)
    return settings.suspicion_factor * max(2.0, log10(size + 1)) * settings.probe_period_s


def list_neighbours(membership: Membership) -> list[Peer]:
    """Return the peers of the own region that are not gone, without this node."""
    peers = list_region(membership.table, membership.own.region)
    return [peer for peer in peers if peer is not membership.own]


def _budgets_to(membership: Membership, to: NodeId) -> list[Budget]:
    peer = membership.table.peers.get(to)
    if peer is not None and peer.region != membership.own.region:
        return [membership.budget, membership.paid_budget]
    return [membership.budget]


def _accuse(membership: Membership, to: NodeId) -> list[News]:
    peer = membership.table.peers.get(to)
    if peer is None or peer.state in (PeerState.ALIVE, PeerState.LEAVING):
        return []
    return [describe_peer(peer, with_profile=False)]
