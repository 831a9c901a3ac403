import asyncio
import socket
import subprocess
import sys

import pytest
from ragwort_node._composition import run_node
from ragwort_node._settings import load_settings

COMMAND = [sys.executable, "-c", "from ragwort_node.main import run; run()"]
SETTINGS = """\
node: {id: n1, service: s, region: r, failure_domain: d}
server: {address: "127.0.0.1:9"}
platform: {url: "http://127.0.0.1:9"}
"""


def run_command(*arguments):
    return subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, check=False)


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    return path


def test_check_accepts_valid_settings(settings_file):
    done = run_command("--settings", str(settings_file), "--check")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_check_reports_each_error_with_file_and_line(settings_file):
    settings_file.write_text(SETTINGS + "odd: 1\nserver: 2\n")
    done = run_command("--settings", str(settings_file), "--check")
    assert done.returncode == 2
    assert all(line.startswith(f"{settings_file}:") for line in done.stderr.splitlines())


def test_without_settings_the_usage_is_printed():
    done = run_command()
    assert (done.returncode, done.stderr.split()[0]) == (2, "usage:")


@pytest.mark.parametrize("name", ["entry", "link", "control", "admin"])
def test_an_address_in_use_is_reported_in_one_line(settings_file, name):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings_file.write_text(SETTINGS + f"addresses: {{{name}: '{address}'}}\n")
        failure = asyncio.run(run_node(load_settings(settings_file)))
    assert failure.startswith(address)
    assert "\n" not in failure
