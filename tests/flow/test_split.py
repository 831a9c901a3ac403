import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from ragwort_flow import SplitState, choose_service_index


def spread(weights, calls, start):
    state = SplitState(start)
    return Counter(choose_service_index(state, weights) for _ in range(calls))


@given(
    st.lists(st.integers(1, 100), min_size=2, max_size=5),
    st.floats(0, 1, exclude_max=True),
)
def test_each_part_gets_its_share_of_a_hundred_calls(weights, start):
    counts = spread(weights, 100, start)
    for index, weight in enumerate(weights):
        assert abs(counts[index] - 100 * weight / sum(weights)) <= 5


def test_few_calls_at_each_of_many_nodes_keep_the_proportion():
    source = random.Random(7)
    total = Counter()
    for _ in range(300):
        total += spread([90, 10], 3, source.random())
    assert 0.07 <= total[1] / 900 <= 0.13


def test_a_part_without_weight_gets_nothing():
    assert spread([5, 0], 200, 0.3)[1] == 0
