"""Helpers shared by test modules."""

import asyncio


async def wait_until(condition, timeout_s=10.0):
    """Wait until a condition holds while other tasks run; raise TimeoutError otherwise."""
    async with asyncio.timeout(timeout_s):
        for pause_s in [0.0] * 100 + [0.001] * 100_000:
            if condition():
                return
            await asyncio.sleep(pause_s)
