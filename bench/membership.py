"""Measures the cost of membership and the propagation time of changes, at three fleet sizes.

At 24 and 720 nodes the policy of every node runs on a simulated network. At 7,200 nodes only one
node runs, with generated messages. Prints one JSON object per line. The baseline is a fleet in
which each node sends a heartbeat to all others in each probe period.
"""

import gc
import json
import sys
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable
from random import Random

from ragwort_common import NodeId
from ragwort_policy import (
    Membership,
    MembershipSettings,
    OutgoingMessage,
    add_announced,
    announce_leaving,
    create_membership,
    first_incarnation,
    join_peers,
    list_usable_peers,
    make_budget,
    receive_message,
    tick_membership,
)
from ragwort_protocol import (
    FrameReader,
    LoadNotice,
    PeerState,
    PeerUpdate,
    Ping,
    PingAck,
    encode_frame,
)

from bench.fleet import CROSS_REGION_BYTES_PER_S, NODE_BYTES_PER_S, Fleet, make_fleet, make_profile

SEED = 1
SERVICES = 81
REGIONS = {
    "meseta": ("alajuela", "sanjose", "heredia", "cartago"),
    "norte": ("canas", "santacruz", "liberia", "nicoya"),
}
WARM_UP_S = 12.0
IDLE_S = 20.0
MAX_WAIT_S = 90.0
STEP_S = 0.25
PARTITION_S = 3600.0
GONE_STATES = (PeerState.DEAD, PeerState.LEFT)


class TrafficMeter:
    """Sums the bytes that each node sends and receives, by second."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.began = time.process_time()
        self.start = fleet.now
        self.total: dict[tuple[NodeId, int], int] = defaultdict(int)
        self.sent: dict[tuple[NodeId, int], int] = defaultdict(int)
        self.cross_region_bytes: dict[int, int] = defaultdict(int)
        self.kinds: dict[str, int] = defaultdict(int)
        fleet.on_send = self._count

    def _count(self, node_id: NodeId, send: OutgoingMessage) -> None:
        second = int(self.fleet.now)
        self.total[node_id, second] += send.size_bytes
        self.sent[node_id, second] += send.size_bytes
        if send.to not in self.fleet.down:
            self.total[send.to, second] += send.size_bytes
        self.kinds[type(send.message).__name__] += send.size_bytes
        profiles = self.fleet.profiles
        if send.to in profiles and profiles[send.to].region != profiles[node_id].region:
            self.cross_region_bytes[second] += send.size_bytes


def report(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Print one result as a line of JSON."""
    ratio = None if not baseline else round(value / baseline, 4)
    line = {
        "name": f"membership {name}",
        "value": round(value, 4),
        "unit": unit,
        "baseline": baseline and round(baseline, 4),
        "ratio": ratio,
        "seed": SEED,
    }
    print(json.dumps(line), flush=True)


def measure_fleet(size: int, services: int) -> None:
    """Measure one size: idle, a node that leaves, one that fails, a domain lost and restarted."""
    settings = MembershipSettings()
    fleet = make_fleet(size, services, REGIONS, settings, SEED)
    fleet.run(WARM_UP_S)
    _measure_idle(fleet, size, settings)
    ids = list(fleet.nodes)
    _measure_leave(fleet, ids[1], size)
    _measure_death(fleet, {ids[2]}, f"{size} death")
    domain = fleet.profiles[ids[0]].failure_domain
    lost = {name for name in ids if fleet.profiles[name].failure_domain == domain}
    _measure_death(fleet, lost, f"{size} domain lost ({len(lost)} nodes)")
    _measure_return(fleet, lost, size)


def _measure_idle(fleet: Fleet, size: int, settings: MembershipSettings) -> None:
    meter = TrafficMeter(fleet)
    began = time.process_time()
    fleet.run(IDLE_S)
    spent = time.process_time() - began
    per_node = defaultdict(int)
    for (node_id, _), count in meter.total.items():
        per_node[node_id] += count
    rates = sorted(count / IDLE_S for count in per_node.values())
    heartbeat = len(encode_frame(Ping(1000, 100, [])))
    baseline = 2 * (size - 1) * heartbeat / settings.probe_period_s
    report(f"{size} bytes sent and received, mean", sum(rates) / size, "B/s/node", baseline)
    report(f"{size} bytes sent and received, most", rates[-1], "B/s/node", baseline)
    cross_region_rate = sum(meter.cross_region_bytes.values()) / IDLE_S
    cross_region_baseline = (size / 2) ** 2 * 2 * heartbeat / settings.probe_period_s
    report(f"{size} paid link, both ways", cross_region_rate, "B/s", cross_region_baseline)
    share = 100 * spent / IDLE_S / size
    report(f"{size} processor time, fake network included", share, "% of a core/node")
    suspicions = sum(node.counters.suspicions for node in fleet.nodes.values())
    report(f"{size} suspicions in quiet times", suspicions, "count")
    for kind, count in sorted(meter.kinds.items()):
        report(f"{size} sent as {kind}", count / IDLE_S / size, "B/s/node")


def _measure_leave(fleet: Fleet, node_id: NodeId, size: int) -> None:
    fleet.send(node_id, announce_leaving(fleet.nodes[node_id], fleet.now, fleet.random))
    _report_propagation(fleet, f"{size} leave", {node_id}, (PeerState.LEAVING,))


def _measure_death(fleet: Fleet, dead: set[NodeId], name: str) -> None:
    before = _count_deaths(fleet)
    meter = TrafficMeter(fleet)
    fleet.down |= dead
    _report_propagation(fleet, name, dead, GONE_STATES)
    _report_traffic(meter, name)
    declared = _count_deaths(fleet) - before
    report(f"{name}, deaths declared by their finders", declared, "count")


def _measure_return(fleet: Fleet, lost: set[NodeId], size: int) -> None:
    name = f"{size} {len(lost)} nodes restarted at once"
    meter = TrafficMeter(fleet)
    up = [node_id for node_id in fleet.nodes if node_id not in fleet.down]
    updates = [
        PeerUpdate(node_id, fleet.nodes[node_id].own.incarnation, PeerState.ALIVE, profile)
        for node_id, profile in fleet.profiles.items()
    ]
    for node_id in sorted(lost):
        node = fleet.start(node_id, fleet.profiles[node_id])
        add_announced(node, updates, fleet.now)
    fleet.run(0.5)
    for node_id in sorted(lost):
        node = fleet.nodes[node_id]
        fleet.send(node_id, join_peers(node, fleet.now, fleet.random, up[:1]))
    _report_propagation(fleet, name, lost, (PeerState.ALIVE,))
    _report_traffic(meter, name)


def _report_propagation(
    fleet: Fleet, name: str, targets: set[NodeId], wanted: tuple[PeerState, ...]
) -> None:
    observers = [
        node for node_id, node in fleet.nodes.items() if node_id not in fleet.down | targets
    ]
    began = fleet.now
    times: list[float] = []
    waiting = observers
    while waiting and fleet.now - began < MAX_WAIT_S:
        fleet.run(STEP_S)
        unaware = [node for node in waiting if not _sees_states(node, targets, wanted)]
        times += [fleet.now - began] * (len(waiting) - len(unaware))
        waiting = unaware
    if times:
        report(f"{name}, known to half", times[(len(observers) - 1) // 2 : len(times)][0], "s")
        report(f"{name}, known to the last", times[-1], "s")
    if waiting:
        report(f"{name}, not known to", len(waiting), "nodes")


def _sees_states(node: Membership, targets: set[NodeId], wanted: tuple[PeerState, ...]) -> bool:
    peers = node.table.peers
    return all(target in peers and peers[target].state in wanted for target in targets)


def _report_traffic(meter: TrafficMeter, name: str) -> None:
    report(f"{name}, sent in one second, most of any node", max(meter.sent.values()), "B")
    report(f"{name}, sent and received in one second, most", max(meter.total.values()), "B")
    seconds = len({second for _, second in meter.total})
    nodes = len({node_id for node_id, _ in meter.total})
    mean = sum(meter.total.values()) / seconds / nodes
    report(f"{name}, sent and received, mean", mean, "B/s/node")
    spent = time.process_time() - meter.began
    share = 100 * spent / (meter.fleet.now - meter.start) / nodes
    report(f"{name}, processor time, fake network included", share, "% of a core/node")
    report(f"{name}, paid link in one second, most", max(meter.cross_region_bytes.values()), "B")


def measure_partition(size: int) -> None:
    """Partition the regions for an hour, with one failed and one new node on each side."""
    fleet = make_fleet(size, 3, REGIONS, seed=SEED)
    fleet.run(WARM_UP_S)
    profiles = fleet.profiles
    fleet.should_deliver = lambda item: profiles[item.sender].region == profiles[item.to].region
    fleet.run(60.0)
    ids = list(fleet.nodes)
    fleet.down |= {ids[0], ids[-1]}
    for index, old in enumerate((ids[0], ids[-1])):
        name = NodeId(f"host-{9000 + index}")
        node = fleet.start(name, profiles[old])
        fleet.run(1.0)
        near = [peer for peer in ids[1:-1] if profiles[peer].region == profiles[old].region]
        fleet.send(name, join_peers(node, fleet.now, fleet.random, near[:1]))
    fleet.run(PARTITION_S)
    up = {name for name in fleet.nodes if name not in fleet.down}
    false_deaths = sum(
        fleet.nodes[one].table.peers[two].is_gone
        for one in up
        for two in up
        if two in fleet.nodes[one].table.peers
    )
    report(f"{size} cut for an hour, live nodes taken for dead", false_deaths, "count")
    meter = TrafficMeter(fleet)
    fleet.should_deliver = lambda item: True
    began = fleet.now
    while fleet.now - began < MAX_WAIT_S and not _views_agree(fleet, up):
        fleet.run(STEP_S)
    report(f"{size} cut for an hour, joined again after", fleet.now - began, "s")
    cross_region_bytes = sum(meter.cross_region_bytes.values())
    report(f"{size} cut for an hour, paid link until joined", cross_region_bytes, "B")


def _count_deaths(fleet: Fleet) -> int:
    return sum(node.counters.deaths for node in fleet.nodes.values())


def _views_agree(fleet: Fleet, up: set[NodeId]) -> bool:
    return all({peer.node_id for peer in list_usable_peers(fleet.nodes[name])} == up for name in up)


def measure_node(size: int) -> None:
    """Measure one node among ``size`` peers with generated messages."""
    random = Random(SEED)
    gc.collect()
    tracemalloc.start()
    node, names = _make_node(size)
    state = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    report(f"{size} state", state / size, "B/peer")
    settings = node.settings
    node, names = _make_node(size)
    now = 1000.0
    quiet = _time_node(node, random, now, 60.0, settings, names, [])
    report(f"{size} one node, processor time, quiet", quiet, "% of a core")
    node, names = _make_node(size)
    dead = [PeerUpdate(name, 1 << 40, PeerState.DEAD) for name in names[: size // 8]]
    busy = _time_node(node, random, now, 60.0, settings, names, dead)
    report(f"{size} one node, processor time, an eighth dies", busy, "% of a core")


def _make_node(size: int) -> tuple[Membership, list[NodeId]]:
    names = [NodeId(f"host-{index:04d}") for index in range(size)]
    now = 1000.0
    node = create_membership(
        MembershipSettings(),
        names[0],
        make_profile(0, SERVICES, REGIONS),
        first_incarnation(0),
        make_budget(NODE_BYTES_PER_S, now),
        make_budget(CROSS_REGION_BYTES_PER_S, now),
        now,
    )
    updates = [
        PeerUpdate(name, 1 << 30, PeerState.ALIVE, make_profile(index, SERVICES, REGIONS))
        for index, name in enumerate(names)
        if index
    ]
    add_announced(node, updates, now)
    node.is_refreshed = True
    node.queue.items.clear()
    return node, names


def _time_node(
    node: Membership,
    random: Random,
    start: float,
    seconds: float,
    settings: MembershipSettings,
    names: list[NodeId],
    dead_updates: list[PeerUpdate],
) -> float:
    """Return the processor time, as a percentage of a core, that the node uses.

    It handles ticks, pings, acknowledgements and the load notices that a bridge receives.
    """
    now = start
    sequence = 0
    pending: list[OutgoingMessage] = []
    reader = FrameReader()
    peers = [name for name in names[1:] if node.table.peers[name].region == node.own.region]
    spent = 0.0
    while now < start + seconds:
        now += 0.1
        incoming = _make_incoming(pending, random, now, peers, dead_updates)
        frames = [(sender, encode_frame(message)) for sender, message in incoming]
        sequence += 1
        began = time.process_time()
        pending = tick_membership(node, now, random)
        for sender, frame in frames:
            for message in reader.feed(frame):
                pending += receive_message(node, now, random, sender, message)
        for send in pending:
            encode_frame(send.message)
        spent += time.process_time() - began
    return 100 * spent / seconds


def _make_incoming(
    pending: list[OutgoingMessage],
    random: Random,
    now: float,
    peers: list[NodeId],
    dead_updates: list[PeerUpdate],
) -> list:
    incoming: list = []
    for send in pending:
        if isinstance(send.message, Ping):
            incoming.append((send.to, PingAck(send.message.sequence, 0, dead_updates[:30])))
    if int(now * 10) % 5 == 0:
        incoming.append((random.choice(peers), Ping(1, 0, dead_updates[:30])))
    del dead_updates[:30]
    notices = min(180.0, len(peers) / 2) / 10
    incoming += [(random.choice(peers), LoadNotice(5)) for _ in range(int(notices))]
    return incoming


def main(sizes: Callable[[], list[str]] = lambda: sys.argv[1:]) -> None:
    """Run the named fleet sizes, or all of them if none is named."""
    chosen = [int(size) for size in sizes()] or [24, 720, 7200]
    for size in chosen:
        if size <= 1000:
            measure_fleet(size, SERVICES if size > 100 else 3)
        if size < 100:
            measure_partition(size)
        measure_node(size)


if __name__ == "__main__":
    main()
