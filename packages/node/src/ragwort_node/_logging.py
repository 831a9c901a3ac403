"""Configures the logging of the process."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str, json_lines: bool) -> None:
    """Write log lines of at least a level to standard error, as text or as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    if json_lines:
        handler.setFormatter(JsonFormatter(JSON_FIELDS))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    # uvicorn logs each start and stop of its servers, which the node already does.
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
