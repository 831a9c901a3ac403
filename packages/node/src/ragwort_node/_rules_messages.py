"""The messages that the task that owns the rules takes in."""

from dataclasses import dataclass

from ragwort_common import NodeId
from ragwort_policy import Stamp


@dataclass(frozen=True, slots=True)
class PlatformRead:
    """What the platform holds as the current rules.

    ``data`` is None and ``version`` zero when it holds none.
    """

    data: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RevisionHeard:
    """A peer told that it has a revision in force."""

    peer: NodeId
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class FetchEnded:
    """A peer sent its document, or couldn't."""

    peer: NodeId
    data: bytes | None


@dataclass(frozen=True, slots=True)
class PeersAsked:
    """A few peers were asked for newer rules than the first ones."""

    newer: list[bytes]


@dataclass(frozen=True, slots=True)
class RepeatDue:
    """It is time to tell peers again of a revision."""

    stamp: Stamp


RulesMessage = RevisionHeard | FetchEnded | PeersAsked | RepeatDue | PlatformRead
