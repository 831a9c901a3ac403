"""Schedules the faults of a run; pure, so that a seed always gives the same schedule."""

import random
from dataclasses import dataclass
from enum import Enum

FIRST_FAULT_S = 2.0
"""Time before the first fault, in which every node serves calls."""

MEAN_INTERVAL_S = 0.7
"""Mean time between the starts of two faults; short enough that two or three faults overlap."""

DURATION_RANGE_S = (0.4, 3.0)
"""Shortest and longest duration of a fault."""


CRASHING_CALLS_S = 20.0
"""How long a request that crashes servers comes again: three crashes, the users' time until the
fleet has to know of it, and some seconds in which it must be refused."""


class Fault(Enum):
    """Kind of fault injected into a process or a connection."""

    NODE_KILL = "node-kill"
    NODE_TERM = "node-term"
    NODE_PAUSE = "node-pause"
    NODE_HUP = "node-hup"
    SERVER_KILL = "server-kill"
    SERVER_LEAVE = "server-leave"
    SERVER_PAUSE = "server-pause"
    SERVER_RESET = "server-reset"
    SERVER_DELAY = "server-delay"
    STORE_PAUSE = "store-pause"
    STORE_RESET = "store-reset"
    STORE_SILENCE = "store-silence"
    STORE_CUT_REPLIES = "store-cut-replies"
    DOMAIN_KILL = "domain-kill"
    CONFIGURE = "configure"
    CRASHING_CALLS = "crashing-calls"


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault with its time, duration and members.

    Attributes
    ----------
    start_s
        Seconds from the start of the run.
    duration_s
        Duration in seconds.
    fault
        Kind of fault.
    member_numbers
        Numbers of the members that it affects.
    """

    start_s: float
    duration_s: float
    fault: Fault
    member_numbers: tuple[int, ...]


def plan_faults(
    seed: int, seconds: float, domains: list[list[int]], faults: list[Fault]
) -> list[ScheduledFault]:
    """Return the fault schedule of a run.

    Parameters
    ----------
    domains
        Numbers of the members of each failure domain.
    faults
        Kinds of faults to choose from.
    """
    rng = random.Random(seed)
    members = [number for domain in domains for number in domain]
    schedule = []
    start_s = FIRST_FAULT_S
    while start_s < seconds:
        fault = rng.choice(faults)
        if fault is Fault.DOMAIN_KILL:
            chosen = tuple(rng.choice(domains))
        else:
            chosen = tuple(rng.sample(members, rng.choice((1, 1, 2))))
        duration_s = rng.uniform(*DURATION_RANGE_S)
        if fault is Fault.CRASHING_CALLS:
            duration_s = CRASHING_CALLS_S
        schedule.append(ScheduledFault(start_s, duration_s, fault, chosen))
        start_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    return schedule
