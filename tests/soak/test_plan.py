from soak.plan import Fault, plan_faults

DOMAINS = [[0, 1, 2], [3, 4, 5]]


def test_a_seed_always_means_the_same_run():
    plans = [plan_faults(seed, 12.0, DOMAINS, list(Fault)) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]


def test_faults_overlap_and_a_lost_domain_is_lost_whole():
    steps = [step for seed in range(20) for step in plan_faults(seed, 12.0, DOMAINS, list(Fault))]
    assert {step.fault for step in steps} == set(Fault)
    lost = [step.members for step in steps if step.fault is Fault.DOMAIN_KILL]
    assert {tuple(members) for members in lost} <= {(0, 1, 2), (3, 4, 5)}
    steps = plan_faults(1, 12.0, DOMAINS, list(Fault))
    overlaps = sum(
        later.at_s < step.at_s + step.for_s for step, later in zip(steps, steps[1:], strict=False)
    )
    assert overlaps >= 3
