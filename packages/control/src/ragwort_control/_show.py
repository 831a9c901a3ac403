"""``show``: prints the text of a revision."""

from dataclasses import dataclass

from absl import flags
from expression import Error, Ok, Result
from ragwort_store import RulesDocument

from ragwort_control._command import Command, Context, Failure, Outcome, Report, fail
from ragwort_control._flags import define_platform_flags
from ragwort_control._platform import use_store
from ragwort_control._revision import (
    RevisionRow,
    build_revision_row,
    describe_revision,
    read_current,
    read_revision,
)
from ragwort_control._store import Store


@dataclass(frozen=True, slots=True)
class ShownRevision:
    """A revision with its text."""

    revision: RevisionRow
    text: str


async def show_revision(context: Context) -> Outcome:
    """Print the current rules, or an earlier revision."""
    wanted = context.get_flag("revision")
    found = await use_store(context, lambda store: _read_wanted(store, wanted))
    return found.bind(lambda document: _report_document(document, wanted))


async def _read_wanted(store: Store, wanted: int | None) -> Result[RulesDocument | None, Failure]:
    if wanted is not None:
        return await read_revision(store, wanted)
    current = await read_current(store)
    return current.map(lambda found: found and found.document)


def _report_document(document: RulesDocument | None, wanted: int | None) -> Outcome:
    if document is None:
        name = "rules yet" if wanted is None else f"revision {wanted}"
        return Error(fail(f"the platform holds no {name}"))
    text = document.text.decode("utf-8", "backslashreplace")
    shown = ShownRevision(build_revision_row(document), text)
    return Ok(Report(text.removesuffix("\n"), shown, (describe_revision(document),)))


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flags(values)
    flags.DEFINE_integer(
        "revision", None, "Revision to show instead of the current one.", flag_values=values
    )


COMMAND = Command(
    name="show",
    arguments="",
    summary="Print the current rules, or an earlier revision.",
    examples=("show > current.rules", "show --revision=11"),
    argument_counts=range(0, 1),
    define_flags=_define_flags,
    run=show_revision,
)
