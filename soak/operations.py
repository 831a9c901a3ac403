"""Schedules what the operator does in an extended run, and does it.

One failure domain at a time is evacuated, so that calls can be served.

It has a random source of its own, so that a seed gives the same faults with and without it.
"""

import asyncio
import random
import time
from dataclasses import dataclass
from enum import Enum

from soak.customers import CUSTOMERS
from soak.faults import pause_store
from soak.fleet import Evacuation, Fleet

EVACUATIONS_KIND = "evacuations"
FIRST_OPERATION_S = 1.0
MEAN_INTERVAL_S = 2.5
"""Mean time between two operations."""

STORE_PAUSE_S = 1.2
"""How long the store is paused when it is paused for an operation; a fault may pause it longer."""

PAUSE_LEAD_S = 0.2
"""Time between the pause of the store and the operation."""

EVACUATION_RANGE_S = (6.0, 9.0)
"""Shortest and longest evacuation; both longer than the time within which it must take effect."""

EVACUATION_PAUSE_S = 5.0
"""Least time between two evacuations; the store may be paused when the first one is to end."""


class Operation(Enum):
    """What the operator does."""

    REMOVE_KEY = "remove-key"
    EVACUATE = "evacuate"


@dataclass(frozen=True, slots=True)
class ScheduledOperation:
    """An operation with its time, its subject, and whether the store is paused meanwhile.

    Attributes
    ----------
    start_s
        Seconds from the start of the run.
    duration_s
        Time until the operator undoes it, in seconds; 0 if it is not undone.
    subject
        Customer whose key is removed, or failure domain that is evacuated.
    pauses_store
        Whether the store is paused before the operation.
    """

    start_s: float
    duration_s: float
    operation: Operation
    subject: str
    pauses_store: bool


def plan_operations(seed: int, seconds: float, domains: list[str]) -> list[ScheduledOperation]:
    """Return the operations of a run on the given failure domains."""
    rng = random.Random(f"operator-{seed}")
    schedule = []
    start_s = FIRST_OPERATION_S
    evacuated_until = 0.0
    while start_s < seconds:
        operation, subject, duration_s = Operation.REMOVE_KEY, rng.choice(CUSTOMERS), 0.0
        if start_s >= evacuated_until and rng.random() < 0.5:
            operation, subject = Operation.EVACUATE, rng.choice(domains)
            duration_s = rng.uniform(*EVACUATION_RANGE_S)
            evacuated_until = start_s + duration_s + EVACUATION_PAUSE_S
        pauses_store = rng.random() < 0.5
        schedule.append(ScheduledOperation(start_s, duration_s, operation, subject, pauses_store))
        start_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    return schedule


async def run_operations(
    fleet: Fleet, schedule: list[ScheduledOperation], started_at: float
) -> None:
    """Do every operation at its time, and return once all are done."""
    async with asyncio.TaskGroup() as group:
        for scheduled in schedule:
            await asyncio.sleep(max(0.0, started_at + scheduled.start_s - time.time()))
            if scheduled.pauses_store:
                group.create_task(pause_store(fleet, STORE_PAUSE_S))
                await asyncio.sleep(PAUSE_LEAD_S)
            group.create_task(_OPERATIONS[scheduled.operation](fleet, scheduled))


async def _remove_key(fleet: Fleet, scheduled: ScheduledOperation) -> None:
    assert fleet.keys is not None, "only extended runs have operations"
    fleet.keys.replace_key(scheduled.subject, time.time())
    await fleet.configure()


async def _evacuate(fleet: Fleet, scheduled: ScheduledOperation) -> None:
    started_at = time.time()
    body = {"metadata": {"name": scheduled.subject}, "spec": {}}
    # An earlier attempt, of which the reply was lost, may have written or removed the object.
    await fleet.write("POST", EVACUATIONS_KIND, body, (409,))
    evacuation = Evacuation(scheduled.subject, time.time())
    fleet.evacuations.append(evacuation)
    await asyncio.sleep(max(0.0, started_at + scheduled.duration_s - time.time()))
    evacuation.removal_sent_at = time.time()
    await fleet.write("DELETE", f"{EVACUATIONS_KIND}/{scheduled.subject}", None, (404,))


_OPERATIONS = {Operation.REMOVE_KEY: _remove_key, Operation.EVACUATE: _evacuate}
