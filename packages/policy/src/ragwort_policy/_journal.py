"""The journal of a key range: which steps its owner takes at the platform, and their results.

One object for each range, the head, holds the epoch that may write it, the marks of granted keys
that have no timestamp, and the horizon: the owner grants no key with a later timestamp. Every
write is conditional on the head's version. A new owner first seals the head: it writes its own
epoch into it, after which no write of an earlier owner can take effect, and uses the horizon that
it found as its floor. A full head is copied to a closed segment, named by the version it copies,
before its marks are removed from the head.

The journal does no I/O: ``next_step`` returns the next operation, and a ``take_`` method handles
its result. A write that is not known to have succeeded is always resolved by reading the head
back.
"""

from dataclasses import dataclass, replace
from enum import Enum

from ragwort_common import Epoch

from ragwort_policy._journal_head import JournalHead, Segment, split_marks
from ragwort_policy._journal_step import CloseSegment, LoadSegments, ReadHead, Step, WriteHead
from ragwort_policy._key_record import MARK_BYTES, read_mark


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Size of segments, lead of the horizon and retention of marks.

    Attributes
    ----------
    segment_marks
        Maximum number of marks in the head, at which it is copied to a closed segment; each write
        sends the whole head.
    horizon_ms
        Lead of the horizon over the wall clock when it is written.
    renew_ms
        When less time than this is left until the horizon, the next claim extends it.
    retention_ms
        Age of its last mark at which a segment is deleted.
    """

    segment_marks: int = 2_000
    horizon_ms: int = 60_000
    renew_ms: int = 45_000
    retention_ms: int = 86_400_000


class Phase(Enum):
    """The state of an owner's journal."""

    READ = "read"
    SEAL = "seal"
    LOAD = "load"
    READY = "ready"
    LOST = "lost"


class Journal:
    """Tracks the journal head of one key range during one epoch.

    Attributes
    ----------
    phase
        Claims are decided only while it is ``READY``; ``LOST`` ends the epoch.
    head
        The head as last written or read.
    seen_epoch
        Highest epoch found in the head.
    earlier
        Marks of earlier epochs, complete when the phase is ``READY``.
    """

    def __init__(self, epoch: Epoch, limits: JournalLimits) -> None:
        self.epoch = epoch
        self.phase = Phase.READ
        self.head: JournalHead | None = None
        self.seen_epoch = Epoch(0)
        self.earlier: set[bytes] = set()
        self._version: int | None = None
        self._limits = limits
        self._is_seal_sent = False
        self._is_loaded = False
        self._segments: list[Segment] = []
        self._closed_version: int | None = None
        self._pending_marks: dict[bytes, bytes] = {}
        self._requested_horizon_ms = 0

    @property
    def pending_marks(self) -> int:
        """Number of keys whose marks have yet to be written."""
        return len(self._pending_marks)

    @property
    def segments(self) -> int:
        """Number of known closed segments."""
        return len(self._segments)

    def request_mark(self, key_hash: bytes) -> None:
        """Request that a key's mark be written; the request outlives the timeout of its claim."""
        self._pending_marks.setdefault(read_mark(key_hash), key_hash)

    def request_horizon(self, timestamp_ms: int, wall_ms: int) -> bool:
        """Request an extension of the horizon if a key is past it or little time is left.

        Returns
        -------
        bool
            Whether an extension is pending.
        """
        horizon_ms = self.head.horizon_ms if self.head else 0
        if timestamp_ms > horizon_ms or horizon_ms < wall_ms + self._limits.renew_ms:
            requested_ms = max(timestamp_ms, wall_ms + self._limits.horizon_ms)
            self._requested_horizon_ms = max(self._requested_horizon_ms, requested_ms)
        return self._requested_horizon_ms > 0

    def next_step(self, wall_ms: int) -> Step | None:
        """Return the next step, or None when there is nothing to write."""
        if self.phase is Phase.READ:
            return ReadHead()
        if self.phase is Phase.SEAL:
            return WriteHead(self._version, self._make_seal(wall_ms))
        if self.phase is Phase.LOAD:
            return LoadSegments()
        if self.phase is Phase.LOST or not self._has_pending_write():
            return None
        return self._make_write(wall_ms)

    def handle_head(self, version: int | None, head: JournalHead | None) -> list[bytes]:
        """Handle the head as read, None if it does not exist; return the keys now durable."""
        known = self.head
        is_sealed = known is not None and known.epoch == self.epoch
        found = head.epoch if head is not None else Epoch(0)
        self.seen_epoch = max(self.seen_epoch, found)
        is_foreign = found == self.epoch and not self._is_seal_sent
        if found > self.epoch or is_foreign or (is_sealed and found < self.epoch):
            # Another owner has sealed the head, or the platform was restored from an older copy.
            self.phase = Phase.LOST
            return []
        if is_sealed and self._is_older(version):
            return self._restore_head(version)
        self.head = head
        self._version = version
        if head is None or head.epoch < self.epoch:
            self._start_seal()
            return []
        return self._adopt_head()

    def handle_write(self, step: WriteHead, version: int | None) -> list[bytes]:
        """Handle the result of a write: the new version, None if it may not have succeeded.

        Returns
        -------
        list of bytes
            The hashes of the keys whose marks are now durable.
        """
        self._is_seal_sent = True
        if version is None:
            self.phase = Phase.READ
            return []
        self.head = step.head
        self._version = version
        return self._adopt_head()

    def handle_close(self, step: CloseSegment, done: bool) -> None:
        """Handle whether the segment now exists; if not, the next step copies it again."""
        if not done:
            return
        self._closed_version = step.version
        self._segments.append(Segment(step.version, step.head))

    def handle_segments(self, segments: list[Segment]) -> None:
        """Load the marks of the closed segments; the journal is then ready."""
        self._segments = sorted(segments, key=lambda segment: segment.version)
        for segment in segments:
            self.earlier.update(split_marks(segment.head.marks))
        self._is_loaded = True
        self.phase = Phase.READY

    def take_expired(self, wall_ms: int) -> list[Segment]:
        """Remove and return the segments whose last mark is past its retention."""
        limit_ms = wall_ms - self._limits.retention_ms
        expired = [segment for segment in self._segments if segment.head.written_ms < limit_ms]
        if expired:
            self._segments = [s for s in self._segments if s.head.written_ms >= limit_ms]
        return expired

    def make_release(self, max_granted_ms: int) -> WriteHead | None:
        """Return the last write of a graceful stop: the horizon at the latest granted timestamp.

        The next owner can then grant every key that has a later timestamp.
        """
        if self.phase is not Phase.READY or self.head is None:
            return None
        horizon_ms = max(self.head.floor_ms, max_granted_ms)
        return WriteHead(self._version, replace(self.head, horizon_ms=horizon_ms))

    def _is_older(self, version: int | None) -> bool:
        return version is not None and self._version is not None and version < self._version

    def _restore_head(self, version: int | None) -> list[bytes]:
        # The platform was restored from an older copy of this epoch. The head that it had confirmed
        # is written again before anything else.
        assert self.head is not None
        self._version = version
        self._requested_horizon_ms = max(self._requested_horizon_ms, self.head.horizon_ms)
        self.phase = Phase.READY if self._is_loaded else Phase.LOST
        return []

    def _start_seal(self) -> None:
        self.phase = Phase.SEAL

    def _make_seal(self, wall_ms: int) -> JournalHead:
        head = self.head
        if head is None:
            return JournalHead(self.epoch, wall_ms, wall_ms + self._limits.horizon_ms, wall_ms)
        horizon_ms = max(head.horizon_ms, wall_ms + self._limits.horizon_ms)
        return JournalHead(self.epoch, head.horizon_ms, horizon_ms, head.written_ms, head.marks)

    def _adopt_head(self) -> list[bytes]:
        assert self.head is not None
        if self._requested_horizon_ms <= self.head.horizon_ms:
            self._requested_horizon_ms = 0
        if not self._is_loaded:
            self.earlier.update(split_marks(self.head.marks))
            self.phase = Phase.LOAD
            return []
        self.phase = Phase.READY
        if not self._pending_marks:
            return []
        present = self._pending_marks.keys() & split_marks(self.head.marks)
        return [self._pending_marks.pop(mark) for mark in sorted(present)]

    def _is_closed(self) -> bool:
        # The copy must be of the current version: a write whose reply was lost may have added marks
        # after an earlier copy.
        return self._closed_version == self._version

    def _has_pending_write(self) -> bool:
        return bool(self._pending_marks) or self._requested_horizon_ms > 0

    def _make_write(self, wall_ms: int) -> Step:
        assert self.head is not None
        head = self._drop_old_marks(self.head, wall_ms)
        room = self._limits.segment_marks - len(head.marks) // MARK_BYTES
        if room <= 0 and self._pending_marks:
            if not self._is_closed():
                assert self._version is not None
                return CloseSegment(self._version, head)
            head = replace(head, marks=b"")
            room = self._limits.segment_marks
        batch = b"".join(list(self._pending_marks)[:room])
        changed = replace(
            head,
            horizon_ms=max(head.horizon_ms, self._requested_horizon_ms),
            written_ms=max(head.written_ms, wall_ms) if batch else head.written_ms,
            marks=head.marks + batch,
        )
        return WriteHead(self._version, changed)

    def _drop_old_marks(self, head: JournalHead, wall_ms: int) -> JournalHead:
        if head.written_ms < wall_ms - self._limits.retention_ms:
            return replace(head, marks=b"")
        return head
