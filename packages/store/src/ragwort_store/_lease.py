"""Leases on objects of the platform: at most one holder at a time, with growing epochs.

No wall clocks are compared. A holder counts its deadline on its own monotonic clock from before
its request was sent. Another node takes over only after it saw the same version for the whole
time to live on its own clock, or after a release. This is safe while the rates of two clocks
differ by a factor below ``ttl / (ttl - margin)``.
"""

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any
from uuid import uuid4

from expression import Error, Ok, Result
from ragwort_common import Epoch, NodeId
from ragwort_model import ErrorKind, StoreError

from ragwort_store._record import Stored
from ragwort_store._store import ObjectStore

DEFAULT_TTL_MS = 10_000
DEFAULT_MARGIN_MS = 1_000


class LeaseErrorKind(Enum):
    """Why a lease was not acquired, renewed or released.

    Attributes
    ----------
    HELD
        Another holder has it, or may still believe so.
    LOST
        It has passed to another holder; what was done under it is over.
    UNAVAILABLE
        The platform could not be asked; nothing was written.
    UNCERTAIN
        A write may have taken effect; the next attempt will tell.
    INVALID
        The object is not a lease.
    """

    HELD = "held"
    LOST = "lost"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class LeaseError:
    """Why a call on a lease failed, and when an attempt may succeed if that is known."""

    kind: LeaseErrorKind
    message: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its holder knows it; ``deadline`` is in seconds on the holder's clock."""

    path: str
    epoch: Epoch
    version: int
    deadline: float


@dataclass(frozen=True, slots=True)
class _Record:
    """The stored form of a lease; ``nonce`` and ``serial`` tell who wrote it, and which write."""

    holder: str
    nonce: str
    serial: int
    epoch: int
    ttl_ms: int
    released: bool


@dataclass(frozen=True, slots=True)
class _Seen:
    """A version of a lease object and since when this node has seen it, by its own clock."""

    version: int
    nonce: str
    since: float


def holds(lease: Lease, now: float) -> bool:
    """Tell whether the holder may still act on a lease; ask right before each act."""
    return now < lease.deadline


def read_boot_clock() -> float:
    """Return monotonic time in seconds that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseClient:
    """Acquires, renews and releases leases for one process.

    Parameters
    ----------
    store
        The platform's object API.
    holder
        The node that holds the leases.
    clock
        Returns monotonic time in seconds, such as ``read_boot_clock``.
    ttl_ms
        How long a lease lasts after each renewal.
    margin_ms
        How much earlier than that its holder stops to rely on it.
    nonce
        Unique for each process, so that a restarted node doesn't take its predecessor's lease
        for its own.
    """

    def __init__(
        self,
        store: ObjectStore,
        holder: NodeId,
        clock: Callable[[], float] = read_boot_clock,
        ttl_ms: int = DEFAULT_TTL_MS,
        margin_ms: int = DEFAULT_MARGIN_MS,
        nonce: str = "",
    ) -> None:
        self._store = store
        self._clock = clock
        self._term_s = (ttl_ms - margin_ms) / 1000
        self._blank = _Record(holder, nonce or uuid4().hex, 0, 0, ttl_ms, released=False)
        self._serial = 0
        self._seen: dict[str, _Seen] = {}

    async def acquire_lease(
        self, path: str, floor: Epoch = Epoch(0)  # noqa: B008
    ) -> Result[Lease, LeaseError]:
        """Take a lease that is free, released, lapsed or this process's own.

        The lease gets a new epoch, above every earlier one. A held lease has to be asked for
        again and again, since the first attempts only start to observe it.

        Parameters
        ----------
        path
            Where the lease object is.
        floor
            Highest epoch that the node has heard of. A platform that shows a lower one came back
            with an older copy, so that an unseen holder may exist.
        """
        read = await self._read(path)
        if read.is_error():
            return Error(read.error)
        version, record = read.ok
        wait_s = self._get_wait(path, version, record, floor)
        if wait_s > 0:
            message = f"held by {record.holder} in epoch {record.epoch}"
            return Error(LeaseError(LeaseErrorKind.HELD, message, wait_s))
        epoch = max(record.epoch, floor) + 1
        return await self._write(path, version, epoch, LeaseErrorKind.HELD)

    async def renew_lease(self, lease: Lease) -> Result[Lease, LeaseError]:
        """Extend a lease under the same epoch; until this succeeds the old deadline counts."""
        renewed = await self._write(lease.path, lease.version, lease.epoch, LeaseErrorKind.LOST)
        if renewed.is_ok() or renewed.error.kind is not LeaseErrorKind.LOST:
            return renewed
        # An earlier renewal may have taken effect without its reply.
        read = await self._read(lease.path)
        if read.is_error():
            return Error(read.error)
        version, record = read.ok
        if not self._is_own(record) or record.epoch != lease.epoch or record.released:
            return renewed
        return await self._write(lease.path, version, lease.epoch, LeaseErrorKind.LOST)

    async def release_lease(self, lease: Lease) -> Result[None, LeaseError]:
        """Give a lease back, so that others need not wait; stop to act on it before."""
        written = await self._write(
            lease.path, lease.version, lease.epoch, LeaseErrorKind.LOST, released=True
        )
        return written.map(lambda released: None)

    def _get_wait(self, path: str, version: int, record: _Record, floor: int) -> float:
        """Return for how long the lease must still be observed before it can be taken."""
        is_stale = record.epoch < floor
        is_free = version == 0 or record.released or self._is_own(record)
        if is_free and not is_stale:
            return 0.0
        now = self._clock()
        seen = self._seen.get(path)
        if seen is None or (seen.version, seen.nonce) != (version, record.nonce):
            # Counted from after the reply: the holder's write came before this moment.
            seen = _Seen(version, record.nonce, now)
            self._seen[path] = seen
        return seen.since + record.ttl_ms / 1000 - now

    async def _write(
        self, path: str, version: int, epoch: int, refused: LeaseErrorKind, released: bool = False
    ) -> Result[Lease, LeaseError]:
        self._serial += 1
        record = replace(self._blank, serial=self._serial, epoch=epoch, released=released)
        data = json.dumps(asdict(record)).encode()
        # Counted from before the request: others may count from any moment after it.
        deadline = self._clock() + self._term_s
        if version == 0:
            written = await self._store.create(path, data)
        else:
            written = await self._store.update(path, data, version)
        if written.is_ok():
            return Ok(Lease(path, Epoch(epoch), written.ok.version, deadline))
        if written.error.kind is ErrorKind.UNCERTAIN:
            return await self._confirm(path, record, deadline)
        return Error(_convert_error(written.error, refused))

    async def _confirm(
        self, path: str, record: _Record, deadline: float
    ) -> Result[Lease, LeaseError]:
        """Read back whether a write took effect whose reply was lost."""
        read = await self._read(path)
        if read.is_ok() and read.ok[1] == record:
            return Ok(Lease(path, Epoch(record.epoch), read.ok[0], deadline))
        return Error(LeaseError(LeaseErrorKind.UNCERTAIN, "the reply to the write was lost"))

    async def _read(self, path: str) -> Result[tuple[int, _Record], LeaseError]:
        """Return the version and record of a lease; version 0 when there is none yet."""
        read = await self._store.get(path)
        if read.is_ok():
            return _decode_record(read.ok)
        if read.error.kind is ErrorKind.NOT_FOUND:
            return Ok((0, replace(self._blank, holder="nobody", nonce="")))
        return Error(_convert_error(read.error, LeaseErrorKind.HELD))

    def _is_own(self, record: _Record) -> bool:
        return record.nonce == self._blank.nonce


def _convert_error(error: StoreError, refused: LeaseErrorKind) -> LeaseError:
    match error.kind:
        case ErrorKind.CONFLICT | ErrorKind.NOT_FOUND:
            kind = refused
        case ErrorKind.INVALID:
            kind = LeaseErrorKind.INVALID
        case _:
            kind = LeaseErrorKind.UNAVAILABLE
    return LeaseError(kind, error.message)


def _decode_record(stored: Stored) -> Result[tuple[int, _Record], LeaseError]:
    try:
        fields: Any = json.loads(stored.data)
        record = _Record(**fields)
        counts = (record.serial, record.epoch, record.ttl_ms)
        if any(type(count) is not int or count < 0 for count in counts):
            raise ValueError("a number is not a count")
        return Ok((stored.version, record))
    except (TypeError, ValueError, RecursionError) as error:
        return Error(LeaseError(LeaseErrorKind.INVALID, f"not a lease: {error!r}"))


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """Who holds a lease as its object says; ``holder`` is empty after a release."""

    path: str
    holder: NodeId
    epoch: Epoch


def read_holder(stored: Stored) -> LeaseHolder | None:
    """Return who holds a stored lease, or None when the object is not a lease.

    This is a hint where to ask, and no proof: only the holder's own clock tells whether it still
    holds the lease.
    """
    decoded = _decode_record(stored)
    if decoded.is_error():
        return None
    _, record = decoded.ok
    holder = NodeId("" if record.released else record.holder)
    return LeaseHolder(stored.path, holder, Epoch(record.epoch))
