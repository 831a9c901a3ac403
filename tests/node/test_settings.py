import pytest
from ragwort_node._settings import Settings, load_settings

GOOD = """\
node:
  id: n1
  service: drum-tracking
  region: gyeonggi
  failure_domain: siheung
server:
  address: 127.0.0.1:8080
platform:
  url: http://127.0.0.1:8500
"""


def load(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    result = load_settings(path)
    if isinstance(result, Settings):
        return result
    return [str(error).removeprefix(f"{path}:") for error in result]


def test_the_operators_file_overrides_the_defaults(tmp_path):
    settings = load(tmp_path, GOOD + "  timeout_ms: 5\n")
    assert settings.platform.timeout_ms == 5
    assert settings.platform.calls_per_s == 30
    assert settings.node.id == "n1"


def test_every_error_is_reported_with_its_line(tmp_path):
    errors = load(tmp_path, GOOD + "  timeout: 5\n  calls_per_s: -1\nodd:\n  a: 1\n")
    assert [error.partition(":")[0] for error in errors] == ["10", "11", "12"]
    assert "platform.timeout is not a setting" in errors[0]
    assert "greater than 0" in errors[1]


def test_missing_settings_are_named(tmp_path):
    errors = load(tmp_path, "")
    assert "1: node.id is missing, expected a value" in errors
    assert len(errors) == 6


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"\xff\xfe\x00", "1: is not UTF-8 text"),
        ("- a\n", "1: is not a mapping of sections"),
        ("node: {a: 1\n", "2: is not valid YAML"),
        ("node:\n  id: a\n  id: b\n", "3: is not valid YAML"),
        ("node: 5\n", "1: node is 5"),
    ],
)
def test_each_error_in_an_invalid_file_is_one_line(tmp_path, text, expected):
    errors = load(tmp_path, text)
    assert any(error.startswith(expected) for error in errors)
    assert all("\n" not in error for error in errors)


def test_a_byte_order_mark_and_crlf_are_accepted(tmp_path):
    text = b"\xef\xbb\xbf" + GOOD.replace("\n", "\r\n").encode()
    assert load(tmp_path, text).node.region == "gyeonggi"


def test_a_file_that_cannot_be_read(tmp_path):
    (error,) = load_settings(tmp_path / "none.yaml")
    assert "cannot be read" in str(error)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("statsd:\n  host: metrics.example\n", "11: statsd.host is 'metrics.example': expected an"),
        ("addresses:\n  link: host:80\n", "11: addresses.link is 'host:80': expected an IPv4"),
        (
            "addresses:\n  link: 1.2.3.4:65536\n",
            "11: addresses.link is '1.2.3.4:65536': expected a",
        ),
        (
            "addresses:\n  link: 1.2.3.400:1\n",
            "11: addresses.link is '1.2.3.400:1': expected an IPv4",
        ),
        ("addresses:\n  link: 1.2.3.4\n", "11: addresses.link is '1.2.3.4': expected an IPv4"),
        ("admin:\n  token: ''\n", "11: admin.token is '': string should have at least 1"),
    ],
)
def test_host_names_wrong_ports_and_an_empty_token_are_errors(tmp_path, text, expected):
    (error,) = load(tmp_path, GOOD + text)
    assert error.startswith(expected)
