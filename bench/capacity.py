"""Measures the unit costs that docs/CAPACITY.md is computed from, unless another benchmark does.

Run as ``python -m bench.capacity``; it takes less than a minute and prints one JSON object per
line. ``python -m bench.capacity costs`` runs a single part: links, costs, wire or nodes.
"""

import asyncio
import sys
from collections.abc import Callable

from bench.costs import Iterations, measure_costs
from bench.links import run_links
from bench.nodes import measure_nodes
from bench.wire import measure_wire

PARTS: dict[str, Callable[[], None]] = {
    # First, because links would reuse memory that the other parts have freed.
    "links": run_links,
    "costs": lambda: measure_costs(Iterations()),
    "wire": lambda: measure_wire(Iterations()),
    "nodes": lambda: asyncio.run(measure_nodes()),
}


def main(names: list[str]) -> None:
    """Run the named parts, or all of them if none is named."""
    for name in names or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
