"""A counter of operations in progress that can be awaited until it is zero."""

import asyncio


class WorkCount:
    """The number of operations in progress."""

    def __init__(self) -> None:
        self.present = 0
        self._none = asyncio.Event()
        self._none.set()

    def add(self) -> None:
        """Count an operation that starts."""
        self.present += 1
        self._none.clear()

    def remove(self) -> None:
        """Count an operation that has ended."""
        self.present -= 1
        if not self.present:
            self._none.set()

    async def wait_none(self) -> None:
        """Wait until no operation is in progress."""
        await self._none.wait()
