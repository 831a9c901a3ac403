from dataclasses import dataclass
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from ragwort_common import FailureDomain, NodeId, Region, Revision
from ragwort_policy import (
    UNKNOWN_DIGEST,
    RevisionId,
    RevisionState,
    RevisionStatus,
    adopt_revision,
    choose_notice_targets,
    choose_source,
    choose_watchers,
    compare_revision,
    drop_source,
    is_watcher,
    record_source,
    refuse_revision,
)

NODES = 4
indexes = st.integers(0, NODES - 1)


class RevisionMachine(RuleBasedStateMachine):
    """Nodes, a platform that may lose revisions, and late, duplicate or lost messages."""

    def __init__(self):
        super().__init__()
        self.nodes = [RevisionState() for _ in range(NODES)]
        self.seen = [Revision(0)] * NODES
        self.platform = self.copy = RevisionId(Revision(0), 1)
        self.invalid = set()
        self.sent = []
        self.last = 0

    @rule(is_invalid=st.sampled_from([False, False, True]))
    def apply(self, is_invalid):
        self.last += 1
        self.platform = RevisionId(Revision(self.last), self.last * 10)
        if is_invalid:
            self.invalid.add(self.platform)

    @rule()
    def take_copy(self):
        self.copy = self.platform

    @rule()
    def restore_copy(self):
        self.platform = self.copy

    @rule(index=indexes)
    def read_platform(self, index):
        if self.platform.revision == 0:
            return
        status = self.take(index, self.platform)
        if status is RevisionStatus.OLDER:
            self.platform = self.nodes[index].in_force

    @rule(index=indexes, other=indexes)
    def receive_gossip(self, index, other):
        revision = self.nodes[other].in_force.revision
        record_source(self.nodes[index], NodeId(str(other)), RevisionId(revision, UNKNOWN_DIGEST))

    @precondition(lambda self: self.sent)
    @rule(index=indexes, pick=st.integers(0, 1000), stays=st.booleans())
    def receive_notice(self, index, pick, stays):
        position = pick % len(self.sent)
        other, revision_id = self.sent[position] if stays else self.sent.pop(position)
        record_source(self.nodes[index], NodeId(str(other)), revision_id)

    @rule(index=indexes)
    def fetch(self, index):
        source = choose_source(self.nodes[index])
        if source is None:
            return
        peer, asked = source
        drop_source(self.nodes[index], peer)
        found = self.nodes[int(peer)].in_force
        if found.revision >= asked.revision:
            self.take(index, found)

    @rule(index=indexes)
    def receive_fork(self, index):
        state = self.nodes[index]
        fork = RevisionId(state.in_force.revision, state.in_force.digest + 1)
        if state.in_force.revision:
            assert record_source(state, NodeId("x"), fork) is RevisionStatus.FORKED
            assert self.take(index, fork) is RevisionStatus.FORKED

    @rule(index=indexes)
    def restart(self, index):
        self.nodes[index] = RevisionState()
        self.seen[index] = Revision(0)

    def take(self, index, revision_id):
        state = self.nodes[index]
        status = compare_revision(state, revision_id)
        if status is RevisionStatus.NEWER and revision_id in self.invalid:
            refuse_revision(state, revision_id)
        elif status is RevisionStatus.NEWER:
            adopt_revision(state, revision_id)
            self.sent.append((index, revision_id))
        return status

    @invariant()
    def revisions_never_decrease_and_none_invalid_is_in_force(self):
        for index, state in enumerate(self.nodes):
            assert state.in_force.revision >= self.seen[index]
            self.seen[index] = state.in_force.revision
            assert state.in_force not in self.invalid
            assert state.in_force.digest == state.in_force.revision * 10

    def teardown(self):
        revision_ids = [state.in_force for state in self.nodes] + [self.platform]
        highest = max(
            revision_id.revision for revision_id in revision_ids if revision_id not in self.invalid
        )
        for _ in range(NODES):
            for index in range(NODES):
                self.read_platform(index)
                self.receive_gossip(index, (index + 1) % NODES)
                while choose_source(self.nodes[index]):
                    self.fetch(index)
        assert {state.in_force.revision for state in self.nodes} == {highest}


TestRevisions = RevisionMachine.TestCase
TestRevisions.settings = settings(max_examples=100, stateful_step_count=40)


def test_a_refused_revision_is_not_fetched_again_and_the_state_stays_small():
    state = RevisionState()
    for number in range(1, 100):
        revision_id = RevisionId(Revision(number), number)
        assert record_source(state, NodeId(str(number)), revision_id) is RevisionStatus.NEWER
        refuse_revision(state, revision_id)
        assert record_source(state, NodeId("x"), revision_id) is RevisionStatus.REFUSED
        gossip = RevisionId(revision_id.revision, UNKNOWN_DIGEST)
        assert record_source(state, NodeId("y"), gossip) is RevisionStatus.REFUSED
    assert choose_source(state) is None
    assert len(state.refused) == 16
    for number in range(200, 300):
        record_source(state, NodeId(str(number)), RevisionId(Revision(number), number))
    assert len(state.sources) == 8
    assert choose_source(state)[0] == "299"


@dataclass(frozen=True)
class Place:
    node_id: NodeId
    region: Region
    failure_domain: FailureDomain


places = st.lists(
    st.builds(
        lambda number, domain: Place(NodeId(f"n{number}"), Region(domain[0]), domain),
        st.integers(0, 500),
        st.sampled_from([FailureDomain(name) for name in ("a1", "a2", "b1", "c1")]),
    ),
    min_size=1,
    max_size=40,
    unique_by=lambda place: place.node_id,
)


@given(places, st.integers(1, 3))
def test_each_failure_domain_has_its_watchers_and_each_node_knows_if_it_is_one(peers, per_domain):
    watchers = choose_watchers(peers, per_domain)
    assert watchers == {peer.node_id for peer in peers if is_watcher(peer, peers, per_domain)}
    for domain in {peer.failure_domain for peer in peers}:
        nodes = {peer.node_id for peer in peers if peer.failure_domain == domain}
        assert len(watchers & nodes) == min(per_domain, len(nodes))
    one_left = [peer for peer in peers if peer.node_id != min(watchers)]
    assert watchers - {min(watchers)} <= choose_watchers(one_left, per_domain)


@given(places, st.integers(1, 6), st.integers(0, 99))
def test_notices_reach_the_whole_region_and_cross_regions_only_if_asked(peers, fanout, seed):
    rng = Random(seed)
    reached = set()
    waiting = [peers[0]]
    by_id = {peer.node_id: peer for peer in peers}
    while waiting:
        own = waiting.pop()
        if own.node_id in reached:
            continue
        reached.add(own.node_id)
        targets = choose_notice_targets(own, peers, rng, fanout)
        assert len(set(targets)) == len(targets) <= fanout
        assert own.node_id not in targets
        waiting += [by_id[target] for target in targets]
    assert reached == {peer.node_id for peer in peers if peer.region == peers[0].region}
    crossing = choose_notice_targets(peers[0], peers, rng, fanout, crosses_regions=True)
    far = [by_id[node].region for node in crossing if by_id[node].region != peers[0].region]
    assert sorted(far) == sorted({peer.region for peer in peers} - {peers[0].region})
