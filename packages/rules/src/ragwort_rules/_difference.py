"""Compares two rules files rule by rule."""

from bisect import bisect_left
from dataclasses import dataclass
from enum import Enum

from ragwort_rules._model import Rule, Rules, list_rules


class ChangeKind(Enum):
    """How a rule differs between two rules files."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Change:
    """One rule that differs; ``old`` is None when it was added, ``new`` when it was removed."""

    kind: ChangeKind
    old: Rule | None
    new: Rule | None


_RuleKey = tuple[str, str, str]


def compare_rules(old: Rules, new: Rules) -> tuple[Change, ...]:
    """Return the rules that differ: removed rules first, then the others in their new order.

    Rules are identified by service, method and path. A rule that is otherwise unchanged but has
    another position relative to the other rules has moved. Moves are reported because the first
    matching rule applies.
    """
    before = {_get_key(rule): rule for rule in list_rules(old)}
    after = {_get_key(rule): rule for rule in list_rules(new)}
    moved = _find_moved(before, after)
    changes = [
        Change(ChangeKind.REMOVED, rule, None) for key, rule in before.items() if key not in after
    ]
    for key, rule in after.items():
        kind = _compare_rule(before.get(key), rule, key in moved)
        if kind is not None:
            changes.append(Change(kind, before.get(key), rule))
    return tuple(changes)


def _get_key(rule: Rule) -> _RuleKey:
    return rule.service, rule.method, rule.path


def _compare_rule(old: Rule | None, new: Rule, moved: bool) -> ChangeKind | None:
    if old is None:
        return ChangeKind.ADDED
    if (old.settings, old.member, old.reason) != (new.settings, new.member, new.reason):
        return ChangeKind.CHANGED
    return ChangeKind.MOVED if moved else None


def _find_moved(before: dict[_RuleKey, Rule], after: dict[_RuleKey, Rule]) -> set[_RuleKey]:
    positions = {key: position for position, key in enumerate(before)}
    common = [key for key in after if key in positions]
    kept = _find_longest_increasing([positions[key] for key in common])
    return {key for key in common if positions[key] not in kept}


def _find_longest_increasing(values: list[int]) -> set[int]:
    """Return the values of a longest increasing subsequence; all values must be distinct."""
    tails: list[int] = []
    previous: dict[int, int | None] = {}
    for value in values:
        length = bisect_left(tails, value)
        previous[value] = tails[length - 1] if length else None
        tails[length : length + 1] = [value]
    subsequence = set()
    value = tails[-1] if tails else None
    while value is not None:
        subsequence.add(value)
        value = previous[value]
    return subsequence
