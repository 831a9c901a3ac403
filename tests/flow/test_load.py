"""Simulated service quality under load, compared with two baseline load balancers."""

import pytest
from flow_world import Kind, choose_least, choose_randomly, play_baseline, play_ragwort

SERVERS = 4
SECONDS = 20


def make_kinds(load):
    """Return two kinds of calls; a load of 1 uses the whole capacity of the servers."""
    return [
        Kind("lookup", 0.067, 0.3, 0.8, 2, 190.0 * load),
        Kind("confirm", 0.087, 0.4, 1.0, 1, 95.0 * load),
    ]


def play_all(load, seed):
    kinds = make_kinds(load)
    ours = play_ragwort(kinds, SERVERS, seed, SECONDS)
    baselines = [
        play_baseline(kinds, SERVERS, seed, SECONDS, choose)
        for choose in (choose_randomly, choose_least)
    ]
    return ours, baselines


@pytest.mark.parametrize("seed", [1, 2])
def test_under_a_usual_load_more_callers_are_in_time_than_with_either_baseline(seed):
    ours, baselines = play_all(0.6, seed)
    assert ours.get_share() > max(other.get_share() for other in baselines)


@pytest.mark.parametrize("seed", [1, 2])
def test_at_twice_the_capacity_useful_work_does_not_collapse(seed):
    ours, baselines = play_all(2.0, seed)
    assert ours.get_share() > 1.5 * max(other.get_share() for other in baselines)
    assert ours.get_worst_window() > 2 * max(other.get_worst_window() for other in baselines)


@pytest.mark.parametrize("load", [0.9, 1.3, 2.0])
def test_the_more_urgent_kind_is_served_no_less_often_and_no_kind_starves(load):
    ours = play_ragwort(make_kinds(load), SERVERS, 3, SECONDS)
    lookup, confirm = ours.get_served("lookup"), ours.get_served("confirm")
    assert confirm >= lookup - 0.05
    assert lookup > 0.25 * (lookup * ours.asked["lookup"] + confirm * ours.asked["confirm"]) / sum(
        ours.asked.values()
    )


@pytest.mark.parametrize("load", [0.6, 0.9])
@pytest.mark.parametrize("seed", [1, 2])
def test_starting_calls_while_their_host_is_quick_brings_more_of_them_in_time(load, seed):
    kinds = make_kinds(load)
    with_speed = play_ragwort(kinds, SERVERS, seed, SECONDS)
    without = play_ragwort(kinds, SERVERS, seed, SECONDS, tells_speed=False)
    late_with, late_without = 1 - with_speed.get_share(), 1 - without.get_share()
    assert late_with < 0.7 * late_without
    assert with_speed.get_worst_window() > without.get_worst_window()
