"""Builds the request path: the gate, the links, server selection and call dispatch."""

from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import FailureDomain, NodeId, Region
from ragwort_policy import ChoiceSettings, EpochFence, GateLimits, make_probe_budget
from ragwort_protocol import Hello, Probe
from ragwort_transport import PeerCalls, Receiver

from ragwort_node._call_dispatcher import CallDispatcher
from ragwort_node._composition._context import MEMBERSHIP_FRACTION, NodeContext
from ragwort_node._gate import Gate
from ragwort_node._pool import LinkPool, Resolve
from ragwort_node._prober import Prober
from ragwort_node._server import ServerClient
from ragwort_node._services import Services
from ragwort_node._tracing import Tracer


@dataclass(frozen=True, slots=True)
class RequestPathComponents:
    """The components that a call passes through."""

    server: ServerClient
    tracer: Tracer
    fence: EpochFence
    gate: Gate
    pool: LinkPool
    services: Services
    prober: Prober
    dispatcher: CallDispatcher
    peer_calls: PeerCalls


def build_request_path(
    context: NodeContext,
    resolve: Resolve,
    receive_message: Receiver,
    on_link_lost: Callable[[NodeId], None],
) -> RequestPathComponents:
    """Return the components that a call passes through.

    Parameters
    ----------
    resolve
        Returns a peer's link address.
    receive_message
        Receives messages from peers other than calls.
    on_link_lost
        Called with each peer whose link broke or could not be opened.
    """
    settings, counters = context.settings, context.counters
    limits = settings.limits
    server = ServerClient(settings.server.address, settings.server.connections, limits.answer_bytes)
    tracer = Tracer(settings.tracing.sample_ratio, context.random, counters)
    fence = EpochFence()
    bounds = settings.server
    gate_limits = GateLimits(
        slots=bounds.slots, queue_wait_ms=bounds.queue_wait_ms, warm_ms=bounds.warm_ms
    )
    gate = Gate(server, gate_limits, counters, context.clock, tracer, fence)
    peer_calls = PeerCalls(gate.run_call, counters, receive_message)
    pool = LinkPool(
        Hello(context.node_id, context.incarnation),
        resolve,
        peer_calls.receive,
        counters,
        limits.connect_timeout_ms,
        on_link_lost,
        peer_calls.drop_link,
    )
    node = settings.node
    services = Services(FailureDomain(node.failure_domain), Region(node.region), ChoiceSettings())
    prober = _build_prober(context, gate, pool, services)
    dispatcher = CallDispatcher(
        context.node_id,
        gate,
        pool,
        services,
        prober,
        counters,
        context.clock,
        context.random,
    )
    return RequestPathComponents(
        server, tracer, fence, gate, pool, services, prober, dispatcher, peer_calls
    )


def _build_prober(context: NodeContext, gate: Gate, pool: LinkPool, services: Services) -> Prober:
    def send_probe(node: NodeId, probe: Probe) -> int:
        if node != context.node_id:
            return pool.send(node, probe)
        services.record_report(node, gate.make_report(), context.clock())
        return 0

    watching = context.settings.watching
    now = context.clock()
    probe_fraction = 1 - MEMBERSHIP_FRACTION
    return Prober(
        services,
        send_probe,
        make_probe_budget(probe_fraction * watching.node_bytes_per_s, now),
        make_probe_budget(probe_fraction * watching.region_bytes_per_s, now),
        context.counters,
        context.clock,
    )
