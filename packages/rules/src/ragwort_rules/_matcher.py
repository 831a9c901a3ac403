"""Finds the rule for a call: the first one in file order that matches."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwort_common import Member, ServiceName

from ragwort_rules._model import (
    ANY_METHOD,
    DEFAULT_DEADLINE_MS,
    DEFAULT_SHARE,
    Priority,
    Rule,
    Rules,
    Treatment,
    list_rules,
)
from ragwort_rules._pattern import PatternTree, add_pattern, find_first_match, split_path

Matcher = Callable[[ServiceName, str, str], Treatment | None]
RuleFinder = Callable[[ServiceName, str, str], Rule | None]


def build_matcher(rules: Rules) -> Matcher:
    """Return a function that looks up the treatment of a call.

    The function takes the service, the HTTP method and the path without its query string. It
    returns None when no rule matches.
    """
    find = _build_lookup(rules)
    treatments = list_treatments(rules)

    def match(service: ServiceName, method: str, path: str) -> Treatment | None:
        number = find(service, method, path)
        return None if number is None else treatments[number]

    return match


def build_rule_finder(rules: Rules) -> RuleFinder:
    """Return a function like that of ``build_matcher`` that looks up the rule itself."""
    find = _build_lookup(rules)
    found = list_rules(rules)

    def find_rule(service: ServiceName, method: str, path: str) -> Rule | None:
        number = find(service, method, path)
        return None if number is None else found[number]

    return find_rule


@dataclass(slots=True)
class _ServiceIndex:
    """Pattern trees of one service: one per method that a rule names, and one for the others."""

    methods: dict[str, PatternTree] = field(default_factory=dict)
    others: PatternTree = field(default_factory=PatternTree)


def _build_lookup(rules: Rules) -> Callable[[ServiceName, str, str], int | None]:
    services = _index_rules(list_rules(rules))

    def find(service: ServiceName, method: str, path: str) -> int | None:
        index = services.get(service)
        if index is None:
            return None
        return find_first_match(index.methods.get(method, index.others), split_path(path))

    return find


def _index_rules(rules: tuple[Rule, ...]) -> dict[ServiceName, _ServiceIndex]:
    services: dict[ServiceName, _ServiceIndex] = {}
    for rule in rules:
        index = services.setdefault(rule.service, _ServiceIndex())
        index.methods.setdefault(rule.method, PatternTree())
    for number, rule in enumerate(rules):
        index = services[rule.service]
        for tree in _list_trees(index, rule.method):
            add_pattern(tree, rule.path, number)
    return services


def _list_trees(index: _ServiceIndex, method: str) -> list[PatternTree]:
    # Rules for any method are added to every tree, so that a lookup searches only one tree.
    if method == ANY_METHOD:
        return [index.others, *index.methods.values()]
    return [index.methods[method]]


def list_treatments(rules: Rules) -> tuple[Treatment, ...]:
    """Return the treatment of each rule, in the order of ``list_rules``.

    A share or limit on any line applies to all calls of that member to the service.
    """
    found = list_rules(rules)
    shares: dict[tuple[ServiceName, Member], int] = {}
    limits: dict[tuple[ServiceName, Member], int] = {}
    for rule in found:
        if rule.settings.share is not None:
            shares[rule.service, rule.member] = rule.settings.share
        if rule.settings.limit is not None:
            limits[rule.service, rule.member] = rule.settings.limit
    return tuple(_build_treatment(rule, shares, limits) for rule in found)


def _build_treatment(
    rule: Rule,
    shares: dict[tuple[ServiceName, Member], int],
    limits: dict[tuple[ServiceName, Member], int],
) -> Treatment:
    key = (rule.service, rule.member)
    settings = rule.settings
    return Treatment(
        member=rule.member,
        idempotent=bool(settings.idempotent),
        priority=settings.priority or Priority.INTERACTIVE,
        deadline_ms=settings.deadline_ms or DEFAULT_DEADLINE_MS,
        retries=settings.retries or 0,
        hedge_percent=settings.hedge_percent or 0.0,
        share=shares.get(key, DEFAULT_SHARE),
        limit=limits.get(key),
        domains=frozenset(settings.domains or ()),
        key_required=bool(settings.key_required),
    )
