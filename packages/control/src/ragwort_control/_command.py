"""The parts that every subcommand is made of."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from absl import flags
from expression import Result

from ragwort_control._store import Store


class ExitStatus(IntEnum):
    """What the command's exit status says."""

    DONE = 0
    FAILED = 1
    USER_MISTAKE = 2
    UNSURE = 3


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a command did not do what it was asked to; the messages are lines for people."""

    status: ExitStatus
    messages: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """What a command found or did.

    Attributes
    ----------
    text
        For people, on standard output.
    data
        For programs: a dataclass instance that ``--json`` prints instead of the text.
    notes
        Further lines for people, on standard error.
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
    """What a command was called with.

    Attributes
    ----------
    flags
        The values of its flags.
    words
        Its arguments that are not flags.
    open_store
        Opens the platform's store, from its URL and the timeout of a call in milliseconds.
    pause
        Waits for so many seconds before a call is repeated.
    """

    flags: flags.FlagValues
    words: tuple[str, ...]
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
        How it is called and what it does.
    examples
        Command lines to show in its help, without the program's name.
    word_counts
        How many arguments that are not flags it takes.
    define_flags
        Adds its own flags.
    run
        Does the work.
    """

    name: str
    arguments: str
    summary: str
    examples: tuple[str, ...]
    word_counts: range
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[Context], Awaitable[Outcome]]


def fail(message: str, *more: str) -> Failure:
    """Return the failure of something that was not done."""
    return Failure(ExitStatus.FAILED, (message, *more))


def blame_user(message: str, *more: str) -> Failure:
    """Return the failure that a user's mistake is answered with."""
    return Failure(ExitStatus.USER_MISTAKE, (message, *more))


def doubt(message: str, *more: str) -> Failure:
    """Return the failure of something that may have been done."""
    return Failure(ExitStatus.UNSURE, (message, *more))
