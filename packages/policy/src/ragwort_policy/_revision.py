"""Decides which revision of the rules is in force on a node, whatever order the news comes in.

The one rule is that the revision in force never falls. Sources are not told apart: the platform
may come back with an older copy, and peers may be slow, so the number alone decides.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ragwort_common import NodeId, Revision
from xxhash import xxh64_intdigest

MAX_REFUSED = 16
MAX_SOURCES = 8
UNKNOWN_DIGEST = 0


class Stamp(NamedTuple):
    """Names one content of one revision."""

    revision: Revision
    digest: int


class Standing(Enum):
    """How a revision that a node hears of stands to the one in force.

    Attributes
    ----------
    NEWER
        It may come into force.
    SAME, OLDER
        There is nothing to do.
    FORKED
        It has the number in force but another content, which breaks an invariant of the
        platform; the content in force stays.
    REFUSED
        It is newer, but its content was found to be broken before.
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
        Newer revisions whose content was broken.
    sources
        Peers that told of a newer revision, in the order in which they first told.
    """

    in_force: Stamp = Stamp(Revision(0), UNKNOWN_DIGEST)
    refused: set[Stamp] = field(default_factory=set)
    sources: dict[NodeId, Stamp] = field(default_factory=dict)


def digest_document(data: bytes) -> int:
    """Return the digest of a stored rules document."""
    return xxh64_intdigest(data)


def judge_revision(state: RevisionState, stamp: Stamp) -> Standing:
    """Return how a revision stands to the one in force."""
    if stamp.revision < state.in_force.revision:
        return Standing.OLDER
    if stamp.revision > state.in_force.revision:
        return Standing.REFUSED if _is_refused(state, stamp) else Standing.NEWER
    if stamp.digest in (state.in_force.digest, UNKNOWN_DIGEST):
        return Standing.SAME
    return Standing.FORKED


def adopt_revision(state: RevisionState, stamp: Stamp) -> None:
    """Bring a newer revision into force."""
    assert stamp.revision > state.in_force.revision, "the revision in force would fall"
    state.in_force = stamp
    state.refused = {other for other in state.refused if other.revision > stamp.revision}
    _drop_sources(state)


def refuse_revision(state: RevisionState, stamp: Stamp) -> None:
    """Remember that a newer revision is broken, so that it is not fetched again."""
    state.refused.add(stamp)
    if len(state.refused) > MAX_REFUSED:
        state.refused.remove(min(state.refused))
    _drop_sources(state)


def note_source(state: RevisionState, peer: NodeId, stamp: Stamp) -> Standing:
    """Take in that a peer has a revision, and keep the peer as a source if it is newer.

    Gossip names no digest; ``UNKNOWN_DIGEST`` stands for it.
    """
    standing = judge_revision(state, stamp)
    if standing is not Standing.NEWER:
        return standing
    known = state.sources.get(peer)
    if known is None and len(state.sources) >= MAX_SOURCES:
        lowest = min(state.sources, key=lambda source: state.sources[source].revision)
        if state.sources[lowest].revision >= stamp.revision:
            return standing
        del state.sources[lowest]
    if known is None or known.revision <= stamp.revision:
        state.sources[peer] = stamp
    return standing


def drop_source(state: RevisionState, peer: NodeId) -> None:
    """Forget a peer that could not be asked; its next notice or gossip brings it back."""
    state.sources.pop(peer, None)


def choose_source(state: RevisionState) -> tuple[NodeId, Stamp] | None:
    """Return the peer to fetch from: one with the highest revision, the first that told."""
    if not state.sources:
        return None
    peer = max(state.sources, key=lambda source: state.sources[source].revision)
    return peer, state.sources[peer]


def _is_refused(state: RevisionState, stamp: Stamp) -> bool:
    if stamp.digest != UNKNOWN_DIGEST:
        return stamp in state.refused
    return any(other.revision == stamp.revision for other in state.refused)


def _drop_sources(state: RevisionState) -> None:
    state.sources = {
        peer: stamp
        for peer, stamp in state.sources.items()
        if judge_revision(state, stamp) is Standing.NEWER
    }
