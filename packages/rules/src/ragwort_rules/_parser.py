"""Parses a rules file and collects all of its errors."""

import re

from ragwort_common import Member, ServiceName

from ragwort_rules._checker import check_rules
from ragwort_rules._model import ANY_METHOD, Note, ParseResult, Rule, RuleError, Rules
from ragwort_rules._pattern import find_pattern_problem
from ragwort_rules._settings import NAME, NAME_EXPECTED, parse_settings

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_METHOD = re.compile(r"[A-Z][A-Z-]{0,19}")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0b-\x1f\x7f]")
_WORDS_BEFORE_SETTINGS = 3


def parse_rules(data: bytes) -> ParseResult:
    """Parse a rules file.

    Parameters
    ----------
    data
        Contents of the file, in UTF-8. A byte order mark and CRLF line endings are accepted.

    Returns
    -------
    ParseResult
        The rules that could be parsed, and all errors.
    """
    errors: list[RuleError] = []
    lines: list[Rule | Note] = []
    for number, raw in enumerate(_split_lines(data), 1):
        line = _parse_line(number, raw, errors)
        if line is not None:
            lines.append(line)
    rules = Rules(tuple(lines))
    errors += check_rules(rules)
    if not errors and not any(isinstance(line, Rule) for line in lines):
        errors.append(RuleError(1, "the file contains no rule, expected at least one"))
    return ParseResult(rules, tuple(sorted(errors)))


def _split_lines(data: bytes) -> list[bytes]:
    lines = data.removeprefix(_BYTE_ORDER_MARK).split(b"\n")
    if not lines[-1]:
        # A newline at the end of the file doesn't start another line.
        lines.pop()
    return [line.removesuffix(b"\r") for line in lines]


def _parse_line(number: int, raw: bytes, errors: list[RuleError]) -> Rule | Note | None:
    text = _decode_line(number, raw, errors)
    if text is None:
        return None
    body, mark, comment = text.partition("#")
    if not body.strip():
        return Note(number, text.rstrip())
    before = len(errors)
    member, reason = _parse_comment(number, mark, comment, errors)
    rule = _parse_body(number, body.split(), member, reason, errors)
    return rule if len(errors) == before else None


def _decode_line(number: int, raw: bytes, errors: list[RuleError]) -> str | None:
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        found = f"byte 0x{raw[error.start]:02x} at column {error.start + 1} is not UTF-8"
        errors.append(RuleError(number, f"{found}, expected a file in UTF-8"))
        return None
    control = _CONTROL_CHARACTER.search(text)
    if control is None:
        return text
    found = f"control character 0x{ord(control[0]):02x} at column {control.start() + 1}"
    errors.append(RuleError(number, f"{found}, expected plain text"))
    return None


def _parse_comment(
    number: int, mark: str, comment: str, errors: list[RuleError]
) -> tuple[Member, str]:
    name, colon, reason = comment.partition(":")
    name = name.strip()
    reason = reason.strip()
    expected = "expected the line to end in '# member: reason'"
    if not mark:
        errors.append(RuleError(number, f"the rule has no comment, {expected}"))
    elif not colon or not reason or not name:
        errors.append(RuleError(number, f"comment '{comment.strip()}' is incomplete, {expected}"))
    elif not NAME.fullmatch(name):
        errors.append(RuleError(number, f"member '{name}' is not a name, {NAME_EXPECTED}"))
    return Member(name), reason


def _parse_body(
    number: int, words: list[str], member: Member, reason: str, errors: list[RuleError]
) -> Rule | None:
    if len(words) < _WORDS_BEFORE_SETTINGS:
        found = f"the rule ends after '{words[-1]}'"
        errors.append(RuleError(number, f"{found}, expected a service, a method and a path"))
        return None
    service, method, path = words[:_WORDS_BEFORE_SETTINGS]
    if not NAME.fullmatch(service):
        errors.append(RuleError(number, f"service '{service}' is not a name, {NAME_EXPECTED}"))
    if method != ANY_METHOD and not _METHOD.fullmatch(method):
        expected = "expected an HTTP method in capitals, or *"
        errors.append(RuleError(number, f"method '{method}' is invalid, {expected}"))
    problem = find_pattern_problem(path)
    if problem:
        errors.append(RuleError(number, problem))
    settings = parse_settings(number, words[_WORDS_BEFORE_SETTINGS:], errors)
    return Rule(number, ServiceName(service), method, path, settings, member, reason)
