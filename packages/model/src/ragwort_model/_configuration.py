"""The operators' configuration: routes and the limits on callers."""

from dataclasses import dataclass, field
from typing import NewType

from ragwort_common import ServiceName

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

    ``health_paths`` maps each service to the request target of its servers' health check.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    health_paths: dict[ServiceName, str] = field(default_factory=dict)
