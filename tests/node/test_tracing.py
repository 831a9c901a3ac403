import asyncio
import random
import threading

import pytest
from helper import wait_until
from hypothesis import given
from hypothesis import strategies as st
from opentelemetry.sdk.resources import Resource
from ragwort_common import Counters
from ragwort_node import _tracing
from ragwort_node._gate import Gate
from ragwort_node._tracing import (
    MAX_WAITING_SPANS,
    Tracer,
    export_spans,
    format_traceparent,
    parse_traceparent,
)
from ragwort_policy import EpochFence, GateLimits
from ragwort_protocol import Request
from ragwort_transport import Answer

TRACE, PARENT = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
SAMPLED = f"00-{TRACE}-{PARENT}-01".encode()
OTHER = (b"x-own", b"1")


def make_tracer(ratio=0.0, seed=1):
    return Tracer(ratio, random.Random(seed), Counters())


def start(tracer, value):
    return tracer.start_span("entry", [(b"traceparent", value), OTHER])


def test_a_callers_trace_is_kept_with_the_span_as_the_next_parent():
    span, headers = start(make_tracer(), SAMPLED)
    assert (span.trace_id, span.parent_id) == (int(TRACE, 16), int(PARENT, 16))
    assert span.span_id not in (0, span.parent_id)
    assert headers == [OTHER, (b"traceparent", f"00-{TRACE}-{span.span_id:016x}-01".encode())]


@pytest.mark.parametrize("ratio", [0.0, 1.0])
def test_a_callers_unsampled_trace_is_forwarded_unchanged(ratio):
    value = SAMPLED[:-1] + b"0"
    assert start(make_tracer(ratio), value) == (None, [(b"traceparent", value), OTHER])


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"00",
        f"00-{TRACE}-{PARENT}".encode(),
        f"ff-{TRACE}-{PARENT}-01".encode(),
        f"00-{'0' * 32}-{PARENT}-01".encode(),
        f"00-{TRACE}-{'0' * 16}-01".encode(),
        f"00-{TRACE[:-1]}g-{PARENT}-01".encode(),
        f"00-+{TRACE[1:]}-{PARENT}-01".encode(),
        f"00-{TRACE[:3]}_{TRACE[4:]}-{PARENT}-01".encode(),
        f"00-{TRACE}-{PARENT[:-1]} -01".encode(),
        f"00-{TRACE.upper()}-{PARENT}-01".encode(),
        f"0x-{TRACE}-{PARENT}-01".encode(),
        f"00-{TRACE}-{PARENT}-01-more".encode(),
        f"00-{TRACE}-{PARENT}-0\xe9".encode("latin-1"),
    ],
)
def test_a_malformed_traceparent_is_ignored(value):
    assert parse_traceparent(value) is None
    assert start(make_tracer(0.0), value)[0] is None
    span, headers = start(make_tracer(1.0), value)
    assert span.parent_id == 0
    assert [name for name, _ in headers] == [b"x-own", b"traceparent"]


def test_a_later_version_may_have_further_parts():
    assert parse_traceparent(f"01-{TRACE}-{PARENT}-01-more".encode()).sampled


@given(st.binary(max_size=70))
def test_the_parser_never_raises(value):
    parse_traceparent(value)


@given(st.integers(0, 2**32))
def test_a_formatted_traceparent_parses_to_the_same_ids(seed):
    span, _ = make_tracer(1.0, seed).start_span("entry", [])
    parent = parse_traceparent(format_traceparent(span))
    assert (parent.trace_id, parent.span_id, parent.sampled) == (span.trace_id, span.span_id, True)


def test_the_share_of_traces_that_start_here_follows_the_ratio():
    tracer = make_tracer(0.25)
    started = sum(tracer.start_span("entry", [])[0] is not None for _ in range(4000))
    assert 900 < started < 1100


def test_each_hop_has_one_span_as_a_child_of_the_previous_one():
    """The spans of caller, entry, gate and server are each the parent of the next one."""
    tracer, seen = make_tracer(), []

    class Server:
        async def run_call(self, method, target, headers, body, budget_ms):
            seen.extend(value for name, value in headers if name == b"traceparent")
            return Answer(200, [], b"")

    async def run():
        clock = asyncio.get_running_loop().time
        gate = Gate(Server(), GateLimits(1), Counters(), clock, tracer, EpochFence())
        span, headers = start(tracer, SAMPLED)
        await gate.run_call(Request(1, "GET", b"/", headers, b"", 1000.0, True, False, "hanbit"))
        tracer.finish_span(span, "answered")

    asyncio.run(run())
    gate, entry = tracer.take_finished()
    assert (entry.name, entry.parent_id) == ("entry", int(PARENT, 16))
    assert (gate.name, gate.parent_id) == ("gate", entry.span_id)
    assert {gate.trace_id, entry.trace_id} == {int(TRACE, 16)}
    assert seen == [format_traceparent(gate)]
    assert entry.start_ns <= gate.start_ns <= gate.end_ns <= entry.end_ns


def test_waiting_spans_are_bounded_and_dropped_ones_counted():
    counters = Counters()
    tracer = Tracer(1.0, random.Random(1), counters)
    for _ in range(MAX_WAITING_SPANS + 3):
        tracer.finish_span(tracer.start_span("entry", [])[0], "answered")
    assert len(tracer.take_finished()) == MAX_WAITING_SPANS
    assert counters.totals["tracing.dropped"] == 3
    assert tracer.take_finished() == []


def test_a_slow_exporter_does_not_block_the_event_loop(monkeypatch):
    monkeypatch.setattr(_tracing, "EXPORT_INTERVAL_S", 0.0)
    tracer, release, batches = make_tracer(), threading.Event(), []

    def export(spans):
        batches.append(spans)
        release.wait(10)

    async def run():
        task = asyncio.create_task(export_spans(tracer, export, Resource({"service.name": "t"})))
        tracer.finish_span(start(tracer, SAMPLED)[0], "answered")
        # The event loop continues while the exporter blocks its thread.
        await wait_until(lambda: batches)
        tracer.finish_span(start(tracer, SAMPLED)[0], "unknown")
        await asyncio.sleep(0.01)
        assert len(batches) == 1
        release.set()
        await wait_until(lambda: len(batches) == 2)
        task.cancel()

    asyncio.run(run())
    (first,), (second,) = batches
    assert f"{first.context.trace_id:032x}" == TRACE
    assert f"{first.parent.span_id:016x}" == PARENT
    assert (first.status.is_ok, second.status.is_ok) == (True, False)
    assert first.attributes["ragwort.outcome"] == "answered"
