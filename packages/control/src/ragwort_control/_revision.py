"""Reads revisions of the rules from the platform and compares their texts."""

import difflib
from dataclasses import dataclass

from expression import Error, Ok, Result
from ragwort_common import Revision
from ragwort_store import (
    RULES_PATH,
    ErrorKind,
    RulesDocument,
    StoredObject,
    decode_rules_document,
    history_path,
)

from ragwort_control._command import Failure, fail
from ragwort_control._file import read_file
from ragwort_control._platform import explain_error
from ragwort_control._store import Store

CURRENT = "current"


@dataclass(frozen=True, slots=True)
class CurrentRules:
    """The current rules document as the platform holds it."""

    document: RulesDocument
    stored: StoredObject


@dataclass(frozen=True, slots=True)
class RevisionRow:
    """One revision, without its text, as ``--json`` prints it."""

    revision: int
    author: str
    applied_at: str
    apply_id: str
    size_bytes: int


def build_revision_row(document: RulesDocument) -> RevisionRow:
    """Return the metadata of a revision."""
    return RevisionRow(
        document.revision,
        document.author,
        document.applied_at,
        document.apply_id,
        len(document.text),
    )


def describe_revision(document: RulesDocument) -> str:
    """Return the description of a revision for use in messages."""
    return f"revision {document.revision} by {document.author} at {document.applied_at}"


async def read_current(store: Store) -> Result[CurrentRules | None, Failure]:
    """Return the current rules, or None when the platform holds none yet."""
    found = await store.get(RULES_PATH)
    if found.is_error():
        if found.error.kind is ErrorKind.NOT_FOUND:
            return Ok(None)
        return Error(explain_error(found.error))
    decoded = decode_rules_document(found.ok.data)
    if decoded.is_error():
        return Error(fail(f"the platform's {RULES_PATH} is damaged: {decoded.error.message}"))
    return Ok(CurrentRules(decoded.ok, found.ok))


async def read_revision(store: Store, revision: int) -> Result[RulesDocument | None, Failure]:
    """Return a revision, current or past, or None when the platform does not hold it."""
    current = await read_current(store)
    if current.is_error():
        return Error(current.error)
    if current.ok is not None and current.ok.document.revision == revision:
        return Ok(current.ok.document)
    return await read_past(store, revision)


async def read_past(store: Store, revision: int) -> Result[RulesDocument | None, Failure]:
    """Return a replaced revision, or None when the platform does not hold it."""
    path = history_path(Revision(revision))
    found = await store.get(path)
    if found.is_error():
        if found.error.kind is ErrorKind.NOT_FOUND:
            return Ok(None)
        return Error(explain_error(found.error))
    decoded = decode_rules_document(found.ok.data)
    if decoded.is_error():
        return Error(fail(f"the platform's {path} is damaged: {decoded.error.message}"))
    return Ok(decoded.ok)


def is_file_name(argument: str) -> bool:
    """Return whether an argument names a file, not ``current`` or a revision."""
    return argument != CURRENT and not (argument.isascii() and argument.isdigit())


async def read_text(store: Store, argument: str) -> Result[bytes, Failure]:
    """Return the rules that an argument names: ``current``, a revision number or a file."""
    if argument == CURRENT:
        current = await read_current(store)
        return current.bind(lambda found: _require_text(found and found.document, "current rules"))
    if not is_file_name(argument):
        past = await read_revision(store, int(argument))
        return past.bind(lambda found: _require_text(found, f"revision {argument}"))
    return read_file(argument)


def _require_text(document: RulesDocument | None, name: str) -> Result[bytes, Failure]:
    if document is None:
        return Error(fail(f"the platform holds no {name}"))
    return Ok(document.text)


def compare_texts(old: bytes, new: bytes, old_name: str, new_name: str) -> list[str]:
    """Return the lines of a unified diff; none when the texts are the same."""
    before, after = (text.decode("utf-8", "backslashreplace").splitlines() for text in (old, new))
    lines = difflib.unified_diff(before, after, old_name, new_name, lineterm="", n=1)
    return list(lines)
