"""Crashes of servers, as the gates beside them see them."""

from dataclasses import dataclass

from ragwort_common import NodeId, RequestFingerprint

from ragwort_model._instance import InstanceId


@dataclass(frozen=True, slots=True)
class CrashId:
    """Identifies a crash: the node beside the server, and the node's time of day.

    A server may come back under its id, so the id does not tell two of its crashes apart.
    """

    node: NodeId
    at_ms: int


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a server, and the requests that it was running, each of which may be the cause."""

    crash_id: CrashId
    instance: InstanceId
    requests: frozenset[RequestFingerprint]
