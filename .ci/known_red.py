"""Checks that every failed test of a run is listed in KNOWN-RED.txt with the same error.

Usage: known_red.py REPORT, a JUnit XML report of pytest. The exit status is 0 when at least one
test failed and each failure matches an entry: the test's id is the entry's ``test:`` and its
message ends with the entry's ``error:``.
"""

import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_entries() -> list[tuple[str, str]]:
    """Return the test and the error of each entry."""
    tests, errors = [], []
    for line in KNOWN_RED.read_text().splitlines():
        label, _, text = line.partition(": ")
        if label == "test":
            tests.append(text)
        elif label == "error":
            errors.append(text)
    return list(zip(tests, errors, strict=True))


def list_failures(report: Path) -> list[tuple[str, str]]:
    """Return the id and the message of each failed test."""
    found = []
    for case in ElementTree.parse(report).iter("testcase"):
        for result in (*case.findall("failure"), *case.findall("error")):
            name = f"{case.get('classname', '')}.{case.get('name', '')}"
            found.append((name, result.get("message", "")))
    return found


def main() -> int:
    """Print the failures that are passed over, and return the exit status."""
    try:
        failures = list_failures(Path(sys.argv[1]))
        entries = read_entries()
    except (OSError, ElementTree.ParseError):
        return 1
    for name, message in failures:
        if not any(name == test and message.endswith(error) for test, error in entries):
            return 1
    for name, message in failures:
        print(f"known failure passed over: {name}: {message}")
    return 0 if failures else 1


if __name__ == "__main__":
    sys.exit(main())
