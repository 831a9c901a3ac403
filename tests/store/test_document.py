import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_store import (
    Announcement,
    RulesDocument,
    decode_announcement,
    decode_rules_document,
    encode_announcement,
    encode_rules_document,
    history_path,
)

strings = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
documents = st.builds(
    RulesDocument,
    revision=st.integers(0, 2**62),
    author=strings,
    applied_at=strings,
    apply_id=strings,
    text=st.binary(max_size=200),
)
addresses = st.builds("{}:{}".format, st.ip_addresses(v=4), st.integers(1, 65_535))
announcements = st.builds(
    Announcement, *[strings] * 4, *[addresses] * 3, incarnation=st.integers(0, 2**62)
)


@given(documents)
def test_a_rules_document_is_decoded_as_it_was_encoded(document):
    assert decode_rules_document(encode_rules_document(document)).ok == document


@given(announcements)
def test_an_announcement_is_decoded_as_it_was_encoded(announcement):
    assert decode_announcement(encode_announcement(announcement)).ok == announcement


malformed = st.one_of(
    st.binary(max_size=60),
    st.recursive(st.none() | st.integers() | strings, st.lists).map(
        lambda v: json.dumps(v).encode()
    ),
    documents.map(lambda d: encode_rules_document(d)[:-3]),
)


@given(malformed)
def test_malformed_data_returns_an_error(data):
    assert decode_rules_document(data).is_error()
    assert decode_announcement(data).is_error()


@pytest.mark.parametrize("revision", [-1, "1", 1.0, True, None, 1 << 63])
def test_a_revision_out_of_range_or_of_another_type_returns_an_error(revision):
    fields = {"revision": revision, "author": "", "applied_at": "", "apply_id": "", "text": ""}
    assert decode_rules_document(json.dumps(fields).encode()).is_error()


def test_history_paths_sort_by_revision():
    assert history_path(9) == "rules/history/0000000009" < history_path(10)


@pytest.mark.parametrize("address", ["10.0.0.1:99999", "10.0.0.1:x", "10.0.0.1:0", "host:80"])
def test_announcement_with_an_address_that_cannot_be_dialled_returns_an_error(address):
    # The error of the dial was not that of a connection, and ended the task that sent.
    fields = json.loads(encode_announcement(announcement := make_announcement()))
    assert decode_announcement(json.dumps(fields).encode()).ok == announcement
    for name in ("link_address", "entry_address", "control_address"):
        assert decode_announcement(json.dumps({**fields, name: address}).encode()).is_error()


def make_announcement():
    address = "10.0.0.1:80"
    return Announcement("n", "s", "r", "d", address, address, address, 1)
