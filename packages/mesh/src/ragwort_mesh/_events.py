"""Structured log on standard output, written by a background thread.

The event loop only encodes a line and queues it, so it never blocks on a slow reader of the output.
Lines about single calls are rate-limited, and dropped lines are counted and reported.
"""

import logging
import os
import queue
import threading
import time
from typing import Any

import msgspec

CALL_LINES_PER_S = 300.0
"""Rate limit of lines about single calls: several times a node's share of the calls."""

CALL_LINES_BURST = 600.0
"""Burst size of that rate limit."""

MAX_QUEUED_LINES = 5_000
"""Queue size for a slow reader: a few megabytes at most."""

FLUSH_INTERVAL_S = 0.2
"""How often the thread writes the queued lines."""

STANDARD_OUTPUT = 1

_encode = msgspec.json.Encoder(enc_hook=str).encode


class EventLog:
    """Queue of log lines and the thread that writes them.

    Parameters
    ----------
    node
        Node name added to every line.
    descriptor
        File descriptor to write to.
    """

    def __init__(self, node: str, descriptor: int = STANDARD_OUTPUT) -> None:
        self.dropped = 0
        self._node = node
        self._descriptor = descriptor
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._tokens = CALL_LINES_BURST
        self._refilled_at = time.monotonic()
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines and stop the thread."""
        if self.dropped:
            self.write("log-dropped", lines=self.dropped)
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(timeout=1.0)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about a state change."""
        line = {"t": round(time.time(), 4), "node": self._node, "event": event, **fields}
        try:
            self._queue.put_nowait(_encode(line))
        except queue.Full:
            self.dropped += 1

    def write_call(self, event: str, important: bool, **fields: Any) -> None:
        """Write a line about a single call, unless the rate limit is exceeded.

        Half of the burst is reserved for important lines.
        """
        now = time.monotonic()
        gained = (now - self._refilled_at) * CALL_LINES_PER_S
        self._tokens = min(CALL_LINES_BURST, self._tokens + gained)
        self._refilled_at = now
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
                # The output is closed, and there is no other place to report that.
                return


class EventHandler(logging.Handler):
    """Forwards records of the standard logging module to an event log."""

    def __init__(self, events: EventLog) -> None:
        super().__init__()
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields = {"level": record.levelname, "logger": record.name, "message": record.getMessage()}
        if record.exc_info:
            fields["trace"] = logging.Formatter().formatException(record.exc_info)
        self._events.write("log", **fields)
