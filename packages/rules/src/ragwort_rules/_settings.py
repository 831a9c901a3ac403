"""Parses and formats the settings on a rule's line."""

import re
from collections.abc import Callable, Iterator
from typing import Any

from ragwort_common import FailureDomain

from ragwort_rules._model import Priority, RuleError, Settings

MAX_DEADLINE_MS = 3_600_000
MAX_RETRIES = 2
MAX_HEDGE_PERCENT = 10.0
MAX_SHARE = 100
MAX_LIMIT = 10_000

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
NAME_EXPECTED = "expected lower-case letters, digits and inner hyphens, 63 at most"

_DEADLINE = re.compile(r"([0-9]{1,9})(ms|s)")
_PERCENT = re.compile(r"[0-9]{1,3}(\.[0-9])?%")
_INTEGER = re.compile(r"[0-9]{1,9}")
_MS_PER_S = 1000

_KEYWORDS: dict[str, tuple[str, object]] = {
    "idempotent": ("idempotent", True),
    "non-idempotent": ("idempotent", False),
    "interactive": ("priority", Priority.INTERACTIVE),
    "batch": ("priority", Priority.BATCH),
}


def _parse_deadline(line: int, text: str) -> int | RuleError:
    match = _DEADLINE.fullmatch(text)
    value_ms = int(match[1]) * (_MS_PER_S if match[2] == "s" else 1) if match else 0
    if 1 <= value_ms <= MAX_DEADLINE_MS:
        return value_ms
    expected = f"a time such as 800ms or 2s, at most {MAX_DEADLINE_MS // _MS_PER_S}s"
    return RuleError(line, f"deadline '{text}' is invalid, expected {expected}")


def _parse_hedge(line: int, text: str) -> float | RuleError:
    value = float(text[:-1]) if _PERCENT.fullmatch(text) else -1.0
    if 0 <= value <= MAX_HEDGE_PERCENT:
        return value
    expected = f"a share such as 2% or 0.5%, at most {MAX_HEDGE_PERCENT:g}%"
    return RuleError(line, f"hedge '{text}' is invalid, expected {expected}")


def _build_integer_parser(
    name: str, lowest: int, highest: int
) -> Callable[[int, str], int | RuleError]:
    def parse(line: int, text: str) -> int | RuleError:
        value = int(text) if _INTEGER.fullmatch(text) else -1
        if lowest <= value <= highest:
            return value
        expected = f"a whole number from {lowest} to {highest}"
        return RuleError(line, f"{name} '{text}' is invalid, expected {expected}")

    return parse


def _parse_domains(line: int, text: str) -> tuple[FailureDomain, ...] | RuleError:
    names = text.split(",")
    for name in names:
        if not NAME.fullmatch(name):
            return RuleError(line, f"failure domain '{name}' is not a name, {NAME_EXPECTED}")
    if len(set(names)) < len(names):
        return RuleError(line, f"domains '{text}' contains a duplicate, expected each once")
    return tuple(FailureDomain(name) for name in names)


def _parse_key(line: int, text: str) -> bool | RuleError:
    if text in ("required", "optional"):
        return text == "required"
    return RuleError(line, f"key '{text}' is invalid, expected required or optional")


_VALUE_PARSERS: dict[str, tuple[str, Callable[[int, str], Any]]] = {
    "deadline": ("deadline_ms", _parse_deadline),
    "retries": ("retries", _build_integer_parser("retries", 0, MAX_RETRIES)),
    "hedge": ("hedge_percent", _parse_hedge),
    "share": ("share", _build_integer_parser("share", 1, MAX_SHARE)),
    "limit": ("limit", _build_integer_parser("limit", 1, MAX_LIMIT)),
    "domains": ("domains", _parse_domains),
    "key": ("key_required", _parse_key),
}
_KNOWN_SETTINGS = ", ".join([*_KEYWORDS, *(f"{name}=" for name in _VALUE_PARSERS)])


def parse_settings(line: int, words: list[str], errors: list[RuleError]) -> Settings:
    """Parse the settings from the words of a rule's line, and append any errors to the list."""
    found: dict[str, Any] = {}
    for word in words:
        field, value = _parse_word(line, word)
        if isinstance(value, RuleError):
            errors.append(value)
        elif field in found:
            errors.append(_describe_duplicate(line, word, found[field] == value))
        else:
            found[field] = value
    return Settings(**found)


def _parse_word(line: int, word: str) -> tuple[str, Any]:
    if word in _KEYWORDS:
        return _KEYWORDS[word]
    name, _, text = word.partition("=")
    if name in _VALUE_PARSERS:
        field, parse = _VALUE_PARSERS[name]
        return field, parse(line, text)
    return "", RuleError(line, f"setting '{word}' is unknown, expected one of {_KNOWN_SETTINGS}")


def _describe_duplicate(line: int, word: str, same: bool) -> RuleError:
    problem = "repeats" if same else "contradicts"
    return RuleError(
        line, f"'{word}' {problem} an earlier setting of the rule, expected one of them"
    )


def format_settings(settings: Settings) -> list[str]:
    """Return the words that give these settings on a rule's line, in their usual order."""
    return list(_list_words(settings))


def _list_words(settings: Settings) -> Iterator[str]:
    if settings.idempotent is not None:
        yield "idempotent" if settings.idempotent else "non-idempotent"
    if settings.priority is not None:
        yield settings.priority.value
    if settings.deadline_ms is not None:
        yield f"deadline={_format_duration(settings.deadline_ms)}"
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


def _format_duration(value_ms: int) -> str:
    if value_ms % _MS_PER_S:
        return f"{value_ms}ms"
    return f"{value_ms // _MS_PER_S}s"
