"""Composition root: builds the components of a node from its settings and runs them."""

from ragwort_node._composition._node import run_node

__all__ = ["run_node"]
