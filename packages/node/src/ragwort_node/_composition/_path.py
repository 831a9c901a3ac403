"""Builds the request path: the gate, the links, server selection and call dispatch."""

from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import FailureDomain, NodeId, Region
from ragwort_policy import ChoiceSettings, EpochFence, GateLimits, make_probe_budget
from ragwort_protocol import Hello, Probe
from ragwort_transport import PeerCalls, Receiver

from ragwort_node._caller import Caller
from ragwort_node._composition._shared import MEMBERSHIP_SHARE, Shared
from ragwort_node._gate import Gate
from ragwort_node._pool import LinkPool, Resolve
from ragwort_node._prober import Prober
from ragwort_node._server import ServerClient
from ragwort_node._services import Services
from ragwort_node._tracing import Tracer


@dataclass(frozen=True, slots=True)
class PathParts:
    """The components that a call passes through."""

    server: ServerClient
    tracer: Tracer
    fence: EpochFence
    gate: Gate
    pool: LinkPool
    services: Services
    prober: Prober
    caller: Caller


def build_path(
    shared: Shared, resolve: Resolve, receive_other: Receiver, lost: Callable[[NodeId], None]
) -> PathParts:
    """Return the components that a call passes through.

    Parameters
    ----------
    resolve
        Returns a peer's link address.
    receive_other
        Receives messages from peers other than calls.
    lost
        Called with each peer whose link broke or could not be opened.
    """
    settings, counters = shared.settings, shared.counters
    limits = settings.limits
    server = ServerClient(settings.server.address, settings.server.connections, limits.answer_bytes)
    tracer = Tracer(settings.tracing.sample_ratio, shared.random, counters)
    fence = EpochFence()
    bounds = settings.server
    gate_limits = GateLimits(
        slots=bounds.slots, queue_wait_ms=bounds.queue_wait_ms, warm_ms=bounds.warm_ms
    )
    gate = Gate(server, gate_limits, counters, shared.clock, tracer, fence)
    peer_calls = PeerCalls(gate.run_call, counters, receive_other)
    pool = LinkPool(
        Hello(shared.node_id, shared.incarnation),
        resolve,
        peer_calls.receive,
        counters,
        limits.connect_timeout_ms,
        lost,
        peer_calls.drop_link,
    )
    node = settings.node
    services = Services(FailureDomain(node.failure_domain), Region(node.region), ChoiceSettings())
    prober = _build_prober(shared, gate, pool, services)
    caller = Caller(
        shared.node_id,
        gate,
        pool,
        services,
        prober,
        counters,
        shared.clock,
        shared.random,
    )
    return PathParts(server, tracer, fence, gate, pool, services, prober, caller)


def _build_prober(shared: Shared, gate: Gate, pool: LinkPool, services: Services) -> Prober:
    def send_probe(node: NodeId, probe: Probe) -> int:
        if node != shared.node_id:
            return pool.send(node, probe)
        services.take_report(node, gate.make_report(), shared.clock())
        return 0

    watching = shared.settings.watching
    now = shared.clock()
    share = 1 - MEMBERSHIP_SHARE
    return Prober(
        services,
        send_probe,
        make_probe_budget(share * watching.node_bytes_per_s, now),
        make_probe_budget(share * watching.region_bytes_per_s, now),
        shared.counters,
        shared.clock,
    )
