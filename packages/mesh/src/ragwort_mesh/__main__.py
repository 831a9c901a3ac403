"""Runs the node: ``python -m ragwort_mesh --settings FILE``."""

import signal

# SIGHUP asks for a reload of the settings, and ends a process without a handler for it. The imports
# below take several tenths of a second, and the node reads its settings when they are done.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ragwort_mesh.main import run  # noqa: E402

run()
