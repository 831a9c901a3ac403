"""The record that a node publishes, and the settings that it starts with."""

from dataclasses import dataclass, field
from ipaddress import AddressValueError, IPv4Address

from ragwort_common import FailureDomain, NodeId, Region, ServiceName

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port, ``host:port``.

    Names are not looked up, since that would block.
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    return is_number and 1 <= int(port) <= MAX_PORT


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
    evacuation_s
        Time within which evacuating a failure domain takes effect, in seconds; None if the
        deployment evacuates none.
    cold_excess, cold_slack
        Most calls that a cold server may get in any second: ``cold_excess`` times its rate plus
        ``cold_slack``.
    limit_window_s, limit_excess, limit_slack
        Most calls of a customer that may run in any window of ``limit_window_s`` seconds, over all
        nodes: what its limit allows times one plus ``limit_excess``, plus ``limit_slack``.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 60.0
    retry_window_s: float = 10.0
    settle_s: float = 4.0
    evacuation_s: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 1.0
    limit_window_s: float = 5.0
    limit_excess: float = 0.0
    limit_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that a node starts with."""

    node: NodeId
    service: ServiceName
    failure_domain: FailureDomain
    region: Region
    addresses: Addresses
    bounds: Bounds = field(default_factory=Bounds)
