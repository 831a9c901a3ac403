from hypothesis import given
from hypothesis import strategies as st
from ragwort_rules import ChangeKind, compare_rules, parse_rules

TEXT = {
    name: f"d GET /{name}  # hanbit: {name}\n" for name in ("a", "b", "c", "d", "e", "f", "g", "h")
}


def compare(old, new):
    changes = compare_rules(parse_rules(old.encode()).rules, parse_rules(new.encode()).rules)
    return [(change.kind.value, (change.new or change.old).path) for change in changes]


def test_each_kind_of_change_is_reported():
    old = TEXT["a"] + TEXT["b"] + TEXT["c"] + "# note\n" + TEXT["d"]
    new = TEXT["d"] + TEXT["a"].replace("GET /a", "GET /a batch") + TEXT["b"] + TEXT["e"]
    found = compare(old, new)
    assert found == [("removed", "/c"), ("moved", "/d"), ("changed", "/a"), ("added", "/e")]


def test_a_changed_comment_is_a_change():
    assert compare(TEXT["a"], TEXT["a"].replace(": a", ": b")) == [("changed", "/a")]


@given(st.lists(st.sampled_from(sorted(TEXT)), unique=True), st.permutations(sorted(TEXT)))
def test_rules_not_reported_as_different_keep_their_order(old, new):
    changes = compare_rules(
        *(parse_rules("".join(map(TEXT.get, n)).encode()).rules for n in (old, new))
    )
    reported = {(change.new or change.old).path[1:] for change in changes}
    assert [name for name in old if name not in reported] == [n for n in new if n not in reported]
    moved = sum(change.kind is ChangeKind.MOVED for change in changes)
    assert moved < max(1, len(old))
