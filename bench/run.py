"""Runs every benchmark and prints its results, one JSON object per line.

The path and capacity benchmarks run first, one at a time, since they measure real time or whole
processes; the others measure virtual time or their own processing and run in parallel.
"""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

SEQUENTIAL_MODULES = ("bench.path", "bench.capacity")
PARALLEL_MODULES = (
    "bench.choice",
    "bench.membership",
    "bench.configuration",
    "bench.once",
    "bench.reconcile",
    "bench.decision",
    "bench.rules",
)
TIMEOUT_S = 200


def run_module(module: str) -> int:
    """Run one benchmark, print its output and return its exit status."""
    try:
        done = subprocess.run(
            [sys.executable, "-m", module], capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        print(f"{module} did not finish within {TIMEOUT_S} s", file=sys.stderr)
        return 1
    print(done.stdout, end="", flush=True)
    if done.returncode:
        print(f"{module} failed with this output on stderr:\n{done.stderr}", file=sys.stderr)
    return done.returncode


def run() -> int:
    """Run all benchmarks and return 0 if every one succeeded."""
    exit_statuses = [run_module(module) for module in SEQUENTIAL_MODULES]
    with ThreadPoolExecutor(max_workers=4) as pool:
        exit_statuses += pool.map(run_module, PARALLEL_MODULES)
    return 1 if any(exit_statuses) else 0


if __name__ == "__main__":
    sys.exit(run())
