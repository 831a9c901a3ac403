"""Data types and failures shared by all subcommands."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from absl import flags
from expression import Result

from ragwort_control._store import Store


class ExitStatus(IntEnum):
    """Exit statuses of the program."""

    DONE = 0
    FAILED = 1
    USAGE_ERROR = 2
    UNCERTAIN = 3


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a command failed, as an exit status and lines for standard error."""

    status: ExitStatus
    messages: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    Attributes
    ----------
    text
        Human-readable text for standard output.
    data
        Machine-readable result: a dataclass instance that ``--json`` prints instead of the text.
    notes
        Additional human-readable lines for standard error.
    status
        The exit status.
    """

    text: str
    data: Any
    notes: tuple[str, ...] = ()
    status: ExitStatus = ExitStatus.DONE


Pause = Callable[[float], Awaitable[None]]
StoreOpener = Callable[[str, int], AbstractAsyncContextManager[Store]]


@dataclass(frozen=True, slots=True)
class Context:
    """The arguments and dependencies of a command.

    Attributes
    ----------
    flags
        The values of its flags.
    arguments
        Its positional arguments.
    open_store
        Opens the platform's store, given its URL and the timeout of a call in milliseconds.
    pause
        Sleeps for a number of seconds before a call is retried.
    """

    flags: flags.FlagValues
    arguments: tuple[str, ...]
    open_store: StoreOpener
    pause: Pause

    def get_flag(self, name: str) -> Any:
        """Return the value of a flag."""
        return self.flags[name].value


Outcome = Result[Report, Failure]


@dataclass(frozen=True, slots=True)
class Command:
    """One subcommand.

    Attributes
    ----------
    name, arguments, summary
        Its name, its positional arguments as shown in the help, and a one-line description.
    examples
        Command lines to show in its help, without the program's name.
    argument_counts
        Numbers of positional arguments that it accepts.
    define_flags
        Adds its own flags.
    run
        Runs the command.
    """

    name: str
    arguments: str
    summary: str
    examples: tuple[str, ...]
    argument_counts: range
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[Context], Awaitable[Outcome]]


def fail(message: str, *more: str) -> Failure:
    """Return the failure of a command that had no effect."""
    return Failure(ExitStatus.FAILED, (message, *more))


def fail_usage(message: str, *more: str) -> Failure:
    """Return the failure for a usage or input error."""
    return Failure(ExitStatus.USAGE_ERROR, (message, *more))


def fail_uncertain(message: str, *more: str) -> Failure:
    """Return the failure of a command that may have taken effect."""
    return Failure(ExitStatus.UNCERTAIN, (message, *more))
