"""Each check of where calls run reports its violation, and accepts a correct record."""

from types import SimpleNamespace

from soak.callers import CallResult
from soak.checks import ServerEvent
from soak.fleet import Evacuation
from soak.placement_checks import check_evacuations, check_home_regions

PLACES = {
    "0": SimpleNamespace(domain="d0", region="r0"),
    "1": SimpleNamespace(domain="d1", region="r1"),
}


def test_check_evacuations_reports_calls_at_an_evacuated_server():
    evacuation = Evacuation("d0", 10.0, 20.0)
    for at in (9.0, 14.9, 20.1):
        in_time = [ServerEvent("i-0-1", at, "arrive", "c-1")]
        assert check_evacuations(in_time, [evacuation], PLACES) == []
    for kind in ("arrive", "run"):
        assert check_evacuations([ServerEvent("i-0-2", 15.1, kind, "c-1")], [evacuation], PLACES)
        elsewhere = [ServerEvent("i-1-2", 15.1, kind, "c-1")]
        assert check_evacuations(elsewhere, [evacuation], PLACES) == []


def test_check_home_regions_reports_home_calls_in_the_other_region():
    for route, violations in (("home", 1), ("lookup", 0)):
        result = CallResult("c-1", 0, 1, "lookup", 10.0, 10.1, 200, route=route)
        events = [ServerEvent(f"i-{number}-1", 10.0, "arrive", "c-1") for number in (0, 1)]
        assert len(check_home_regions([result], events, PLACES)) == violations
