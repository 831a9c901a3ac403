"""Finds contradictory settings, duplicate and contradictory rules, and unreachable rules."""

from collections.abc import Iterator

from ragwort_rules._model import ANY_METHOD, Rule, RuleError, Rules, list_rules
from ragwort_rules._pattern import PatternTree, add_pattern, find_first_covering


def check_rules(rules: Rules) -> list[RuleError]:
    """Return the errors found by comparing a rule's settings, and the rules with each other."""
    found = list_rules(rules)
    errors = [error for rule in found for error in _check_settings(rule)]
    errors += _check_reachability(found)
    errors += _check_member_setting(found, "share")
    errors += _check_member_setting(found, "limit")
    return errors


def _check_settings(rule: Rule) -> Iterator[RuleError]:
    settings = rule.settings
    if settings.idempotent:
        if settings.key_required is not None:
            message = "an idempotent rule has key=, expected key= on non-idempotent rules only"
            yield RuleError(rule.line, message)
        return
    # A retry or a hedge could execute the call twice.
    for name, value in (("retries", settings.retries), ("hedge", settings.hedge_percent)):
        if value:
            message = f"a non-idempotent rule has {name}=, expected it on idempotent rules only"
            yield RuleError(rule.line, message)


def _check_reachability(rules: tuple[Rule, ...]) -> Iterator[RuleError]:
    """Report each rule whose calls are all matched by one earlier rule."""
    trees: dict[tuple[str, str], PatternTree] = {}
    for number, rule in enumerate(rules):
        earlier = _find_covering_rule(trees, rule)
        if earlier is not None:
            yield _describe_unreachable(rule, rules[earlier])
        tree = trees.setdefault((rule.service, rule.method), PatternTree())
        add_pattern(tree, rule.path, number)


def _find_covering_rule(trees: dict[tuple[str, str], PatternTree], rule: Rule) -> int | None:
    found = []
    for method in {rule.method, ANY_METHOD}:
        tree = trees.get((rule.service, method))
        number = find_first_covering(tree, rule.path) if tree else None
        if number is not None:
            found.append(number)
    return min(found, default=None)


def _describe_unreachable(rule: Rule, earlier: Rule) -> RuleError:
    same_calls = (rule.method, rule.path) == (earlier.method, earlier.path)
    if same_calls and rule.settings == earlier.settings and rule.member == earlier.member:
        message = f"the rule repeats line {earlier.line}, expected each rule once"
    elif same_calls:
        message = f"the rule contradicts line {earlier.line}, expected one rule for these calls"
    else:
        message = (
            f"the rule is unreachable because line {earlier.line} matches all of its calls, "
            "expected the narrower rule first"
        )
    return RuleError(rule.line, message)


def _check_member_setting(rules: tuple[Rule, ...], name: str) -> Iterator[RuleError]:
    """Report different values of a setting that applies to all calls of a member to a service."""
    first: dict[tuple[str, str], Rule] = {}
    for rule in rules:
        value = getattr(rule.settings, name)
        if value is None:
            continue
        earlier = first.setdefault((rule.service, rule.member), rule)
        known = getattr(earlier.settings, name)
        if known != value:
            yield RuleError(
                rule.line,
                f"{name}={value} contradicts {name}={known} on line {earlier.line}, "
                f"expected one {name} for member {rule.member} at service {rule.service}",
            )
