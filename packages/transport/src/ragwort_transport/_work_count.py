"""Counts pieces of work under way, and waits until there are none."""

import asyncio


class WorkCount:
    """The number of pieces of work under way."""

    def __init__(self) -> None:
        self.present = 0
        self._none = asyncio.Event()
        self._none.set()

    def add(self) -> None:
        """Count a piece that starts."""
        self.present += 1
        self._none.clear()

    def remove(self) -> None:
        """Count a piece that has ended."""
        self.present -= 1
        if not self.present:
            self._none.set()

    async def wait_none(self) -> None:
        """Return once no work is under way."""
        await self._none.wait()
