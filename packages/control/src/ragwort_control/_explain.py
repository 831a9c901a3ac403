"""``explain``: shows which rule a call matches, and why."""

from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import unquote

from absl import flags
from expression import Error, Ok, Result
from ragwort_common import ServiceName
from ragwort_rules import (
    ANY_METHOD,
    Rule,
    Rules,
    Treatment,
    build_matcher,
    build_rule_finder,
    format_rule,
    list_rules,
    list_services,
)
from tabulate import tabulate

from ragwort_control._command import Command, Context, Failure, Outcome, Report, fail, fail_usage
from ragwort_control._file import parse_text, read_file
from ragwort_control._flags import define_platform_flags
from ragwort_control._platform import use_store
from ragwort_control._revision import CURRENT, read_text


@dataclass(frozen=True, slots=True)
class PassedRule:
    """An earlier rule of the same service that does not match the call."""

    line: int
    rule: str
    reason: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The rule that a call matches, the earlier ones that do not match, and the treatment."""

    source: str
    line: int
    rule: str
    member: str
    passed: list[PassedRule]
    treatment: Treatment


async def explain_call(context: Context) -> Outcome:
    """Find the rule that a call matches."""
    service, method, target = context.arguments
    if not target.startswith("/"):
        return Error(fail_usage(f"path '{target}' has no leading slash, expected one like /drums"))
    source = context.get_flag("rules") or CURRENT
    read = await _read_rules(context, source)
    # Nodes match the decoded path without its query string.
    path = unquote(target.partition("?")[0])
    return read.bind(lambda rules: _explain(source, rules, ServiceName(service), method, path))


async def _read_rules(context: Context, source: str) -> Result[Rules, Failure]:
    if context.get_flag("rules"):
        return read_file(source).bind(lambda text: parse_text(source, text))
    text = await use_store(context, lambda store: read_text(store, CURRENT))
    return text.bind(lambda found: parse_text(CURRENT, found))


def _explain(
    source: str, rules: Rules, service: ServiceName, method: str, path: str
) -> Result[Report, Failure]:
    if service not in list_services(rules):
        known = ", ".join(sorted(list_services(rules)))
        return Error(fail(f"no rule is for service '{service}'; {source} has rules for {known}"))
    rule = build_rule_finder(rules)(service, method, path)
    treatment = build_matcher(rules)(service, method, path)
    passed = _list_passed(rules, rule, service, method)
    if rule is None or treatment is None:
        lines = [f"{each.line}: {each.rule} ({each.reason})" for each in passed]
        return Error(
            fail(f"no rule of {source} is for {method} {path}; none of these matches:", *lines)
        )
    found = Explanation(source, rule.line, format_rule(rule), rule.member, passed, treatment)
    return Ok(Report(_describe(found, method, path), found))


def _list_passed(
    rules: Rules, matched: Rule | None, service: ServiceName, method: str
) -> list[PassedRule]:
    passed = []
    for rule in list_rules(rules):
        if rule is matched:
            break
        if rule.service == service:
            reason = "the path does not fit"
            if rule.method not in (ANY_METHOD, method):
                reason = f"the method is {rule.method}"
            passed.append(PassedRule(rule.line, format_rule(rule), reason))
    return passed


def _describe(found: Explanation, method: str, path: str) -> str:
    parts = [f"{method} {path} matches line {found.line} of {found.source}:", f"  {found.rule}"]
    if found.passed:
        rows = [(each.line, each.rule.partition("  #")[0], each.reason) for each in found.passed]
        parts += ["", "the first rule that matches applies; these earlier ones do not match:"]
        parts.append(tabulate(rows, ("line", "rule", "why not"), tablefmt="simple"))
    rows = [(name, _format(value)) for name, value in asdict(found.treatment).items()]
    parts += ["", tabulate(rows, ("treatment", "value"), tablefmt="simple", disable_numparse=True)]
    return "\n".join(parts)


def _format(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "any"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(getattr(value, "value", value))


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flags(values)
    flags.DEFINE_string(
        "rules", "", "Rules file to search instead of the current rules.", flag_values=values
    )


COMMAND = Command(
    name="explain",
    arguments="SERVICE METHOD PATH",
    summary="Show which rule a call matches, and why.",
    examples=(
        "explain --rules=hanbit.rules drum-tracking GET /drums/4711",
        "explain collections POST /collections/77/confirmation",
    ),
    argument_counts=range(3, 4),
    define_flags=_define_flags,
    run=explain_call,
)
