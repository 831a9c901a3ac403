"""Owns one key range in one epoch: decides its claims and writes its journal.

All claims that wait for the journal share its next write. Writes are sequential and limited by a
token bucket, so the fleet's writes for idempotency keys stay within their budget regardless of
the number of calls.
"""

import asyncio
import logging
from collections import Counter

from ragwort_common import Epoch
from ragwort_policy import (
    ClaimDecision,
    ClaimTable,
    CloseSegment,
    Journal,
    LoadSegments,
    Need,
    Phase,
    ReadHead,
    Step,
    WriteHead,
    WriteRateLimiter,
    split_marks,
)
from ragwort_protocol import ClaimReply, ClaimRequest, ClaimResult, ClaimVerdict
from ragwort_store import ErrorKind

from ragwort_node._journal_store import (
    JournalStore,
    Malformed,
    close_segment,
    delete_segment,
    load_segments,
    read_head,
    write_head,
)
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits

log = logging.getLogger(__name__)

REREAD_ERRORS = (ErrorKind.UNCERTAIN, ErrorKind.CONFLICT)
RETRY_PAUSE_S = 0.25
MIN_RATE_LIMIT_WAIT_S = 0.001
OPENING_RETRY_MS = 1_000


class KeyRangeOwner:
    """The state of one owned key range; ``run`` is the task that writes its journal.

    Attributes
    ----------
    counts
        Number of decided claims by verdict.
    writes
        Number of head writes sent.
    """

    def __init__(
        self,
        key_range: int,
        epoch: Epoch,
        store: JournalStore,
        clocks: OwnerClocks,
        limits: OwnerLimits,
    ) -> None:
        self.key_range = key_range
        self.epoch = epoch
        self.counts: Counter[ClaimVerdict] = Counter()
        self.writes = 0
        self.journal = Journal(epoch, limits.journal)
        self.table: ClaimTable | None = None
        self._lease_until_s = 0.0
        self._store = store
        self._clocks = clocks
        self._limits = limits
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._rate_limit = WriteRateLimiter(limits.writes_per_s, limits.writes_burst, clocks.now())
        self._failing = False

    def set_lease_end(self, until_s: float) -> None:
        """Set the monotonic time at which the lease expires."""
        self._lease_until_s = until_s
        if self.table is not None:
            self.table.lease_until_s = until_s

    async def answer_claim(self, claim: ClaimRequest) -> ClaimReply:
        """Decide a claim, after the journal's next write if the claim depends on it."""
        deadline_s = self._clocks.now() + claim.budget_ms / 1_000
        decision = self._decide(claim)
        while decision.need is not Need.NONE and self._can_write_by(deadline_s):
            self._request_write(claim, decision.need)
            if not await self._wait_change(deadline_s):
                break
            decision = self._decide(claim)
        self.counts[decision.verdict] += 1
        return ClaimReply(
            claim.attempt, decision.verdict, self.epoch, decision.retry_after_ms, decision.answer
        )

    def record_result(self, result: ClaimResult) -> bool:
        """Record the result of a claimed call; return whether it matched a claim."""
        return self.table is not None and self.table.record_result(result, self._clocks.now())

    async def run(self) -> None:
        """Write the journal until the range is lost to another owner."""
        while self.journal.phase is not Phase.LOST:
            step = self.journal.next_step(self._clocks.wall_ms())
            if step is None:
                self._wake.clear()
                await self._wake.wait()
                continue
            await self._wait_for_rate_limit()
            await self._run_next_step()
        log.warning("range %d: epoch %d is over", self.key_range, self.epoch)
        self._notify()

    async def release(self) -> None:
        """Stop granting claims, then lower the stored horizon to the highest granted timestamp."""
        self.set_lease_end(0.0)
        step = self.journal.make_release(self.table.max_granted_ms) if self.table else None
        if step is not None:
            await self._write_head(step)
        self.close()

    def close(self) -> None:
        """End the epoch and refuse the waiting claims."""
        self.set_lease_end(0.0)
        self.journal.phase = Phase.LOST
        self._notify()

    async def drop_expired(self) -> None:
        """Delete the segments whose retention time has passed."""
        for segment in self.journal.take_expired(self._clocks.wall_ms()):
            if self.table is not None:
                self.table.drop_marks(split_marks(segment.head.marks))
            await delete_segment(self._store, self.key_range, segment)

    def _decide(self, claim: ClaimRequest) -> ClaimDecision:
        now = self._clocks.now()
        if self.table is None or self.journal.phase is Phase.LOST:
            return ClaimDecision(ClaimVerdict.NO_LEASE, OPENING_RETRY_MS)
        wall_ms = self._clocks.wall_ms()
        decision = self.table.decide(claim, now, wall_ms)
        granted = decision.verdict is ClaimVerdict.GRANTED
        if (
            granted
            and claim.timestamp_ms
            and self.journal.request_horizon(claim.timestamp_ms, wall_ms)
        ):
            self._wake.set()
        return decision

    def _can_write_by(self, deadline_s: float) -> bool:
        # A claim that no write can serve before its deadline is refused immediately.
        if self.journal.phase is Phase.LOST or self._failing:
            return False
        if self.journal.pending_marks >= self._limits.journal.segment_marks:
            return False
        return max(self._clocks.now(), self._rate_limit.get_next_time()) < deadline_s

    def _request_write(self, claim: ClaimRequest, need: Need) -> None:
        if need is Need.MARK:
            self.journal.request_mark(claim.key_hash)
        else:
            self.journal.request_horizon(claim.timestamp_ms, self._clocks.wall_ms())
        self._wake.set()

    async def _wait_change(self, deadline_s: float) -> bool:
        changed = self._changed
        try:
            async with asyncio.timeout(max(0.0, deadline_s - self._clocks.now())):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait_for_rate_limit(self) -> None:
        while not self._rate_limit.try_acquire(now := self._clocks.now()):
            await self._clocks.sleep(
                max(MIN_RATE_LIMIT_WAIT_S, self._rate_limit.get_next_time() - now)
            )

    async def _run_next_step(self) -> None:
        # The step is computed again here, so that the write includes the claims that arrived
        # while the task waited for the rate limit.
        step = self.journal.next_step(self._clocks.wall_ms())
        self._failing = step is not None and not await self._run_step(step)
        if self._failing:
            self._notify()
            await self._clocks.sleep(RETRY_PAUSE_S)

    async def _run_step(self, step: Step) -> bool:
        match step:
            case ReadHead():
                return await self._read_head()
            case WriteHead():
                return await self._write_head(step)
            case CloseSegment():
                return await self._close_segment(step)
            case LoadSegments():
                return await self._load_segments()

    async def _read_head(self) -> bool:
        found = await read_head(self._store, self.key_range)
        if found is None:
            return False
        if isinstance(found, Malformed):
            self.journal.phase = Phase.LOST
            return True
        self._admit_durable(self.journal.handle_head(found.version, found.head))
        return True

    async def _write_head(self, step: WriteHead) -> bool:
        self.writes += 1
        written = await write_head(self._store, self.key_range, step)
        version = written.ok.version if written.is_ok() else None
        self._admit_durable(self.journal.handle_write(step, version))
        return written.is_ok() or written.error.kind in REREAD_ERRORS

    async def _close_segment(self, step: CloseSegment) -> bool:
        done = await close_segment(self._store, self.key_range, step)
        self.journal.handle_close(step, done)
        return done

    async def _load_segments(self) -> bool:
        segments = await load_segments(self._store, self.key_range)
        if segments is None:
            return False
        if isinstance(segments, Malformed):
            self.journal.phase = Phase.LOST
            return True
        self.journal.handle_segments(segments)
        self._open_table()
        return True

    def _open_table(self) -> None:
        head = self.journal.head
        assert head is not None
        self.table = ClaimTable(
            self.epoch, head.floor_ms, self.journal.earlier, self._limits.claims
        )
        self.table.horizon_ms = head.horizon_ms
        self.table.lease_until_s = self._lease_until_s
        log.info("range %d: owned in epoch %d", self.key_range, self.epoch)
        ahead_ms = head.floor_ms - self._clocks.wall_ms()
        if ahead_ms > self._limits.journal.horizon_ms:
            log.warning(
                "range %d: the floor is %d ms ahead of this clock", self.key_range, ahead_ms
            )
        self._notify()

    def _admit_durable(self, key_hashes: list[bytes]) -> None:
        head = self.journal.head
        if self.table is None or head is None or self.journal.phase is not Phase.READY:
            return
        self.table.horizon_ms = head.horizon_ms
        now = self._clocks.now()
        for key_hash in key_hashes:
            self.table.add_durable_key(key_hash, now)
        self._notify()
