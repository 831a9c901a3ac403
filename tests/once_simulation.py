"""A simulation of owners, entries, gates and the platform around the policies of keyed calls."""

from dataclasses import dataclass, field

from ragwort_common import Epoch, Outcome
from ragwort_policy import (
    ClaimLimits,
    ClaimTable,
    CloseSegment,
    EpochFence,
    Journal,
    JournalLimits,
    LoadSegments,
    Need,
    Phase,
    ReadHead,
    Segment,
    WriteHead,
    decode_head,
    encode_head,
)
from ragwort_protocol import ClaimRequest, ClaimResult, ClaimVerdict, StoredResponse

TTL_S = 60.0
BUDGET_MS = 2_000.0
RANGE = 7
SETTLE_STEPS = 20
CLAIMS = ClaimLimits(max_keys=3, hold_s=1.0, keep_s=300.0, retention_s=1e6, margin_s=1.0)
JOURNAL = JournalLimits(segment_marks=2, retention_ms=10**9)


@dataclass
class Platform:
    """Stores the head, segments and the lease; a late write takes effect when it is applied."""

    head: tuple[int, bytes] | None = None
    version: int = 0
    segments: dict[int, bytes] = field(default_factory=dict)
    epoch: int = 0
    holder: str = ""
    lease_until: float = 0.0
    down: bool = False
    late: list[WriteHead] = field(default_factory=list)

    def write_head(self, step):
        if (self.head[0] if self.head else None) != step.version:
            return None
        self.version += 1
        self.head = (self.version, encode_head(step.head))
        return self.version


@dataclass
class Owner:
    name: str
    lease_until: float = 0.0
    clock_lag_s: float = 0.0
    journal: Journal | None = None
    table: ClaimTable | None = None
    waiting: list[ClaimRequest] = field(default_factory=list)


@dataclass
class Attempt:
    """One claim of an entry; it stays open until its entry has run the call or given up."""

    number: int
    key: str
    timestamp_ms: int
    owner: Owner
    epoch: int = 0
    closed: bool = False
    result: ClaimResult | None = None


class Simulation:
    """Performs the steps that a test chooses; ``runs`` counts the runs of each key."""

    def __init__(self, gates=2):
        self.now = 1_000.0
        self.platform = Platform()
        self.owners = [Owner("a"), Owner("b"), Owner("c")]
        self.fences = [EpochFence() for _ in range(gates)]
        self.attempts: list[Attempt] = []
        self.replies: list[tuple[Attempt, object]] = []
        self.reports: list[ClaimResult] = []
        self.runs: dict[str, int] = {}
        self.first_answers: dict[str, StoredResponse] = {}

    def wall_ms(self):
        return int(self.now * 1_000)

    def acquire(self, owner):
        platform = self.platform
        free = platform.holder == "" or self.now >= platform.lease_until
        if platform.down or not free:
            return
        platform.epoch += 1
        platform.holder = owner.name
        owner.journal = Journal(Epoch(platform.epoch), JOURNAL)
        owner.table = None
        owner.waiting = []
        self._hold(owner)

    def renew(self, owner):
        platform = self.platform
        mine = owner.journal and platform.holder == owner.name
        if mine and not platform.down and owner.journal.epoch == platform.epoch:
            self._hold(owner)

    def _hold(self, owner):
        self.platform.lease_until = self.now + TTL_S
        owner.lease_until = self.now - owner.clock_lag_s + TTL_S
        if owner.table:
            owner.table.lease_until_s = owner.lease_until

    def kill(self, owner):
        owner.journal = owner.table = None
        owner.waiting = []

    def release(self, owner):
        if owner.table is None:
            return
        owner.table.lease_until_s = 0.0
        step = owner.journal.make_release(owner.table.max_granted_ms)
        if step and not self.platform.down:
            self.platform.write_head(step)
            if self.platform.epoch == owner.journal.epoch:
                self.platform.holder = ""
        self.kill(owner)

    def step_journal(self, owner, result="ok"):
        """Perform the owner's next journal step; results: ok, lost, reply-lost, late."""
        step = owner.journal.next_step(self.wall_ms()) if owner.journal else None
        platform = self.platform
        heard = result == "ok" and not platform.down
        applied = result in ("ok", "reply-lost") and not platform.down
        durable = []
        match step:
            case ReadHead() if heard and platform.head is None:
                durable = owner.journal.handle_head(None, None)
            case ReadHead() if heard:
                version, data = platform.head
                durable = owner.journal.handle_head(version, decode_head(data))
            case WriteHead():
                version = platform.write_head(step) if applied else None
                if result == "late":
                    platform.late.append(step)
                durable = owner.journal.handle_write(step, version if heard else None)
            case CloseSegment():
                if applied:
                    platform.segments.setdefault(step.version, encode_head(step.head))
                owner.journal.handle_close(step, heard)
            case LoadSegments() if heard:
                self._open_table(owner)
        self._admit(owner, durable)
        return step

    def _open_table(self, owner):
        items = self.platform.segments.items()
        owner.journal.handle_segments([Segment(v, decode_head(data)) for v, data in items])
        head = owner.journal.head
        owner.table = ClaimTable(owner.journal.epoch, head.floor_ms, owner.journal.earlier, CLAIMS)
        owner.table.lease_until_s = owner.lease_until

    def _admit(self, owner, durable):
        if owner.table is None or owner.journal.phase is not Phase.READY:
            return
        owner.table.horizon_ms = owner.journal.head.horizon_ms
        for key_hash in durable:
            owner.table.add_durable_key(key_hash, self.now - owner.clock_lag_s)
        waiting, owner.waiting = owner.waiting, []
        for request in waiting:
            self._decide(owner, request)

    def settle_journal(self, owner):
        for _ in range(SETTLE_STEPS):
            if self.step_journal(owner) is None:
                return

    def open_range(self, owner):
        self.acquire(owner)
        self.settle_journal(owner)

    def apply_late(self, index):
        if self.platform.late and not self.platform.down:
            self.platform.write_head(self.platform.late.pop(index % len(self.platform.late)))

    def claim(self, owner, key, timestamp_ms=0):
        attempt = Attempt(len(self.attempts), key, timestamp_ms, owner)
        self.attempts.append(attempt)
        self.send(attempt, owner)
        return attempt

    def send(self, attempt, owner):
        """Deliver the claim of an attempt to an owner, for the first time or again."""
        attempt.owner = owner
        number = attempt.number.to_bytes(16, "big")
        key_hash = attempt.key.encode().ljust(16)
        self._decide(
            owner,
            ClaimRequest(number, key_hash, b"call", RANGE, 0, attempt.timestamp_ms, BUDGET_MS),
        )

    def _decide(self, owner, request):
        if owner.table is None or owner.journal.phase is Phase.LOST:
            return
        now = self.now - owner.clock_lag_s
        decision = owner.table.decide(request, now, self.wall_ms())
        if decision.need is Need.MARK:
            owner.journal.request_mark(request.key_hash)
        elif decision.need is Need.HORIZON:
            owner.journal.request_horizon(request.timestamp_ms, self.wall_ms())
        if decision.need is not Need.NONE:
            owner.waiting.append(request)
            return
        if decision.verdict is ClaimVerdict.GRANTED and request.timestamp_ms:
            owner.journal.request_horizon(request.timestamp_ms, self.wall_ms())
        attempt = self.attempts[int.from_bytes(request.attempt, "big")]
        self.replies.append((attempt, owner.table.epoch, decision))

    def deliver_reply(self, index=-1):
        """Deliver a reply to its entry, which may have given up."""
        if not self.replies:
            return None
        attempt, epoch, decision = self.replies.pop(index % len(self.replies))
        if attempt.closed:
            return None
        if decision.verdict is ClaimVerdict.GRANTED:
            attempt.epoch = epoch
        else:
            attempt.closed = True
        if decision.verdict is ClaimVerdict.DONE:
            assert decision.answer == self.first_answers[attempt.key]
        return decision.verdict

    def run(self, attempt, gate=0, result="answered"):
        """Run a granted attempt; results: answered, broken (no answer), refused, died."""
        if attempt.closed or not attempt.epoch:
            return
        attempt.closed = True
        admitted = self.fences[gate].admit(RANGE, attempt.epoch)
        outcome, answer = Outcome.NOT_RUN, None
        if admitted and result != "refused":
            runs = self.runs[attempt.key] = self.runs.get(attempt.key, 0) + 1
            assert runs == 1, f"{attempt.key} ran twice"
            answer = StoredResponse(200, [], b"%d" % attempt.number)
            self.first_answers[attempt.key] = answer
            outcome = Outcome.ANSWERED if result == "answered" else Outcome.UNKNOWN
        if result != "died":
            self._report(attempt, outcome, answer if result == "answered" else None)

    def list_granted(self):
        return [attempt for attempt in self.attempts if attempt.epoch and not attempt.closed]

    def give_up(self, attempt):
        if not attempt.closed:
            attempt.closed = True
            self._report(attempt, Outcome.NOT_RUN, None)

    def _report(self, attempt, outcome, answer):
        number = attempt.number.to_bytes(16, "big")
        key_hash = attempt.key.encode().ljust(16)
        attempt.result = ClaimResult(number, key_hash, RANGE, outcome.value, answer)
        self.reports.append((attempt.owner, attempt.result))

    def deliver_report(self, index=-1, again=False):
        """Deliver a result to its owner; ``again`` keeps a copy for a second delivery."""
        if not self.reports:
            return
        index %= len(self.reports)
        owner, result = self.reports[index] if again else self.reports.pop(index)
        if owner.table is not None:
            owner.table.record_result(result, self.now - owner.clock_lag_s)

    def call(self, owner, key, timestamp_ms=0, gate=0, result="answered", write="ok"):
        """Claim a key, complete the journal steps, run if granted and return the verdict."""
        attempt = self.claim(owner, key, timestamp_ms)
        self.step_journal(owner, write)
        self.settle_journal(owner)
        verdict = self.deliver_reply()
        self.run(attempt, gate, result)
        return verdict
