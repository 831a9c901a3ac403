import pytest
from ragwort_common import FailureDomain, NodeId, Reason, Region
from ragwort_flow import Distance, Eligibility, Target, check_eligibility, explain_absence


def make_target(location):
    region, domain = location[:2], location
    return Target(
        NodeId(location),
        Distance.SAME_REGION,
        failure_domain=FailureDomain(domain),
        region=Region(region),
    )


@pytest.mark.parametrize(
    ("regions", "evacuated", "expected"),
    [
        (None, (), Eligibility.ELIGIBLE),
        ({"r1", "r2"}, {"r1b"}, Eligibility.ELIGIBLE),
        ({"r2"}, (), Eligibility.AWAY),
        # Two lists without a common region allow no server.
        ((), (), Eligibility.AWAY),
        (None, {"r1a"}, Eligibility.EVACUATED),
        ({"r2"}, {"r1a"}, Eligibility.AWAY),
    ],
)
def test_server_gets_calls_only_in_home_regions_and_outside_evacuated_domains(
    regions, evacuated, expected
):
    assert check_eligibility(make_target("r1a"), regions, evacuated) is expected


@pytest.mark.parametrize(
    ("targets", "regions", "evacuated", "expected"),
    [
        ([], None, {"r1a"}, Reason.NO_SERVER),
        ([], {"r1"}, (), Reason.NO_HOME_SERVER),
        (["r2a"], {"r1"}, (), Reason.NO_HOME_SERVER),
        (["r2a"], {"r1"}, {"r2a"}, Reason.NO_HOME_SERVER),
        (["r1a", "r2a"], {"r1"}, {"r1a"}, Reason.NO_HOME_SERVER),
        (["r1a", "r2a"], {"r1"}, {"r1a", "r2a"}, Reason.NO_SERVER),
        (["r1a"], None, {"r1a"}, Reason.NO_SERVER),
        # A home server is there but refuses calls for the moment.
        (["r1a", "r2a"], {"r1"}, (), Reason.NO_SERVER),
    ],
)
def test_reason_names_the_home_regions_if_they_rule_out_what_is_left(
    targets, regions, evacuated, expected
):
    found = [make_target(target) for target in targets]
    assert explain_absence(found, regions, evacuated) is expected
