"""A counter of operations in progress that can be awaited until it is zero."""

import asyncio


class InFlightCounter:
    """The number of operations in progress."""

    def __init__(self) -> None:
        self.count = 0
        self._none = asyncio.Event()
        self._none.set()

    def add(self) -> None:
        """Count an operation that starts."""
        self.count += 1
        self._none.clear()

    def remove(self) -> None:
        """Count an operation that has ended."""
        self.count -= 1
        if not self.count:
            self._none.set()

    async def wait_idle(self) -> None:
        """Wait until no operation is in progress."""
        await self._none.wait()
