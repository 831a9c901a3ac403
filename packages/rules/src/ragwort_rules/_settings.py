"""Parses and formats the settings on a rule's line."""

import re
from collections.abc import Callable, Iterator
from typing import Any

from ragwort_common import FailureDomain

from ragwort_rules._model import Mistake, Priority, Settings

MAX_DEADLINE_MS = 3_600_000
MAX_RETRIES = 2
MAX_HEDGE_PERCENT = 10.0
MAX_SHARE = 100
MAX_LIMIT = 10_000

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
NAME_EXPECTED = "expected lower-case letters, digits and inner hyphens, 63 at most"

_DEADLINE = re.compile(r"([0-9]{1,9})(ms|s)")
_PERCENT = re.compile(r"[0-9]{1,3}(\.[0-9])?%")
_WHOLE = re.compile(r"[0-9]{1,9}")
_MS_PER_S = 1000

_WORDS: dict[str, tuple[str, object]] = {
    "idempotent": ("idempotent", True),
    "non-idempotent": ("idempotent", False),
    "interactive": ("priority", Priority.INTERACTIVE),
    "batch": ("priority", Priority.BATCH),
}


def _read_deadline(line: int, text: str) -> int | Mistake:
    match = _DEADLINE.fullmatch(text)
    value_ms = int(match[1]) * (_MS_PER_S if match[2] == "s" else 1) if match else 0
    if 1 <= value_ms <= MAX_DEADLINE_MS:
        return value_ms
    expected = f"a time such as 800ms or 2s, at most {MAX_DEADLINE_MS // _MS_PER_S}s"
    return Mistake(line, f"deadline '{text}' is invalid, expected {expected}")


def _read_hedge(line: int, text: str) -> float | Mistake:
    value = float(text[:-1]) if _PERCENT.fullmatch(text) else -1.0
    if 0 <= value <= MAX_HEDGE_PERCENT:
        return value
    expected = f"a share such as 2% or 0.5%, at most {MAX_HEDGE_PERCENT:g}%"
    return Mistake(line, f"hedge '{text}' is invalid, expected {expected}")


def _read_whole(name: str, lowest: int, highest: int) -> Callable[[int, str], int | Mistake]:
    def read(line: int, text: str) -> int | Mistake:
        value = int(text) if _WHOLE.fullmatch(text) else -1
        if lowest <= value <= highest:
            return value
        expected = f"a whole number from {lowest} to {highest}"
        return Mistake(line, f"{name} '{text}' is invalid, expected {expected}")

    return read


def _read_domains(line: int, text: str) -> tuple[FailureDomain, ...] | Mistake:
    names = text.split(",")
    for name in names:
        if not NAME.fullmatch(name):
            return Mistake(line, f"failure domain '{name}' is not a name, {NAME_EXPECTED}")
    if len(set(names)) < len(names):
        return Mistake(line, f"domains '{text}' contains a duplicate, expected each once")
    return tuple(FailureDomain(name) for name in names)


def _read_key(line: int, text: str) -> bool | Mistake:
    if text in ("required", "optional"):
        return text == "required"
    return Mistake(line, f"key '{text}' is invalid, expected required or optional")


_READERS: dict[str, tuple[str, Callable[[int, str], Any]]] = {
    "deadline": ("deadline_ms", _read_deadline),
    "retries": ("retries", _read_whole("retries", 0, MAX_RETRIES)),
    "hedge": ("hedge_percent", _read_hedge),
    "share": ("share", _read_whole("share", 1, MAX_SHARE)),
    "limit": ("limit", _read_whole("limit", 1, MAX_LIMIT)),
    "domains": ("domains", _read_domains),
    "key": ("key_required", _read_key),
}
_EXPECTED = ", ".join([*_WORDS, *(f"{name}=" for name in _READERS)])


def read_settings(line: int, words: list[str], mistakes: list[Mistake]) -> Settings:
    """Parse the settings from the words of a rule's line, and append any errors to the list."""
    found: dict[str, Any] = {}
    for word in words:
        field, value = _read_word(line, word)
        if isinstance(value, Mistake):
            mistakes.append(value)
        elif field in found:
            mistakes.append(_describe_repeat(line, word, found[field] == value))
        else:
            found[field] = value
    return Settings(**found)


def _read_word(line: int, word: str) -> tuple[str, Any]:
    if word in _WORDS:
        return _WORDS[word]
    name, _, text = word.partition("=")
    if name in _READERS:
        field, read = _READERS[name]
        return field, read(line, text)
    return "", Mistake(line, f"setting '{word}' is unknown, expected one of {_EXPECTED}")


def _describe_repeat(line: int, word: str, same: bool) -> Mistake:
    problem = "repeats" if same else "contradicts"
    return Mistake(line, f"'{word}' {problem} an earlier setting of the rule, expected one of them")


def write_settings(settings: Settings) -> list[str]:
    """Return the words that give these settings on a rule's line, in their usual order."""
    return list(_write_words(settings))


def _write_words(settings: Settings) -> Iterator[str]:
    if settings.idempotent is not None:
        yield "idempotent" if settings.idempotent else "non-idempotent"
    if settings.priority is not None:
        yield settings.priority.value
    if settings.deadline_ms is not None:
        yield f"deadline={_write_time(settings.deadline_ms)}"
    if settings.retries is not None:
        yield f"retries={settings.retries}"
    if settings.hedge_percent is not None:
        yield f"hedge={settings.hedge_percent:g}%"
    if settings.key_required is not None:
        yield "key=required" if settings.key_required else "key=optional"
    if settings.share is not None:
        yield f"share={settings.share}"
    if settings.limit is not None:
        yield f"limit={settings.limit}"
    if settings.domains is not None:
        yield f"domains={','.join(settings.domains)}"


def _write_time(value_ms: int) -> str:
    if value_ms % _MS_PER_S:
        return f"{value_ms}ms"
    return f"{value_ms // _MS_PER_S}s"
