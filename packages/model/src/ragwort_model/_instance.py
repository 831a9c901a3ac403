"""Messages that a server sends to the node on its host."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from ragwort_common import ServiceName

InstanceId = NewType("InstanceId", str)
"""Name of a server instance; most restarts assign a new one."""


class InstanceState(Enum):
    """Whether a server accepts new calls."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A server's periodic report of its state.

    Attributes
    ----------
    instance
        Name of the server instance.
    born_ms
        Start time in Unix milliseconds by the server's own clock; 0 if not given.
    sequence
        Number that increases with each report since the start.
    service, address
        Service that it provides, and its listening address.
    state
        Whether it accepts new calls.
    slots
        Maximum number of calls that it runs concurrently.
    cold_ms
        Remaining duration of the slow phase after its start, in milliseconds; None if not given.
    """

    instance: InstanceId
    born_ms: int
    sequence: int
    service: ServiceName
    address: str
    state: InstanceState
    slots: int
    cold_ms: float | None


@dataclass(frozen=True, slots=True)
class Departure:
    """A server's notice that it stops serving for good; ``born_ms`` is 0 if not given."""

    instance: InstanceId
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class Leaving:
    """A server's announcement that it leaves, which outlasts the process that acknowledged it.

    Attributes
    ----------
    instance
        Name of the server instance.
    born_ms
        Latest start that has been announced to leave, in Unix milliseconds.
    at_ms
        When it was announced, in Unix milliseconds by the clock of the node's host.
    has_left
        Whether the server has said goodbye, so that even its reports of draining are late ones.
    """

    instance: InstanceId
    born_ms: int
    at_ms: int
    has_left: bool
