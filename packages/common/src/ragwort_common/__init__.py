"""Identifiers, call outcomes and counters shared by all packages."""

from ragwort_common._counters import MAX_TIMINGS, Counters
from ragwort_common._ids import (
    CallId,
    CustomerName,
    Epoch,
    FailureDomain,
    Incarnation,
    KeyDigest,
    Member,
    NodeId,
    Region,
    RequestFingerprint,
    Revision,
    ServiceName,
)
from ragwort_common._outcome import Outcome, Reason

__all__ = [
    "CallId",
    "Counters",
    "CustomerName",
    "Epoch",
    "FailureDomain",
    "Incarnation",
    "KeyDigest",
    "MAX_TIMINGS",
    "Member",
    "NodeId",
    "Outcome",
    "Reason",
    "Region",
    "RequestFingerprint",
    "Revision",
    "ServiceName",
]
