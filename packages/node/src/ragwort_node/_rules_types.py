"""Settings, counted events and callbacks of the task that owns the rules in force."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from ragwort_common import NodeId, Revision
from ragwort_policy import NOTICE_FANOUT, WATCHERS_PER_DOMAIN, PlacedPeer, RevisionId
from ragwort_protocol import RevisionNotice
from ragwort_store import RulesDocument

from ragwort_node._rules_watch import WatchSettings


class ConfigurationEvent(Enum):
    """Events that the task counts."""

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
    """Settings for the distribution of rules.

    Attributes
    ----------
    watchers_per_domain
        Number of nodes in each failure domain that watch the platform.
    notice_fanout
        Number of peers in the region that a node notifies of each new revision.
    notice_repeat_ms
        Delay after which a node notifies the same number of peers once more, since some of the
        first ones may have failed without being detected yet.
    fetch_timeout_ms
        Timeout of a fetch from a peer, after which another peer is asked.
    settle_ms
        How long a node that has just started waits for the platform's list of peers, which it asks
        for newer rules before it brings the first rules into force. The list is read at the start,
        so only an outage of the platform takes up this time.
    write_back_ms
        How long the platform must have older rules before a watcher writes the newer ones back.
    watch
        Settings for watching the platform.
    """

    watchers_per_domain: int = WATCHERS_PER_DOMAIN
    notice_fanout: int = NOTICE_FANOUT
    notice_repeat_ms: float = 500
    fetch_timeout_ms: float = 1_500
    settle_ms: float = 5_000
    write_back_ms: float = 2_000
    watch: WatchSettings = WatchSettings()


@dataclass(frozen=True, slots=True)
class ConfigurationCallbacks:
    """Callbacks to the rest of the node.

    Attributes
    ----------
    accept
        Returns whether a document is valid and can come into force.
    publish
        Called with each document that comes into force.
    send_notice
        Sends a notice to a peer, without guarantee of delivery.
    fetch_document
        Fetches a peer's stored document of at least a revision; None when the peer has none or
        is unreachable.
    list_peers
        Returns the alive peers, with or without this node.
    has_peer_list
        Returns whether the platform's list of peers has been read since the start.
    """

    accept: Callable[[RulesDocument], bool]
    publish: Callable[[RulesDocument], None]
    send_notice: Callable[[NodeId, RevisionNotice], None]
    fetch_document: Callable[[NodeId, Revision], Awaitable[bytes | None]]
    list_peers: Callable[[], Sequence[PlacedPeer]]
    has_peer_list: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class CurrentRules:
    """The document in force, with its encoded form, which is served to peers."""

    revision_id: RevisionId
    document: RulesDocument
    data: bytes
