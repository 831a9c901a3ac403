"""The memory that bounds the bodies, on hosts with and without a limit."""

import pytest
from ragwort_mesh._body_limit import MEMORY_FRACTION, read_memory_bytes


@pytest.mark.parametrize("content", ["max\n", "", None, str(1 << 60)])
def test_without_a_lower_limit_the_memory_of_the_host_counts(tmp_path, content):
    limit_file = tmp_path / "memory.max"
    if content is not None:
        limit_file.write_text(content)
    assert (1 << 26) < read_memory_bytes(limit_file) < (1 << 50)


def test_host_with_200_mb_holds_at_most_32_mb(tmp_path):
    limit_file = tmp_path / "memory.max"
    limit_file.write_text("200000000\n")
    assert read_memory_bytes(limit_file) * MEMORY_FRACTION <= 32_000_000
