"""``history``: lists the latest revisions."""

from dataclasses import astuple, dataclass

from absl import flags
from expression import Error, Ok, Result
from tabulate import tabulate
from tqdm import tqdm

from ragwort_control._command import Command, Context, Failure, Outcome, Report
from ragwort_control._flags import define_platform_flags
from ragwort_control._platform import use_store
from ragwort_control._revision import (
    RevisionRow,
    build_revision_row,
    read_current,
    read_past,
)
from ragwort_control._store import Store

DEFAULT_COUNT = 10
MAX_COUNT = 1_000
HEADINGS = ("revision", "author", "applied at", "apply id", "bytes")


@dataclass(frozen=True, slots=True)
class History:
    """The latest revisions, the current one first."""

    revisions: list[RevisionRow]


async def list_history(context: Context) -> Outcome:
    """List the current revision and those before it."""
    count = context.get_flag("count")
    found = await use_store(context, lambda store: _read_history(store, count))
    return found.bind(lambda rows: Ok(_report_rows(rows)))


async def _read_history(store: Store, count: int) -> Result[list[RevisionRow], Failure]:
    current = await read_current(store)
    if current.is_error():
        return Error(current.error)
    if current.ok is None:
        return Ok([])
    latest = current.ok.document
    rows = [build_revision_row(latest)]
    numbers = range(latest.revision - 1, max(0, latest.revision - count), -1)
    for number in tqdm(numbers, "reading", disable=None, leave=False):
        past = await read_past(store, number)
        if past.is_error():
            return Error(past.error)
        # Numbers are missing after --above, and where the platform deleted old objects.
        if past.ok is not None:
            rows.append(build_revision_row(past.ok))
    return Ok(rows)


def _report_rows(rows: list[RevisionRow]) -> Report:
    if not rows:
        return Report("the platform holds no rules yet", History([]))
    text = tabulate([astuple(row) for row in rows], HEADINGS, disable_numparse=True)
    return Report(text, History(rows))


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flags(values)
    flags.DEFINE_integer(
        "count",
        DEFAULT_COUNT,
        "How many revisions to list.",
        lower_bound=1,
        upper_bound=MAX_COUNT,
        flag_values=values,
    )


COMMAND = Command(
    name="history",
    arguments="",
    summary="List the latest revisions: who applied them, and when.",
    examples=("history", "history --count=50 --json"),
    argument_counts=range(0, 1),
    define_flags=_define_flags,
    run=list_history,
)
