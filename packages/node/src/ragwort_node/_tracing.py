"""Records a span for each hop of a sampled call, and exports spans outside the request path."""

import asyncio
import random
import re
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SpanExporter
from opentelemetry.trace import SpanContext, TraceFlags
from opentelemetry.trace.status import Status, StatusCode
from ragwort_common import Counters

TRACEPARENT = b"traceparent"
MAX_WAITING_SPANS = 2000
"""Maximum number of finished spans that wait for export; more are dropped and counted."""

EXPORT_INTERVAL_S = 1.0
_SAMPLED = 1
# Version 00 ends after the flags; later versions may add fields after another hyphen.
_TRACEPARENT_PATTERN = re.compile(
    rb"(?!ff)([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?", re.S
)

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Span:
    """One hop of a sampled call."""

    name: str
    trace_id: int
    span_id: int
    parent_id: int
    start_ns: int
    end_ns: int = 0
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class TraceParent:
    """The ids of a W3C ``traceparent`` header."""

    trace_id: int
    span_id: int
    sampled: bool


def parse_traceparent(value: bytes) -> TraceParent | None:
    """Parse a ``traceparent`` header; None when it is malformed."""
    match = _TRACEPARENT_PATTERN.fullmatch(value)
    if match is None or (match[1] == b"00" and match[5]):
        return None
    trace_id, span_id, flags = (int(part, 16) for part in match.group(2, 3, 4))
    if not trace_id or not span_id:
        return None
    return TraceParent(trace_id, span_id, bool(flags & _SAMPLED))


def format_traceparent(span: Span) -> bytes:
    """Return the ``traceparent`` header that makes a span the parent of the next hop."""
    return b"00-%032x-%016x-01" % (span.trace_id, span.span_id)


class Tracer:
    """Starts spans, and keeps the finished ones until they are exported."""

    def __init__(self, sample_ratio: float, random_source: random.Random, counters: Counters):
        self._ratio = sample_ratio
        self._random = random_source
        self._counters = counters
        self._finished: deque[Span] = deque()

    def start_span(self, name: str, headers: Headers) -> tuple[Span | None, Headers]:
        """Start a span if the call is sampled.

        Returns
        -------
        Span or None, Headers
            The span, and the headers with this span as the parent; the headers of a call that
            is not sampled are returned unchanged.
        """
        parent = _find_parent(headers)
        if parent is None:
            if self._ratio <= 0 or self._random.random() >= self._ratio:
                return None, headers
            trace_id, parent_id = self._random.getrandbits(128) | 1, 0
        elif not parent.sampled:
            return None, headers
        else:
            trace_id, parent_id = parent.trace_id, parent.span_id
        span = Span(name, trace_id, self._random.getrandbits(64) | 1, parent_id, time.time_ns())
        forwarded = [field for field in headers if field[0] != TRACEPARENT]
        forwarded.append((TRACEPARENT, format_traceparent(span)))
        return span, forwarded

    def finish_span(self, span: Span | None, outcome: str) -> None:
        """End a span and queue it for export."""
        if span is None:
            return
        span.end_ns = time.time_ns()
        span.outcome = outcome
        if len(self._finished) >= MAX_WAITING_SPANS:
            self._counters.add("tracing.dropped")
            return
        self._finished.append(span)

    def take_finished(self) -> list[Span]:
        """Return and remove the spans that have finished since the last call."""
        spans = list(self._finished)
        self._finished.clear()
        return spans


def _find_parent(headers: Headers) -> TraceParent | None:
    for name, value in headers:
        if name == TRACEPARENT:
            return parse_traceparent(value)
    return None


def make_console_exporter() -> SpanExporter:
    """Return the exporter that writes spans as JSON to standard output."""
    return ConsoleSpanExporter(formatter=lambda span: span.to_json(indent=None) + "\n")


async def export_spans(
    tracer: Tracer, export: Callable[[list[ReadableSpan]], object], resource: Resource
) -> None:
    """Export finished spans every ``EXPORT_INTERVAL_S`` seconds, until cancelled."""
    while True:
        await asyncio.sleep(EXPORT_INTERVAL_S)
        spans = tracer.take_finished()
        if spans:
            readable = [_make_readable(span, resource) for span in spans]
            await asyncio.to_thread(export, readable)


def _make_readable(span: Span, resource: Resource) -> ReadableSpan:
    flags = TraceFlags(TraceFlags.SAMPLED)
    context = SpanContext(span.trace_id, span.span_id, False, flags)
    parent = None
    if span.parent_id:
        parent = SpanContext(span.trace_id, span.parent_id, True, flags)
    status = StatusCode.OK if span.outcome == "answered" else StatusCode.ERROR
    return ReadableSpan(
        name=span.name,
        context=context,
        parent=parent,
        resource=resource,
        attributes={"ragwort.outcome": span.outcome},
        status=Status(status),
        start_time=span.start_ns,
        end_time=span.end_ns,
    )
