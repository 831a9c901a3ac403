"""``diff``: shows how two texts of rules differ."""

from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result
from ragwort_rules import Change, compare_rules, format_rule

from ragwort_control._command import Command, Context, Failure, Outcome, Report
from ragwort_control._file import parse_text, read_file
from ragwort_control._flags import define_platform_flags
from ragwort_control._platform import use_store
from ragwort_control._revision import CURRENT, compare_texts, is_file_name, read_text
from ragwort_control._store import Store


@dataclass(frozen=True, slots=True)
class ChangedRule:
    """One rule that differs, as ``--json`` prints it; empty on the side that lacks it."""

    kind: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Difference:
    """How two texts differ, line by line and rule by rule."""

    old: str
    new: str
    diff: list[str]
    changes: list[ChangedRule]


async def diff_texts(context: Context) -> Outcome:
    """Compare two texts of rules."""
    arguments = context.arguments if len(context.arguments) > 1 else (CURRENT, *context.arguments)
    if all(is_file_name(argument) for argument in arguments):
        texts = read_file(arguments[0]).bind(
            lambda old: read_file(arguments[1]).map(lambda new: [old, new])
        )
    else:
        texts = await use_store(context, lambda store: _read_texts(store, arguments))
    return texts.bind(lambda found: _compare(arguments, found))


async def _read_texts(store: Store, arguments: tuple[str, ...]) -> Result[list[bytes], Failure]:
    texts = []
    for argument in arguments:
        text = await read_text(store, argument)
        if text.is_error():
            return Error(text.error)
        texts.append(text.ok)
    return Ok(texts)


def _compare(arguments: tuple[str, ...], texts: list[bytes]) -> Outcome:
    both = []
    for argument, text in zip(arguments, texts, strict=True):
        rules = parse_text(argument, text)
        if rules.is_error():
            return Error(rules.error)
        both.append(rules.ok)
    changes = compare_rules(*both)
    lines = compare_texts(*texts, *arguments)
    found = Difference(*arguments, lines, [_describe_change(change) for change in changes])
    summary = list(_summarise(changes)) or ["no rule differs"]
    return Ok(Report("\n".join([*lines, *summary]), found))


def _describe_change(change: Change) -> ChangedRule:
    old = format_rule(change.old) if change.old else ""
    new = format_rule(change.new) if change.new else ""
    return ChangedRule(change.kind.value, old, new)


def _summarise(changes: tuple[Change, ...]) -> Iterator[str]:
    for change in changes:
        rule = change.new or change.old
        if rule is not None:
            yield f"{change.kind.value}: {rule.service} {rule.method} {rule.path}"


COMMAND = Command(
    name="diff",
    arguments="[OLD] NEW",
    summary="Show how two texts differ; each is a revision number, 'current' or a file.",
    examples=("diff hanbit.rules", "diff 10 current", "diff 10 11 --json"),
    argument_counts=range(1, 3),
    define_flags=define_platform_flags,
    run=diff_texts,
)
