"""``story``: shows what the nodes' logs say about a call and the calls that it caused."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from absl import flags
from expression import Error, Ok, Result

from ragwort_control._command import Command, Context, Failure, Outcome, Report, fail, fail_usage

CALL_ID_SEPARATOR = "."
"""Some servers prefix the ids of their outgoing calls with the incoming call's id and this."""


@dataclass(frozen=True, slots=True)
class CallLog:
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
    crashes
        Log lines about the crashes of servers that the call was refused for, on any node.
    """

    call_id: str
    lines: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)
    crashes: list[dict[str, Any]] = field(default_factory=list)


LOOKBACK_S = 3.0
"""How long before a call changes are shown that may explain it; spans two server reports."""

CALL_EVENTS = frozenset({"entry", "gate"})
CRASH_EVENT = "server-crashed"

CRASH_LINE_S = 1.0
"""Longest time between a crash and its log line; a server that keeps its id is back later."""

_FIELDS_ON_OWN_LINES = ("attempts", "crashes")


async def show_call_log(context: Context) -> Outcome:
    """Read log files and report what they say about a call."""
    call_id, *names = context.arguments
    read = _read_files(names)
    return read.bind(lambda lines: _report(call_id, lines))


def _read_files(names: list[str]) -> Result[list[dict[str, Any]], Failure]:
    lines: list[dict[str, Any]] = []
    for name in names:
        try:
            text = Path(name).read_text("utf-8", "replace")
        except OSError as error:
            return Error(fail_usage(f"{name}: {error.strerror}"))
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
    call_log = CallLog(call_id)
    for line in lines:
        found = str(line.get("id", ""))
        if found == call_id or found.startswith(call_id + CALL_ID_SEPARATOR):
            call_log.lines.append(line)
    if not call_log.lines:
        return Error(fail(f"no log line mentions call '{call_id}'"))
    named = [crash for line in call_log.lines for crash in line.get("crashes") or []]
    call_log.crashes.extend(
        line for line in lines if any(_tells_of(line, crash) for crash in named)
    )
    nodes = {line["node"] for line in call_log.lines}
    first, last = call_log.lines[0]["t"] - LOOKBACK_S, call_log.lines[-1]["t"]
    call_log.changes.extend(
        line
        for line in lines
        if line["event"] not in CALL_EVENTS
        and line["node"] in nodes
        and first <= line["t"] <= last
        and line not in call_log.crashes
    )
    entries = sorted(
        [*call_log.lines, *call_log.changes, *call_log.crashes], key=lambda line: line["t"]
    )
    return Ok(Report("\n".join(_describe(line, first) for line in entries), call_log))


def _tells_of(line: dict[str, Any], crash: dict[str, Any]) -> bool:
    """Return whether a log line tells of a crash that a refusal names."""
    return (
        line["event"] == CRASH_EVENT
        and (line["node"], line.get("server")) == (crash["node"], crash["server"])
        and abs(line["t"] - crash["t"]) <= CRASH_LINE_S
    )


def _describe(line: dict[str, Any], first: float) -> str:
    shown = [f"{line['t'] - first:8.3f} s  {line['node']}  {line['event']}"]
    for name, value in line.items():
        if name in ("t", "node", "event", *_FIELDS_ON_OWN_LINES) or value in (None, ""):
            continue
        shown.append(f"{name}={value}")
    text = " ".join(shown)
    for attempt in line.get("attempts") or []:
        text += (
            f"\n{'':12}tried {attempt['node']}: {attempt['result']} after"
            f" {attempt['took_ms']} ms, expected {attempt['expected_ms']} ms based on a report"
            f" {attempt['report_age_ms']} ms old"
        )
    for crash in line.get("crashes") or []:
        text += (
            f"\n{'':12}refused since the server {crash['server']} at {crash['node']} crashed"
            f" {line['t'] - crash['t']:.1f} s before"
        )
    return text


def _define_flags(values: flags.FlagValues) -> None:
    """Add no flags besides the common ones."""


COMMAND = Command(
    name="story",
    arguments="ID FILE...",
    summary="Show what the nodes' logs say about a call.",
    examples=("story 9c41d07be2a35f68 node-1.log node-2.log",),
    argument_counts=range(2, 10_000),
    define_flags=_define_flags,
    run=show_call_log,
)
