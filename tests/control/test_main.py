import asyncio
import json
from pathlib import Path

import pytest
from fake_store import FakeStore, Fault
from ragwort_control._store import open_platform
from ragwort_control.main import COMMANDS, run_command
from ragwort_standins.platform import PlatformStandIn
from ragwort_store import RULES_PATH, RulesDocument, encode_rules_document

ONE = "drums GET /a idempotent  # hanbit: lookups\n"
TWO = ONE + "drums * /** deadline=3s  # hanbit: everything else\n"
THREE = ONE.replace("idempotent", "batch")
HANBIT = Path(__file__).parents[2] / "docs" / "examples" / "hanbit.rules"


async def skip_pause(delay_s):
    """Return without waiting."""


class Operator:
    """Runs command lines against a store in memory, and keeps what they printed."""

    def __init__(self, folder, capsys):
        self.folder = folder
        self.capsys = capsys
        self.store = FakeStore()

    def run(self, *words):
        flags = ["--platform=http://fake", *(["--author=kim"] if words[0] == "apply" else [])]
        return self.run_plain(*words, *flags)

    def run_plain(self, *words):
        status = run_command(words, self.store.open, skip_pause)
        self.out, self.err = self.capsys.readouterr()
        assert "Traceback" not in self.err
        return status

    def write(self, text, name="my.rules"):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def put_competing(self, revision=2, text=TWO):
        document = RulesDocument(revision, "lee", "today", "rival", text.encode())
        self.store.put(RULES_PATH, encode_rules_document(document))


@pytest.fixture
def operator(tmp_path, capsys):
    return Operator(tmp_path, capsys)


@pytest.mark.parametrize("name", COMMANDS)
def test_help_shows_examples_and_exit_statuses(operator, name):
    assert operator.run_plain(name, "--help") == 0
    assert f"  ragwortctl {name}" in operator.out
    assert "3  outcome unknown or incomplete" in operator.out


@pytest.mark.parametrize(
    ("words", "message"),
    [
        ([], "the command is missing, expected one of check"),
        (["chekc"], "command 'chekc' is unknown, expected one of check"),
        (["check"], "0 arguments given, expected 'ragwortctl check FILE'"),
        (["check", "a", "b"], "2 arguments given"),
        (["check", "/no/such"], "/no/such: No such file or directory, expected a file"),
        (["check", "a\0b"], "expected a file that can be read"),
        (["show", "--revison=1"], "'ragwortctl show --help' shows the flags"),
        (["show", "--revision=x"], "invalid literal"),
        (["show"], "the platform's URL is missing, expected --platform=http://HOST:PORT"),
        (["show", "--platform=ftp://x"], "the platform's URL 'ftp://x' is invalid"),
        (["explain", "drums", "GET", "a"], "path 'a' has no leading slash"),
        (["status", "--node=x"], "node 'x' is not an address, expected HOST:PORT"),
        (["drain", "n1"], "the token is missing, expected --token-file=FILE"),
    ],
)
def test_a_usage_error_is_one_line_and_status_2(operator, monkeypatch, words, message):
    monkeypatch.delenv("RAGWORT_PLATFORM", raising=False)
    assert operator.run_plain(*words) == 2
    assert message in operator.err
    assert operator.err.count("\n") == 1
    assert operator.out == ""


def test_check_reports_every_error_with_file_and_line(operator):
    name = operator.write(ONE + "oops\n\ndrums GET /b retries=1  # hanbit: x\n")
    assert operator.run_plain("check", name) == 2
    lines = operator.err.splitlines()
    assert [line.split(": ")[0] for line in lines] == [f"{name}:2", f"{name}:2", f"{name}:4"]
    assert all("expected" in line for line in lines)
    assert operator.run("apply", name) == 2
    assert operator.store.accepted == []


def test_check_reports_a_valid_file_as_text_and_as_json(operator):
    assert operator.run_plain("check", str(HANBIT)) == 0
    assert "11 rules for cleaning-records, collections, drum-tracking" in operator.out
    assert operator.run_plain("check", "--json", str(HANBIT)) == 0
    assert json.loads(operator.out)["rules"] == 11


def test_two_files_are_compared_without_a_platform(operator, monkeypatch):
    monkeypatch.delenv("RAGWORT_PLATFORM", raising=False)
    files = [operator.write(ONE, "one.rules"), operator.write(TWO, "two.rules")]
    assert operator.run_plain("diff", *files) == 0
    assert operator.out.endswith("added: drums * /**\n")


def test_explain_names_the_rule_and_why_earlier_ones_do_not_match(operator):
    call = ["collections", "GET", "/stops?day=1"]
    assert operator.run_plain("explain", f"--rules={HANBIT}", *call, "--json") == 0
    found = json.loads(operator.out)
    assert found["rule"].startswith("collections * /** ")
    assert [each["reason"] for each in found["passed"]] == [
        "the method is POST",
        "the path does not fit",
        "the method is POST",
    ]
    assert found["treatment"]["deadline_ms"] == 5000
    assert operator.run("explain", "drums", "GET", "/a") == 1
    assert "the platform holds no current rules" in operator.err
    operator.run("apply", operator.write(ONE))
    assert operator.run("explain", "drums", "GET", "/a") == 0
    assert "GET /a matches line 1 of current" in operator.out
    assert operator.run("explain", "drums", "GET", "/%61?b=%2F") == 0
    assert operator.run("explain", "drums", "GET", "/b") == 1
    assert "no rule of current is for GET /b" in operator.err
    assert operator.run("explain", "trucks", "GET", "/b") == 1
    assert "no rule is for service 'trucks'" in operator.err


def test_revisions_are_applied_shown_listed_and_compared(operator):
    assert operator.run("history") == 0
    assert "no rules yet" in operator.out
    assert operator.run("apply", operator.write(ONE)) == 0
    assert "revision 1 is the first: 1 added" in operator.out
    assert operator.run("apply", "--expect-version=1", operator.write(TWO)) == 0
    assert f"+{TWO.splitlines()[1]}" in operator.out
    assert "revision 2 replaces revision 1: 1 added" in operator.out
    assert operator.run("apply", operator.write(TWO)) == 0
    assert "nothing to apply: revision 2 by kim" in operator.out
    assert operator.run("show") == 0
    assert (operator.out, operator.err[:17]) == (TWO, "revision 2 by kim")
    assert operator.run("show", "--revision=1") == 0
    assert operator.out == ONE
    assert operator.run("show", "--revision=9") == 1
    assert operator.run("history", "--json") == 0
    assert [row["revision"] for row in json.loads(operator.out)["revisions"]] == [2, 1]
    assert operator.run("diff", "1", "2", "--json") == 0
    assert [change["kind"] for change in json.loads(operator.out)["changes"]] == ["added"]
    assert operator.run("diff", operator.write(THREE)) == 0
    assert "removed: drums * /**\nchanged: drums GET /a" in operator.out
    assert operator.run("apply", "--expect-version=2", "--above=40", operator.write(ONE)) == 0
    assert "revision 41 replaces revision 2" in operator.out


def test_apply_refuses_to_replace_what_the_operator_has_not_read(operator):
    operator.put_competing()
    assert operator.run("apply", operator.write(ONE)) == 2
    assert "revision 2 by lee at today is current, expected --expect-version=2" in operator.err
    assert f"-{TWO.splitlines()[1]}" in operator.err
    assert operator.run("apply", operator.write(ONE), "--expect-version=1") == 1
    assert "nothing was applied: revision 2 by lee at today is current, but --exp" in operator.err
    assert len(operator.store.accepted) == 1


def test_a_wrong_expected_version_shows_what_changed_since_then(operator):
    operator.run("apply", operator.write(ONE))
    operator.run("apply", operator.write(THREE), "--expect-version=1")
    operator.run("apply", operator.write(TWO), "--expect-version=2")
    assert operator.run("apply", operator.write(ONE + "# mine\n"), "--expect-version=1") == 1
    assert "revision 3 by kim" in operator.err
    assert "after others that 'history' lists since revision 1; what changed:" in operator.err
    assert f"+{TWO.splitlines()[1]}" in operator.err
    assert "# mine" not in operator.err
    assert len(operator.store.accepted) == 3


def test_the_second_of_two_operators_sees_what_changed_and_by_whom(operator):
    operator.run("apply", operator.write(ONE))
    operator.store.before_write = operator.put_competing
    assert operator.run("apply", "--expect-version=1", operator.write(THREE)) == 1
    assert "nothing was applied: revision 2 by lee at today came first" in operator.err
    assert f"+{TWO.splitlines()[1]}" in operator.err
    assert "--expect-version=2" in operator.err
    assert [document.author for document in operator.store.accepted] == ["kim", "lee"]


@pytest.mark.parametrize(
    ("faults", "status", "message"),
    [
        ([Fault.NONE, Fault.LOST_REPLY], 0, ""),
        ([Fault.UNAVAILABLE], 1, "the platform could not be read (unavailable)"),
        ([Fault.NONE, *[Fault.UNAVAILABLE] * 9], 1, "nothing was applied: the platform did not"),
        ([Fault.NONE, *[Fault.LOST_REQUEST] * 9], 3, "could not tell whether the rules were"),
    ],
)
def test_apply_reports_what_is_known_after_faults(operator, faults, status, message):
    operator.store.faults.extend(faults)
    assert operator.run("apply", operator.write(ONE)) == status
    assert message in operator.err
    assert len(operator.store.accepted) == (status == 0)


def test_rules_over_the_platforms_size_limit_are_a_usage_error(operator):
    assert operator.run("apply", operator.write(ONE + "#" * (1 << 20))) == 2
    assert "expected 1048576 at most" in operator.err


def test_a_damaged_document_is_reported(operator):
    operator.store.put(RULES_PATH, b"[]")
    assert operator.run("show") == 1
    assert "rules/current is damaged" in operator.err


def test_apply_and_history_work_over_http_when_a_reply_is_lost(operator):
    async def scenario():
        async with PlatformStandIn() as platform:
            flags = [f"--platform={platform.url}", "--author=kim", "--timeout-ms=300"]
            platform.table.faults.lost_replies = 1
            words = ["apply", operator.write(ONE), *flags]
            assert await asyncio.to_thread(run_command, words, open_platform, skip_pause) == 0
            assert platform.table.objects[RULES_PATH].data.count(b"kim") == 1
            platform.table.faults.outage = True
            words = ["history", flags[0]]
            assert await asyncio.to_thread(run_command, words, open_platform, skip_pause) == 1

    asyncio.run(scenario())
    assert "revision 1 is the first" in operator.capsys.readouterr().out


def test_only_one_of_several_concurrent_applies_over_http_succeeds(operator):
    files = [operator.write(f"{ONE}# {n}\n", f"{n}.rules") for n in range(5)]

    async def scenario():
        async with PlatformStandIn() as platform:

            async def apply(name, *flags):
                words = ["apply", name, f"--platform={platform.url}", "--author=kim", *flags]
                return await asyncio.to_thread(run_command, words, open_platform, skip_pause)

            assert await apply(files[0]) == 0
            operator.capsys.readouterr()
            statuses = await asyncio.gather(
                *(apply(name, "--expect-version=1") for name in files[1:])
            )
            assert sorted(statuses) == [0, 1, 1, 1]
            return statuses.index(0) + 1, platform.table.objects[RULES_PATH].data

    winner, data = asyncio.run(scenario())
    assert f"# {winner}" in data.decode()
    assert operator.capsys.readouterr().err.count("nothing was applied: revision 2 by kim") == 3


def test_a_long_history_is_not_cut_off_by_the_budget_of_platform_calls(operator):
    async def scenario():
        async with PlatformStandIn() as platform:
            flags = [f"--platform={platform.url}", "--author=kim"]
            for revision in range(30):
                expected = [f"--expect-version={revision}"] if revision else []
                name = operator.write(ONE.replace("lookups", f"lookups {revision}"))
                words = ["apply", name, *flags, *expected]
                assert await asyncio.to_thread(run_command, words, open_platform, skip_pause) == 0
            operator.capsys.readouterr()
            words = ["history", "--count=50", flags[0]]
            return await asyncio.to_thread(run_command, words, open_platform, skip_pause)

    assert asyncio.run(scenario()) == 0
    assert operator.capsys.readouterr().out.count("kim") == 30
