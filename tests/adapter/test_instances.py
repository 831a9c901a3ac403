import json

import pytest
from ragwort_model import Departure, Heartbeat, InputError, InstanceState
from ragwort_platform import read_server_report
from ragwort_transport import HttpRequest

HEARTBEAT = {
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


def test_heartbeat_fields_are_decoded():
    report = read(HEARTBEAT)
    assert isinstance(report, Heartbeat)
    assert (report.instance, report.sequence, report.born_ms) == ("i-1", 4, 1000)
    assert report.state is InstanceState.DRAINING
    assert (report.slots, report.cold_ms) == (13, 250.0)
    # A server that does not say how long it stays cold must not pass for one that is warm.
    content = {key: value for key, value in HEARTBEAT.items() if key != "coldRemainingMs"}
    assert read(content).cold_ms is None


@pytest.mark.parametrize("body", [b"", b"{}", b'{"born": 7}'])
def test_departure_may_have_the_start_time_of_the_server(body):
    report = read(body, "DELETE")
    assert isinstance(report, Departure)
    assert report.born_ms == (7 if b"7" in body else 0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"other":%s}' % (b"[" * 3000 + b"]" * 3000),
        {**HEARTBEAT, "seq": "4"},
        {**HEARTBEAT, "seq": True},
        {**HEARTBEAT, "state": "sleeping"},
        {key: value for key, value in HEARTBEAT.items() if key != "slots"},
    ],
)
def test_invalid_heartbeat_is_rejected(body):
    assert isinstance(read(body), InputError)


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 2**31 - 1},
        {"slots": 10**25},
        {"seq": 2**64},
        {"seq": -1},
        {"born": 2**64},
        {"coldRemainingMs": 1e300},
        {"addr": "x" * 300},
        {"service": "x" * 300},
    ],
)
def test_number_that_no_server_has_does_not_reach_the_scheduler(change):
    # The limits on concurrency were searched among all slots that a heartbeat states.
    assert isinstance(read({**HEARTBEAT, **change}), InputError)


def test_instance_with_an_id_of_any_length_is_not_kept():
    # The ids of departed instances are stored, and sent to peers.
    for method in ("PUT", "DELETE"):
        report = read(HEARTBEAT, method, b"/-/instances/" + b"i" * 300)
        assert isinstance(report, InputError)
        assert len(str(report)) < 400


def test_departure_with_a_start_time_out_of_range_is_rejected():
    assert isinstance(read(b'{"born": 18446744073709551616}', "DELETE"), InputError)


def test_other_paths_and_methods_are_rejected():
    assert isinstance(read(HEARTBEAT, target=b"/-/instances/"), InputError)
    assert isinstance(read(HEARTBEAT, target=b"/x"), InputError)
    assert isinstance(read(HEARTBEAT, method="POST"), InputError)
