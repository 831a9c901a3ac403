"""A simulated network for the real membership policy, in virtual time.

The membership tests and the benchmark use it. It contains no policy: it delays, reorders,
duplicates or drops messages, and it stops, pauses and restarts nodes.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ragwort_common import NodeId
from ragwort_policy import (
    Membership,
    MembershipSettings,
    OutgoingMessage,
    add_announced,
    create_membership,
    first_incarnation,
    join_peers,
    make_budget,
    receive_message,
    tick_membership,
)
from ragwort_protocol import FrameReader, Message, PeerState, PeerUpdate, Profile, encode_frame

NODE_BYTES_PER_S = 14_000.0
CROSS_REGION_BYTES_PER_S = 8_000.0
TICK_S = 0.1
NEAR_DELAY_S = 0.001
FAR_DELAY_S = 0.03
WALL_START_MS = 1_700_000_000_000
DOMAINS = {"meseta": ("alajuela", "sanjose"), "norte": ("canas", "santacruz")}


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message in transit."""

    sender: NodeId
    to: NodeId
    message: Message
    frame: bytes


@dataclass
class Fleet:
    """The membership state of all nodes, and the messages between them.

    ``should_deliver`` decides whether a message is delivered, ``count_copies`` how many times it is
    delivered, and ``jitter_s`` is the largest random delay added to a message, which reorders
    messages.
    """

    settings: MembershipSettings = field(default_factory=MembershipSettings)
    seed: int = 1
    node_bytes_per_s: float = NODE_BYTES_PER_S
    jitter_s: float = 0.0
    now: float = 1000.0
    should_deliver: Callable[[Delivery], bool] = lambda delivery: True
    count_copies: Callable[[Delivery], int] = lambda delivery: 1
    on_send: Callable[[NodeId, OutgoingMessage], None] = lambda node_id, send: None
    nodes: dict[NodeId, Membership] = field(default_factory=dict)
    profiles: dict[NodeId, Profile] = field(default_factory=dict)
    down: set[NodeId] = field(default_factory=set)
    paused: dict[NodeId, list[Delivery]] = field(default_factory=dict)
    _events: list = field(default_factory=list)
    _count: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)

    def start(self, node_id: NodeId, profile: Profile, wall_step_ms: int = 0) -> Membership:
        """Start a node, or restart it without its earlier state."""
        now = self.now
        wall_ms = WALL_START_MS + int(now * 1000) + wall_step_ms
        budget = make_budget(self.node_bytes_per_s, now)
        cross_region_budget = make_budget(CROSS_REGION_BYTES_PER_S, now)
        incarnation = first_incarnation(wall_ms)
        node = create_membership(
            self.settings, node_id, profile, incarnation, budget, cross_region_budget, now
        )
        self.nodes[node_id] = node
        self.profiles[node_id] = profile
        self.down.discard(node_id)
        self.paused.pop(node_id, None)
        self._push(now + TICK_S * self.random.random(), node)
        return node

    def announce_all(self) -> None:
        """Give each node the announcements of all nodes, as the platform does."""
        updates = [
            PeerUpdate(node_id, node.own.incarnation, PeerState.ALIVE, node.own.profile)
            for node_id, node in self.nodes.items()
        ]
        for node_id, node in self.nodes.items():
            add_announced(node, updates, self.now)
            self.send(node_id, join_peers(node, self.now, self.random, []))

    def synchronize_all(self) -> None:
        """Give each node the complete peer table, as if the fleet had long been running."""
        self.announce_all()
        for node in self.nodes.values():
            node.is_refreshed = True
            node.queue.items.clear()
            node.bridging.queue.items.clear()
            node.changes.clear()

    def send(self, sender: NodeId, sends: list[OutgoingMessage]) -> None:
        """Send messages over the network."""
        for send in sends:
            self.on_send(sender, send)
            delivery = Delivery(sender, send.to, send.message, encode_frame(send.message))
            if not self.should_deliver(delivery):
                continue
            for _ in range(self.count_copies(delivery)):
                self._push(self.now + self._delay_s(delivery), delivery)

    def run(self, seconds: float) -> None:
        """Advance the virtual time and process the events that fall due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            if isinstance(event, Delivery):
                self._deliver(event)
            else:
                self._tick(event)
        self.now = end

    def pause(self, node_id: NodeId) -> None:
        """Suspend a node's process, as SIGSTOP does; its incoming messages are buffered."""
        self.paused.setdefault(node_id, [])

    def resume(self, node_id: NodeId) -> None:
        """Resume a paused process and deliver its buffered messages."""
        for delivery in self.paused.pop(node_id, []):
            self._push(self.now, delivery)
        self._push(self.now, self.nodes[node_id])

    def _tick(self, node: Membership) -> None:
        node_id = node.own.node_id
        is_current = self.nodes.get(node_id) is node
        if not is_current or node_id in self.down or node_id in self.paused:
            return
        self.send(node_id, tick_membership(node, self.now, self.random))
        self._push(self.now + TICK_S, node)

    def _deliver(self, delivery: Delivery) -> None:
        if delivery.to in self.down or delivery.to not in self.nodes:
            return
        if delivery.to in self.paused:
            self.paused[delivery.to].append(delivery)
            return
        node = self.nodes[delivery.to]
        for message in FrameReader().feed(delivery.frame):
            sends = receive_message(node, self.now, self.random, delivery.sender, message)
            self.send(delivery.to, sends)

    def _delay_s(self, delivery: Delivery) -> float:
        sender = self.profiles[delivery.sender].region
        to = self.profiles.get(delivery.to)
        is_far = to is not None and to.region != sender
        base_s = FAR_DELAY_S if is_far else NEAR_DELAY_S
        return base_s + self.jitter_s * self.random.random()

    def _push(self, at: float, event: Delivery | Membership) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, event))


def make_profile(index: int, services: int, domains: dict[str, tuple[str, ...]]) -> Profile:
    """Return the profile of a node; consecutive indices go to the failure domains in turn."""
    places = [(region, name) for region, names in domains.items() for name in names]
    region, domain = places[index % len(places)]
    host = f"10.{index >> 8 & 255}.{index & 255}.1"
    service = f"service-{index // len(places) % services:02d}"
    return Profile(service, region, domain, f"{host}:7000", f"{host}:8080", f"{host}:7001")


def make_fleet(
    size: int,
    services: int = 3,
    domains: dict[str, tuple[str, ...]] = DOMAINS,
    settings: MembershipSettings | None = None,
    seed: int = 1,
) -> Fleet:
    """Return a fleet whose nodes all know each other, as if it had long been running."""
    fleet = Fleet(settings or MembershipSettings(), seed)
    for index in range(size):
        node_id = NodeId(f"host-{index:04d}")
        fleet.start(node_id, make_profile(index, services, domains))
    fleet.synchronize_all()
    return fleet
