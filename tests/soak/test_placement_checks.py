"""Each check of where calls run reports its violation, and accepts a correct record."""

from types import SimpleNamespace

from soak.callers import CallResult
from soak.checks import ServerEvent
from soak.fleet import Evacuation
from soak.placement_checks import check_cold_starts, check_evacuations, check_home_regions

PLACES = {
    "0": SimpleNamespace(domain="d0", region="r0", service="lookup"),
    "1": SimpleNamespace(domain="d1", region="r1", service="inner"),
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


def test_check_cold_starts_reports_too_many_calls_in_a_second():
    def make_events(number, count, since):
        start = ServerEvent(f"i-{number}-1", 10.0, "start", "")
        times = [since + index * 0.99 / count for index in range(count)]
        return [start, *(ServerEvent(f"i-{number}-1", at, "arrive", "c-1") for at in times)]

    assert check_cold_starts(make_events(0, 38, 11.5), PLACES) == []
    assert check_cold_starts(make_events(0, 39, 11.5), PLACES)
    # The server is warm, or is one of a service without cold starts, or refused a call with 421.
    assert check_cold_starts(make_events(0, 39, 13.1), PLACES) == []
    assert check_cold_starts(make_events(1, 39, 11.5), PLACES) == []
    misdirected = ServerEvent("i-0-1", 12.0, "misdirected", "c-1")
    assert check_cold_starts([*make_events(0, 39, 11.5), misdirected], PLACES) == []
