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
    Note,
    ParseResult,
    Priority,
    Rule,
    RuleError,
    Rules,
    Settings,
    Treatment,
    list_rules,
    list_services,
)
from ragwort_rules._parser import parse_rules
from ragwort_rules._printer import format_rule, format_rules

__all__ = [
    "ANY_METHOD",
    "Change",
    "ChangeKind",
    "Matcher",
    "Note",
    "ParseResult",
    "Priority",
    "Rule",
    "RuleError",
    "RuleFinder",
    "Rules",
    "Settings",
    "Treatment",
    "build_matcher",
    "build_rule_finder",
    "compare_rules",
    "format_rule",
    "format_rules",
    "list_rules",
    "list_services",
    "list_treatments",
    "parse_rules",
]
