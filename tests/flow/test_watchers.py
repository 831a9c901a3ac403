from ragwort_flow import DOMAIN_PROBES_PER_S, find_probe_interval, hash_node, is_watcher_among

NODES = sorted((f"n{number}" for number in range(20)), key=hash_node)


def test_the_two_nodes_of_highest_rank_watch():
    watchers = [
        node
        for node in NODES
        if is_watcher_among(node, [other for other in NODES if other != node])
    ]
    assert watchers == NODES[-2:]


def test_the_nodes_of_a_domain_share_the_rate_of_probes_in_an_outage():
    for count in (1, 3, 20, 200):
        per_s = count / find_probe_interval(count - 1)
        assert abs(per_s - DOMAIN_PROBES_PER_S) < 1e-9
