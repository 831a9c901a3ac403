"""The watch of the rules notices lost calls to the platform in time."""

import asyncio
from random import Random

import pytest
from expression import Error, Ok
from ragwort_node._rules_watch import WatchSettings, watch_rules
from ragwort_store import Change, Changes, ErrorKind, Listing, StoredObject, StoreError

from bench.virtual import read_clock, run_virtual

IN_FORCE_S = 4.0
"""Time within which a change of the rules is in force; the users' bound."""

DISTRIBUTION_S = 0.4
"""Part of that time in which a watcher passes the rules on (docs/design/configuration.md)."""

TIMEOUT_S = 2.0
"""Timeout of a platform call; the default of the settings."""


class SilentPlatform:
    """A platform that answers no call that meets its silence, and a change after its end."""

    def __init__(self, silence, changed_at):
        self.silence = silence
        self.changed_at = changed_at

    async def list_objects(self, prefix):
        version = await self._reply(0.0, 0)
        if version is None:
            return Error(StoreError(ErrorKind.UNAVAILABLE, "timed out"))
        return Ok(Listing((StoredObject(prefix, version, b""),), version))

    async def watch(self, prefix, after, wait_ms):
        version = await self._reply(wait_ms / 1000, after)
        if version is None:
            return Error(StoreError(ErrorKind.UNAVAILABLE, "timed out"))
        changes = (Change(prefix, version, b"", False),) if version > after else ()
        return Ok(Changes(changes, version))

    async def _reply(self, wait_s, after):
        """Return the version when it is newer or the wait ends, or None after a lost call."""
        sent = read_clock()
        expires = sent + wait_s
        replied_at = min(expires, max(sent, self.changed_at)) if after else sent
        if sent < self.silence[1] and replied_at >= self.silence[0]:
            await asyncio.sleep(wait_s + TIMEOUT_S)
            return None
        await asyncio.sleep(replied_at - sent)
        return 2 if replied_at >= self.changed_at else 1


def find_delay(silence_start_s, silence_s, change_s):
    """Return how long after a change that follows a silence a watcher has it."""

    async def play():
        started = read_clock()
        ended = started + silence_start_s + silence_s
        platform = SilentPlatform((started + silence_start_s, ended), ended + change_s)
        versions = asyncio.Queue()
        task = asyncio.create_task(
            watch_rules(
                platform,
                lambda: True,
                lambda read: versions.put_nowait(read.version),
                Random(7),
                WatchSettings(),
            )
        )
        while await versions.get() < 2:
            pass
        task.cancel()
        return read_clock() - (ended + change_s)

    return run_virtual(play())


def test_rules_are_not_late_after_the_platform_was_silent():
    late = [
        (start_s, silence_s, change_s)
        for start_s in (0.5, 1.3, 2.9)
        for silence_s in (0.1, 1.0, 3.1, 7.0, 21.0)
        for change_s in (0.01, 0.7)
        if find_delay(start_s, silence_s, change_s) > IN_FORCE_S - DISTRIBUTION_S
    ]
    if late:
        pytest.fail("a watcher got the rules later than their bound")
