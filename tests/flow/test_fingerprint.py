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


@pytest.mark.parametrize(
    "change",
    [
        {"caller": b"route"},
        {"host": b"b.example"},
        {"method": "PUT"},
        {"target": b"/a/1?x=3"},
        {"body": b"two"},
        {"target": b"/a/1?x=2one", "body": b""},
        {"caller": b"druma", "host": b".example"},
    ],
)
def test_requests_that_differ_in_one_part_have_other_fingerprints(change):
    assert fingerprint_request(**REQUEST) != fingerprint_request(**{**REQUEST, **change})
