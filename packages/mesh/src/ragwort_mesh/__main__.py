"""Runs the node: ``python -m ragwort_mesh --settings FILE``."""

from ragwort_mesh.main import run

run()
