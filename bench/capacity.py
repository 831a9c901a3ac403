"""Measures the slopes that docs/CAPACITY.md is worked out from and that no other bench measures.

Run as ``python -m bench.capacity``; it takes less than a minute and prints one JSON object a line.
``python -m bench.capacity costs`` runs one of the parts: links, costs, wire or nodes.
"""

import asyncio
import sys
from collections.abc import Callable

from bench.costs import Turns, measure_costs
from bench.links import run_links
from bench.nodes import measure_nodes
from bench.wire import measure_wire

PARTS: dict[str, Callable[[], None]] = {
    # First, since memory that the other parts have freed would hide what links take.
    "links": run_links,
    "costs": lambda: measure_costs(Turns()),
    "wire": lambda: measure_wire(Turns()),
    "nodes": lambda: asyncio.run(measure_nodes()),
}


def main(names: list[str]) -> None:
    """Run the parts that are named, or all."""
    for name in names or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
