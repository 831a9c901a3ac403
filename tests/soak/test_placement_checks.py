"""Each check of where calls run reports its violation, and accepts a correct record."""

from types import SimpleNamespace

from soak.checks import ServerEvent
from soak.fleet import Evacuation
from soak.placement_checks import check_evacuations

PLACES = {"0": SimpleNamespace(domain="d0"), "1": SimpleNamespace(domain="d1")}


def test_check_evacuations_reports_calls_at_an_evacuated_server():
    evacuation = Evacuation("d0", 10.0, 20.0)
    for at in (9.0, 14.9, 20.1):
        in_time = [ServerEvent("i-0-1", at, "arrive", "c-1")]
        assert check_evacuations(in_time, [evacuation], PLACES) == []
    for kind in ("arrive", "run"):
        assert check_evacuations([ServerEvent("i-0-2", 15.1, kind, "c-1")], [evacuation], PLACES)
        elsewhere = [ServerEvent("i-1-2", 15.1, kind, "c-1")]
        assert check_evacuations(elsewhere, [evacuation], PLACES) == []
