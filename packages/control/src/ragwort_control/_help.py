"""Help texts of the program and its subcommands."""

from collections.abc import Iterable

from absl import flags

from ragwort_control._command import Command
from ragwort_control._flags import PROGRAM, describe_flags

EXIT_STATUSES = """\
exit statuses:
  0  done
  1  failed
  2  usage or input error, described on standard error
  3  outcome unknown or incomplete"""


def describe_program(commands: Iterable[Command]) -> str:
    """Return the help of the whole program."""
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENT...] [--FLAG=VALUE...]", "", "commands:"]
    lines += [f"  {command.name:<8} {command.summary}" for command in commands]
    lines += ["", f"'{PROGRAM} COMMAND --help' describes a command.", "", "example:"]
    lines += [f"  {PROGRAM} check hanbit.rules", "", EXIT_STATUSES]
    return "\n".join(lines)


def describe_command(command: Command, values: flags.FlagValues) -> str:
    """Return the help of one subcommand."""
    usage = " ".join(part for part in (PROGRAM, command.name, command.arguments) if part)
    lines = [f"usage: {usage} [--FLAG=VALUE...]", "", command.summary, "", "flags:"]
    lines += describe_flags(values)
    lines += ["", "examples:"]
    lines += [f"  {PROGRAM} {example}" for example in command.examples]
    lines += ["", EXIT_STATUSES]
    return "\n".join(lines)
