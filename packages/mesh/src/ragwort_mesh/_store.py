"""Client of the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ragwort_model import ErrorKind, StoreError
from ragwort_platform import StoreRequest, read_era
from ragwort_transport import ClientPool, Failure

from ragwort_mesh._telemetry import Telemetry

CALL_TIMEOUT_S = 1.0
"""Timeout of a request; the store normally replies within milliseconds."""

WATCH_SLACK_S = 0.6
"""Time added to the wait of a watch request to get its timeout."""

MAX_TRANSFER_S = 10.0
"""Maximum time for a reply whose parts keep arriving. With a fixed timeout of a second, no listing
of a large configuration ended while all nodes restarted and shared one link."""

MIN_PROBE_INTERVAL_S = 0.75
"""Shortest interval between the requests of one node to a store that does not serve it."""

MAX_REPLY_BYTES = 8 << 20
"""Maximum size of a reply: several objects of a megabyte."""

FAILURES_UNTIL_LOST = 2
"""Consecutive failures before the store is reported lost: a single watch may be interrupted."""

MAX_UNACKNOWLEDGED_MS = 2_000
"""How long the kernel waits for the store's TCP acknowledgement."""

ERA_FACTOR = 1 << 40
"""Factor of the era in the order of a revision; greater than any revision."""

_ERROR_KINDS = {
    404: ErrorKind.NOT_FOUND,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.COMPACTED,
    429: ErrorKind.UNAVAILABLE,
    503: ErrorKind.UNAVAILABLE,
}


@dataclass(frozen=True, slots=True)
class StoreReply:
    """A successful reply from the store, and the store's era."""

    body: bytes
    era: int


def order_revision(era: int, revision: int) -> int:
    """Return a number that orders revisions also across a restore of the store from a copy."""
    return era * ERA_FACTOR + revision


def get_revision(order: int) -> int:
    """Return the store's revision of an order."""
    return order % ERA_FACTOR


class StoreClient:
    """Sends requests to the store; returns errors as values and never retries by itself.

    Parameters
    ----------
    address
        Address of the store, ``host:port``.
    on_status
        Called with whether the store is reachable, each time that changes.
    on_restored
        Called when the store has come back from a copy.
    get_probe_interval
        Returns how often this node tries a store that does not serve it, in seconds.

    Attributes
    ----------
    era
        Latest era of the store, None before the first reply.
    """

    def __init__(
        self,
        address: str,
        telemetry: Telemetry,
        on_status: Callable[[bool], None],
        on_restored: Callable[[], None],
        get_probe_interval: Callable[[], float] = lambda: MIN_PROBE_INTERVAL_S,
    ) -> None:
        self._host = address
        self.era: int | None = None
        self._on_status = on_status
        self._on_restored = on_restored
        self._telemetry = telemetry
        self._pool = ClientPool(address, 2, MAX_REPLY_BYTES, MAX_UNACKNOWLEDGED_MS)
        self._reachable = asyncio.Event()
        self._reachable.set()
        self._failures = 0
        self._get_probe_interval = get_probe_interval
        self._next_probe = 0.0
        self._random = random.Random()

    async def call(self, request: StoreRequest, wait_s: float = 0.0) -> StoreReply | StoreError:
        """Send a request, and return the reply or an error.

        While the store does not serve this node, requests are sent only as often as probes are due;
        the others fail after ``CALL_TIMEOUT_S`` without having been sent.

        Parameters
        ----------
        wait_s
            How long the store may delay its reply to a watch, in seconds.
        """
        if not self._reachable.is_set() and not await self._await_probe():
            return StoreError(ErrorKind.UNAVAILABLE, "not sent: the store does not serve this node")
        timeout_s = wait_s + WATCH_SLACK_S if wait_s else CALL_TIMEOUT_S
        self._telemetry.counters.add("store.calls")
        result = await self._pool.exchange(
            self._encode(request),
            timeout_s,
            max_stall_s=CALL_TIMEOUT_S,
            max_transfer_s=wait_s + MAX_TRANSFER_S,
        )
        if isinstance(result, Failure):
            is_write = request.method != "GET"
            kind = ErrorKind.UNCERTAIN if is_write else ErrorKind.UNAVAILABLE
            cause = f"reply over the limit: {result.limit}" if result.limit else result.reason.value
            return self._fail(kind, cause)
        era = read_era(result.headers)
        if era is None:
            era = self.era or 0
        elif self.era is not None and era < self.era:
            return self._fail(ErrorKind.UNCERTAIN, f"reply of era {era}, now {self.era}")
        self._note_era(era)
        if result.status in (200, 201, 204):
            self._note_reachable(True, "")
            return StoreReply(result.body, era)
        kind = _ERROR_KINDS.get(result.status, ErrorKind.INVALID)
        return self._fail(kind, f"status {result.status}")

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _await_probe(self) -> bool:
        """Return whether a request may be sent, after waiting for the store or the next probe."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CALL_TIMEOUT_S
        while not self._reachable.is_set():
            now = loop.time()
            if now >= self._next_probe:
                interval_s = max(MIN_PROBE_INTERVAL_S, self._get_probe_interval())
                self._next_probe = now + interval_s * (0.75 + 0.5 * self._random.random())
                return True
            if now >= deadline:
                return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(deadline, self._next_probe) - now):
                    await self._reachable.wait()
        return True

    def _encode(self, request: StoreRequest) -> bytes:
        lines = [f"{request.method} {request.target} HTTP/1.1", f"host: {self._host}"]
        if request.method != "GET":
            lines.append("content-type: application/json")
            lines.append(f"content-length: {len(request.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + request.body

    def _fail(self, kind: ErrorKind, message: str) -> StoreError:
        self._telemetry.counters.add(f"store.{kind.value}")
        if kind in (ErrorKind.UNAVAILABLE, ErrorKind.UNCERTAIN):
            self._note_reachable(False, message)
        return StoreError(kind, message)

    def _note_era(self, era: int) -> None:
        known, self.era = self.era, era
        if known is not None and era > known:
            self._telemetry.events.write("store-restored", era=era)
            self._on_restored()

    def _note_reachable(self, reachable: bool, cause: str) -> None:
        self._failures = 0 if reachable else self._failures + 1
        if reachable == self._reachable.is_set() or 0 < self._failures < FAILURES_UNTIL_LOST:
            return
        if reachable:
            self._reachable.set()
        else:
            self._reachable.clear()
        event = "store-regained" if reachable else "store-lost"
        self._telemetry.events.write(event, cause=cause, failures=self._failures)
        self._on_status(reachable)


async def pause_before_retry(failures: int, jitter: float, started: float) -> None:
    """Wait after consecutive failures, so that attempts don't follow each other too quickly.

    The interval between the starts of two attempts is 0.1 s, doubled with each failure up to 1.5 s,
    half of it random. An attempt that took longer is repeated at once. The maximum leaves time
    after an outage to activate a new configuration within its time bound.

    Parameters
    ----------
    started
        When the failed attempt started, on the running loop's clock, in seconds.
    """
    interval_s = min(1.5, 0.1 * 2.0 ** min(failures, 10)) * (0.5 + 0.5 * jitter)
    elapsed_s = asyncio.get_running_loop().time() - started
    await asyncio.sleep(max(0.0, interval_s - elapsed_s))


async def retry_until_done(step: Callable[[], Awaitable[bool]]) -> None:
    """Repeat a step with growing pauses until it returns True."""
    failures = 0
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not await step():
        failures += 1
        await pause_before_retry(failures, random.random(), started)
        started = loop.time()
