"""Entry point of ``ragwortctl``: runs a subcommand and prints its report."""

import asyncio
import json
import os
import sys
from collections.abc import Sequence
from dataclasses import asdict
from enum import Enum
from typing import Any

from expression import Error, Ok, Result

from ragwort_control import (
    _apply,
    _check,
    _diff,
    _drain,
    _explain,
    _history,
    _show,
    _status,
    _story,
)
from ragwort_control._command import (
    Command,
    Context,
    ExitStatus,
    Failure,
    Pause,
    Report,
    StoreOpener,
    blame_user,
)
from ragwort_control._flags import PROGRAM, build_flags, read_flags
from ragwort_control._help import describe_command, describe_program
from ragwort_control._store import open_platform

COMMANDS = {
    command.name: command
    for command in (
        _check.COMMAND,
        _explain.COMMAND,
        _apply.COMMAND,
        _show.COMMAND,
        _history.COMMAND,
        _diff.COMMAND,
        _status.COMMAND,
        _drain.DRAIN,
        _drain.UNDRAIN,
        _story.COMMAND,
    )
}
_HELP_WORDS = ("help", "--help", "-h", "-help")


def run() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_command(sys.argv[1:], open_platform, asyncio.sleep))


def run_command(arguments: Sequence[str], open_store: StoreOpener, pause: Pause) -> ExitStatus:
    """Run one command line, and return its exit status."""
    try:
        status = _run_word(arguments, open_store, pause)
        sys.stdout.flush()
    except KeyboardInterrupt:
        # A request that was already sent may still take effect.
        print(f"{PROGRAM}: interrupted; the command may still have taken effect", file=sys.stderr)
        return ExitStatus.UNSURE
    except BrokenPipeError:
        # The reader closed the pipe; without this, the interpreter's flush at exit fails as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitStatus.FAILED
    return status


def _run_word(arguments: Sequence[str], open_store: StoreOpener, pause: Pause) -> ExitStatus:
    word = arguments[0] if arguments else ""
    if word in _HELP_WORDS:
        print(describe_program(COMMANDS.values()))
        return ExitStatus.DONE
    if word not in COMMANDS:
        found = f"command '{word}' is unknown" if word else "the command is missing"
        known = ", ".join(COMMANDS)
        return _print_failure(blame_user(f"{PROGRAM}: {found}, expected one of {known}"))
    return _run_command(COMMANDS[word], arguments[1:], open_store, pause)


def _run_command(
    command: Command, arguments: Sequence[str], open_store: StoreOpener, pause: Pause
) -> ExitStatus:
    values = build_flags(command)
    words = read_flags(command, values, arguments)
    if words.is_ok() and values["help"].value:
        print(describe_command(command, values))
        return ExitStatus.DONE
    checked = words.bind(lambda found: _check_words(command, found))
    if checked.is_error():
        return _print_failure(checked.error)
    context = Context(values, checked.ok, open_store, pause)
    outcome = asyncio.run(command.run(context))
    if outcome.is_error():
        return _print_failure(outcome.error)
    return _print_report(outcome.ok, values["json"].value)


def _check_words(command: Command, words: tuple[str, ...]) -> Result[tuple[str, ...], Failure]:
    if len(words) in command.word_counts:
        return Ok(words)
    expected = f"{PROGRAM} {command.name} {command.arguments}".rstrip()
    return Error(blame_user(f"{len(words)} arguments given, expected '{expected}'"))


def _print_failure(failure: Failure) -> ExitStatus:
    for message in failure.messages:
        print(message, file=sys.stderr)
    return failure.status


def _print_report(report: Report, as_json: bool) -> ExitStatus:
    if as_json:
        print(json.dumps(asdict(report.data), default=_encode_value, ensure_ascii=False))
    else:
        print(report.text)
    for note in report.notes:
        print(note, file=sys.stderr)
    return report.status


def _encode_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return sorted(value)


if __name__ == "__main__":
    run()
