"""The settings of membership and the interface of its random number generator."""

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
        Time between two probes sent by one node while the budget allows it.
    probe_timeout_s, relay_timeout_s
        Timeout of a direct probe, and of the indirect probes that follow it.
    relays
        Number of peers that are asked to probe an unresponsive one.
    suspicion_factor
        Suspicion timeout in probe periods for each power of ten of the region's size; regions of
        fewer than 100 peers use the timeout of 100.
    push_fanout
        Number of peers to which urgent updates are pushed at once.
    news_bytes
        Maximum bytes of piggybacked updates in one message.
    repair_period_s, repair_bytes
        Mean time between two exchanges of digests, and maximum bytes of one of their messages.
    reconnect_period_s
        Mean time between two attempts to reach a peer that has been declared dead.
    pause_s
        Gap in this node's own activity after which its view is considered stale.
    isolation_targets, isolation_hold_s
        Number of different peers that must fail in a row for a node to consider itself isolated,
        and how long it then defers declaring deaths.
    load_period_s, load_notices_per_s
        Mean time between two load reports of a node, and the rate of reports to a bridge above
        which the nodes of a large region report less often.
    cut_after_s
        Time without a report after which a region is considered unreachable.
    tombstone_s
        How long a peer that has died or left stays in the table; longer than the longest
        partition.
    orphan_s
        Time between a peer's death or departure and the removal of its announcement from the
        platform.
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
