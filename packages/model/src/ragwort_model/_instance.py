"""What a server says of itself to the node beside it."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from ragwort_common import ServiceName

InstanceId = NewType("InstanceId", str)
"""Name of a started server; most starts bring a new one."""


class InstanceState(Enum):
    """Whether a server takes new calls."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A server's report of itself.

    Attributes
    ----------
    instance
        The server's name.
    born_ms
        When it started, in Unix milliseconds by its own clock; 0 when it does not say.
    sequence
        Grows with each report of one start.
    service, address
        What it serves, and where it listens.
    state
        Whether it takes new calls.
    slots
        Calls that it runs at once.
    cold_ms
        How much longer it stays slow after its start, in milliseconds.
    """

    instance: InstanceId
    born_ms: int
    sequence: int
    service: ServiceName
    address: str
    state: InstanceState
    slots: int
    cold_ms: float


@dataclass(frozen=True, slots=True)
class Departure:
    """A server's notice that it leaves for good; ``born_ms`` is 0 when it does not say."""

    instance: InstanceId
    born_ms: int = 0
