"""Platform-specific names may occur only in the adapter and the stand-ins."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SOURCES = sorted((ROOT / "packages").rglob("*.py"))
NAMES = re.compile(
    r"(?i:ragwortvalve-|tenant|server-limit|server-leaving|store-era)|RAGWORTVALVE_|/-/|\b(?:appAddr|listenAddrs|heartbeatAddr|coldRemainingMs|"
    r"pathPrefix|targetLatencyMs|maxAttempts|asOf|hasMore|allowStale|waitMs|deletionPending|"
    r"apiKeys|keyDigests|authExempt|nodeName|seedNodes|budgetExtraTries|non_idempotent|sidecar)\b"
)


@pytest.mark.parametrize("source", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_other_packages_do_not_use_platform_names(source):
    found = NAMES.findall(source.read_text("utf-8"))
    assert not found
