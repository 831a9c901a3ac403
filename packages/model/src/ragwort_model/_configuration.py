"""The operators' configuration: routes and the limits on callers."""

from dataclasses import dataclass, field
from typing import NewType

from ragwort_common import CustomerName, KeyDigest, Region, ServiceName

RouteName = NewType("RouteName", str)
"""Name of a route, unique within a configuration."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Version number of a configuration; a higher one supersedes a lower one."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's calls in proportion to its weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How calls to one host and path prefix are handled.

    Attributes
    ----------
    host, prefix
        Host header and path prefix of the calls; the prefix ends with a slash.
    parts
        Services that handle the calls; more than one if traffic is split between them.
    idempotent
        Whether a call may safely be run more than once.
    max_servers
        Maximum number of servers to which one call may be sent.
    timeout_ms
        Maximum time until the final response, in milliseconds.
    objective_ms
        Latency objective: responses within this time have the highest value, in milliseconds.
    rank
        Priority; 0 is the highest.
    allowed_regions
        Regions whose servers may run the calls; empty if all may.
    needs_key
        Whether callers need a customer's key, in a deployment that has customers.
    """

    name: RouteName
    host: str
    prefix: str
    parts: tuple[WeightedService, ...]
    idempotent: bool
    max_servers: int
    timeout_ms: float
    objective_ms: float
    rank: int
    allowed_regions: frozenset[Region] = frozenset()
    needs_key: bool = True


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How long a service's servers are cold after their start, and the rate they take meanwhile."""

    duration_s: float
    calls_per_s: float


@dataclass(frozen=True, slots=True)
class Customer:
    """A firm whose callers hold keys.

    Attributes
    ----------
    rank
        Priority, which goes before that of the route; 0 is the highest, None if not set.
    calls_per_s, burst
        Limit on the customer's calls over all nodes: rate and size of the token bucket. None and 0
        without a limit.
    allowed_regions
        Regions whose servers may run the calls; empty if all may.
    """

    name: CustomerName
    rank: int | None = None
    calls_per_s: float | None = None
    burst: float = 0.0
    allowed_regions: frozenset[Region] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits on callers' connections."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete accepted configuration.

    Attributes
    ----------
    health_paths
        Request target of the servers' health check, by service.
    cold_starts
        Cold starts by service, for services whose servers have a limited rate while cold.
    customers, customer_by_key
        The customers by name, and the holder of each key; empty if callers need no keys.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    health_paths: dict[ServiceName, str] = field(default_factory=dict)
    cold_starts: dict[ServiceName, ColdStart] = field(default_factory=dict)
    customers: dict[CustomerName, Customer] = field(default_factory=dict)
    customer_by_key: dict[KeyDigest, CustomerName] = field(default_factory=dict)
