"""The ``ragwortd`` command, which runs the node beside a server."""

import sys
from pathlib import Path

import uvloop
from absl import app, flags

from ragwort_node._composition import run_node
from ragwort_node._logging import configure_logging
from ragwort_node._settings import Settings, load_settings

FAILED = 1
USAGE_ERROR = 2

_settings_flag = flags.DEFINE_string("settings", None, "The node's settings file (YAML).")
_check_flag = flags.DEFINE_bool("check", False, "Check the settings and exit.")


def run() -> None:
    """Run the ``ragwortd`` command."""
    app.run(_main)


def _main(arguments: list[str]) -> int:
    if len(arguments) > 1 or not _settings_flag.value:
        print("usage: ragwortd --settings FILE [--check]", file=sys.stderr)
        return USAGE_ERROR
    settings = load_settings(Path(_settings_flag.value))
    if not isinstance(settings, Settings):
        for error in settings:
            print(error, file=sys.stderr)
        return USAGE_ERROR
    if _check_flag.value:
        return 0
    configure_logging(settings.logging.level.value, settings.logging.json_lines)
    failure = uvloop.run(run_node(settings))
    if failure:
        print(f"ragwortd: {failure}", file=sys.stderr)
    return FAILED if failure else 0
