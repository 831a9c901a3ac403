"""Decides which revision of the rules is in force on a node, independently of message order.

The invariant is that the number of the revision in force never decreases. All sources are treated
alike: the platform may be restored from an older copy, and peers may lag behind, so the number
alone decides.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ragwort_common import NodeId, Revision
from xxhash import xxh64_intdigest

MAX_REFUSED = 16
MAX_SOURCES = 8
UNKNOWN_DIGEST = 0


class RevisionId(NamedTuple):
    """Identifies the content of a revision."""

    revision: Revision
    digest: int


class RevisionStatus(Enum):
    """The relation of a revision to the one in force.

    Attributes
    ----------
    NEWER
        It may come into force.
    SAME, OLDER
        There is nothing to do.
    FORKED
        It has the number in force but different content, which violates an invariant of the
        platform; the content in force is kept.
    REFUSED
        It is newer, but its content was found invalid before.
    """

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"
    REFUSED = "refused"


@dataclass(slots=True)
class RevisionState:
    """The revision in force on a node, and which peers have a newer one.

    Attributes
    ----------
    in_force
        The revision in force; its number is zero while there is none.
    refused
        Newer revisions whose content is invalid.
    sources
        Peers that have reported a newer revision, in the order of their first reports.
    """

    in_force: RevisionId = RevisionId(Revision(0), UNKNOWN_DIGEST)
    refused: set[RevisionId] = field(default_factory=set)
    sources: dict[NodeId, RevisionId] = field(default_factory=dict)


def digest_document(data: bytes) -> int:
    """Return the digest of a stored rules document."""
    return xxh64_intdigest(data)


def compare_revision(state: RevisionState, revision_id: RevisionId) -> RevisionStatus:
    """Return the relation of a revision to the one in force."""
    if revision_id.revision < state.in_force.revision:
        return RevisionStatus.OLDER
    if revision_id.revision > state.in_force.revision:
        return RevisionStatus.REFUSED if _is_refused(state, revision_id) else RevisionStatus.NEWER
    if revision_id.digest in (state.in_force.digest, UNKNOWN_DIGEST):
        return RevisionStatus.SAME
    return RevisionStatus.FORKED


def adopt_revision(state: RevisionState, revision_id: RevisionId) -> None:
    """Bring a newer revision into force."""
    assert revision_id.revision > state.in_force.revision, "the revision in force would decrease"
    state.in_force = revision_id
    state.refused = {other for other in state.refused if other.revision > revision_id.revision}
    _remove_outdated_sources(state)


def refuse_revision(state: RevisionState, revision_id: RevisionId) -> None:
    """Record that a newer revision is invalid, so that it is not fetched again."""
    state.refused.add(revision_id)
    if len(state.refused) > MAX_REFUSED:
        state.refused.remove(min(state.refused))
    _remove_outdated_sources(state)


def record_source(state: RevisionState, peer: NodeId, revision_id: RevisionId) -> RevisionStatus:
    """Compare a revision that a peer has, and record the peer as a source if it is newer.

    Gossip does not carry the digest; ``UNKNOWN_DIGEST`` is used instead.
    """
    status = compare_revision(state, revision_id)
    if status is not RevisionStatus.NEWER:
        return status
    known = state.sources.get(peer)
    if known is None and len(state.sources) >= MAX_SOURCES:
        lowest = min(state.sources, key=lambda source: state.sources[source].revision)
        if state.sources[lowest].revision >= revision_id.revision:
            return status
        del state.sources[lowest]
    if known is None or known.revision <= revision_id.revision:
        state.sources[peer] = revision_id
    return status


def drop_source(state: RevisionState, peer: NodeId) -> None:
    """Remove a source that could not be reached; its next notice or gossip adds it again."""
    state.sources.pop(peer, None)


def choose_source(state: RevisionState) -> tuple[NodeId, RevisionId] | None:
    """Return the peer to fetch from: the first that reported the highest revision."""
    if not state.sources:
        return None
    peer = max(state.sources, key=lambda source: state.sources[source].revision)
    return peer, state.sources[peer]


def _is_refused(state: RevisionState, revision_id: RevisionId) -> bool:
    if revision_id.digest != UNKNOWN_DIGEST:
        return revision_id in state.refused
    return any(other.revision == revision_id.revision for other in state.refused)


def _remove_outdated_sources(state: RevisionState) -> None:
    state.sources = {
        peer: revision_id
        for peer, revision_id in state.sources.items()
        if compare_revision(state, revision_id) is RevisionStatus.NEWER
    }
