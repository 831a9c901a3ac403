"""A weighted fair queue of calls, with one flow per member.

Implements start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM
1996). Tags are assigned when a call leaves the queue, so that a cancelled call isn't charged to
its member.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ragwort_common import Member

Call = TypeVar("Call")


@dataclass(slots=True)
class Flow(Generic[Call]):
    """The waiting calls of one member, oldest first, its weight and its finish tag."""

    share: int
    finish_tag: float
    calls: dict[int, Call] = field(default_factory=dict)


@dataclass(slots=True)
class FairQueue(Generic[Call]):
    """The waiting calls of all members, and the virtual time."""

    flows: dict[Member, Flow[Call]] = field(default_factory=dict)
    virtual_time: float = 0.0
    size: int = 0


def add_waiting(
    queue: FairQueue[Call], member: Member, share: int, call_id: int, call: Call
) -> None:
    """Append a call to its member's flow."""
    flow = queue.flows.get(member)
    if flow is None:
        flow = queue.flows[member] = Flow(share, queue.virtual_time)
    flow.share = max(1, share)
    flow.calls[call_id] = call
    queue.size += 1


def remove_waiting(queue: FairQueue[Call], member: Member, call_id: int) -> Call | None:
    """Remove and return a call, or None if it isn't waiting."""
    flow = queue.flows.get(member)
    call = flow.calls.pop(call_id, None) if flow else None
    if call is not None:
        queue.size -= 1
        _remove_idle_flows(queue)
    return call


def pop_waiting(queue: FairQueue[Call]) -> Call | None:
    """Remove and return the oldest call of the member furthest behind its share, if any."""
    flow = min(
        (flow for flow in queue.flows.values() if flow.calls),
        key=lambda flow: flow.finish_tag,
        default=None,
    )
    if flow is None:
        return None
    call = flow.calls.pop(next(iter(flow.calls)))
    queue.size -= 1
    queue.virtual_time = max(queue.virtual_time, flow.finish_tag)
    flow.finish_tag = queue.virtual_time + 1.0 / flow.share
    _remove_idle_flows(queue)
    return call


def list_waiting(queue: FairQueue[Call]) -> Iterator[Call]:
    """Yield all waiting calls, member by member."""
    for flow in queue.flows.values():
        yield from flow.calls.values()


def count_ahead(queue: FairQueue[Call], member: Member, share: int) -> float:
    """Return the estimated number of calls that would start before a new call of this member.

    While the calls of this member are served, each other member starts calls in proportion to
    its share, up to the number it has waiting.
    """
    own = queue.flows.get(member)
    own_calls = len(own.calls) if own else 0
    rounds = (own_calls + 1) / max(1, share)
    ahead = float(own_calls)
    for name, flow in queue.flows.items():
        if name != member and flow.calls:
            ahead += min(len(flow.calls), rounds * flow.share)
    return ahead


def _remove_idle_flows(queue: FairQueue[Call]) -> None:
    # An idle flow whose tag is not ahead of the virtual time is equivalent to a new one.
    if queue.size == 0:
        queue.flows.clear()
        queue.virtual_time = 0.0
        return
    idle = [
        member
        for member, flow in queue.flows.items()
        if not flow.calls and flow.finish_tag <= queue.virtual_time
    ]
    for member in idle:
        del queue.flows[member]
