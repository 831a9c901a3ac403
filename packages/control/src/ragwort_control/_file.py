"""Reads rules files and token files for the commands."""

from pathlib import Path

from expression import Error, Ok, Result
from ragwort_rules import RuleError, Rules, parse_rules

from ragwort_control._command import Failure, fail_usage


def read_file(name: str) -> Result[bytes, Failure]:
    """Return the bytes of a file."""
    try:
        return Ok(Path(name).read_bytes())
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        return Error(fail_usage(f"{name}: {reason}, expected a file that can be read"))


def read_rules(name: str) -> Result[tuple[bytes, Rules], Failure]:
    """Return the bytes of a rules file and its rules, or all of its errors."""
    return read_file(name).bind(lambda data: parse_text(name, data).map(lambda r: (data, r)))


def parse_text(name: str, text: bytes) -> Result[Rules, Failure]:
    """Return the rules in a text, or all of its errors, prefixed with the file's name."""
    parsed = parse_rules(text)
    if parsed.errors:
        return Error(fail_usage(*(format_error(name, error) for error in parsed.errors)))
    return Ok(parsed.rules)


def format_error(name: str, error: RuleError) -> str:
    """Return an error as a line of the form FILE:LINE: MESSAGE."""
    return f"{name}:{error.line}: {error.message}"
