from fnmatch import fnmatchcase

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from ragwort_rules import (
    Note,
    Priority,
    Rules,
    Treatment,
    build_matcher,
    build_rule_finder,
    list_rules,
    list_treatments,
    parse_rules,
)


def read(text):
    parsed = parse_rules(text.encode())
    assert parsed.errors == ()
    return parsed.rules


def fits_path(pattern, path):
    """Compare segment by segment, as a reference implementation."""
    wanted, given_ = pattern.split("/")[1:], path.split("/")[1:]
    if wanted[-1] == "**":
        if len(given_) < len(wanted):
            return False
        wanted, given_ = wanted[:-1], given_[: len(wanted) - 1]
    if len(wanted) != len(given_):
        return False
    return all(
        a == b or (a == "*" and fnmatchcase(b, "?*")) for a, b in zip(wanted, given_, strict=True)
    )


def match_naively(rules, service, method, path):
    for rule in list_rules(rules):
        if rule.service != service or rule.method not in ("*", method):
            continue
        if fits_path(rule.path, path):
            return rule
    return None


segments = st.sampled_from(["a", "b", "*"])
patterns = st.tuples(
    st.lists(segments, max_size=3), st.sampled_from(["", "a", "b", "*", "**"])
).map(lambda parts: "/" + "/".join([*parts[0], parts[1]]))
headings = st.tuples(st.sampled_from("dc"), st.sampled_from(["GET", "POST", "*"]), patterns)
paths = st.lists(st.sampled_from(["a", "b", "c", ""]), min_size=1, max_size=4).map(
    lambda parts: "/" + "/".join(parts)
)
calls = st.tuples(st.sampled_from("dce"), st.sampled_from(["GET", "POST", "PUT"]), paths)


def parse_headings(found):
    lines = [f"{s} {m} {p} deadline={n + 1}ms  # x: y" for n, (s, m, p) in enumerate(found)]
    return parse_rules("\n".join(lines).encode())


@given(st.lists(headings, max_size=12), st.lists(calls, min_size=1, max_size=12))
@example([("d", "GET", "/a/*"), ("d", "*", "/**")], [("d", "GET", "/a/"), ("d", "GET", "/a/b")])
def test_the_matcher_agrees_with_a_linear_search(found, asked):
    # Unreachable rules are errors, but are kept here so that they are tested as well.
    rules = parse_headings(found).rules
    match = build_matcher(rules)
    find_rule = build_rule_finder(rules)
    by_rule = dict(zip(list_rules(rules), list_treatments(rules), strict=True))
    for call in asked:
        rule = match_naively(rules, *call)
        assert find_rule(*call) == rule
        assert match(*call) == by_rule.get(rule)


@given(st.lists(headings, min_size=1, max_size=10), st.lists(calls, max_size=20))
def test_a_rule_reported_as_unreachable_matches_no_call(found, asked):
    parsed = parse_headings(found)
    unreachable = {error.line for error in parsed.errors}
    matched = {rule.line for call in asked if (rule := match_naively(parsed.rules, *call))}
    assert not unreachable & matched
    kept = Rules(tuple(rule for rule in parsed.rules.lines if rule.line not in unreachable))
    for call in asked:
        assert match_naively(kept, *call) == match_naively(parsed.rules, *call)


def test_defaults_are_the_safe_ones():
    match = build_matcher(read("d GET /a  # hanbit: x\n"))
    assert match("d", "GET", "/a") == Treatment(member="hanbit")
    assert Treatment("hanbit") == Treatment(
        "hanbit", False, Priority.INTERACTIVE, 10_000, 0, 0.0, 1, None, frozenset(), False
    )


def test_every_setting_reaches_the_treatment():
    line = "d GET /a idempotent batch deadline=2s retries=2 hedge=0.5% share=3 limit=4 domains=x,y"
    match = build_matcher(read(f"{line}  # hanbit: x\nd POST /a key=required  # hanbit: y\n"))
    assert match("d", "GET", "/a") == Treatment(
        "hanbit", True, Priority.BATCH, 2_000, 2, 0.5, 3, 4, frozenset(["x", "y"])
    )
    # The share and the limit apply to all rules of the member, whichever line has them.
    assert match("d", "POST", "/a") == Treatment("hanbit", share=3, limit=4, key_required=True)


@pytest.mark.parametrize("call", [("e", "GET", "/a"), ("d", "PUT", "/a"), ("d", "GET", "/b")])
def test_a_call_without_a_rule_has_no_treatment(call):
    assert build_matcher(read("d GET /a  # hanbit: x\n"))(*call) is None


def test_notes_do_not_shift_treatments():
    rules = Rules((Note(1, "# x"), *read("d GET /a deadline=5ms  # hanbit: x\n").lines))
    assert build_matcher(rules)("d", "GET", "/a").deadline_ms == 5
