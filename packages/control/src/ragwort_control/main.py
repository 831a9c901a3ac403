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
    _where,
)
from ragwort_control._command import (
    Command,
    Context,
    ExitStatus,
    Failure,
    Pause,
    Report,
    StoreOpener,
    fail_usage,
)
from ragwort_control._flags import PROGRAM, build_flags, parse_flags
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
        _where.COMMAND,
    )
}
_HELP_ARGUMENTS = ("help", "--help", "-h", "-help")


def run() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_command(sys.argv[1:], open_platform, asyncio.sleep))


def run_command(arguments: Sequence[str], open_store: StoreOpener, pause: Pause) -> ExitStatus:
    """Run one command line, and return its exit status."""
    try:
        status = _dispatch(arguments, open_store, pause)
        sys.stdout.flush()
    except KeyboardInterrupt:
        # A request that was already sent may still take effect.
        print(f"{PROGRAM}: interrupted; the command may still have taken effect", file=sys.stderr)
        return ExitStatus.UNCERTAIN
    except BrokenPipeError:
        # The reader closed the pipe; without this, the interpreter's flush at exit fails as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitStatus.FAILED
    return status


def _dispatch(arguments: Sequence[str], open_store: StoreOpener, pause: Pause) -> ExitStatus:
    name = arguments[0] if arguments else ""
    if name in _HELP_ARGUMENTS:
        print(describe_program(COMMANDS.values()))
        return ExitStatus.DONE
    if name not in COMMANDS:
        found = f"command '{name}' is unknown" if name else "the command is missing"
        known = ", ".join(COMMANDS)
        return _print_failure(fail_usage(f"{PROGRAM}: {found}, expected one of {known}"))
    return _run_command(COMMANDS[name], arguments[1:], open_store, pause)


def _run_command(
    command: Command, arguments: Sequence[str], open_store: StoreOpener, pause: Pause
) -> ExitStatus:
    values = build_flags(command)
    positional = parse_flags(command, values, arguments)
    if positional.is_ok() and values["help"].value:
        print(describe_command(command, values))
        return ExitStatus.DONE
    checked = positional.bind(lambda found: _check_argument_count(command, found))
    if checked.is_error():
        return _print_failure(checked.error)
    context = Context(values, checked.ok, open_store, pause)
    outcome = asyncio.run(command.run(context))
    if outcome.is_error():
        return _print_failure(outcome.error)
    return _print_report(outcome.ok, values["json"].value)


def _check_argument_count(
    command: Command, positional: tuple[str, ...]
) -> Result[tuple[str, ...], Failure]:
    if len(positional) in command.argument_counts:
        return Ok(positional)
    expected = f"{PROGRAM} {command.name} {command.arguments}".rstrip()
    return Error(fail_usage(f"{len(positional)} arguments given, expected '{expected}'"))


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
