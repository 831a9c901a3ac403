"""Fingerprints of requests."""

import pytest
from ragwort_flow import fingerprint_request

REQUEST = {
    "caller": b"drum",
    "host": b"a.example",
    "method": "POST",
    "target": b"/a/1?x=2",
    "body": b"one",
}


def test_same_request_has_the_same_fingerprint():
    assert fingerprint_request(**REQUEST) == fingerprint_request(**dict(REQUEST))


def test_requests_that_differ_in_the_query_share_the_first_fingerprint_alone():
    first, exact = fingerprint_request(**REQUEST)
    other_first, other_exact = fingerprint_request(**{**REQUEST, "target": b"/a/1?x=3"})
    assert first == other_first and exact != other_exact
    assert fingerprint_request(**{**REQUEST, "target": b"/a/1"}) == [first]


@pytest.mark.parametrize(
    "change",
    [
        {"caller": b"route"},
        {"host": b"b.example"},
        {"method": "PUT"},
        {"target": b"/a/2?x=2"},
        {"body": b"two"},
        {"target": b"/a/1one?x=2", "body": b""},
        {"caller": b"druma", "host": b".example"},
    ],
)
def test_requests_that_differ_in_one_part_have_other_fingerprints(change):
    changed = fingerprint_request(**{**REQUEST, **change})
    assert set(changed).isdisjoint(fingerprint_request(**REQUEST))
