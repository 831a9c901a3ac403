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
    decode_departures,
    decode_node,
    encode_crashes,
    encode_node,
    read_changes,
    read_era,
    read_object,
    read_page,
)
from ragwort_platform._objects import MAX_CRASH_REQUESTS, MAX_CRASHES

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


DEEP = b"[" * 3000 + b"]" * 3000
DEEP_OBJECTS = b'{"a":' * 3000 + b"1" + b"}" * 3000
UNREADABLE = {
    "nested arrays": DEEP,
    "nested objects": DEEP_OBJECTS,
    "number out of range": b'{"link":1e999}',
    "integer of many digits": b'{"link":%s}' % (b"9" * 5000),
    "lone surrogate": b'{"link":"\\ud800"}',
    "no UTF-8": b'{"link":"\xff"}',
    "brackets in a text": b'{"link":"]}[{,\\"]"}',
    "null": b"null",
}


def make_item(name, spec):
    metadata = b'{"finalizers":[],"name":"%s","revision":3}' % name
    return b'{"metadata":%s,"status":{"a":[1,2]},"spec":%s}' % (metadata, spec)


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_entry_of_another_writer_costs_only_itself(content):
    # Such an entry made the whole page unreadable, or ended every node that read it.
    good = encode_node(RECORD)
    items = [make_item(b"n-1", good), make_item(b"odd", content), make_item(b"n-2", good)]
    page = read_page(b'{"items": [%s], "hasMore": true, "asOf": 9}' % b",".join(items))
    assert (page.has_more, page.revision) == (True, 9)
    assert [stored.name for stored in page.objects] == ["n-1", "odd", "n-2"]
    records = list(map(decode_node, page.objects))
    assert records[0] == RECORD
    assert isinstance(records[1], InputError)
    assert not isinstance(records[2], InputError)

    events = [b'{"removed":false,"object":%s}' % item for item in items]
    changes = read_changes(b'{"events":[%s],"asOf":10}' % b" , ".join(events))
    assert changes.revision == 10
    assert [change.stored.name for change in changes.changes] == ["n-1", "odd", "n-2"]
    assert decode_node(changes.changes[2].stored).node == "n-2"


@pytest.mark.parametrize(
    "metadata", [b'{"name":"\\ud800","revision":1}', b'{"name":7,"revision":1}', DEEP, b"{}"]
)
def test_entry_without_a_readable_name_is_left_out_and_counted(metadata):
    odd = b'{"metadata":%s,"spec":{}}' % metadata
    good = make_item(b"n-1", encode_node(RECORD))
    page = read_page(b'{"items":[%s,%s],"asOf":9}' % (odd, good))
    assert ([stored.name for stored in page.objects], page.unreadable) == (["n-1"], 1)
    changes = read_changes(b'{"asOf":9,"events":[{"object":%s},{"object":%s}]}' % (odd, good))
    assert ([change.stored.name for change in changes.changes], changes.unreadable) == (["n-1"], 1)


def test_single_object_with_unreadable_content_is_known_by_its_revision():
    # A node replaces its own object by the revision, whoever wrote its content.
    stored = read_object(make_item(b"n-1", DEEP))
    assert (stored.name, stored.revision) == ("n-1", 3)


@pytest.mark.parametrize("cut", range(0, 200, 7))
def test_broken_reply_of_the_store_is_rejected(cut):
    body = b'{"asOf":9,"items":[%s]}' % make_item(b"n-1", DEEP[:60] + DEEP[-60:])
    assert isinstance(read_page(body[:cut]), InputError)


@pytest.mark.parametrize(
    "link",
    [
        "10.0.0.1:99999",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:\u00b2",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1",
        "10.0.0.300:80",
        "host.example:80",
        "a" * 70 + ".example:80",
        "",
    ],
)
def test_record_with_an_address_that_cannot_be_dialled_is_rejected(link):
    # The dials failed with other errors than those of a connection, again and again.
    record = NodeRecord("n-1", link, "s", "d", "r")
    assert isinstance(decode_node(StoredObject("n-1", 1, encode_node(record))), InputError)


@pytest.mark.parametrize(
    "number", [-1, -(10**400), 2**64, 10**400], ids=["-1", "-10^400", "2^64", "10^400"]
)
def test_time_out_of_range_in_stored_crashes_and_departures_is_rejected(number):
    # The age of such a crash can't be worked out, which ended the nodes that read it.
    crash = b'{"crashes":[{"instance":"i","atMs":%d,"requests":[]}]}' % number
    assert isinstance(decode_crashes(StoredObject("n", 1, crash)), InputError)
    departure = b'{"departures":[{"instance":"i","bornMs":%d,"atMs":1,"hasLeft":true}]}' % number
    assert isinstance(decode_departures(StoredObject("n", 1, departure)), InputError)


@pytest.mark.parametrize("decode", [decode_crashes, decode_departures])
def test_nested_content_of_crashes_and_departures_is_rejected(decode):
    content = b'{"other":%s}' % DEEP
    assert isinstance(decode(StoredObject("n", 1, content)), InputError)


def test_number_of_crashes_read_from_an_object_is_bounded():
    crash = b'{"instance":"i","atMs":%d,"requests":[%s]}'
    requests = b",".join(b'"%016x"' % number for number in range(1000))
    crashes = b",".join(crash % (number, requests) for number in range(100))
    found = decode_crashes(StoredObject("n", 1, b'{"crashes":[%s]}' % crashes))
    assert len(found) == MAX_CRASHES
    assert all(len(record.requests) == MAX_CRASH_REQUESTS for record in found)


def test_era_out_of_range_is_not_taken():
    assert read_era([(b"store-era", b"9" * 5000)]) is None
