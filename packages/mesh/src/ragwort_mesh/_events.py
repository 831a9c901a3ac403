"""Structured log lines on standard output, written by a thread of their own.

The event loop only encodes a line and puts it on a queue; it never waits for whoever reads the
output. Lines about single calls are bounded in number, and what is left out is counted and said.
"""

import logging
import os
import queue
import threading
import time
from typing import Any

import msgspec

CALL_LINES_PER_S = 300.0
"""Lines about single calls that a node writes a second; several times its share of the calls."""

CALL_LINES_BURST = 600.0
"""Lines about single calls that it writes at once after a quiet time."""

MAX_QUEUED_LINES = 5_000
"""Lines that wait for a slow reader: some megabytes at most."""

FLUSH_INTERVAL_S = 0.2
"""How often the thread writes what has gathered."""

STANDARD_OUTPUT = 1

_encode = msgspec.json.Encoder(enc_hook=str).encode


class EventLog:
    """Owns the queue of lines and the thread that writes them.

    Parameters
    ----------
    node
        Name that every line bears.
    descriptor
        File descriptor to write to.
    """

    def __init__(self, node: str, descriptor: int = STANDARD_OUTPUT) -> None:
        self.dropped = 0
        self._node = node
        self._descriptor = descriptor
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._tokens = CALL_LINES_BURST
        self._filled_at = time.monotonic()
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write what has gathered and end the thread."""
        if self.dropped:
            self.write("log-dropped", lines=self.dropped)
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(timeout=1.0)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about a change of state."""
        line = {"t": round(time.time(), 4), "node": self._node, "event": event, **fields}
        try:
            self._queue.put_nowait(_encode(line))
        except queue.Full:
            self.dropped += 1

    def write_call(self, event: str, important: bool, **fields: Any) -> None:
        """Write a line about a single call, unless too many were written lately.

        Half of the lines are kept for important ones.
        """
        now = time.monotonic()
        gained = (now - self._filled_at) * CALL_LINES_PER_S
        self._tokens = min(CALL_LINES_BURST, self._tokens + gained)
        self._filled_at = now
        if self._tokens < (1.0 if important else CALL_LINES_BURST / 2):
            self.dropped += 1
            return
        self._tokens -= 1.0
        self.write(event, **fields)

    def _run(self) -> None:
        while True:
            line = self._queue.get()
            lines = []
            ended = line is None
            if line is not None:
                lines.append(line)
                time.sleep(FLUSH_INTERVAL_S)
            while not ended and not self._queue.empty():
                line = self._queue.get()
                ended = line is None
                if line is not None:
                    lines.append(line)
            self._write_out(b"".join(line + b"\n" for line in lines))
            if ended:
                return

    def _write_out(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                time.sleep(FLUSH_INTERVAL_S)
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                return


class EventHandler(logging.Handler):
    """Turns the records of the logging library into lines of an event log."""

    def __init__(self, events: EventLog) -> None:
        super().__init__()
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields = {"level": record.levelname, "logger": record.name, "message": record.getMessage()}
        if record.exc_info:
            fields["trace"] = logging.Formatter().formatException(record.exc_info)
        self._events.write("log", **fields)
