"""Dependencies that all components of a node share."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import Counters, Incarnation, NodeId
from ragwort_policy import first_incarnation
from ragwort_store import CallBudget, ObjectStore

from ragwort_node._settings import Settings

MEMBERSHIP_FRACTION = 0.6
"""Fraction of the ``watching`` byte budgets for membership; the rest is for probes."""


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The settings, clock, random source, counters and platform client of one node."""

    settings: Settings
    node_id: NodeId
    incarnation: Incarnation
    clock: Callable[[], float]
    random: random.Random
    counters: Counters
    store: ObjectStore


def make_context(settings: Settings) -> NodeContext:
    """Return the shared dependencies of a node that starts now."""
    platform = settings.platform
    budget = CallBudget(platform.calls_per_s, 2 * platform.calls_per_s, time.monotonic)
    return NodeContext(
        settings=settings,
        node_id=NodeId(settings.node.id),
        incarnation=first_incarnation(time.time_ns() // 1_000_000),
        clock=time.monotonic,
        random=random.Random(),
        counters=Counters(),
        store=ObjectStore(platform.url, platform.timeout_ms, budget),
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
