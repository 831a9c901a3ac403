"""Decides, for the owner of one key range, which attempt may run the call of an idempotency key.

A table holds the state of the keys of its own epoch only. Of earlier epochs it holds two things,
both read from the journal when the epoch began: the floor, a timestamp up to which keys may have
been granted before, and the marks (hash prefixes) of granted keys that have no timestamp. When the
table evicts a key, it raises the floor or adds a mark, so an evicted key is never granted again.
"""

from collections import deque
from collections.abc import Iterable

from ragwort_common import Epoch, Outcome
from ragwort_protocol import ClaimRequest, ClaimResult, ClaimVerdict, StoredResponse

from ragwort_policy._key_record import (
    ClaimDecision,
    ClaimLimits,
    KeyRecord,
    KeyState,
    Need,
    count_bytes,
    read_mark,
)

RUNNING_RETRY_MS = 1_000
BUSY_RETRY_MS = 2_000
NO_LEASE_RETRY_MS = 5_000
RECORDS_CHECKED_PER_CLAIM = 2

_GRANTED = ClaimDecision(ClaimVerdict.GRANTED)
_UNPROVEN = ClaimDecision(ClaimVerdict.UNPROVEN)
_MISMATCH = ClaimDecision(ClaimVerdict.MISMATCH)
_IN_FUTURE = ClaimDecision(ClaimVerdict.IN_FUTURE)
_RUNNING = ClaimDecision(ClaimVerdict.RUNNING, RUNNING_RETRY_MS)
_BUSY = ClaimDecision(ClaimVerdict.BUSY, BUSY_RETRY_MS)
_NO_LEASE = ClaimDecision(ClaimVerdict.NO_LEASE, NO_LEASE_RETRY_MS)
_NEED_MARK = ClaimDecision(ClaimVerdict.BUSY, BUSY_RETRY_MS, need=Need.MARK)
_NEED_HORIZON = ClaimDecision(ClaimVerdict.BUSY, BUSY_RETRY_MS, need=Need.HORIZON)


class ClaimTable:
    """Holds the keys of one range in one epoch; it takes ownership of the set of earlier marks.

    Attributes
    ----------
    lease_until_s
        Monotonic time at which the lease expires.
    horizon_ms
        Durable upper bound of this epoch: no key with a later timestamp has been granted.
    floor_ms
        Keys with a timestamp up to this one that are not in the table may have been granted
        before.
    max_granted_ms
        Latest timestamp of a granted key.
    """

    def __init__(
        self, epoch: Epoch, floor_ms: int, earlier: set[bytes], limits: ClaimLimits
    ) -> None:
        self.epoch = epoch
        self.floor_ms = floor_ms
        self.horizon_ms = floor_ms
        self.max_granted_ms = floor_ms
        self.lease_until_s = 0.0
        self._limits = limits
        self._earlier_marks = earlier
        self._marked_keys = 0
        self._records: dict[bytes, KeyRecord] = {}
        self._order: deque[bytes] = deque()
        self._answered: deque[bytes] = deque()
        self._answers_bytes = 0

    @property
    def keys(self) -> int:
        """Number of keys in the table."""
        return len(self._records)

    @property
    def marks(self) -> int:
        """Number of keys without a timestamp: of this epoch, of earlier ones and evicted."""
        return len(self._earlier_marks) + self._marked_keys

    def decide(self, claim: ClaimRequest, now: float, wall_ms: int) -> ClaimDecision:
        """Decide a claim; ``now`` must be read from the monotonic clock just before the call."""
        record = self._records.get(claim.key_hash)
        if record is None:
            return self._decide_unseen(claim, now, wall_ms)
        self._expire(record, now)
        if record.state is KeyState.FREE:
            return self._grant(record, claim, now)
        if record.fingerprint != claim.fingerprint:
            return _MISMATCH
        if record.state is KeyState.RUNNING:
            return _GRANTED if record.attempt == claim.attempt else _RUNNING
        if record.state is KeyState.DONE and record.answer is not None:
            return ClaimDecision(ClaimVerdict.DONE, answer=record.answer)
        return _UNPROVEN

    def record_result(self, result: ClaimResult, now: float) -> bool:
        """Record how a claimed call ended; return whether the result changed the key's state.

        A key is freed only while its claim is running: an unknown key is never freed. An answer is
        recorded at any time.
        """
        record = self._records.get(result.key_hash)
        if record is None or not self._is_current(record, result):
            return False
        self._expire(record, now)
        if result.outcome in (Outcome.ANSWERED.value, Outcome.FAILED.value):
            if record.state is KeyState.DONE:
                return False
            record.state = KeyState.DONE
            self._keep_answer(result.key_hash, record, result.answer)
            return True
        if record.state is not KeyState.RUNNING:
            return False
        free = result.outcome == Outcome.NOT_RUN.value
        record.state = KeyState.FREE if free else KeyState.UNKNOWN
        return True

    def add_durable_key(self, key_hash: bytes, now: float) -> None:
        """Add, as free, a key without a timestamp whose mark has just become durable."""
        if key_hash not in self._records:
            self._marked_keys += 1
            self._add_record(key_hash, KeyRecord(now, 0))

    def drop_marks(self, marks: Iterable[bytes]) -> None:
        """Remove marks that are past their retention."""
        self._earlier_marks.difference_update(marks)

    def _decide_unseen(self, claim: ClaimRequest, now: float, wall_ms: int) -> ClaimDecision:
        if claim.timestamp_ms:
            refusal = self._check_timestamp(claim.timestamp_ms, wall_ms)
        else:
            refusal = self._check_mark(claim.key_hash)
        if refusal is not None and refusal.need is Need.NONE:
            return refusal
        if not self._holds_lease(now):
            return _NO_LEASE
        if not self._make_room(now):
            return _BUSY
        if refusal is not None:
            return refusal
        record = KeyRecord(now, claim.timestamp_ms)
        self._add_record(claim.key_hash, record)
        return self._grant(record, claim, now)

    def _check_timestamp(self, timestamp_ms: int, wall_ms: int) -> ClaimDecision | None:
        if self._is_before_floor(timestamp_ms):
            return _UNPROVEN
        if timestamp_ms > wall_ms + self._limits.future_ms:
            return _IN_FUTURE
        return _NEED_HORIZON if self._is_past_horizon(timestamp_ms) else None

    def _check_mark(self, key_hash: bytes) -> ClaimDecision | None:
        if read_mark(key_hash) in self._earlier_marks:
            return _UNPROVEN
        if self.marks >= self._limits.max_marks:
            return _BUSY
        return _NEED_MARK if self._needs_mark() else None

    def _grant(self, record: KeyRecord, claim: ClaimRequest, now: float) -> ClaimDecision:
        if not self._holds_lease(now):
            return _NO_LEASE
        self.max_granted_ms = max(self.max_granted_ms, claim.timestamp_ms)
        record.state = KeyState.RUNNING
        record.attempt = claim.attempt
        record.fingerprint = claim.fingerprint
        record.expires_s = now + claim.budget_ms / 1_000 + self._limits.margin_s
        return _GRANTED

    # Each guard below is a separate method, so that a test can disable it.

    def _holds_lease(self, now: float) -> bool:
        return now < self.lease_until_s

    def _is_before_floor(self, timestamp_ms: int) -> bool:
        return timestamp_ms <= self.floor_ms

    def _is_past_horizon(self, timestamp_ms: int) -> bool:
        return timestamp_ms > self.horizon_ms

    def _needs_mark(self) -> bool:
        return True

    def _is_current(self, record: KeyRecord, result: ClaimResult) -> bool:
        return record.attempt == result.attempt

    def _expire(self, record: KeyRecord, now: float) -> None:
        # The claiming entry may have died; whether the call ran cannot be determined any more.
        if record.state is KeyState.RUNNING and now >= record.expires_s:
            record.state = KeyState.UNKNOWN

    def _add_record(self, key_hash: bytes, record: KeyRecord) -> None:
        self._records[key_hash] = record
        self._order.append(key_hash)

    def _make_room(self, now: float) -> bool:
        limits = self._limits
        for _ in range(RECORDS_CHECKED_PER_CLAIM):
            if self._order and now - self._get_oldest().added_s >= limits.keep_s:
                self._evict_oldest(now)
        if len(self._records) < limits.max_keys:
            return True
        if now - self._get_oldest().added_s < limits.hold_s:
            return False
        self._evict_oldest(now)
        return True

    def _get_oldest(self) -> KeyRecord:
        return self._records[self._order[0]]

    def _evict_oldest(self, now: float) -> None:
        key_hash = self._order.popleft()
        record = self._records.pop(key_hash)
        if record.answer is not None:
            self._answers_bytes -= count_bytes(record.answer)
        self._remember_granted(key_hash, record, now)

    def _remember_granted(self, key_hash: bytes, record: KeyRecord, now: float) -> None:
        if record.timestamp_ms:
            self.floor_ms = max(self.floor_ms, record.timestamp_ms)
            return
        self._marked_keys -= 1
        if now - record.added_s < self._limits.retention_s:
            self._earlier_marks.add(read_mark(key_hash))

    def _keep_answer(
        self, key_hash: bytes, record: KeyRecord, answer: StoredResponse | None
    ) -> None:
        if answer is None or count_bytes(answer) > self._limits.answer_bytes:
            return
        record.answer = answer
        self._answered.append(key_hash)
        self._answers_bytes += count_bytes(answer)
        while self._exceeds_answer_limits():
            self._drop_answer(self._answered.popleft())

    def _exceeds_answer_limits(self) -> bool:
        # The queue also holds evicted keys, so its length needs a limit as well.
        limits = self._limits
        return self._answers_bytes > limits.answers_bytes or len(self._answered) > limits.max_keys

    def _drop_answer(self, key_hash: bytes) -> None:
        record = self._records.get(key_hash)
        if record is not None and record.answer is not None:
            self._answers_bytes -= count_bytes(record.answer)
            record.answer = None
