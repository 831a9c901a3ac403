"""Flags shared by several subcommands, and command-line parsing."""

import os
from collections.abc import Sequence

from absl import flags
from expression import Error, Ok, Result

from ragwort_control._command import Command, Failure, fail_usage

PROGRAM = "ragwortctl"
PLATFORM_VARIABLE = "RAGWORT_PLATFORM"
DEFAULT_TIMEOUT_MS = 3_000
MAX_TIMEOUT_MS = 600_000


def define_common_flags(values: flags.FlagValues) -> None:
    """Add the flags that every subcommand has."""
    flags.DEFINE_bool("json", False, "Print JSON instead of text.", flag_values=values)
    flags.DEFINE_bool("help", False, "Show this help.", short_name="h", flag_values=values)


def define_platform_flags(values: flags.FlagValues) -> None:
    """Add the flags of subcommands that call the platform or a node."""
    flags.DEFINE_string(
        "platform",
        os.environ.get(PLATFORM_VARIABLE, ""),
        f"URL of the platform's object API; taken from ${PLATFORM_VARIABLE} by default.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "timeout-ms",
        DEFAULT_TIMEOUT_MS,
        "Timeout of one call to the platform or a node, in milliseconds.",
        lower_bound=1,
        upper_bound=MAX_TIMEOUT_MS,
        flag_values=values,
    )


def build_flags(command: Command) -> flags.FlagValues:
    """Return the flags of a subcommand with their defaults."""
    values = flags.FlagValues()
    define_common_flags(values)
    command.define_flags(values)
    values.set_gnu_getopt(True)
    return values


def parse_flags(
    command: Command, values: flags.FlagValues, arguments: Sequence[str]
) -> Result[tuple[str, ...], Failure]:
    """Parse a command line into the flags, and return the positional arguments."""
    try:
        return Ok(tuple(values([PROGRAM, *arguments])[1:]))
    except flags.Error as error:
        # Some messages of absl span several lines.
        message = " ".join(str(error).split())
        return Error(fail_usage(f"{message}; '{PROGRAM} {command.name} --help' shows the flags"))


def describe_flags(values: flags.FlagValues) -> list[str]:
    """Return one line of help per flag."""
    names = [name for name in values if values[name].name == name]
    width = max(len(name) for name in names)
    return [f"  --{name:<{width}}  {_describe_flag(values[name])}" for name in sorted(names)]


def _describe_flag(flag: flags.Flag) -> str:
    if flag.default in (None, "", False):
        return flag.help
    return f"{flag.help} Default: {flag.default}."
