"""Measures what a node encodes and decodes: frames, statsd metrics and platform listings."""

import base64
import json
import socket
from collections import Counter

import statsd
from ragwort_common import Counters, Incarnation, ServiceName
from ragwort_node._metrics import MAX_DATAGRAM_BYTES, _flush
from ragwort_policy import ServerLocation
from ragwort_protocol import FrameReader, Request, Response, encode_frame
from ragwort_store import Announcement, encode_announcement

from bench.costs import PEERS, REPORT, Iterations, make_locations, report, time_iterations

BODY_BYTES = (200, 2_000, 20_000)
FLUSHED_CALLS = (10, 100, 200)
COUNTER_NAMES = 30
HEADERS = [
    (b"host", b"drum-tracking"),
    (b"x-request-id", b"0193d5a0-7c1e-7cc3-98c4-dc0c0c07398f"),
    (b"content-type", b"application/json"),
    (b"traceparent", b"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
]


def measure_codec(iterations: Iterations) -> None:
    """Print the processor time and the overhead of a call's two frames, by body size."""
    first: float | None = None
    for size in BODY_BYTES:
        request = Request(7, "GET", b"/drums/17", HEADERS, b"x" * size, 1_500.0, member="hanbit")
        response = Response(7, 200, HEADERS, b"x" * size, REPORT)
        reader = FrameReader()

        def exchange(_: int, messages=(request, response), reader=reader) -> None:
            for message in messages:
                reader.feed(encode_frame(message))

        cost_us = time_iterations(exchange, iterations.count)
        first = first or cost_us
        report(f"codec.{size}_bytes", cost_us, "us/call", first)
        framed_bytes = len(encode_frame(request)) + len(encode_frame(response))
        payload_bytes = 2 * (size + sum(len(name) + len(value) for name, value in HEADERS))
        report(f"codec.{size}_bytes.added", framed_bytes - payload_bytes, "bytes/call")


def measure_flush(iterations: Iterations) -> None:
    """Print the processor time of one statsd flush, by the number of calls since the last one."""
    first: float | None = None
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        port = sink.getsockname()[1]
        for calls in FLUSHED_CALLS:
            client = statsd.StatsClient(
                "127.0.0.1", port, prefix="ragwort", maxudpsize=MAX_DATAGRAM_BYTES
            )
            counters, sent = Counters(), Counter()

            def run(_: int, counters=counters, sent=sent, client=client, calls=calls) -> None:
                for name in range(COUNTER_NAMES):
                    counters.add(f"entry.counter_{name}", calls)
                for _ in range(calls):
                    counters.add_timing("entry.call", 1.234)
                _flush(client, counters, sent)

            cost_us = time_iterations(run, max(5, iterations.count // 200))
            client.close()
            first = first or cost_us
            report(f"statsd.{calls}_calls", cost_us, "us/flush", first)


def measure_listing() -> None:
    """Print the size of the platform's list of announcements, which each node reads at startup."""
    first: float | None = None
    for peers in PEERS:
        size = len(json.dumps([_make_item(location) for location in make_locations(peers)]))
        first = first or size / peers
        report(f"listing.{peers}_peers", size / peers, "bytes/peer", first)


def _make_item(location: ServerLocation) -> dict[str, object]:
    address = "192.0.2.117:7701"
    announcement = Announcement(
        location.node,
        ServiceName("drum-tracking"),
        location.region,
        location.failure_domain,
        address,
        address,
        address,
        Incarnation(1_700_000_000_000 << 12),
    )
    data = base64.b64encode(encode_announcement(announcement)).decode()
    return {"path": f"nodes/{location.node}", "version": 1_000, "data": data, "deleted": False}


def measure_wire(iterations: Iterations) -> None:
    """Run every measurement of this module."""
    measure_codec(iterations)
    measure_flush(iterations)
    measure_listing()
