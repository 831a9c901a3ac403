"""The messages to the task that owns the rules in force."""

from dataclasses import dataclass

from ragwort_common import NodeId
from ragwort_policy import RevisionId


@dataclass(frozen=True, slots=True)
class PlatformRead:
    """The rules document was read from the platform.

    ``data`` is None and ``version`` is zero when the platform has none.
    """

    data: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RevisionReported:
    """A peer reported that it has a revision in force."""

    peer: NodeId
    revision_id: RevisionId


@dataclass(frozen=True, slots=True)
class FetchEnded:
    """A fetch from a peer ended; ``data`` is None if it failed."""

    peer: NodeId
    data: bytes | None


@dataclass(frozen=True, slots=True)
class PeersAsked:
    """Peers were asked for newer rules than the first ones that this node has found."""

    newer: list[bytes]


@dataclass(frozen=True, slots=True)
class RepeatDue:
    """The notices of a revision are due to be sent again."""

    revision_id: RevisionId


RulesMessage = RevisionReported | FetchEnded | PeersAsked | RepeatDue | PlatformRead
