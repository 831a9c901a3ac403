import pytest
from ragwort_model import InstanceId
from ragwort_platform import (
    build_forwarded_headers,
    build_refusal_headers,
    build_server_request,
    digest_key,
    is_readiness_check,
    make_answer_check,
    read_call_fields,
    read_cold_ms,
    read_health,
    read_key,
    read_notices,
    read_server_answer,
)
from ragwort_platform._calls import ServerLoad
from ragwort_transport import Answer, ResponseOwner


def test_call_id_and_deadline_are_read():
    headers = [(b"ragwortvalve-attempt-id", b"c1"), (b"ragwortvalve-deadline-ms", b"750.5")]
    fields = read_call_fields(headers)
    assert (fields.call_id, fields.deadline_ms) == (b"c1", 750.5)
    assert read_call_fields([]).deadline_ms is None
    assert read_call_fields([(b"ragwortvalve-deadline-ms", b"soon")]).deadline_ms is None


def test_connection_and_node_fields_are_not_forwarded():
    headers = [
        (b"host", b"h"),
        (b"connection", b"keep-alive"),
        (b"transfer-encoding", b"chunked"),
        (b"ragwortvalve-caller-service", b"forged"),
        (b"ragwortvalve-target-instance", b"forged"),
        (b"ragwortvalve-deadline-ms", b"9"),
        (b"x-own", b"1"),
    ]
    assert build_forwarded_headers(headers, "s") == [
        (b"host", b"h"),
        (b"x-own", b"1"),
        (b"ragwortvalve-caller-service", b"s"),
    ]


def test_key_is_read_unless_it_is_missing_malformed_or_ambiguous():
    for value in (b"Bearer k-1", b"bearer  k-1 ", b"BEARER\tk-1"):
        assert read_key([(b"host", b"h"), (b"authorization", value)]) == digest_key(b"k-1")
    for values in ([], [b"k-1"], [b"Bearer"], [b"Bearer "], [b"Basic k-1"], [b"Bearer k-1"] * 2):
        assert read_key([(b"authorization", value) for value in values]) is None


def test_server_gets_the_customer_in_place_of_what_the_caller_wrote():
    headers = [(b"authorization", b"Bearer k"), (b"authorization", b"k")]
    headers += [(b"ragwortvalve-tenant-id", b"forged")] * 2
    kept = [(b"ragwortvalve-caller-service", b"s")]
    assert build_forwarded_headers(headers, "s", True) == kept
    named = [*kept, (b"ragwortvalve-tenant-id", "Büro".encode())]
    assert build_forwarded_headers(headers, "s", True, "Büro") == named
    assert build_forwarded_headers(headers, "s") == [*headers, *kept]


def test_server_request_has_target_instance_and_deadline():
    data = build_server_request("POST", b"/a?b", [(b"host", b"h")], b"xy", InstanceId("i"), 12.7)
    head, _, body = data.partition(b"\r\n\r\n")
    assert body == b"xy"
    assert head.split(b"\r\n") == [
        b"POST /a?b HTTP/1.1",
        b"host: h",
        b"ragwortvalve-deadline-ms: 12",
        b"ragwortvalve-target-instance: i",
        b"content-length: 2",
    ]


def test_deadline_of_a_server_request_is_at_least_one_millisecond():
    data = build_server_request("GET", b"/", [], b"", InstanceId("i"), 0.2)
    assert b"ragwortvalve-deadline-ms: 1\r\n" in data


def test_header_value_with_a_line_break_is_rejected():
    with pytest.raises(AssertionError):
        build_server_request("GET", b"/", [(b"x", b"1\n2")], b"", InstanceId("i"), 9)


def test_response_to_another_call_is_recognized_by_its_id():
    find_owner = make_answer_check(b"c1")
    for is_reused in (False, True):
        assert find_owner([(b"ragwortvalve-attempt-id", b"c1")], is_reused) is ResponseOwner.CURRENT
        assert find_owner([(b"ragwortvalve-attempt-id", b"c0")], is_reused) is ResponseOwner.EARLIER
    assert find_owner([], False) is ResponseOwner.CURRENT


def test_a_response_without_an_id_on_a_connection_in_use_again_may_be_a_late_copy_of_another():
    assert make_answer_check(b"c1")([], True) is ResponseOwner.UNKNOWN
    assert make_answer_check(b"")([], True) is ResponseOwner.CURRENT


def read(status, **headers):
    fields = [
        (f"ragwortvalve-{name.replace('_', '-')}".encode(), value)
        for name, value in headers.items()
    ]
    return read_server_answer(Answer(status, fields, b""))


def test_call_counts_as_not_run_only_if_the_server_states_it():
    assert read(503, not_executed=b"1").not_run
    assert not read(503).not_run
    other = read(421, instance_id=b"i-2")
    assert other.not_run
    assert other.instance == "i-2"
    assert read(200, response_signature=b"x").is_signed


def test_invalid_server_load_is_none():
    assert read(200, server_load=b"3,1,8,250").load == ServerLoad(3, 1, 8, 250)
    assert read(200, server_load=b"3,1,8").load == ServerLoad(3, 1, 8, 100)
    assert read(200, server_load=b"3,x,8").load is None
    assert read(200, server_load=b"3").load is None


@pytest.mark.parametrize(
    ("value", "limit"),
    [(b"14.4", 14.4), (b"0", 0.0), (b"-1", None), (b"nan", None), (b"inf", None), (b"many", None)],
)
def test_rate_limit_of_a_server_is_a_decimal_number_of_calls_a_second(value, limit):
    answer = Answer(200, [(b"server-limit", value)], b"")
    assert read_server_answer(answer).notices.max_calls_per_s == limit
    assert read(200).notices.max_calls_per_s is None


def test_leaving_server_states_so_in_its_answers():
    assert read_notices(Answer(500, [(b"server-leaving", b"1")], b"")).is_leaving
    assert not read_notices(Answer(200, [(b"server-leaving", b"0")], b"")).is_leaving
    assert not read(200).notices.is_leaving


def test_retry_after_has_fractions_of_a_second():
    headers = dict(build_refusal_headers(b"c1", 45))
    assert headers[b"retry-after"] == b"0.045"
    assert b"retry-after" not in dict(build_refusal_headers(b"c1", 0))
    assert build_refusal_headers(b"", 0, needs_key=True) == [(b"www-authenticate", b"Bearer")]


def test_readiness_check_is_recognized():
    assert is_readiness_check("GET", b"/-/ready")
    assert not is_readiness_check("POST", b"/-/ready")


@pytest.mark.parametrize("value, cold_ms", [(b"1500", 1500.0), (b"0", 0.0), (b"-1", None)])
def test_health_response_states_how_long_the_server_stays_cold(value, cold_ms):
    fields = [(b"ragwortvalve-instance-id", b"i"), (b"ragwortvalve-server-load", b"0,0,3")]
    stated = Answer(200, [*fields, (b"ragwortvalve-cold-ms", value)], b"")
    assert read_health(stated).cold_ms == read_cold_ms(stated) == cold_ms
    assert read_health(Answer(200, fields, b"")).cold_ms is None


@pytest.mark.parametrize(
    "load", [b"0,0,2147483647", b"0,0,3," + b"9" * 400, b"1,2," + b"9" * 5000, b"0,,3"]
)
def test_load_with_a_figure_out_of_range_is_ignored(load):
    # A health answer's number of slots reached the search for the limits on concurrency, and one
    # of thousands of digits is an error in Python.
    answer = Answer(200, [(b"ragwortvalve-server-load", load)], b"")
    assert read_server_answer(answer).load is None


def test_server_that_states_no_slots_counts_as_one_with_a_slot():
    # Without a slot there was no limit to choose, which ended the node at its start.
    answer = Answer(200, [(b"ragwortvalve-server-load", b"0,0,0")], b"")
    assert read_server_answer(answer).load == ServerLoad(0, 0, 1, 100)


def test_cold_time_of_more_than_a_day_is_ignored():
    answer = Answer(200, [(b"ragwortvalve-cold-ms", b"1e300")], b"")
    assert read_cold_ms(answer) is None
