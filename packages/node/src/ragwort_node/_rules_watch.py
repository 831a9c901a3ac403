"""Watches the rules on the platform while this node is one of the watchers."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from expression import Error, Ok, Result
from ragwort_store import RULES_PATH, ObjectStore, StoreError

from ragwort_node._rules_messages import PlatformRead

log = logging.getLogger(__name__)


class JitterSource(Protocol):
    """The part of ``random.Random`` that is needed to add jitter to delays."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between two bounds."""


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """Settings for watching the platform.

    Attributes
    ----------
    wait_ms
        Duration of one long poll. A poll that the platform never answers is noticed only after this
        time and the timeout of a call; both, and the longest delay between two attempts, have to
        fit into the 4 s in which a change of the rules is in force.
    recheck_ms
        How often a node that is not a watcher checks whether it has become one.
    first_retry_ms, max_retry_ms
        First and maximum delay of the exponential backoff while the platform is down.
    """

    wait_ms: int = 1_000
    recheck_ms: float = 5_000
    first_retry_ms: float = 100
    max_retry_ms: float = 1_500


async def watch_rules(
    store: ObjectStore,
    is_watcher: Callable[[], bool],
    deliver: Callable[[PlatformRead], None],
    rng: JitterSource,
    settings: WatchSettings,
) -> None:
    """Deliver the current rules document and each change of it, until cancelled.

    Parameters
    ----------
    store
        Client of the platform's object API.
    is_watcher
        Returns whether this node has to watch; called before each platform call.
    deliver
        Called with each state that was read.
    rng
        Source of the jitter.
    settings
        Intervals and delays.
    """
    after: int | None = None
    failures = 0
    while True:
        if not is_watcher():
            after = None
            await _sleep_jittered(settings.recheck_ms, rng)
            continue
        read = await _read_next(store, deliver, after, settings)
        if read.is_ok():
            after = read.ok
            if failures:
                log.info("the platform replies again after %d failed calls", failures)
            failures = 0
            # Lets the receiver process the state first, since ``is_watcher`` depends on it.
            await asyncio.sleep(0)
            continue
        # The platform may come back with another copy, so the next call reads the whole state.
        after = None
        if not failures:
            log.warning("watching the rules failed: %s", read.error.message)
        await _sleep_jittered(_get_delay(failures, settings), rng)
        failures += 1


async def _read_next(
    store: ObjectStore,
    deliver: Callable[[PlatformRead], None],
    after: int | None,
    settings: WatchSettings,
) -> Result[int, StoreError]:
    """Make one platform call, deliver its result and return the version to watch from next."""
    if after is None:
        listing = await store.list_objects(RULES_PATH)
        if listing.is_error():
            return Error(listing.error)
        current = [item for item in listing.ok.items if item.path == RULES_PATH]
        if not current:
            deliver(PlatformRead(None, 0))
        for item in current:
            deliver(PlatformRead(item.data, item.version))
        return Ok(listing.ok.version)
    changes = await store.watch(RULES_PATH, after, settings.wait_ms)
    if changes.is_error():
        return Error(changes.error)
    for change in changes.ok.items:
        if change.path != RULES_PATH:
            continue
        if change.deleted:
            deliver(PlatformRead(None, 0))
        else:
            deliver(PlatformRead(change.data, change.version))
    return Ok(changes.ok.version)


def _get_delay(failures: int, settings: WatchSettings) -> float:
    # The exponent is bounded, because a float would overflow in a long outage.
    return min(settings.max_retry_ms, settings.first_retry_ms * 2.0 ** min(failures, 20))


async def _sleep_jittered(delay_ms: float, rng: JitterSource) -> None:
    await asyncio.sleep(rng.uniform(0.5, 1.0) * delay_ms / 1000)
