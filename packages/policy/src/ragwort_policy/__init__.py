"""The decisions of the load balancer, as pure code."""

from ragwort_policy._revision import (
    UNKNOWN_DIGEST,
    RevisionState,
    Stamp,
    Standing,
    adopt_revision,
    choose_source,
    digest_document,
    drop_source,
    judge_revision,
    note_source,
    refuse_revision,
)
from ragwort_policy._watchers import (
    NOTICE_FANOUT,
    WATCHERS_PER_DOMAIN,
    PlacedPeer,
    choose_notice_targets,
    choose_watchers,
    is_watcher,
)

__all__ = [
    "NOTICE_FANOUT",
    "UNKNOWN_DIGEST",
    "WATCHERS_PER_DOMAIN",
    "PlacedPeer",
    "RevisionState",
    "Stamp",
    "Standing",
    "adopt_revision",
    "choose_notice_targets",
    "choose_source",
    "choose_watchers",
    "digest_document",
    "drop_source",
    "is_watcher",
    "judge_revision",
    "note_source",
    "refuse_revision",
]
