import asyncio
import json

import pytest
from fake_store import FakeStore
from ragwort_control.main import run_command


def write(folder, name, *lines):
    path = folder / name
    path.write_text("\n".join(lines))
    return str(path)


def make_line(at, node, event, **fields):
    return json.dumps({"t": at, "node": node, "event": event, **fields}, separators=(",", ":"))


ATTEMPT = {
    "node": "n2",
    "expected_ms": 80.0,
    "report_age_ms": 12.0,
    "result": "not-run:overloaded",
    "took_ms": 1.5,
}


@pytest.fixture
def run_story(tmp_path, capsys):
    entry = make_line(20.0, "n1", "entry", id="c1", status=503, attempts=[ATTEMPT])
    first = write(
        tmp_path,
        "one.log",
        make_line(19.0, "n1", "configuration-in-force", version=7),
        make_line(3.0, "n1", "start"),
        "  12.1 n1 " + entry,
        "no line of a node",
        '{"t":broken',
    )
    second = write(
        tmp_path,
        "two.log",
        make_line(19.9, "n2", "gate", id="c1", outcome="not-run", reason="overloaded", waiting=4),
        make_line(19.95, "n2", "gate", id="c1.1", outcome="answered"),
        make_line(19.9, "n2", "gate", id="c12", outcome="answered"),
    )

    def run(*words):
        status = run_command(
            ["story", *words, first, second], FakeStore().open, lambda _: asyncio.sleep(0)
        )
        return status, capsys.readouterr()

    return run


def test_a_call_is_shown_across_nodes_with_what_changed_before_it(run_story):
    status, printed = run_story("c1")
    assert status == 0
    lines = printed.out.splitlines()
    assert "configuration-in-force version=7" in lines[0]
    assert "n2  gate id=c1 outcome=not-run reason=overloaded waiting=4" in lines[1]
    assert "id=c1.1" in lines[2]
    assert "n1  entry id=c1 status=503" in lines[3]
    assert "tried n2: not-run:overloaded after 1.5 ms" in lines[4]
    assert len(lines) == 5


def test_json_contains_the_log_lines_as_written(run_story):
    status, printed = run_story("--json", "c1")
    story = json.loads(printed.out)
    assert status == 0
    assert [line["event"] for line in story["lines"]] == ["gate", "gate", "entry"]


def test_an_unknown_call_and_a_missing_file_are_reported(run_story):
    status, printed = run_story("c9")
    assert (status, printed.err) == (1, "no log line mentions call 'c9'\n")
    status, printed = run_story("c1", "missing.log")
    assert status == 2
    assert printed.err == "missing.log: No such file or directory\n"


def test_a_refusal_is_shown_with_the_crashes_that_it_rests_on(tmp_path, run_story):
    crashes = [{"node": f"n{number}", "t": float(number), "server": "i"} for number in (1, 2, 3)]
    refused = make_line(
        20.0, "n9", "entry", id="c9", status=503, reason="crashes-servers", crashes=crashes
    )
    crashed = [
        make_line(
            float(number),
            f"n{number}",
            "server-crashed",
            server="i",
            calls=[{"id": f"c{number}", "request": "ab"}],
        )
        for number in (1, 2, 3, 4)
    ]
    path = write(tmp_path, "crashes.log", refused, *crashed)
    status, printed = run_story("c9", path)
    text = printed.out
    assert status == 0
    assert text.count("server-crashed") == 3
    assert "refused since the server i at n2 crashed 18.0 s before" in text
    assert "'id': 'c2'" in text and "'id': 'c4'" not in text
