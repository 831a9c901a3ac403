"""The operators' configuration: how the calls of each host and path are treated."""

from dataclasses import dataclass, field
from typing import NewType

from ragwort_common import ServiceName

RouteName = NewType("RouteName", str)
"""Name of a route, unique in a configuration."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Number of a configuration; a higher one replaces a lower one."""


@dataclass(frozen=True, slots=True)
class Part:
    """A service that gets a share of a route's calls, by its weight among the others'."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How calls to one host, below one path, are treated.

    Attributes
    ----------
    host, prefix
        Host field and start of the path of the calls; the prefix ends with a slash.
    parts
        Services that run the calls; one alone unless the route is split.
    idempotent
        True when a call may be run twice without harm.
    max_servers
        Most servers to which one call may be sent.
    timeout_ms
        Longest time until the final answer, in milliseconds.
    objective_ms
        Time within which an answer is worth most, in milliseconds.
    rank
        Urgency; 0 is the highest.
    """

    name: RouteName
    host: str
    prefix: str
    parts: tuple[Part, ...]
    idempotent: bool
    max_servers: int
    timeout_ms: float
    objective_ms: float
    rank: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration in full.

    ``health_paths`` are the targets at which the servers of each service tell whether they are
    well.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    health_paths: dict[ServiceName, str] = field(default_factory=dict)
