"""Tests of the metrics sent to statsd, over a real UDP socket on loopback."""

import asyncio
import random
import socket
from types import SimpleNamespace

import pytest
from ragwort_common import (
    MAX_TIMINGS,
    Counters,
    FailureDomain,
    Incarnation,
    NodeId,
    Region,
    ServiceName,
)
from ragwort_node._gauges import CountSources, collect_counts
from ragwort_node._gossip import Gossip
from ragwort_node._metrics import MAX_DATAGRAM_BYTES, flush_metrics
from ragwort_node._rules_types import ConfigurationEvent
from ragwort_policy import MembershipSettings, TrafficClass, create_membership, make_budget
from ragwort_protocol import ClaimVerdict, LoadReport, Profile
from ragwort_store import CallKind, ErrorKind


class Statsd:
    """A statsd server that receives datagrams and splits them into lines."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.sizes = []

    @property
    def port(self):
        return self.socket.getsockname()[1]

    def take_lines(self):
        lines = []
        while True:
            try:
                data = self.socket.recv(65536)
            except BlockingIOError:
                return lines
            self.sizes.append(len(data))
            lines += data.decode().split("\n")


def flush_steps(counters, *steps):
    """Run a flush after each step; return the lines of each flush and the datagram sizes.

    The steps run in ``collect``, right before a flush, and simulate what the node counts.
    """
    statsd = Statsd()
    flushes = []

    async def run():
        pending = iter(steps)
        ended = asyncio.Event()

        def collect():
            flushes.append(statsd.take_lines())
            step = next(pending, None)
            if step is None:
                ended.set()
            else:
                step()

        task = asyncio.create_task(
            flush_metrics(counters, "127.0.0.1", statsd.port, "rw", 1, collect)
        )
        await ended.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    try:
        asyncio.run(run())
    finally:
        statsd.socket.close()
    return flushes[1 : len(steps) + 1], statsd.sizes


def test_counters_are_sent_once_and_as_differences():
    counters = Counters()
    (first, second, third), _ = flush_steps(
        counters,
        lambda: (counters.add("entry.attempts", 3), counters.set_gauge("gate.limit", 8)),
        lambda: counters.add("entry.attempts", 2),
        lambda: counters.set_gauge("gate.limit", 5),
    )
    assert sorted(first) == ["rw.entry.attempts:3|c", "rw.gate.limit:8|g"]
    assert sorted(second) == ["rw.entry.attempts:2|c", "rw.gate.limit:8|g"]
    assert third == ["rw.gate.limit:5|g"]


def test_timings_are_bounded_sent_once_and_fit_datagrams():
    counters = Counters()

    def add_timings():
        for number in range(MAX_TIMINGS + 7):
            counters.add_timing("entry.call", number)

    (first, second), sizes = flush_steps(counters, add_timings, lambda: None)
    assert sum(line.endswith("|ms") for line in first) == MAX_TIMINGS
    assert "rw.metrics.timings_left_out:7|c" in first
    assert second == []
    assert max(sizes) <= MAX_DATAGRAM_BYTES


def make_sources():
    places = ServiceName("tracking"), Region("gyeonggi"), FailureDomain("siheung")
    profile = Profile(*places, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    membership = create_membership(
        MembershipSettings(),
        NodeId("n1"),
        profile,
        Incarnation(1),
        make_budget(1000, 0.0),
        make_budget(1000, 0.0),
        0.0,
    )
    gossip = Gossip(membership, lambda to, m: 0, lambda: 0.0, random.Random(1), lambda c: None)
    return CountSources(
        gossip,
        SimpleNamespace(make_report=lambda: LoadReport(1, 8, 2, 500)),
        SimpleNamespace(count_links=lambda: 4),
        SimpleNamespace(calls={CallKind.GET: 5}, errors={ErrorKind.UNCERTAIN: 1}),
        {ConfigurationEvent.PLATFORM_OLDER: 2},
        SimpleNamespace(counts=dict.fromkeys(ClaimVerdict, 0) | {None: 3}),
        SimpleNamespace(list_held=lambda: [object()]),
    )


@pytest.mark.parametrize(
    ("line", "change"),
    [
        ("rw.membership.deaths:1|c", lambda s: setattr(s.gossip.membership.counters, "deaths", 1)),
        ("rw.membership.unsent:2|c", lambda s: setattr(s.gossip, "unsent", 2)),
        ("rw.membership.dropped:2|c", lambda s: setattr(s.gossip, "dropped", 2)),
        ("rw.configuration.platform-older:2|c", lambda s: None),
        ("rw.platform.calls.get:5|c", lambda s: None),
        ("rw.platform.errors.uncertain:1|c", lambda s: None),
        ("rw.keys.claims.no-reply:3|c", lambda s: None),
        (
            "rw.watching.region_refused.probe:4|c",
            lambda s: s.gossip.membership.paid_budget.refused.update({TrafficClass.PROBE: 4}),
        ),
        ("rw.watching.node_budget_level:0.0|g", lambda s: None),
        ("rw.membership.peers.alive:1|g", lambda s: None),
        ("rw.membership.peers.dead:0|g", lambda s: None),
        ("rw.keys.ranges_held:1|g", lambda s: None),
        ("rw.gate.limit:8|g", lambda s: None),
        ("rw.gate.waiting:2|g", lambda s: None),
        ("rw.link.open:4|g", lambda s: None),
    ],
)
def test_counts_of_other_components_reach_statsd_as_differences(line, change):
    sources, counters = make_sources(), Counters()
    change(sources)

    def collect():
        collect_counts(sources, counters)

    (first, second), _ = flush_steps(counters, collect, collect)
    assert line in first
    assert (line in second) == line.endswith("|g")


def test_the_number_of_names_does_not_grow_with_peers():
    sources, counters = make_sources(), Counters()
    collect_counts(sources, counters)
    names = set(counters.totals) | set(counters.gauges)
    peers = sources.gossip.membership.table.peers
    for number in range(50):
        peers[NodeId(f"p{number}")] = sources.gossip.membership.own
    collect_counts(sources, counters)
    assert set(counters.totals) | set(counters.gauges) == names
    assert counters.gauges["membership.peers.alive"] == 51
