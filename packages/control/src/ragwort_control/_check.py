"""``check``: reports all errors in a rules file."""

from dataclasses import dataclass

from absl import flags
from expression import Ok
from ragwort_rules import Rules, list_rules, list_services

from ragwort_control._command import Command, Context, Outcome, Report
from ragwort_control._file import read_rules


@dataclass(frozen=True, slots=True)
class CheckedFile:
    """A rules file without errors."""

    file: str
    rules: int
    services: list[str]


async def check_file(context: Context) -> Outcome:
    """Check a rules file and report the number of its rules and its services, or all errors."""
    (name,) = context.arguments
    read = read_rules(name)
    return read.bind(lambda found: Ok(_report_file(name, found[1])))


def _report_file(name: str, rules: Rules) -> Report:
    checked = CheckedFile(name, len(list_rules(rules)), sorted(list_services(rules)))
    services = ", ".join(checked.services)
    return Report(f"{name}: {checked.rules} rules for {services}; no errors", checked)


def _define_flags(values: flags.FlagValues) -> None:
    """Add no flags besides the common ones."""


COMMAND = Command(
    name="check",
    arguments="FILE",
    summary="Report all errors in a rules file.",
    examples=("check hanbit.rules", "check --json hanbit.rules"),
    argument_counts=range(1, 2),
    define_flags=_define_flags,
    run=check_file,
)
