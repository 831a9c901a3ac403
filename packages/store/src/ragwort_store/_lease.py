"""Leases on objects of the platform: at most one holder at a time, with increasing epochs.

Wall clocks are never compared. A holder's deadline is a time on its own monotonic clock, measured
from before its request was sent. Another node takes the lease over only after a release, or after
it has observed the same version for the whole time to live (TTL) on its own clock. This is safe
while the rates of the two clocks differ by a factor of less than ``ttl / (ttl - margin)``.
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

from ragwort_store._objects import StoredObject
from ragwort_store._store import ObjectStore

DEFAULT_TTL_MS = 10_000
DEFAULT_MARGIN_MS = 1_000


class LeaseErrorKind(Enum):
    """Why a lease was not acquired, renewed or released.

    Attributes
    ----------
    HELD
        Another process holds the lease, or may still consider it valid.
    LOST
        The lease has passed to another holder; its former holder must no longer act on it.
    UNAVAILABLE
        The call to the platform failed; nothing was written.
    UNCERTAIN
        A write may have taken effect; the next attempt reads the current state.
    INVALID
        The object is not a lease, or the platform rejected the request as invalid.
    """

    HELD = "held"
    LOST = "lost"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class LeaseError:
    """Why a call on a lease failed; ``retry_after_s`` is 0 when no wait is known."""

    kind: LeaseErrorKind
    message: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its holder sees it; ``deadline`` is in seconds on the holder's clock."""

    path: str
    epoch: Epoch
    version: int
    deadline: float


@dataclass(frozen=True, slots=True)
class _LeaseRecord:
    """The stored form of a lease; ``nonce`` identifies the process, ``serial`` its write."""

    holder: str
    nonce: str
    serial: int
    epoch: int
    ttl_ms: int
    released: bool


@dataclass(frozen=True, slots=True)
class _Observation:
    """A version of a lease object and when this process first saw it, on its own clock."""

    version: int
    nonce: str
    since: float


def is_lease_valid(lease: Lease, now: float) -> bool:
    """Return whether the holder may still act on a lease; check right before each action."""
    return now < lease.deadline


def read_boot_clock() -> float:
    """Return monotonic time in seconds, including time while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseClient:
    """Acquires, renews and releases leases for one process.

    Parameters
    ----------
    store
        The platform's object API.
    holder
        Id of the node that holds the leases.
    clock
        Returns monotonic time in seconds, such as ``read_boot_clock``.
    ttl_ms
        How long a lease lasts after each renewal.
    margin_ms
        How long before the end of the TTL the holder stops relying on the lease.
    nonce
        Unique to each process, so that a restarted node doesn't mistake its predecessor's lease
        for its own; generated when empty.
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
        self._validity_s = (ttl_ms - margin_ms) / 1000
        self._template = _LeaseRecord(holder, nonce or uuid4().hex, 0, 0, ttl_ms, released=False)
        self._serial = 0
        self._observations: dict[str, _Observation] = {}

    async def acquire_lease(
        self, path: str, known_epoch: Epoch = Epoch(0)  # noqa: B008
    ) -> Result[Lease, LeaseError]:
        """Take a lease that is free, released, expired or this process's own.

        The lease gets a new epoch, greater than every earlier one. While another process holds
        the lease, the caller has to retry: the first attempt that sees a version only starts to
        observe it.

        Parameters
        ----------
        path
            Path of the lease object.
        known_epoch
            Highest epoch that the node knows of. A lower one on the platform means that it was
            restored from an older snapshot, so that a holder missing from it may still exist.
        """
        read = await self._read(path)
        if read.is_error():
            return Error(read.error)
        version, record = read.ok
        wait_s = self._get_wait(path, version, record, known_epoch)
        if wait_s > 0:
            message = (
                f"the lease may still be held: last holder {record.holder}, epoch {record.epoch}"
            )
            return Error(LeaseError(LeaseErrorKind.HELD, message, wait_s))
        epoch = max(record.epoch, known_epoch) + 1
        return await self._write(path, version, epoch, LeaseErrorKind.HELD)

    async def renew_lease(self, lease: Lease) -> Result[Lease, LeaseError]:
        """Extend a lease in the same epoch; the old deadline applies until this succeeds."""
        renewed = await self._write(lease.path, lease.version, lease.epoch, LeaseErrorKind.LOST)
        if renewed.is_ok() or renewed.error.kind is not LeaseErrorKind.LOST:
            return renewed
        # An earlier renewal may have taken effect although its reply was lost.
        read = await self._read(lease.path)
        if read.is_error():
            return Error(read.error)
        version, record = read.ok
        if not self._is_own(record) or record.epoch != lease.epoch or record.released:
            return renewed
        return await self._write(lease.path, version, lease.epoch, LeaseErrorKind.LOST)

    async def release_lease(self, lease: Lease) -> Result[None, LeaseError]:
        """Release a lease, so that others need not wait; stop acting on it before the call."""
        written = await self._write(
            lease.path, lease.version, lease.epoch, LeaseErrorKind.LOST, released=True
        )
        return written.map(lambda released: None)

    def _get_wait(self, path: str, version: int, record: _LeaseRecord, known_epoch: int) -> float:
        """Return for how many seconds the lease must still be observed before it can be taken."""
        is_stale = record.epoch < known_epoch
        is_free = version == 0 or record.released or self._is_own(record)
        if is_free and not is_stale:
            return 0.0
        now = self._clock()
        seen = self._observations.get(path)
        if seen is None or (seen.version, seen.nonce) != (version, record.nonce):
            # Measured after the reply has arrived: the holder's write precedes this time.
            seen = _Observation(version, record.nonce, now)
            self._observations[path] = seen
        return seen.since + record.ttl_ms / 1000 - now

    async def _write(
        self,
        path: str,
        version: int,
        epoch: int,
        conflict_kind: LeaseErrorKind,
        released: bool = False,
    ) -> Result[Lease, LeaseError]:
        self._serial += 1
        record = replace(self._template, serial=self._serial, epoch=epoch, released=released)
        data = json.dumps(asdict(record)).encode()
        # Measured before the request is sent: others may observe the write any time after this.
        deadline = self._clock() + self._validity_s
        if version == 0:
            written = await self._store.create(path, data)
        else:
            written = await self._store.update(path, data, version)
        if written.is_ok():
            return Ok(Lease(path, Epoch(epoch), written.ok.version, deadline))
        if written.error.kind is ErrorKind.UNCERTAIN:
            return await self._confirm_write(path, record, deadline)
        return Error(_convert_error(written.error, conflict_kind))

    async def _confirm_write(
        self, path: str, record: _LeaseRecord, deadline: float
    ) -> Result[Lease, LeaseError]:
        """Read the lease back to find out whether a write of unknown outcome took effect."""
        read = await self._read(path)
        if read.is_ok() and read.ok[1] == record:
            return Ok(Lease(path, Epoch(record.epoch), read.ok[0], deadline))
        return Error(
            LeaseError(
                LeaseErrorKind.UNCERTAIN, "a lease write of unknown outcome could not be confirmed"
            )
        )

    async def _read(self, path: str) -> Result[tuple[int, _LeaseRecord], LeaseError]:
        """Return the version and record of a lease; the version is 0 if it doesn't exist yet."""
        read = await self._store.get(path)
        if read.is_ok():
            return _decode_record(read.ok)
        if read.error.kind is ErrorKind.NOT_FOUND:
            return Ok((0, replace(self._template, holder="nobody", nonce="")))
        return Error(_convert_error(read.error, LeaseErrorKind.HELD))

    def _is_own(self, record: _LeaseRecord) -> bool:
        return record.nonce == self._template.nonce


def _convert_error(error: StoreError, conflict_kind: LeaseErrorKind) -> LeaseError:
    match error.kind:
        case ErrorKind.CONFLICT | ErrorKind.NOT_FOUND:
            kind = conflict_kind
        case ErrorKind.INVALID:
            kind = LeaseErrorKind.INVALID
        case _:
            kind = LeaseErrorKind.UNAVAILABLE
    return LeaseError(kind, error.message)


def _decode_record(stored: StoredObject) -> Result[tuple[int, _LeaseRecord], LeaseError]:
    try:
        fields: Any = json.loads(stored.data)
        record = _LeaseRecord(**fields)
        numbers = (record.serial, record.epoch, record.ttl_ms)
        if any(type(number) is not int or not 0 <= number < 1 << 63 for number in numbers):
            raise ValueError("serial, epoch and ttl_ms must be integers from 0 to 2**63 - 1")
        return Ok((stored.version, record))
    except (TypeError, ValueError, RecursionError) as error:
        return Error(LeaseError(LeaseErrorKind.INVALID, f"malformed lease: {error!r}"))


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """The holder of a lease according to its object; ``holder`` is empty after a release."""

    path: str
    holder: NodeId
    epoch: Epoch


def decode_lease_holder(stored: StoredObject) -> LeaseHolder | None:
    """Return the holder of a stored lease, or None when the object is not a lease.

    This is only a hint about which node to ask: whether the lease is still valid can be told only
    from the holder's own clock.
    """
    decoded = _decode_record(stored)
    if decoded.is_error():
        return None
    _, record = decoded.ok
    holder = NodeId("" if record.released else record.holder)
    return LeaseHolder(stored.path, holder, Epoch(record.epoch))
