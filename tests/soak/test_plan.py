from soak.plan import Fault, plan_faults

DOMAINS = [[0, 1, 2], [3, 4, 5]]


def test_same_seed_gives_same_schedule():
    plans = [plan_faults(seed, 12.0, DOMAINS, list(Fault)) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]


def test_faults_overlap_and_domain_kill_affects_whole_domain():
    schedule = [
        scheduled
        for seed in range(20)
        for scheduled in plan_faults(seed, 12.0, DOMAINS, list(Fault))
    ]
    assert {scheduled.fault for scheduled in schedule} == set(Fault)
    lost = [
        scheduled.member_numbers for scheduled in schedule if scheduled.fault is Fault.DOMAIN_KILL
    ]
    assert {tuple(members) for members in lost} <= {(0, 1, 2), (3, 4, 5)}
    schedule = plan_faults(1, 12.0, DOMAINS, list(Fault))
    overlaps = sum(
        later.start_s < scheduled.start_s + scheduled.duration_s
        for scheduled, later in zip(schedule, schedule[1:], strict=False)
    )
    assert overlaps >= 3
