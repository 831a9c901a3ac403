import pytest
from ragwort_common import FailureDomain, NodeId, Reason, Region
from ragwort_flow import Distance, Eligibility, Target, check_eligibility, explain_absence


def make_target(domain):
    region = Region(domain[:2])
    return Target(
        NodeId(domain),
        Distance.SAME_REGION,
        failure_domain=FailureDomain(domain),
        region=region,
    )


@pytest.mark.parametrize(
    ("targets", "regions", "evacuated", "eligible", "expected"),
    [
        ("", None, "r1a", "", Reason.NO_SERVER),
        ("", "r1", "", "", Reason.NO_HOME_SERVER),
        ("r1a r2a", None, "r1a", "r2a", Reason.NO_SERVER),
        ("r1a r1b r2a", "r1", "r1a", "r1b", Reason.NO_SERVER),
        ("r1a r2a", "r1 r2", "", "r1a r2a", Reason.NO_SERVER),
        # Two lists without a common region allow no server.
        ("r1a r2a", "", "", "", Reason.NO_HOME_SERVER),
        ("r2a", "r1", "r2a", "", Reason.NO_HOME_SERVER),
        ("r1a r2a", "r1", "r1a", "", Reason.NO_HOME_SERVER),
        ("r1a r2a", "r1", "r1a r2a", "", Reason.NO_SERVER),
    ],
)
def test_only_home_regions_and_domains_in_use_are_eligible_and_the_reason_says_what_is_missing(
    targets, regions, evacuated, eligible, expected
):
    found = [make_target(domain) for domain in targets.split()]
    limits = (None if regions is None else set(regions.split()), set(evacuated.split()))
    kept = [t.node for t in found if check_eligibility(t, *limits) is Eligibility.ELIGIBLE]
    assert kept == eligible.split()
    assert explain_absence(found, *limits) is expected
