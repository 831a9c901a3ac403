from soak.operations import Operation, plan_operations


def test_same_seed_gives_same_operations_with_and_without_a_paused_store():
    plans = [plan_operations(seed, 12.0, ["d0", "d1"]) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]
    scheduled = [
        scheduled for seed in range(20) for scheduled in plan_operations(seed, 12.0, ["d0", "d1"])
    ]
    assert {each.operation for each in scheduled} == set(Operation)
    assert {each.pauses_store for each in scheduled} == {True, False}


def test_one_domain_at_a_time_is_evacuated():
    for seed in range(20):
        evacuations = [
            scheduled
            for scheduled in plan_operations(seed, 40.0, ["d0", "d1"])
            if scheduled.operation is Operation.EVACUATE
        ]
        for earlier, later in zip(evacuations, evacuations[1:], strict=False):
            assert later.start_s > earlier.start_s + earlier.duration_s
