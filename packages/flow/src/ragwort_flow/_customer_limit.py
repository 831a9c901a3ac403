"""Limit on a customer's calls over all nodes: what one entry may admit.

An entry admits calls for which it holds credits, which it gets from the customer's coordinator
(``_limit_coordinator.py``) ahead of the calls, so that no call waits for a remote answer. While the
customer is short, the entry has no credits but a share of the rate. Whatever fails, it can't exceed
what it was given.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwort_common import CustomerName, NodeId

FIRST_CREDIT = 2
"""Credits of an entry without a session, and of one without recent calls, in calm. With one, a
second call within a round trip to the coordinator would be refused; a call in 250 is one, where a
node gets 0.07 calls a second."""

SLOTS_PER_WINDOW = 25
"""Number of slots per window in which calls are counted."""

PACE_BURST_S = 0.2
"""Size of the bucket of an entry's share of the rate, as the time in which it fills."""

MIN_PACE_BURST = 1.5
"""Minimum size of that bucket. With 1, an entry with 14 calls a second admitted a tenth less than
its share of 1.5, since the bucket was full while it waited for a call."""

MAX_REPLY_S = 0.3
"""How long an entry waits for the reply to a report before it regards its coordinator as out of
reach, which may have withdrawn credits. Busy hosts pause for nearly this long."""

MIN_RETRY_S = 0.1
"""Minimum delay stated with a refusal: about the time in which a coordinator reacts."""


@dataclass(frozen=True, slots=True)
class CallLimit:
    """A customer's limit; see ``Customer`` and ``Bounds``."""

    calls_per_s: float
    burst: float
    window_s: float
    excess: float
    slack: float

    @property
    def per_window(self) -> float:
        """Calls that the limit allows in a window, without excess and slack."""
        return self.calls_per_s * self.window_s + self.burst

    @property
    def tolerance(self) -> float:
        """Calls by which a window may exceed the limit."""
        return self.per_window * self.excess + self.slack


@dataclass(slots=True)
class RecentCalls:
    """Calls counted in the slots of the last window."""

    slots: dict[int, int] = field(default_factory=dict)
    total: int = 0


def record_calls(recent: RecentCalls, now: float, window_s: float, count: int) -> None:
    """Count calls; a negative number takes some back."""
    slot = int(now * SLOTS_PER_WINDOW / window_s)
    recent.slots[slot] = recent.slots.get(slot, 0) + count
    recent.total += count


def count_recent(recent: RecentCalls, now: float, window_s: float) -> int:
    """Return how many calls were counted in the last window, or up to a slot more."""
    first = int(now * SLOTS_PER_WINDOW / window_s) - SLOTS_PER_WINDOW
    for slot in [slot for slot in recent.slots if slot < first]:
        recent.total -= recent.slots.pop(slot)
    return max(0, recent.total)


def subtract_recent(recent: RecentCalls, part: RecentCalls) -> None:
    """Take back calls that were counted in the same slots."""
    for slot, count in part.slots.items():
        if slot in recent.slots:
            recent.slots[slot] -= count
            recent.total -= count


@dataclass(slots=True)
class EntryCredit:
    """What one entry may admit for a customer, in one session with its coordinator.

    Attributes
    ----------
    granted, spent
        Credits granted and used since the session began; one that was held then counts as granted.
    admitted, arrived
        Calls admitted, with a credit or by the share of the rate, and all calls.
    covered
        Total up to which the credits are covered by the customer's bucket, and stay valid while the
        coordinator is out of reach.
    full
        Credits held after the latest grant.
    calls_per_s, paced
        The entry's share of the rate, and whether it keeps to it, as last stated.
    report_intervals
        Intervals between reports while the entry has a share.
    tokens, filled_at
        Content of the share's bucket as of a time. The buckets of the entries start with different
        contents (``get_phase``), so that entries with equal small shares don't admit all calls at
        the same time.
    refused
        Calls refused since the latest grant.
    unanswered_at
        When the oldest report was sent that has had no reply; None without one.
    recent
        Calls admitted in the last window, also in earlier sessions.
    """

    granted: int = 0
    spent: int = 0
    admitted: int = 0
    arrived: int = 0
    covered: int = 0
    full: int = 0
    calls_per_s: float = 0.0
    paced: bool = False
    report_intervals: int = 1
    tokens: float = 0.0
    filled_at: float = 0.0
    refused: int = 0
    unanswered_at: float | None = None
    recent: RecentCalls = field(default_factory=RecentCalls)

    @property
    def held(self) -> int:
        """Credits that are left."""
        return max(0, self.granted - self.spent)


def spend_credit(
    credit: EntryCredit, limit: CallLimit, now: float, is_late: bool = False
) -> float | None:
    """Admit a call and return None, or return the delay in seconds after which to try again.

    While the customer is short, calls that will be late get only what calls in time leave. At twice
    the limit, with callers that come back twice, 0.78 of the admitted calls are in time that way,
    and 0.63 if all calls are treated alike.

    Parameters
    ----------
    is_late
        Whether the call will miss its objective even if it is admitted.
    """
    credit.arrived += 1
    _fill(credit, now)
    paced = _is_paced(credit, now)
    if (min(credit.granted, credit.covered) if paced else credit.granted) > credit.spent:
        credit.spent += 1
    else:
        needed = _get_bucket_size(credit) if is_late else 1.0
        if not paced or credit.tokens < needed:
            credit.refused += 1
            calls_per_s = max(credit.calls_per_s, 1.0 / limit.window_s)
            return min(limit.window_s, max(MIN_RETRY_S, 1.0 / calls_per_s))
        credit.tokens -= 1.0
    credit.admitted += 1
    record_calls(credit.recent, now, limit.window_s, 1)
    return None


def give_back(credit: EntryCredit, limit: CallLimit, now: float) -> None:
    """Return the credit of an admitted call that was refused as not run."""
    if _is_paced(credit, now):
        credit.tokens += 1.0
    else:
        credit.spent -= 1
    credit.admitted -= 1
    credit.arrived -= 1
    record_calls(credit.recent, now, limit.window_s, -1)


def is_low(credit: EntryCredit) -> bool:
    """Return whether so much of the credit is used that the coordinator should know at once."""
    return not credit.paced and 2 * credit.held <= credit.full


def apply_grant(
    credit: EntryCredit, now: float, granted: int, covered: int, calls_per_s: float, paced: bool
) -> None:
    """Apply the credits that the coordinator has granted in total, and the share of the rate."""
    _fill(credit, now)
    credit.unanswered_at = None
    credit.refused = 0
    credit.granted = granted
    credit.covered = covered
    credit.full = credit.held
    credit.calls_per_s = calls_per_s
    credit.paced = paced


def begin_session(credit: EntryCredit, now: float) -> None:
    """Start to count for another coordinator, and keep what is held.

    Calls refused just before count as arrived, so that the coordinator knows of a shortage.
    """
    credit.covered = max(0, min(credit.granted, credit.covered) - credit.spent)
    credit.granted = credit.full = credit.held
    credit.spent = credit.admitted = 0
    credit.arrived = credit.refused
    if not _is_paced(credit, now):
        credit.unanswered_at = None


def is_session_needed(credit: EntryCredit, now: float, window_s: float) -> bool:
    """Return whether another coordinator must know of this entry's calls or its share."""
    recent = count_recent(credit.recent, now, window_s)
    return credit.paced or credit.refused > 0 or recent > 0


def end_session(credit: EntryCredit, now: float) -> None:
    """Count for no coordinator, and keep at most the credits of an entry without a session."""
    begin_session(credit, now)
    credit.granted = credit.full = min(credit.held, FIRST_CREDIT)
    credit.covered = min(credit.covered, credit.granted)
    credit.unanswered_at = None


def fill_first_credit(credit: EntryCredit) -> None:
    """Grant the credits of an entry without a session, which its coordinator allows for."""
    credit.granted = max(credit.granted, credit.spent + FIRST_CREDIT)
    credit.full = credit.held


def _is_paced(credit: EntryCredit, now: float) -> bool:
    if credit.paced or credit.unanswered_at is None:
        return credit.paced
    return now - credit.unanswered_at > MAX_REPLY_S


def _get_bucket_size(credit: EntryCredit) -> float:
    """Return the size of the bucket of the entry's share of the rate."""
    return max(MIN_PACE_BURST, PACE_BURST_S * credit.calls_per_s)


def _fill(credit: EntryCredit, now: float) -> None:
    """Fill the bucket of the entry's share of the rate."""
    if _is_paced(credit, now):
        gained = (now - credit.filled_at) * credit.calls_per_s
        credit.tokens = min(_get_bucket_size(credit), credit.tokens + gained)
    credit.filled_at = now


def rank_coordinator(customer: CustomerName, node: NodeId) -> bytes:
    """Return a node's rank as the customer's coordinator (rendezvous hashing); the highest is."""
    return hashlib.blake2b(f"{customer}/{node}".encode(), digest_size=8).digest()


def get_phase(customer: CustomerName, node: NodeId) -> float:
    """Return the content with which an entry's bucket starts, zero on average."""
    return int.from_bytes(rank_coordinator(customer, node), "big") / 2**64 - 0.5


def choose_coordinator(customer: CustomerName, nodes: Iterable[NodeId]) -> NodeId:
    """Return which of the nodes coordinates a customer's limit."""
    return max(nodes, key=lambda node: rank_coordinator(customer, node))
