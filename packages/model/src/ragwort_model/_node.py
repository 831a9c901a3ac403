"""What a node publishes of itself, and the settings that it is started with."""

from dataclasses import dataclass, field

from ragwort_common import FailureDomain, NodeId, Region, ServiceName


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """Where a node is reached, and which service the server beside it provides."""

    node: NodeId
    link_address: str
    service: ServiceName
    failure_domain: FailureDomain
    region: Region


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where a node listens, and whom it calls, each ``host:port``.

    Attributes
    ----------
    link
        Peers' links.
    entry
        Calls of the callers on this host and of its server.
    ready
        Questions whether callers may be sent here.
    control
        The server's reports of itself.
    server
        The server on this host.
    store
        The platform's store.
    """

    link: str
    entry: str
    ready: str
    control: str
    server: str
    store: str


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that the deployment sets.

    Attributes
    ----------
    grace_s
        Time from the signal to stop until the process is killed.
    retry_ratio, retry_extra, retry_window_s
        In any window of this length, a service may get so many arrivals beyond the first of each
        call: this share of its calls and this number, of all nodes together.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 60.0
    retry_window_s: float = 10.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a node is told at its start."""

    node: NodeId
    service: ServiceName
    failure_domain: FailureDomain
    region: Region
    addresses: Addresses
    bounds: Bounds = field(default_factory=Bounds)
