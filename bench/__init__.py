"""Benchmarks and the demo, run by the targets of the Makefile."""
