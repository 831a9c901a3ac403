from hypothesis import given
from hypothesis import strategies as st
from ragwort_policy._fairness import (
    FairQueue,
    add_waiting,
    count_ahead,
    pop_waiting,
    remove_waiting,
)

SHARES = {"first": 1, "second": 2, "third": 5}
operations = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.sampled_from(sorted(SHARES))),
        st.tuples(st.just("pop"), st.just("")),
        st.tuples(st.just("remove"), st.integers(0, 20)),
    ),
    max_size=120,
)


class NaiveQueue:
    """Reference model: sorts all waiting calls by tag at each start and keeps idle members."""

    def __init__(self):
        self.waiting, self.tags, self.order, self.time = [], {}, [], 0.0

    def add(self, member, call):
        if member not in self.order:
            self.order.append(member)
        if not any(name == member for name, _ in self.waiting):
            self.tags[member] = max(self.tags.get(member, 0.0), self.time)
        self.waiting.append((member, call))

    def pop(self):
        if not self.waiting:
            return None
        member, call = sorted(self.waiting, key=lambda item: (self.tags[item[0]], item[1]))[0]
        self.time = max(self.time, self.tags[member])
        self.tags[member] = self.time + 1.0 / SHARES[member]
        self.remove(call)
        return call

    def remove(self, call):
        self.waiting = [item for item in self.waiting if item[1] != call]
        if not self.waiting:
            self.tags, self.time = {}, 0.0


@given(operations)
def test_starts_follow_the_naive_sort(steps):
    queue, naive = FairQueue(), NaiveQueue()
    members = {}
    for number, (name, value) in enumerate(steps):
        if name == "add":
            members[number] = value
            add_waiting(queue, value, SHARES[value], number, number)
            naive.add(value, number)
        elif name == "pop":
            tags = {member: flow.finish_tag for member, flow in queue.flows.items() if flow.calls}
            call = pop_waiting(queue)
            expected = naive.pop()
            if call != expected:
                # Members with equal tags may start in either order, after which the two diverge.
                assert tags[members[call]] == tags[members[expected]]
                return
        elif value < len(naive.waiting):
            member, call = naive.waiting[value]
            assert remove_waiting(queue, member, call) == call
            naive.remove(call)
        assert queue.size == len(naive.waiting)


@given(st.integers(1, 40), st.permutations(sorted(SHARES)))
def test_backlogged_members_start_in_proportion_to_their_shares(starts, order):
    queue = FairQueue()
    for place, member in enumerate(order):
        for number in range(100):
            add_waiting(queue, member, SHARES[member], place * 100 + number, member)
    popped = [pop_waiting(queue) for _ in range(starts)]
    total = sum(SHARES.values())
    for member, share in SHARES.items():
        assert abs(popped.count(member) - starts * share / total) <= 1.5


def test_a_flooding_member_does_not_delay_others():
    queue = FairQueue()
    for number in range(500):
        add_waiting(queue, "noisy", 1, number, number)
    assert count_ahead(queue, "quiet", 1) <= 1.0
    add_waiting(queue, "quiet", 1, 1000, 1000)
    assert 1000 in [pop_waiting(queue) for _ in range(2)]
