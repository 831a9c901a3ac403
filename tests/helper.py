"""Helpers that several test modules share."""

import asyncio


async def wait_until(condition, timeout_s=10.0):
    """Yield to other tasks until a condition holds; fail when it never does."""
    async with asyncio.timeout(timeout_s):
        for pause_s in [0.0] * 100 + [0.001] * 100_000:
            if condition():
                return
            await asyncio.sleep(pause_s)
