import json

import pytest
from ragwort_common import NodeId, RequestFingerprint
from ragwort_model import CrashId, CrashRecord, InputError, InstanceId, NodeRecord
from ragwort_platform import (
    StoredObject,
    build_create,
    build_list,
    build_replace,
    build_watch,
    decode_crashes,
    decode_node,
    encode_crashes,
    encode_node,
    read_changes,
    read_era,
    read_page,
)

RECORD = NodeRecord("n-1", "10.0.0.1:80", "s", "d", "r")


def test_requests_have_the_format_of_the_store():
    assert build_list("nodes", "", False).target == "/-/objects/nodes"
    assert build_list("nodes", "a/b", True).target == "/-/objects/nodes?after=a%2Fb&allowStale=1"
    assert build_watch("config", 7, 5000).target == "/-/objects/config?watch=7&waitMs=5000"
    created = json.loads(build_create("nodes", "n", b'{"a":1}').body)
    assert created == {"metadata": {"name": "n"}, "spec": {"a": 1}}
    replaced = build_replace("nodes", "n", b"{}", 12)
    assert (replaced.method, replaced.target) == ("PUT", "/-/objects/nodes/n")
    assert json.loads(replaced.body)["metadata"] == {"name": "n", "revision": 12}


def test_page_and_changes_are_decoded():
    item = {
        "metadata": {"name": "n", "revision": 3, "created": 1},
        "spec": {"x": 1},
        "status": None,
    }
    page = read_page(json.dumps({"items": [item], "hasMore": True, "asOf": 9}).encode())
    assert (page.has_more, page.revision, page.objects[0].name) == (True, 9, "n")
    assert json.loads(page.objects[0].content) == {"x": 1}
    events = {"events": [{"object": item, "removed": True}], "asOf": 10}
    changes = read_changes(json.dumps(events).encode())
    assert changes.changes[0].removed
    assert changes.revision == 10
    assert read_page(b'{"asOf":1}').objects == ()


def test_invalid_replies_are_rejected():
    assert isinstance(read_page(b"<html>"), InputError)
    assert isinstance(read_changes(b'{"events":[{}],"asOf":1}'), InputError)
    assert isinstance(decode_node(StoredObject("n", 1, b"null")), InputError)


def test_node_record_round_trip():
    assert decode_node(StoredObject("n-1", 1, encode_node(RECORD))) == RECORD


@pytest.mark.parametrize(
    ("headers", "era"),
    [([], None), ([(b"store-era", b"12")], 12), ([(b"store-era", b"new")], None)],
)
def test_era_of_the_store_is_read_from_its_replies(headers, era):
    assert read_era(headers) == era


def test_crashes_are_read_as_they_were_stored():
    records = [
        CrashRecord(
            CrashId(NodeId("n1"), 1789356886000),
            InstanceId("i-1"),
            frozenset({RequestFingerprint(b"12345678"), RequestFingerprint(b"\x00\xff345678")}),
        )
    ]
    assert decode_crashes(StoredObject("n1", 3, encode_crashes(records))) == records


@pytest.mark.parametrize(
    "content",
    [b"null", b'{"crashes":[{}]}', b'{"crashes":[{"instance":"i","atMs":1,"requests":["xy"]}]}'],
)
def test_unreadable_crashes_are_an_error_that_names_the_node(content):
    error = decode_crashes(StoredObject("n1", 3, content))
    assert isinstance(error, InputError) and "'n1'" in str(error)
