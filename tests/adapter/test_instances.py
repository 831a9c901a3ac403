import json

import pytest
from ragwort_model import Departure, Heartbeat, InstanceState, Mistake
from ragwort_platform import read_server_report
from ragwort_transport import HttpRequest

BEAT = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 13,
    "state": "draining",
    "coldRemainingMs": 250.0,
    "seq": 4,
    "born": 1000,
}


def read(body, method="PUT", target=b"/-/instances/i-1"):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return read_server_report(HttpRequest(method, target, [], data))


def test_a_report_is_read_by_what_it_means():
    report = read(BEAT)
    assert isinstance(report, Heartbeat)
    assert (report.instance, report.sequence, report.born_ms) == ("i-1", 4, 1000)
    assert report.state is InstanceState.DRAINING
    assert (report.slots, report.cold_ms) == (13, 250.0)


@pytest.mark.parametrize("body", [b"", b"{}", b'{"born": 7}'])
def test_a_departure_may_say_when_the_server_started(body):
    report = read(body, "DELETE")
    assert isinstance(report, Departure)
    assert report.born_ms == (7 if b"7" in body else 0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {**BEAT, "seq": "4"},
        {**BEAT, "seq": True},
        {**BEAT, "state": "sleeping"},
        {key: value for key, value in BEAT.items() if key != "slots"},
    ],
)
def test_a_report_that_cannot_be_read_names_no_server(body):
    assert isinstance(read(body), Mistake)


def test_other_paths_and_methods_are_no_reports():
    assert isinstance(read(BEAT, target=b"/-/instances/"), Mistake)
    assert isinstance(read(BEAT, target=b"/x"), Mistake)
    assert isinstance(read(BEAT, method="POST"), Mistake)
