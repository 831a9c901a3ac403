"""Replaces the current rules on the platform and determines whether the write took effect.

The replaced revision is copied to the history before the new one is written, so every accepted
revision is always current, in the history, or both. The write is conditional on the version that
was read, so retrying it after a lost reply is safe: at most one attempt takes effect.
"""

from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result
from ragwort_store import (
    RULES_PATH,
    ErrorKind,
    RulesDocument,
    StoredObject,
    StoreError,
    decode_rules_document,
    encode_rules_document,
    history_path,
)

from ragwort_control._command import Pause
from ragwort_control._revision import CurrentRules, read_current, read_past
from ragwort_control._store import Store

RETRY_DELAYS_S = (0.0, 0.2, 0.5, 1.0, 2.0)

_TRANSIENT = {ErrorKind.UNAVAILABLE, ErrorKind.UNCERTAIN, ErrorKind.OVER_BUDGET}
_MISMATCHES = {ErrorKind.CONFLICT, ErrorKind.NOT_FOUND}


class ReplacementStatus(Enum):
    """The outcome of writing a new revision.

    Attributes
    ----------
    ACCEPTED
        It was written and is the current one.
    SUPERSEDED
        It was written, and another revision has replaced it since.
    LOST
        It was never written: another operator's revision was written first.
    UNCHANGED
        It was never written: the platform did not accept it.
    UNKNOWN
        It may have been written, or may still be.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    LOST = "lost"
    UNCHANGED = "unchanged"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Replacement:
    """The outcome of writing a new revision, the other one that is current if any, and why."""

    status: ReplacementStatus
    competing: RulesDocument | None = None
    reason: str = ""


async def replace_rules(
    store: Store, replaced: CurrentRules | None, document: RulesDocument, pause: Pause
) -> Replacement:
    """Write a new revision in place of the one that was read.

    Parameters
    ----------
    store
        The platform's store.
    replaced
        The current rules as they were read; None when there were none.
    document
        The new revision; its ``apply_id`` must be new and its revision higher.
    pause
        Sleeps for a number of seconds.
    """
    if replaced is not None:
        copied = await _copy_to_history(store, replaced, pause)
        if copied.is_error():
            return Replacement(ReplacementStatus.UNCHANGED, reason=copied.error.message)
    return await _write_document(store, replaced, document, pause)


async def _copy_to_history(
    store: Store, replaced: CurrentRules, pause: Pause
) -> Result[None, StoreError]:
    """Ensure that the history holds the revision that is about to be replaced."""
    path = history_path(replaced.document.revision)
    created: Result[StoredObject, StoreError] = Error(
        StoreError(ErrorKind.UNAVAILABLE, "not tried")
    )
    for delay_s in RETRY_DELAYS_S:
        await pause(delay_s)
        created = await store.create(path, replaced.stored.data)
        if created.is_ok() or created.error.kind not in _TRANSIENT:
            break
    if created.is_ok():
        return Ok(None)
    if created.error.kind is ErrorKind.CONFLICT:
        return await _check_history_copy(store, path, replaced)
    return Error(created.error)


async def _check_history_copy(
    store: Store, path: str, replaced: CurrentRules
) -> Result[None, StoreError]:
    copied = await store.get(path)
    if copied.is_error():
        return Error(copied.error)
    document = decode_rules_document(copied.ok.data)
    if document.is_ok() and document.ok.apply_id == replaced.document.apply_id:
        return Ok(None)
    # Only a platform that was restored from an older copy can hold both.
    message = f"{path} holds another revision of that number; apply with --above=REVISION"
    return Error(StoreError(ErrorKind.CONFLICT, message))


async def _write_document(
    store: Store, replaced: CurrentRules | None, document: RulesDocument, pause: Pause
) -> Replacement:
    data = encode_rules_document(document)
    maybe_written = False
    reason = ""
    for delay_s in RETRY_DELAYS_S:
        await pause(delay_s)
        written = await _write(store, replaced, data)
        if written.is_ok():
            return Replacement(ReplacementStatus.ACCEPTED)
        kind, reason = written.error.kind, written.error.message
        if kind in _MISMATCHES:
            return await _resolve_mismatch(store, document, maybe_written, pause)
        if kind not in _TRANSIENT:
            break
        maybe_written |= kind is ErrorKind.UNCERTAIN
    status = ReplacementStatus.UNKNOWN if maybe_written else ReplacementStatus.UNCHANGED
    return Replacement(status, reason=reason)


async def _write(
    store: Store, replaced: CurrentRules | None, data: bytes
) -> Result[StoredObject, StoreError]:
    if replaced is None:
        return await store.create(RULES_PATH, data)
    return await store.update(RULES_PATH, data, replaced.stored.version)


async def _resolve_mismatch(
    store: Store, document: RulesDocument, maybe_written: bool, pause: Pause
) -> Replacement:
    """Determine who changed the rules: this attempt's own earlier write or another operator."""
    result = Replacement(ReplacementStatus.UNKNOWN)
    for delay_s in RETRY_DELAYS_S:
        await pause(delay_s)
        result = await _check_result(store, document)
        if result.status is not ReplacementStatus.UNKNOWN:
            return result
    # If no earlier write of this attempt can have arrived, another operator's came first.
    return (
        result
        if maybe_written
        else Replacement(ReplacementStatus.LOST, result.competing, result.reason)
    )


async def _check_result(store: Store, document: RulesDocument) -> Replacement:
    current = await read_current(store)
    if current.is_error():
        return Replacement(ReplacementStatus.UNKNOWN, reason=current.error.messages[0])
    current_document = current.ok and current.ok.document
    if current_document and current_document.apply_id == document.apply_id:
        return Replacement(ReplacementStatus.ACCEPTED)
    past = await read_past(store, document.revision)
    if past.is_error():
        return Replacement(ReplacementStatus.UNKNOWN, current_document, past.error.messages[0])
    if past.ok and past.ok.apply_id == document.apply_id:
        return Replacement(ReplacementStatus.SUPERSEDED, current_document)
    if current_document is None:
        return Replacement(
            ReplacementStatus.UNKNOWN, reason="the platform no longer holds any rules"
        )
    # A replaced revision is always copied to the history first, so this one was never written.
    return Replacement(ReplacementStatus.LOST, current_document)
