"""Formats rules as the text of a rules file."""

from ragwort_rules._model import Note, Rule, Rules
from ragwort_rules._settings import format_settings


def format_rules(rules: Rules) -> str:
    """Return the text of a rules file, with single spaces between words and all comments."""
    return "".join(f"{_format_line(line)}\n" for line in rules.lines)


def _format_line(line: Rule | Note) -> str:
    return line.text if isinstance(line, Note) else format_rule(line)


def format_rule(rule: Rule) -> str:
    """Return one rule as a line of a rules file."""
    words = [rule.service, rule.method, rule.path, *format_settings(rule.settings)]
    return f"{' '.join(words)}  # {rule.member}: {rule.reason}"
