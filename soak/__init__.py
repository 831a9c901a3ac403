"""Randomized soak test: injects faults into real processes on loopback and checks guarantees."""
