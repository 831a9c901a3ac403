import random

from ragwort_flow import RetryBudget, RetryLimits, acquire_retry, count_call

LIMITS = RetryLimits(ratio=0.2, extra=60.0, window_s=10.0)


def test_extra_attempts_of_all_nodes_stay_within_the_limit_in_every_window():
    # Twelve nodes try to retry every call for one minute.
    nodes, calls, extra_attempts = 12, [], []
    budgets = [RetryBudget(LIMITS) for _ in range(nodes)]
    source = random.Random(3)
    now = 1000.0
    while now < 1060.0:
        now += source.expovariate(300.0)
        budget = budgets[source.randrange(nodes)]
        count_call(budget, now)
        calls.append(now)
        if acquire_retry(budget, now, nodes):
            extra_attempts.append(now)
    for start in range(1000, 1050):
        in_window = sum(start <= at < start + 10 for at in extra_attempts)
        asked = sum(start <= at < start + 10 for at in calls)
        # Half of the limit is reserved for the calls made by retried runs.
        assert in_window <= 0.5 * (0.2 * asked + 60) + nodes


def test_a_node_with_few_calls_may_retry_occasionally():
    budget = RetryBudget(LIMITS)
    count_call(budget, 5.0)
    assert acquire_retry(budget, 5.0, 12)
    assert not acquire_retry(budget, 5.1, 12)
    assert acquire_retry(budget, 15.2, 12)


def test_a_kind_of_attempt_stops_at_its_share():
    budget = RetryBudget(RetryLimits(0.2, 0.0, 10.0))
    for _ in range(100):
        count_call(budget, 1.0)
    taken = sum(acquire_retry(budget, 1.0, 1, 0.5) for _ in range(20))
    assert taken == 5
    assert acquire_retry(budget, 1.0, 1)
