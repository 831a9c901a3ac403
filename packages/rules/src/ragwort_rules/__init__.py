"""Parsing, validation, formatting and matching of rules files."""

from ragwort_rules._difference import Change, ChangeKind, compare_rules
from ragwort_rules._matcher import (
    Matcher,
    RuleFinder,
    build_matcher,
    build_rule_finder,
    list_treatments,
)
from ragwort_rules._model import (
    ANY_METHOD,
    Mistake,
    Note,
    Parsed,
    Priority,
    Rule,
    Rules,
    Settings,
    Treatment,
    list_rules,
    list_services,
)
from ragwort_rules._parser import parse_rules
from ragwort_rules._printer import print_rule, print_rules

__all__ = [
    "ANY_METHOD",
    "Change",
    "ChangeKind",
    "Matcher",
    "Mistake",
    "Note",
    "Parsed",
    "Priority",
    "Rule",
    "RuleFinder",
    "Rules",
    "Settings",
    "Treatment",
    "build_matcher",
    "build_rule_finder",
    "compare_rules",
    "list_rules",
    "list_services",
    "list_treatments",
    "parse_rules",
    "print_rule",
    "print_rules",
]
