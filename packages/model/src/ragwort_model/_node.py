"""The record that a node publishes, and the settings that it starts with."""

from dataclasses import dataclass, field

from ragwort_common import FailureDomain, NodeId, Region, ServiceName


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node's address and location, and the service that its local server provides."""

    node: NodeId
    link_address: str
    service: ServiceName
    failure_domain: FailureDomain
    region: Region


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that a node listens on or connects to, each ``host:port``.

    Attributes
    ----------
    link
        Listens for links from peers.
    entry
        Listens for calls from callers and the server on this host.
    ready
        Listens for readiness checks, which tell whether to route callers here.
    control
        Listens for the local server's reports.
    server
        Address of the local server.
    store
        Address of the platform's store.
    """

    link: str
    entry: str
    ready: str
    control: str
    server: str
    store: str


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits set by the deployment.

    Attributes
    ----------
    grace_s
        Time from the termination signal until the process is killed, in seconds.
    retry_ratio, retry_extra, retry_window_s
        Limit on extra attempts (retries and hedges) per service, over all nodes: in any window of
        ``retry_window_s`` seconds, at most ``retry_ratio`` of its calls plus ``retry_extra``.
    settle_s
        Time after the end of a disruption from which the bounds on delays hold again, in seconds.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 60.0
    retry_window_s: float = 10.0
    settle_s: float = 4.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that a node starts with."""

    node: NodeId
    service: ServiceName
    failure_domain: FailureDomain
    region: Region
    addresses: Addresses
    bounds: Bounds = field(default_factory=Bounds)
