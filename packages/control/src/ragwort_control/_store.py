"""What the commands need of the platform's store, and how they open it."""

import time
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from expression import Result
from ragwort_store import CallBudget, Listing, ObjectStore, Stored, StoreError

CALLS_PER_S = 50.0
BURST_CALLS = 200.0
"""Calls that a command may make at once; ``history`` reads one object for each revision."""


class Store(Protocol):
    """The calls of ``ObjectStore`` that the commands make."""

    async def get(self, path: str) -> Result[Stored, StoreError]:
        """Return the object at a path."""

    async def create(self, path: str, data: bytes) -> Result[Stored, StoreError]:
        """Write an object where there is none yet."""

    async def update(
        self, path: str, data: bytes, expected_version: int
    ) -> Result[Stored, StoreError]:
        """Replace an object if it still has the expected version."""

    async def list_objects(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all objects whose path starts with a prefix."""


def open_platform(url: str, timeout_ms: int) -> AbstractAsyncContextManager[Store]:
    """Return the store of the platform at a URL."""
    return ObjectStore(url, timeout_ms, CallBudget(CALLS_PER_S, BURST_CALLS, time.monotonic))
