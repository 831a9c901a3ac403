"""The command line of the mesh node, run as a process."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest
from ragwort_mesh.main import load_settings

from bench.deployment import find_free_ports


def write_settings(path, **changes):
    ports = [f"127.0.0.1:{port}" for port in find_free_ports(6)]
    names = ("inbound", "outbound", "ready", "control")
    settings = {
        "nodeName": "n1",
        "zone": "z",
        "region": "r",
        "service": "s",
        "appAddr": ports[4],
        "listenAddrs": dict(zip(names, ports, strict=False)),
        "platform": {"addr": ports[5]},
        "bounds": ["graceS=3"],
        **changes,
    }
    path.write_text(json.dumps(settings))
    return settings


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "ragwort_mesh", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_check_of_valid_settings_prints_nothing(tmp_path):
    path = tmp_path / "settings.json"
    write_settings(path)
    done = run_command("--settings", str(path), "--check")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_invalid_settings_print_one_line_and_exit_with_status_2(tmp_path):
    path = tmp_path / "settings.json"
    write_settings(path, service=7)
    done = run_command("--settings", str(path))
    assert done.returncode == 2
    assert done.stderr.startswith(f"{path}: Expected `str`, got `int`")
    assert done.stderr.count("\n") == 1
    assert run_command("--settings", str(tmp_path / "none")).returncode == 2


def test_reload_signal_before_the_settings_are_read_does_not_end_the_process(tmp_path):
    # Nodes that were told to reload while they started did not come back.
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = subprocess.Popen([sys.executable, "-m", "ragwort_mesh", "--settings", str(path)])
    # Opening waits until the process reads its settings, which it does right after its imports.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("not settings")
    assert process.wait(timeout=30) == 2


@pytest.fixture
def node(tmp_path):
    path = tmp_path / "settings.json"
    settings = write_settings(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "ragwort_mesh", "--settings", str(path)],
        stdout=subprocess.PIPE,
        text=True,
    )
    yield process, path, settings
    process.kill()
    process.communicate()


def read_until(process, event):
    for line in process.stdout:
        fields = json.loads(line)
        if fields["event"] == event:
            return fields
    raise AssertionError(f"the process ended without {event}")


def test_sighup_reloads_the_settings_and_sigterm_stops_the_node(node):
    process, path, settings = node
    read_until(process, "start")
    path.write_text(json.dumps({**settings, "bounds": ["graceS=2.5"]}))
    process.send_signal(signal.SIGHUP)
    fields = read_until(process, "reload")
    assert (fields["changed"], fields["need_start"]) == (["bounds"], [])
    path.write_text("{")
    assert "truncated" in read_until(process, "settings-unreadable")["mistake"]
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert read_until(process, "stopped")["unfinished"] == 0
    assert process.wait(timeout=10) == 0
    assert time.monotonic() - began < 10


def test_changed_address_is_logged_as_needing_a_restart(node):
    process, path, settings = node
    read_until(process, "start")
    path.write_text(json.dumps({**settings, "appAddr": "127.0.0.1:9"}))
    fields = read_until(process, "reload")
    assert fields["need_start"] == ["addresses"]


def test_missing_file_is_named_in_the_error(tmp_path):
    assert str(load_settings(tmp_path / "x")) == f"{tmp_path / 'x'}: No such file or directory"
