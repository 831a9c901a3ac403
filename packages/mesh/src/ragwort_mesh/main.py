"""Run a mesh node that keeps its state in the platform's store."""

import argparse
import sys
from pathlib import Path

import uvloop
from ragwort_model import InputError, NodeSettings
from ragwort_platform import decode_settings

from ragwort_mesh._process import run_node

EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2


def run() -> None:
    """Run the command and exit with its status."""
    sys.exit(_main(sys.argv[1:]))


def _main(arguments: list[str]) -> int:
    options = _parse(arguments)
    path = Path(options.settings)
    settings = load_settings(path)
    if isinstance(settings, InputError):
        print(settings, file=sys.stderr)
        return EXIT_USAGE_ERROR
    if options.check:
        return 0
    metrics_address = ""
    if options.metrics_port:
        host = settings.addresses.entry.rpartition(":")[0]
        metrics_address = f"{host}:{options.metrics_port}"
    node = run_node(settings, lambda: load_settings(path), metrics_address, options.metrics_path)
    failure = uvloop.run(node)
    if failure:
        print(f"ragwort_mesh: {failure}", file=sys.stderr)
    return EXIT_FAILURE if failure else 0


def load_settings(path: Path) -> NodeSettings | InputError:
    """Return the settings read from a file, or the error found in it."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return InputError(str(path), error.strerror or repr(error))
    return decode_settings(data, str(path))


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="ragwort_mesh", description=__doc__)
    parser.add_argument("--settings", required=True, metavar="FILE", help="the settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument(
        "--metrics-port", type=int, default=0, help="port of the metrics endpoint; 0 disables it"
    )
    parser.add_argument("--metrics-path", default="/metrics", help="path of the metrics endpoint")
    return parser.parse_args(arguments)
