"""Schedules what the operator does in an extended run, and does it.

It has a random source of its own, so that a seed gives the same faults with and without it.
"""

import asyncio
import random
import time
from dataclasses import dataclass
from enum import Enum

from soak.customers import CUSTOMERS
from soak.faults import pause_store
from soak.fleet import Fleet

FIRST_OPERATION_S = 1.0
MEAN_INTERVAL_S = 2.5
"""Mean time between two operations."""

STORE_PAUSE_S = 1.2
"""How long the store is paused when it is paused for an operation; a fault may pause it longer."""

PAUSE_LEAD_S = 0.2
"""Time between the pause of the store and the operation."""


class Operation(Enum):
    """What the operator does."""

    REMOVE_KEY = "remove-key"


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
        Customer whose key is removed.
    """

    start_s: float
    duration_s: float
    operation: Operation
    subject: str
    pauses_store: bool


def plan_operations(seed: int, seconds: float) -> list[ScheduledOperation]:
    """Return the operations of a run."""
    rng = random.Random(f"operator-{seed}")
    schedule = []
    start_s = FIRST_OPERATION_S
    while start_s < seconds:
        customer, pauses_store = rng.choice(CUSTOMERS), rng.random() < 0.5
        schedule.append(
            ScheduledOperation(start_s, 0.0, Operation.REMOVE_KEY, customer, pauses_store)
        )
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


_OPERATIONS = {Operation.REMOVE_KEY: _remove_key}
