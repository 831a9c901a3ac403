"""How many bytes of long bodies a node may hold, by the memory of its host."""

import os
from pathlib import Path

MEMORY_FRACTION = 0.16
"""Fraction of the host's memory: 32 MB on a host with 200 MB, of which the node itself takes up to
128 MB."""

CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")
"""Memory limit of the process's control group, in bytes, or ``max``."""


def find_body_limit() -> int:
    """Return the bound on the bytes of long bodies that a node holds."""
    return int(read_memory_bytes(CGROUP_LIMIT) * MEMORY_FRACTION)


def read_memory_bytes(limit_file: Path) -> int:
    """Return the memory of the host, or the limit in a file if that is lower."""
    physical_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        return min(physical_bytes, int(limit_file.read_text("ascii")))
    except (OSError, ValueError):
        # Without a limit, the file has no number, or there is none.
        return physical_bytes
