"""The store operations that the commands use, and how the store is opened."""

import time
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from expression import Result
from ragwort_store import CallBudget, Listing, ObjectStore, StoredObject, StoreError

CALLS_PER_S = 50.0
BURST_CALLS = 200.0
"""Burst of calls that a command may make; ``history`` reads one object per revision."""


class Store(Protocol):
    """The methods of ``ObjectStore`` that the commands call."""

    async def get(self, path: str) -> Result[StoredObject, StoreError]:
        """Return the object at a path."""

    async def create(self, path: str, data: bytes) -> Result[StoredObject, StoreError]:
        """Write an object if there is none at the path yet."""

    async def update(
        self, path: str, data: bytes, expected_version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object if it still has the expected version."""

    async def list_objects(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all objects whose path starts with a prefix."""


def open_platform(url: str, timeout_ms: int) -> AbstractAsyncContextManager[Store]:
    """Return the store of the platform at a URL."""
    return ObjectStore(url, timeout_ms, CallBudget(CALLS_PER_S, BURST_CALLS, time.monotonic))
