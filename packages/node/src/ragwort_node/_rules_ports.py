"""The settings, counts and functions by which the rules' task meets the rest of the node."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from ragwort_common import NodeId, Revision
from ragwort_policy import NOTICE_FANOUT, WATCHERS_PER_DOMAIN, PlacedPeer, Stamp
from ragwort_protocol import RevisionNotice
from ragwort_store import RulesDocument

from ragwort_node._rules_watch import WatchSettings


class ConfigurationEvent(Enum):
    """What is counted."""

    ADOPTED = "adopted"
    REFUSED = "refused"
    MALFORMED = "malformed"
    FORKED = "forked"
    PLATFORM_OLDER = "platform-older"
    WRITTEN_BACK = "written-back"
    FETCHED = "fetched"
    FETCH_FAILED = "fetch-failed"
    NOTICE_SENT = "notice-sent"


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How the rules are spread.

    Attributes
    ----------
    watchers_per_domain
        Nodes of each failure domain that watch the platform.
    notice_fanout
        Peers of the region that a node tells of each new revision.
    notice_repeat_ms
        After how long a node tells as many peers once more, since some that it told may be
        failing without being known to.
    fetch_timeout_ms
        How long a peer may take to send a document, before another one is asked.
    settle_ms
        How long a node that has just started waits for peers to ask, before it brings the first
        rules into force.
    write_back_ms
        How long the platform must show older rules before a watcher writes the newer ones back.
    watch
        How the platform is watched.
    """

    watchers_per_domain: int = WATCHERS_PER_DOMAIN
    notice_fanout: int = NOTICE_FANOUT
    notice_repeat_ms: float = 500
    fetch_timeout_ms: float = 1_500
    settle_ms: float = 500
    write_back_ms: float = 2_000
    watch: WatchSettings = WatchSettings()


@dataclass(frozen=True, slots=True)
class ConfigurationPorts:
    """The functions by which the task reaches the rest of the node.

    Attributes
    ----------
    accept
        Tells whether a document can come into force.
    publish
        Takes in each document that comes into force.
    send_notice
        Sends a notice to a peer; it may be lost.
    fetch_document
        Asks a peer for its stored document of a revision or a later one; None when the peer has
        none or can't be asked.
    list_peers
        Returns the alive peers; this node may be among them or not.
    """

    accept: Callable[[RulesDocument], bool]
    publish: Callable[[RulesDocument], None]
    send_notice: Callable[[NodeId, RevisionNotice], None]
    fetch_document: Callable[[NodeId, Revision], Awaitable[bytes | None]]
    list_peers: Callable[[], Sequence[PlacedPeer]]


@dataclass(frozen=True, slots=True)
class CurrentRules:
    """The document in force, with its stored form for peers that ask."""

    stamp: Stamp
    document: RulesDocument
    data: bytes
