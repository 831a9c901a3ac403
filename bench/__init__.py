"""Benchmarks and the demo; see the Makefile."""
