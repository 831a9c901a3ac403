import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import Epoch, NodeId
from ragwort_policy import (
    NOBODY,
    JournalHead,
    OwnerMap,
    choose_owner,
    count_excess,
    decode_head,
    encode_head,
    get_key_range,
    hash_key,
    read_timestamp_ms,
)

NODES = [NodeId(f"node {number}") for number in range(24)]
UUID7 = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"  # the UUIDv7 example of RFC 9562, appendix A.6


def test_the_timestamp_of_a_uuid7_is_read():
    assert read_timestamp_ms(UUID7) == 0x017F22E279B0
    assert read_timestamp_ms(f'"{UUID7.upper()}"') == 0x017F22E279B0


@given(st.uuids(version=4).map(str) | st.text(max_size=60))
def test_other_keys_have_no_timestamp(key):
    assert read_timestamp_ms(key) == 0


@given(st.integers(0, 2**48 - 1), st.integers(0, 2**74 - 1))
def test_the_timestamp_matches_the_rfc_layout(timestamp_ms, rest):
    value = timestamp_ms << 80 | 7 << 76 | (rest >> 62) << 64 | 2 << 62 | rest & (2**62 - 1)
    assert read_timestamp_ms(str(uuid.UUID(int=value))) == timestamp_ms


@pytest.mark.parametrize(
    ("one", "other", "same"),
    [
        (("s", "m", UUID7), ("s", "m", f'"{UUID7.upper()}"'), True),
        (("s", "m", "Key"), ("s", "m", "key"), False),
        (("s", "mk", "ey"), ("s", "m", "key"), False),
        (("s", "m", "key"), ("s", "n", "key"), False),
    ],
)
def test_hashes_differ_by_service_member_and_key(one, other, same):
    assert (hash_key(*one) == hash_key(*other)) is same


def test_keys_spread_over_all_ranges():
    counts = [0] * 64
    for number in range(6_400):
        counts[get_key_range(hash_key("s", "m", str(number)))] += 1
    assert min(counts) > 50
    assert max(counts) < 150


def test_ranges_are_assigned_evenly_and_alike_on_every_node():
    held = {}
    for key_range in range(64):
        chosen = {choose_owner(key_range, order, held, 64) for order in (NODES, NODES[::-1])}
        assert len(chosen) == 1
        owner = chosen.pop()
        held[owner] = held.get(owner, 0) + 1
    assert max(held.values()) <= 3
    assert choose_owner(0, [], {}, 64) is None


def test_an_owner_releases_only_what_is_over_twice_its_share():
    assert [count_excess(held, 24, 64) for held in (3, 6, 8)] == [0, 0, 2]


def test_an_older_epoch_is_ignored_and_a_release_ends_its_epoch():
    owners = OwnerMap()
    assert owners.record(1, NodeId("a"), Epoch(2))
    assert not owners.record(1, NodeId("b"), Epoch(1))
    assert owners.find(1).node == "a"
    assert owners.count_ranges() == {"a": 1}
    assert owners.record(1, NOBODY, Epoch(2))
    assert not owners.record(1, NodeId("a"), Epoch(2))
    assert owners.find(1).node == NOBODY


@given(st.lists(st.binary(min_size=8, max_size=8), max_size=9), st.integers(0, 2**60))
def test_a_head_round_trips_through_its_encoding(marks, number):
    head = JournalHead(Epoch(number), number, number + 1, 5, b"".join(marks))
    assert decode_head(encode_head(head)) == head
    assert decode_head(encode_head(head)[:-1]) is None
