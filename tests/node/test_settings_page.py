"""Checks that the operator documentation lists exactly the settings, metrics and log lines."""

import ast
import re
from dataclasses import fields
from pathlib import Path

import ragwort_common
import ragwort_node
import ragwort_transport
from ragwort_node._rules_types import ConfigurationEvent
from ragwort_node._settings import _load_defaults, load_settings
from ragwort_policy import GossipCounters, TrafficClass
from ragwort_protocol import ClaimVerdict, PeerState
from ragwort_store import CallKind, ErrorKind

DOCS = Path(__file__).parents[2] / "docs"
SOURCES = [
    source
    for package in (ragwort_common, ragwort_node, ragwort_transport)
    for source in sorted(Path(package.__file__).parent.rglob("*.py"))
]
COUNTER_MODULES = ("_counters.py", "_metrics.py", "_gauges.py")
OPERATIONS = (DOCS / "OPERATIONS.md").read_text("utf-8")
PLACEHOLDERS = {
    "outcome.value": ["OUTCOME"],
    "reason.value": ["REASON"],
    "result.outcome.value": ["OUTCOME"],
    "result.reason.value": ["REASON"],
    "call.status": ["STATUS"],
    "scope": ["node", "region"],
    "state.name.lower()": [state.name.lower() for state in PeerState],
    "traffic.name.lower()": [traffic.name.lower() for traffic in TrafficClass],
    "verdict.value": [verdict.value for verdict in ClaimVerdict],
    "name": [field.name for field in fields(GossipCounters)],
}
"""Values allowed in metric names: only small fixed sets, never ids of peers or callers."""
KINDS = {
    "configuration": ConfigurationEvent,
    "platform.calls": CallKind,
    "platform.errors": ErrorKind,
}


def read_rows(text, heading):
    """Return the cells of the first table below a heading."""
    part = text.partition(heading)[2].partition("\n| ")[2].partition("\n\n")[0]
    return [[cell.strip() for cell in row.strip("| ").split(" | ")] for row in part.split("\n")[2:]]


def list_names(node):
    """Return the names that a literal can produce, with every value of its placeholders."""
    if isinstance(node, ast.Constant):
        return [node.value]
    names = [""]
    for part in node.values:
        if isinstance(part, ast.Constant):
            endings = [part.value]
        else:
            endings = PLACEHOLDERS[ast.unparse(part.value)]
        names = [name + ending for name in names for ending in endings]
    return names


def list_metrics():
    names = {f"{prefix}.{kind.value}" for prefix, kinds in KINDS.items() for kind in kinds}
    for source in SOURCES:
        for node in ast.walk(ast.parse(source.read_text("utf-8"))):
            literal = None
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                is_metric = node.func.attr in ("add", "add_timing", "set_gauge")
                if is_metric and "counters" in ast.unparse(node.func.value) and node.args:
                    literal = node.args[0]
            elif isinstance(node, ast.Subscript) and ast.unparse(node.value).endswith(".totals"):
                literal = node.slice
            if literal is None or ast.unparse(literal) == "f'{prefix}.{kind.value}'":
                continue
            if isinstance(literal, ast.Constant | ast.JoinedStr):
                names.update(list_names(literal))
            else:
                # Variables are allowed only in the modules that handle all counters generically.
                assert source.name in ("_counters.py", "_metrics.py", "_gauges.py"), ast.unparse(
                    node
                )
    return names | {
        f"watching.{scope}_refused.{traffic.name.lower()}"
        for scope in PLACEHOLDERS["scope"]
        for traffic in TrafficClass
    }


def test_the_page_names_every_metric_and_no_other():
    rows = read_rows(OPERATIONS, "## Metrics")
    names = [name for row in rows for name in re.findall(r"`([^`]+)`", row[0])]
    assert len(names) == len(set(names))
    assert set(names) == list_metrics()


def list_log_lines():
    for source in SOURCES:
        for node in ast.walk(ast.parse(source.read_text("utf-8"))):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            level = node.func.attr
            if ast.unparse(node.func.value) == "log" and level != "debug":
                yield node.args[0].value, level


def test_the_page_names_every_log_line_with_its_level_and_no_other():
    rows = read_rows(OPERATIONS, "## Log lines")
    shown = [(line, level) for cell, level, *_ in rows for line in re.findall(r"`([^`]+)`", cell)]
    met = set()
    for text, level in list_log_lines():
        pattern = ".+".join(re.escape(part) for part in re.split("%[sd]", text))
        found = {row for row in shown if re.fullmatch(pattern, row[0]) and row[1] == level}
        assert found, text
        met |= found
    assert met == set(shown)


def flatten(values, prefix=""):
    for key, value in values.items():
        if isinstance(value, dict):
            yield from flatten(value, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", value


def format_default(value):
    if isinstance(value, bool):
        return str(value).lower()
    return "null" if value is None else str(value)


def list_required(tmp_path):
    path = tmp_path / "empty.yaml"
    path.write_text("")
    return {error.message.partition(" is missing")[0] for error in load_settings(path)}


def test_the_page_names_every_setting_with_its_default_and_no_other(tmp_path):
    rows = read_rows((DOCS / "SETTINGS.md").read_text("utf-8"), "# Settings")
    shown = {row[0].strip("`"): row[1].strip("`") for row in rows}
    expected = {key: format_default(value) for key, value in flatten(_load_defaults())}
    expected |= dict.fromkeys(list_required(tmp_path), "*required*")
    assert list(shown.items()) == list(expected.items())
