"""``story``: shows what the nodes' logs say about a call and the calls that it caused."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from absl import flags
from expression import Error, Ok, Result

from ragwort_control._command import Command, Context, Failure, Outcome, Report, blame_user, fail

SEPARATOR = "."
"""Some servers prefix the ids of their outgoing calls with the incoming call's id and this."""


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs say about a call.

    Attributes
    ----------
    call_id
        Id of the call; calls whose id starts with it and the separator are included.
    lines
        The call's log lines, in order of time.
    changes
        Log lines about server and configuration changes on the nodes that took part, during the
        call or up to a few seconds before.
    """

    call_id: str
    lines: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)


BEFORE_S = 3.0
"""How long before a call changes are shown that may explain it; spans two server reports."""

CALL_EVENTS = frozenset({"entry", "gate"})
_SHOWN_LAST = ("attempts",)


async def tell_story(context: Context) -> Outcome:
    """Read log files and report what they say about a call."""
    call_id, *names = context.words
    read = _read_files(names)
    return read.bind(lambda lines: _report(call_id, lines))


def _read_files(names: list[str]) -> Result[list[dict[str, Any]], Failure]:
    lines: list[dict[str, Any]] = []
    for name in names:
        try:
            text = Path(name).read_text("utf-8", "replace")
        except OSError as error:
            return Error(blame_user(f"{name}: {error.strerror}"))
        lines += [line for line in map(_read_line, text.splitlines()) if line is not None]
    lines.sort(key=lambda line: line["t"])
    return Ok(lines)


def _read_line(text: str) -> dict[str, Any] | None:
    """Parse a node's log line, skipping any prefix that a log collector put before it."""
    start = text.find('{"t":')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if {"t", "node", "event"} <= line.keys() else None


def _report(call_id: str, lines: list[dict[str, Any]]) -> Outcome:
    story = Story(call_id)
    for line in lines:
        found = str(line.get("id", ""))
        if found == call_id or found.startswith(call_id + SEPARATOR):
            story.lines.append(line)
    if not story.lines:
        return Error(fail(f"no log line mentions call '{call_id}'"))
    nodes = {line["node"] for line in story.lines}
    first, last = story.lines[0]["t"] - BEFORE_S, story.lines[-1]["t"]
    story.changes.extend(
        line
        for line in lines
        if line["event"] not in CALL_EVENTS and line["node"] in nodes and first <= line["t"] <= last
    )
    told = sorted([*story.lines, *story.changes], key=lambda line: line["t"])
    return Ok(Report("\n".join(_describe(line, first) for line in told), story))


def _describe(line: dict[str, Any], first: float) -> str:
    shown = [f"{line['t'] - first:8.3f} s  {line['node']}  {line['event']}"]
    for name, value in line.items():
        if name in ("t", "node", "event", *_SHOWN_LAST) or value in (None, ""):
            continue
        shown.append(f"{name}={value}")
    text = " ".join(shown)
    for attempt in line.get("attempts") or []:
        text += (
            f"\n{'':12}tried {attempt['node']}: {attempt['result']} after"
            f" {attempt['took_ms']} ms, expected {attempt['expected_ms']} ms based on a report"
            f" {attempt['report_age_ms']} ms old"
        )
    return text


def _define_flags(values: flags.FlagValues) -> None:
    """Add no flags besides the common ones."""


COMMAND = Command(
    name="story",
    arguments="ID FILE...",
    summary="Show what the nodes' logs say about a call.",
    examples=("story 9c41d07be2a35f68 node-1.log node-2.log",),
    word_counts=range(2, 10_000),
    define_flags=_define_flags,
    run=tell_story,
)
