from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_rules import Note, format_rules, list_rules, list_services, parse_rules

EXAMPLES = Path(__file__).parents[2] / "docs" / "examples"
GOOD = "drums GET /a idempotent retries=1  # hanbit: lookups"


def find_errors(text):
    data = text if isinstance(text, bytes) else text.encode()
    return [(error.line, error.message) for error in parse_rules(data).errors]


@pytest.mark.parametrize(
    ("line", "wrong", "expected"),
    [
        ("drums GET /a", "no comment", "# member: reason"),
        ("drums GET /a  # lookups", "comment 'lookups' is incomplete", "# member: reason"),
        ("drums GET /a  # hanbit:", "comment 'hanbit:' is incomplete", "# member: reason"),
        ("drums GET /a  # Han Bit: x", "member 'Han Bit' is not a name", "lower-case"),
        ("drums GET  # hanbit: x", "the rule ends after 'GET'", "a service, a method and a path"),
        ("Drums GET /a  # hanbit: x", "service 'Drums'", "lower-case"),
        ("drums get /a  # hanbit: x", "method 'get'", "capitals"),
        ("drums GET a/b  # hanbit: x", "no leading slash", "/drums/*"),
        ("drums GET /a//b  # hanbit: x", "empty segment", "single slashes"),
        ("drums GET /**/b  # hanbit: x", "continues after **", "last segment"),
        ("drums GET /a-*  # hanbit: x", "segment 'a-*'", "whole segment"),
        ("drums GET /a?q  # hanbit: x", "segment 'a?q'", "plain text"),
        ("drums GET /" + "a/" * 40 + "  # hanbit: x", "41 segments", "32 at most"),
        ("drums GET /a fast  # hanbit: x", "setting 'fast' is unknown", "hedge="),
        ("drums GET /a deadline=1h  # hanbit: x", "deadline '1h'", "800ms or 2s"),
        ("drums GET /a deadline=0ms  # hanbit: x", "deadline '0ms'", "800ms or 2s"),
        ("drums GET /a deadline=9999s  # hanbit: x", "deadline '9999s'", "at most 3600s"),
        ("drums GET /a idempotent retries=9  # hanbit: x", "retries '9'", "0 to 2"),
        ("drums GET /a idempotent hedge=11%  # hanbit: x", "hedge '11%'", "at most 10%"),
        ("drums GET /a share=0  # hanbit: x", "share '0'", "1 to 100"),
        ("drums GET /a limit=x  # hanbit: x", "limit 'x'", "1 to 10000"),
        ("drums GET /a domains=a,,b  # hanbit: x", "failure domain ''", "lower-case"),
        ("drums GET /a domains=a,a  # hanbit: x", "contains a duplicate", "each once"),
        ("drums GET /a key=maybe  # hanbit: x", "key 'maybe'", "required or optional"),
        ("drums GET /a batch batch  # hanbit: x", "'batch' repeats", "one of them"),
        ("drums GET /a batch interactive  # hanbit: x", "'interactive' contradicts", "one of them"),
        ("drums GET /a retries=1  # hanbit: x", "non-idempotent rule has retries", "idempotent"),
        ("drums GET /a hedge=1%  # hanbit: x", "non-idempotent rule has hedge", "idempotent"),
        ("drums GET /a idempotent key=required  # hanbit: x", "idempotent rule has key=", "non-"),
        ("drums GET /a \x00  # hanbit: x", "control character 0x00 at column 14", "plain text"),
        (b"drums GET /a  # hanbit: caf\xe9", "byte 0xe9 at column 28", "UTF-8"),
    ],
)
def test_each_error_names_its_line_and_what_was_expected(line, wrong, expected):
    raw = line if isinstance(line, bytes) else line.encode()
    after = GOOD.replace("/a", "/good").encode()
    ((number, message),) = find_errors(b"# heading\n\n" + raw + b"\n" + after)
    assert number == 3
    assert wrong in message
    assert f"expected {message.partition('expected ')[2]}" in message
    assert expected in message


def test_all_errors_are_reported_at_once_in_line_order():
    text = f"{GOOD}\nX y z q  # : \n{GOOD}\ndrums GET /b retries=1 share=0\n"
    lines = [line for line, _ in find_errors(text)]
    assert lines == [2, 2, 2, 2, 2, 3, 4, 4]


@pytest.mark.parametrize(
    ("second", "wrong"),
    [
        (GOOD, "repeats line 1"),
        ("drums GET /a batch  # hanbit: x", "contradicts line 1"),
        ("drums GET /a idempotent retries=1  # indice: x", "contradicts line 1"),
    ],
)
def test_two_rules_for_the_same_calls_are_an_error(second, wrong):
    ((line, message),) = find_errors(f"{GOOD}\n{second}\n")
    assert line == 2
    assert wrong in message


@pytest.mark.parametrize(
    ("earlier", "later", "unreachable"),
    [
        ("GET /a/*", "GET /a/b", True),
        ("* /a/*", "GET /a/b", True),
        ("GET /a/*", "* /a/b", False),
        ("GET /**", "GET /a/*/c/**", True),
        ("GET /a/**", "GET /a", False),
        ("GET /a/**", "GET /a/", True),
        ("GET /a/*", "GET /a/", False),
        ("GET /a/*", "GET /a/**", False),
        ("GET /a/b", "GET /a/*", False),
        ("GET /*/b", "GET /a/*", False),
    ],
)
def test_an_unreachable_rule_is_an_error(earlier, later, unreachable):
    text = f"drums {earlier}  # hanbit: x\ndrums {later} batch  # hanbit: y\n"
    errors = find_errors(text)
    assert bool(errors) == unreachable
    assert all("because line 1 matches all of its calls" in message for _, message in errors)


@pytest.mark.parametrize("name", ["share", "limit"])
def test_a_member_has_one_share_and_one_limit_at_a_service(name):
    rule = "{} GET /{} {}={}  # {}: x\n"
    other = rule.format("drums", "b", name, 2, "indice") + rule.format("c", "a", name, 2, "hanbit")
    first = rule.format("drums", "a", name, 1, "hanbit")
    assert not find_errors(first + other)
    ((line, message),) = find_errors(first + other + rule.format("drums", "c", name, 2, "hanbit"))
    assert line == 4
    assert f"{name}=2 contradicts {name}=1 on line 1" in message


def test_byte_order_mark_crlf_and_tabs_change_nothing():
    odd = b"\xef\xbb\xbf" + GOOD.replace(" ", "\t").encode() + b"\r\n\r\n# end"
    parsed = parse_rules(odd)
    assert not parsed.errors
    assert format_rules(parsed.rules) == f"{GOOD}\n\n# end\n"


@pytest.mark.parametrize("data", [b"", b"\xef\xbb\xbf", b"\r\n\n", b"# only a comment"])
def test_a_file_without_a_rule_is_an_error(data):
    assert find_errors(data) == [(1, "the file contains no rule, expected at least one")]


def test_a_megabyte_of_rules_is_parsed_completely():
    line = "drums GET /a{}/*/c{} idempotent deadline=800ms retries=1 hedge=2%  # hanbit: lookups\n"
    data = "".join(line.format(n, n) for n in range(12_500)).encode()
    assert len(data) > 1_000_000
    parsed = parse_rules(data + b"oops\n")
    assert len(list_rules(parsed.rules)) == 12_500
    assert {error.line for error in parsed.errors} == {12_501}


@pytest.mark.parametrize("name", ["hanbit", "indice"])
def test_example_files_have_no_errors_and_are_formatted_unchanged(name):
    data = (EXAMPLES / f"{name}.rules").read_bytes()
    parsed = parse_rules(data)
    assert parsed.errors == ()
    assert len(list_services(parsed.rules)) == 3
    assert format_rules(parsed.rules).encode() == data


settings = (
    "idempotent non-idempotent batch interactive deadline=2s retries=1 hedge=0.5% key=required "
    "share=2 limit=9 domains=a,b"
)
odd = ["drums", "GET", "POST", "*", "/", "/a", "/*", "/a/**", "#", ":", "hanbit:", "x#y", "é"]
words = st.sampled_from([*settings.split(), *odd, "\t", "\r", "\ufeff", "\x00"])
texts = st.lists(st.lists(words, max_size=9).map(" ".join), max_size=6).map("\n".join)
rule_paths = st.sampled_from(["/a", "/*", "/a/b", "/a/**", "/b/"])
rule_words = st.lists(st.sampled_from(settings.split()), max_size=3).map(" ".join)
rule_lines = st.lists(st.tuples(rule_paths, rule_words), max_size=6).map(
    lambda lines: "\n".join(f"d GET {path} {words} # hanbit: x {path}" for path, words in lines)
)


@given(st.one_of(texts, rule_lines, st.binary(max_size=80)))
def test_any_input_is_reported_or_parses_to_the_same_rules_after_formatting(text):
    data = text if isinstance(text, bytes) else text.encode()
    parsed = parse_rules(data)
    assert all(1 <= error.line <= data.count(b"\n") + 1 for error in parsed.errors)
    assert all(a.line < b.line for a, b in pairwise(parsed.rules.lines))
    if parsed.errors:
        return
    again = parse_rules(format_rules(parsed.rules).encode())
    assert again == parsed
    kept = [line.text for line in parsed.rules.lines if isinstance(line, Note)]
    assert [note.strip() for note in kept if note] == [
        line.strip() for line in data.decode("utf-8-sig").split("\n") if line.lstrip()[:1] == "#"
    ]
