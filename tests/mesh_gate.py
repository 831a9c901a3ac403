"""A gate whose connection pool to the server is a fake, and calls to it."""

import asyncio

from ragwort_common import Counters, NodeId
from ragwort_mesh._clock import read_clock
from ragwort_mesh._crash_ledger import CrashLedger
from ragwort_mesh._events import EventLog
from ragwort_mesh._gate import Gate
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import Heartbeat, InstanceId, InstanceState
from ragwort_protocol import Request
from ragwort_transport import Answer

from bench import virtual

HEARTBEAT = Heartbeat(InstanceId("i"), 1, 1, "s", "127.0.0.1:1", InstanceState.READY, 3, 0.0)
SIGNED = [(b"ragwortvalve-response-signature", b"x")]


class FakePool:
    """Blocks every request until the test sets its result; speed queries are listed separately."""

    def __init__(self):
        self.held = []
        self.speed_queries = []
        self.cancelled = 0
        self.requests_sent = 0

    async def exchange(self, request, *words, **options):
        answer = asyncio.get_running_loop().create_future()
        (self.speed_queries if request.startswith(b"GET /healthz ") else self.held).append(answer)
        try:
            return await answer
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class AnsweringPool:
    """Answers each request after its service time, and records when it arrived.

    Attributes
    ----------
    headers
        Header fields of the answers, in addition to the signature.
    health_checks
        Number of health checks, which are answered at once.
    """

    def __init__(self, headers):
        self.headers = headers
        self.arrivals = []
        self.health_checks = 0
        self.requests_sent = 0

    async def exchange(self, request, *words, **options):
        if request.startswith(b"GET /healthz "):
            self.health_checks += 1
            return Answer(200, self.headers, b"")
        self.arrivals.append(virtual.read_clock())
        await asyncio.sleep(0.01)
        return Answer(200, SIGNED + self.headers, b"")


def make_gate(clock=read_clock, pool=None, reported=True, evacuated=False):
    telemetry = Telemetry(EventLog("n"), Counters())
    crashes = CrashLedger(NodeId("n"), list, telemetry, clock)
    gate = Gate("127.0.0.1:1", "s", telemetry, clock, lambda: None, crashes, evacuated)
    gate._pool = gate._server.pool = pool or FakePool()
    if reported:
        gate.apply_server_report(HEARTBEAT)
    return gate


async def offer_calls(gate, calls_per_s, duration_s):
    """Send calls at a steady rate, and return their replies."""
    calls = []
    for _ in range(int(calls_per_s * duration_s)):
        calls.append(asyncio.create_task(gate.run_call(make_request())))
        await asyncio.sleep(1 / calls_per_s)
    return await asyncio.gather(*calls)


def count_most(times, window_s):
    """Return the largest number of the times in any window of a length."""
    return max((sum(0 <= at - first < window_s for at in times) for first in times), default=0)


def make_request(idempotent=True, budget_ms=5000.0, work_ms=9.0):
    return Request(
        0,
        "GET",
        b"/",
        [],
        b"",
        budget_ms,
        idempotent,
        route="a",
        objective_ms=4000.0,
        work_ms=work_ms,
    )
