"""The settings of membership, and the source of chance that it is given."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

_T = TypeVar("_T")


class RandomSource(Protocol):
    """The part of ``random.Random`` that membership uses."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def choice(self, seq: Sequence[_T]) -> _T:
        """Return one element of a sequence."""

    def sample(self, population: Sequence[_T], k: int) -> list[_T]:
        """Return distinct elements of a sequence."""

    def shuffle(self, x: list[_T]) -> None:
        """Put a list in random order."""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods, timeouts and sizes of membership.

    Attributes
    ----------
    probe_period_s
        Time between two probes of one node while the budget lasts.
    probe_timeout_s, relay_timeout_s
        How long to wait for a direct answer, and then for one through other peers.
    relays
        Peers that are asked to probe a silent one.
    suspicion_factor
        Suspicion timeout in probe periods, for each power of ten of the region's size; a region
        of fewer than a hundred counts as a hundred.
    push_fanout
        Peers to which urgent news is pushed at once.
    news_bytes
        Most bytes of news on one message.
    repair_period_s, repair_bytes
        Time between two exchanges of digests, and most bytes of one of their messages.
    reconnect_period_s
        Time between two tries to reach a peer that counts as dead.
    pause_s
        A gap in this node's own activity after which its view counts as stale.
    isolation_targets, isolation_hold_s
        Number of peers that fail in a row after which a node takes itself for cut off, and how
        long it then holds back from declaring deaths.
    load_period_s, load_notices_per_s
        Time between two reports of load, and the most of them that a bridge is to receive.
    cut_after_s
        Silence after which a region counts as unreachable.
    tombstone_s
        How long a peer that is gone is remembered; more than the longest cut.
    orphan_s
        How long a peer is gone before its announcement is removed from the platform.
    """

    probe_period_s: float = 0.5
    probe_timeout_s: float = 0.25
    relay_timeout_s: float = 0.4
    relays: int = 3
    suspicion_factor: float = 4.0
    push_fanout: int = 3
    news_bytes: int = 2000
    repair_period_s: float = 10.0
    repair_bytes: int = 2000
    reconnect_period_s: float = 10.0
    pause_s: float = 2.5
    isolation_targets: int = 5
    isolation_hold_s: float = 60.0
    load_period_s: float = 2.0
    load_notices_per_s: float = 180.0
    cut_after_s: float = 15.0
    tombstone_s: float = 86_400.0
    orphan_s: float = 600.0
