"""``apply``: makes a rules file the current revision."""

import getpass
import uuid
from dataclasses import dataclass
from datetime import UTC, datetime

from absl import flags
from expression import Error, Ok, Result
from ragwort_common import Revision
from ragwort_rules import ChangeKind, Rules, compare_rules
from ragwort_store import MAX_OBJECT_BYTES, RulesDocument, encode_rules_document

from ragwort_control._command import (
    Command,
    Context,
    Failure,
    Outcome,
    Report,
    fail,
    fail_uncertain,
    fail_usage,
)
from ragwort_control._file import parse_text, read_rules
from ragwort_control._flags import define_platform_flags
from ragwort_control._platform import use_store
from ragwort_control._replacement import Replacement, ReplacementStatus, replace_rules
from ragwort_control._revision import (
    CurrentRules,
    RevisionRow,
    build_revision_row,
    compare_texts,
    describe_revision,
    read_current,
    read_past,
)
from ragwort_control._store import Store


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The revision that is current after the command, the one it replaced, and how they differ."""

    revision: RevisionRow
    replaced: int
    written: bool
    diff: list[str]
    changes: dict[str, int]


async def apply_file(context: Context) -> Outcome:
    """Check a rules file and make it the current revision."""
    (name,) = context.arguments
    read = read_rules(name)
    if read.is_error():
        return Error(read.error)
    author = _get_author(context)
    if author.is_error():
        return Error(author.error)
    text, rules = read.ok
    return await use_store(
        context, lambda store: _apply_text(context, store, author.ok, text, rules)
    )


def _get_author(context: Context) -> Result[str, Failure]:
    try:
        author = context.get_flag("author") or getpass.getuser()
    except (OSError, KeyError, ImportError):
        author = ""
    if not author.strip() or not author.isprintable():
        return Error(fail_usage("the author is unknown, expected --author=NAME"))
    return Ok(author)


async def _apply_text(
    context: Context, store: Store, author: str, text: bytes, rules: Rules
) -> Outcome:
    read = await read_current(store)
    if read.is_error():
        return Error(read.error)
    current = read.ok
    if current is not None and current.document.text == text:
        return Ok(_report_unchanged(current.document))
    expected = await _check_expected(store, context.get_flag("expect-version"), current, text)
    if expected is not None:
        return Error(expected)
    document = _build_document(current, context.get_flag("above"), author, text)
    size = len(encode_rules_document(document))
    if size > MAX_OBJECT_BYTES:
        expected_size = f"expected {MAX_OBJECT_BYTES} at most"
        return Error(fail_usage(f"the rules take {size} bytes on the platform, {expected_size}"))
    replacement = await replace_rules(store, current, document, context.pause)
    return _report_replacement(replacement, current, document, rules)


async def _check_expected(
    store: Store, expected: int | None, current: CurrentRules | None, text: bytes
) -> Failure | None:
    """Return why the file may not replace the current revision, or None if it may.

    Without an expected version, a file that was edited before another operator's change would
    silently undo that change.
    """
    found = current.document.revision if current else 0
    if expected == found or (expected is None and current is None):
        return None
    if current is None:
        return fail(f"the platform holds no rules yet, but --expect-version is {expected}")
    if expected is None:
        return _require_expected_version(current.document, text)
    base = await read_past(store, expected)
    base_text = base.ok.text if base.is_ok() and base.ok else None
    reason = f"{describe_revision(current.document)} is current, but --expect-version is {expected}"
    return _describe_conflict(reason, expected, base_text, current.document)


def _require_expected_version(current: RulesDocument, text: bytes) -> Failure:
    flag = f"--expect-version={current.revision}"
    return fail_usage(
        f"{describe_revision(current)} is current, expected {flag} after reviewing the changes:",
        *compare_texts(current.text, text, f"revision {current.revision}", "your file"),
    )


def _describe_conflict(
    reason: str, base: int, base_text: bytes | None, competing: RulesDocument
) -> Failure:
    """Return the failure that shows the operator what someone else changed in the meantime."""
    advice = f"merge that into your file, then apply with --expect-version={competing.revision}"
    if base_text is None:
        return fail(f"nothing was applied: {reason}", advice)
    names = (f"revision {base}", f"revision {competing.revision}")
    diff = compare_texts(base_text, competing.text, *names)
    between = competing.revision - base - 1
    also = f", after others that 'history' lists since revision {base}" if between > 0 else ""
    return fail(f"nothing was applied: {reason}{also}; what changed:", *diff, advice)


def _build_document(
    current: CurrentRules | None, above: int, author: str, text: bytes
) -> RulesDocument:
    latest = max(current.document.revision if current else 0, above)
    return RulesDocument(
        revision=Revision(latest + 1),
        author=author,
        applied_at=datetime.now(UTC).isoformat(timespec="seconds"),
        apply_id=uuid.uuid4().hex,
        text=text,
    )


def _report_unchanged(document: RulesDocument) -> Report:
    result = ApplyResult(build_revision_row(document), document.revision, False, [], {})
    return Report(f"nothing to apply: {describe_revision(document)} has the same text", result)


def _report_replacement(
    replacement: Replacement, current: CurrentRules | None, document: RulesDocument, rules: Rules
) -> Outcome:
    match replacement.status:
        case ReplacementStatus.ACCEPTED:
            return Ok(_report_accepted(current, document, rules))
        case ReplacementStatus.SUPERSEDED:
            report = _report_accepted(current, document, rules)
            return Ok(
                Report(report.text, report.data, (_describe_superseding(replacement.competing),))
            )
        case ReplacementStatus.LOST:
            return Error(_report_lost(replacement, current))
        case ReplacementStatus.UNCHANGED:
            reason = f"the platform did not accept the rules: {replacement.reason}"
            return Error(fail(f"nothing was applied: {reason}"))
        case ReplacementStatus.UNKNOWN:
            return Error(_report_unknown(replacement, document))


def _report_accepted(current: CurrentRules | None, document: RulesDocument, rules: Rules) -> Report:
    old_text = current.document.text if current else b""
    replaced = current.document.revision if current else 0
    names = (f"revision {replaced}", f"revision {document.revision}")
    diff = compare_texts(old_text, document.text, *names)
    counts = _count_changes(old_text, rules)
    result = ApplyResult(build_revision_row(document), replaced, True, diff, counts)
    summary = ", ".join(f"{count} {kind}" for kind, count in counts.items() if count)
    instead = f"replaces revision {replaced}" if current else "is the first"
    last = f"revision {document.revision} {instead}: {summary or 'no rule differs'}"
    return Report("\n".join([*diff, last]), result)


def _count_changes(old_text: bytes, rules: Rules) -> dict[str, int]:
    # An accepted text has no errors; only the empty text of a missing revision uses the default.
    old = parse_text("replaced", old_text).default_value(Rules())
    kinds = [change.kind for change in compare_rules(old, rules)]
    return {kind.value: kinds.count(kind) for kind in ChangeKind}


def _describe_superseding(competing: RulesDocument | None) -> str:
    name = describe_revision(competing) if competing else "an unknown revision"
    return f"it was accepted, and {name} has replaced it since; see 'diff'"


def _report_lost(replacement: Replacement, current: CurrentRules | None) -> Failure:
    competing = replacement.competing
    if competing is None:
        reason = f": {replacement.reason}" if replacement.reason else ""
        return fail(f"nothing was applied: someone else changed the rules in the meantime{reason}")
    base = current.document.revision if current else 0
    base_text = current.document.text if current else b""
    return _describe_conflict(
        f"{describe_revision(competing)} came first", base, base_text, competing
    )


def _report_unknown(replacement: Replacement, document: RulesDocument) -> Failure:
    return fail_uncertain(
        f"could not tell whether the rules were applied: {replacement.reason}",
        f"if they were, 'history' shows revision {document.revision} with apply id "
        f"{document.apply_id}; applying the same file again is safe",
    )


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flags(values)
    flags.DEFINE_integer(
        "expect-version",
        None,
        "Revision that the file is meant to replace; required once the platform has rules.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "author", "", "Author of the revision; defaults to your user name.", flag_values=values
    )
    flags.DEFINE_integer(
        "above",
        0,
        "Number the new revision above this one, if the platform was restored from an older copy.",
        lower_bound=0,
        upper_bound=1 << 62,
        flag_values=values,
    )


COMMAND = Command(
    name="apply",
    arguments="FILE",
    summary="Make a rules file the current revision, unless the rules changed in the meantime.",
    examples=("apply hanbit.rules", "apply --expect-version=11 hanbit.rules"),
    argument_counts=range(1, 2),
    define_flags=_define_flags,
    run=apply_file,
)
