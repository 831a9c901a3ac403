"""Stateful test of membership against a simple oracle of which nodes are up."""

from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from ragwort_common import NodeId
from ragwort_policy import (
    MembershipSettings,
    add_announced,
    announce_leaving,
    announce_resumed,
    drain_changes,
    is_current,
    join_peers,
)
from ragwort_policy._digest import TableDigest, toggle_entry
from ragwort_protocol import PeerState, PeerUpdate

from bench.fleet import DOMAINS, Fleet, make_profile

LIMIT_BYTES_PER_S = 4_000
SIZE = 7
IDS = [NodeId(f"host-{index}") for index in range(SIZE)]
SETTINGS = MembershipSettings(reconnect_period_s=4.0, repair_period_s=4.0, isolation_hold_s=8.0)
nodes = st.sampled_from(IDS)


class MembershipMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.fleet = Fleet(SETTINGS, seed, node_bytes_per_s=LIMIT_BYTES_PER_S)
        self.cut: set[frozenset] = set()
        self.loss = self.duplication = 0.0
        self.fleet.should_deliver = self.does_pass
        self.fleet.count_copies = lambda delivery: 1 + (
            self.fleet.random.random() < self.duplication
        )
        self.fleet.on_send = self.check_window
        self.windows = {name: deque() for name in IDS}
        self.seen: dict[tuple[NodeId, NodeId], tuple[int, int]] = {}
        self.leaving: set[NodeId] = set()
        for index, name in enumerate(IDS):
            self.fleet.start(name, make_profile(index, 2, DOMAINS))
        self.fleet.synchronize_all()

    def does_pass(self, delivery):
        pair = frozenset((delivery.sender, delivery.to))
        return pair not in self.cut and self.fleet.random.random() >= self.loss

    def check_window(self, node_id, send):
        window = self.windows[node_id]
        window.append((self.fleet.now, send.size_bytes))
        while window[0][0] <= self.fleet.now - 1:
            window.popleft()
        assert sum(size for _, size in window) <= LIMIT_BYTES_PER_S

    def is_running(self, name):
        return name not in self.fleet.down and name not in self.fleet.paused

    def join(self, name):
        # Like the node's task, which contacts the seeds until the view is current.
        node = self.fleet.nodes[name]
        self.fleet.send(name, join_peers(node, self.fleet.now, self.fleet.random, IDS[:3]))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0, 12.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), duplication=st.sampled_from([0.0, 0.3]))
    def disturb(self, loss, duplication):
        self.loss, self.duplication = loss, duplication
        self.fleet.jitter_s = loss

    @rule(name=nodes)
    def stop_or_start(self, name):
        if name not in self.fleet.down:
            self.fleet.down.add(name)
            self.fleet.paused.pop(name, None)
            self.leaving.discard(name)
            return
        # A restarted node has an empty table, so it may accept updates that its earlier start had
        # found outdated.
        self.seen = {key: held for key, held in self.seen.items() if key[0] != name}
        step_ms = self.fleet.random.choice([0, -60_000, 60_000])
        node = self.fleet.start(name, make_profile(IDS.index(name), 2, DOMAINS), step_ms)
        if self.fleet.random.random() < 0.5:
            listed = [
                PeerUpdate(other, peer.own.incarnation, PeerState.ALIVE, peer.own.profile)
                for other, peer in self.fleet.nodes.items()
            ]
            add_announced(node, listed, self.fleet.now)
        self.join(name)

    @rule(name=nodes)
    def pause_or_wake(self, name):
        if name in self.fleet.paused:
            self.fleet.resume(name)
        elif name not in self.fleet.down:
            self.fleet.pause(name)

    @rule(one=nodes, two=nodes)
    def cut_pair(self, one, two):
        self.cut ^= {frozenset((one, two))}

    @rule()
    def cut_regions(self):
        regions = {name: self.fleet.profiles[name].region for name in IDS}
        pairs = {frozenset((a, b)) for a in IDS for b in IDS if regions[a] != regions[b]}
        self.cut = set() if pairs <= self.cut else self.cut | pairs

    @precondition(lambda self: any(self.is_running(name) for name in IDS))
    @rule(name=nodes)
    def leave_or_resume(self, name):
        if not self.is_running(name):
            return
        announce = announce_resumed if name in self.leaving else announce_leaving
        self.leaving ^= {name}
        node = self.fleet.nodes[name]
        self.fleet.send(name, announce(node, self.fleet.now, self.fleet.random))

    @invariant()
    def outdated_updates_never_win(self):
        for name in IDS:
            node = self.fleet.nodes[name]
            for change in drain_changes(node):
                assert change.peer.node_id != name
            digest = TableDigest()
            for peer in node.table.peers.values():
                key = (name, peer.node_id)
                held = (peer.incarnation, peer.state.value)
                assert held >= self.seen.get(key, (0, 0))
                self.seen[key] = held
                toggle_entry(digest, peer.rank, peer.incarnation, peer.state)
            assert digest == node.table.digest

    @invariant()
    def a_paused_node_is_not_current(self):
        for name in self.fleet.paused:
            node = self.fleet.nodes[name]
            if self.fleet.now - node.active_at > SETTINGS.pause_s:
                assert not is_current(node, self.fleet.now)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.cut.clear()
        self.disturb(0.0, 0.0)
        for name in list(self.fleet.paused):
            self.fleet.resume(name)
        up = [name for name in IDS if name not in self.fleet.down]
        for _ in range(12):
            self.fleet.run(5.0)
            for name in up:
                if not is_current(self.fleet.nodes[name], self.fleet.now):
                    self.join(name)
        self.outdated_updates_never_win()
        for name in up:
            node = self.fleet.nodes[name]
            assert is_current(node, self.fleet.now)
            for other in IDS:
                self.check_view(node, other)

    def check_view(self, node, other):
        peer = node.table.peers.get(other)
        if other not in self.fleet.down:
            expected = PeerState.LEAVING if other in self.leaving else PeerState.ALIVE
            assert peer is not None and peer.state is expected
        elif any(
            self.fleet.profiles[name].region == self.fleet.profiles[other].region
            for name in IDS
            if name not in self.fleet.down
        ):
            assert peer is None or peer.is_gone
        elif node.own.region != self.fleet.profiles[other].region:
            # No node of that region is left to detect the death; the region is unreachable instead.
            assert peer is None or peer.region in node.table.unreachable


MembershipMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=20)
TestMembership = MembershipMachine.TestCase
