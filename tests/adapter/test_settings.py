import json

import pytest
from ragwort_model import InputError, NodeSettings
from ragwort_platform import decode_settings

SETTINGS = {
    "nodeName": "sidecar-a-1",
    "role": "node",
    "zone": "a",
    "region": "r",
    "service": "s",
    "appAddr": "10.1.0.8:8301",
    "listenAddrs": {
        "inbound": "10.1.0.8:8300",
        "outbound": "10.1.0.8:8304",
        "ready": "10.1.0.8:8302",
        "control": "10.1.0.8:8306",
    },
    "platform": {"addr": "10.200.1.7:8309", "form": "objects", "writesPerS": 400},
    "bounds": [
        "graceS=5.5",
        "budgetRatio=0.1",
        "budgetExtraTries=30",
        "stableWindowMs=3000",
        "later=true",
    ],
    "newField": {"ignored": True},
}


def decode(**changes):
    return decode_settings(json.dumps({**SETTINGS, **changes}).encode(), "file")


def test_settings_fields_are_decoded():
    settings = decode()
    assert isinstance(settings, NodeSettings)
    assert settings.addresses.entry == "10.1.0.8:8304"
    assert settings.addresses.link == "10.1.0.8:8300"
    assert settings.failure_domain == "a"
    assert settings.bounds.grace_s == 5.5
    assert settings.bounds.retry_ratio == 0.1
    assert settings.bounds.retry_extra == 30
    assert settings.bounds.retry_window_s == 10
    assert settings.bounds.settle_s == 3


@pytest.mark.parametrize(
    ("changes", "part"),
    [
        ({"appAddr": "10.1.0.8"}, "server address '10.1.0.8' is not HOST:PORT"),
        ({"service": 3}, "$.service"),
        ({"bounds": ["graceS"]}, "'graceS' is not NAME=VALUE"),
        ({"bounds": ["graceS=soon"]}, "graceS is not a number: 'soon'"),
    ],
)
def test_error_is_one_line_with_the_file_and_the_invalid_item(changes, part):
    error = decode(**changes)
    assert isinstance(error, InputError)
    assert str(error).startswith("file: ")
    assert part in str(error)
    assert "\n" not in str(error)


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"{"])
def test_content_that_is_not_settings_is_rejected(data):
    assert isinstance(decode_settings(data, "file"), InputError)
