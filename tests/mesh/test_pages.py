"""The operations page lists every log event and metric of the mesh node, and no other events."""

import ast
import re
from pathlib import Path

import ragwort_mesh
import ragwort_transport

SOURCES = [
    source
    for package in (ragwort_mesh, ragwort_transport)
    for source in sorted(Path(package.__file__).parent.rglob("*.py"))
]
PAGE = (Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text("utf-8")
SECTION = PAGE.partition("## On the users' platform")[2]
SERVER_CAUSES = ("unreachable", "leaving", "replaced")


def read_rows(heading):
    """Return the names in backquotes in the first column of the table below a heading."""
    part = SECTION.partition(heading)[2].partition("\n|---")[2].partition("\n\n")[0]
    rows = [row.strip("| ").split(" | ")[0] for row in part.split("\n")[1:]]
    return [name for row in rows for name in re.findall(r"`([^`]+)`", row)]


def list_calls(*names):
    """Yield the object and the first argument of each call of a method with one of the names."""
    for source in SOURCES:
        for node in ast.walk(ast.parse(source.read_text("utf-8"))):
            is_method = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
            if is_method and node.func.attr in names and node.args:
                yield ast.unparse(node.func.value), node.args[0]


def list_events():
    events = {f"server-{cause}" for cause in SERVER_CAUSES}
    for _, argument in list_calls("write", "write_call", "_log_server"):
        if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
            events.add(argument.value)
    for source in SOURCES:
        found = re.findall(r'event = "([a-z-]+)" if .* else "([a-z-]+)"', source.read_text("utf-8"))
        events.update(event for pair in found for event in pair)
    return events


def test_page_lists_exactly_the_events_of_the_node():
    assert set(read_rows("### Log lines there")) == list_events()


def test_page_lists_every_metric_of_the_node():
    rows = " ".join(read_rows("### Metrics there"))
    patterns = [re.escape(row).replace(r"\*", ".+") for row in read_rows("### Metrics there")]
    for owner, argument in list_calls("add", "set_gauge"):
        if not ("counters" in owner or "histograms" in owner):
            continue
        if isinstance(argument, ast.Constant):
            name = argument.value
            found = any(re.fullmatch(pattern, name) for pattern in patterns)
        else:
            # For a name with a formatted value, only the constant prefix can be compared.
            name = ast.unparse(argument).partition("{")[0].strip("f'")
            found = name in rows or name.partition(".")[0] + ".OUTCOME" in rows
        assert found, name
