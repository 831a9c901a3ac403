import asyncio
import json
import random
import time

import aiohttp
import pytest
from helper import wait_until
from ragwort_common import Counters, Member, Outcome, Reason
from ragwort_node._call_reader import EntryLimits
from ragwort_node._entry import build_entry
from ragwort_node._http import start_http
from ragwort_node._rules import RulesInForce
from ragwort_node._tracing import Tracer
from ragwort_protocol import LoadReport, Response
from ragwort_rules import build_matcher, list_services, parse_rules
from ragwort_transport import make_refusal

RULES = b"""\
tracking GET /drums/* idempotent deadline=900ms  # hanbit: lookups
tracking POST /** non-idempotent deadline=900ms  # hanbit: changes
"""
TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def make_response(status=200, headers=(), body=b"{}"):
    return Response(0, status, list(headers), body, LoadReport(0, 1, 0, 0))


async def answer(call):
    return make_response()


def run_entry(scenario, run_call=answer, text=RULES, clock=time.monotonic):
    """Serve an entry whose calls are run by ``run_call``; ``scenario`` gets an HTTP session."""

    async def run():
        counters = Counters()
        rules = RulesInForce()
        if text:
            parsed = parse_rules(text)
            rules = RulesInForce(build_matcher(parsed.rules), list_services(parsed.rules))
        tracer = Tracer(0.0, random.Random(1), counters)
        limits = EntryLimits(2000, 1000)
        entry = build_entry(rules, run_call, limits, counters, clock, tracer)
        server = await start_http(entry, "127.0.0.1:0", 1000)
        async with aiohttp.ClientSession(f"http://127.0.0.1:{server.port}") as session:
            await scenario(session, server.port, counters)
        await server.stop()

    asyncio.run(run())


def expect(status, outcome, reason, method="GET", path="/drums/1", host="tracking", **options):
    """Return a scenario that sends one call and checks the reported status and outcome."""

    async def scenario(session, port, counters):
        headers = {"Host": host} | options.pop("headers", {})
        async with session.request(method, path, headers=headers, **options) as response:
            content = json.loads(await response.read())
            assert response.status == status
            assert response.headers["Ragwort-Outcome"] == outcome
            assert content["reason"] == response.headers["Ragwort-Reason"] == reason
            if status == 503:
                assert int(response.headers["Retry-After"]) >= 1

    return scenario


async def never(call):
    raise AssertionError("a rejected call must not run")


@pytest.mark.parametrize(
    ("status", "reason", "options"),
    [
        (404, "unknown-service", {"host": "nobody"}),
        (404, "unknown-service", {"path": "/other/1"}),
        (413, "limit", {"method": "POST", "data": b"x" * 1001}),
        (431, "limit", {"headers": {"X-Long": "x" * 2001}}),
        (400, "limit", {"headers": {"Ragwort-Deadline-Ms": "soon"}}),
        (400, "limit", {"headers": {"Ragwort-Deadline-Ms": "-5"}}),
        (400, "limit", {"headers": {"Ragwort-Deadline-Ms": "nan"}}),
        (400, "limit", {"method": "POST", "headers": {"Idempotency-Key": "k" * 256}}),
    ],
)
def test_a_call_that_breaks_a_limit_is_rejected_before_anything_runs(status, reason, options):
    run_entry(expect(status, "not-run", reason, **options), run_call=never)


def test_a_body_over_the_limit_without_a_length_is_rejected():
    async def scenario(session, port, counters):
        async def parts():
            for _ in range(20):
                yield b"x" * 100

        async with session.post("/a", headers={"Host": "tracking"}, data=parts()) as response:
            assert response.status == 413

    run_entry(scenario, run_call=never)


def test_a_malformed_request_gets_400():
    async def scenario(session, port, counters):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"NOT HTTP AT ALL\r\n\r\n")
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()

    run_entry(scenario, run_call=never)


def test_without_rules_nothing_runs():
    run_entry(expect(503, "not-run", "not-ready"), run_call=never, text=b"")


@pytest.mark.parametrize(
    ("outcome", "reason", "status"),
    [
        (Outcome.NOT_RUN, Reason.OVERLOADED, 503),
        (Outcome.NOT_RUN, Reason.DEADLINE, 503),
        (Outcome.UNKNOWN, Reason.DEADLINE, 504),
        (Outcome.UNKNOWN, Reason.CONNECTION_LOST, 502),
        (Outcome.FAILED, Reason.BAD_ANSWER, 502),
    ],
)
def test_each_outcome_is_reported_in_status_and_header(outcome, reason, status):
    async def refuse(call):
        return make_refusal(outcome, reason, 1500)

    run_entry(expect(status, outcome.value, reason.value), run_call=refuse)


def test_a_response_is_passed_through_and_only_the_entry_sets_the_outcome():
    seen = []

    async def run_call(call):
        seen.append(call)
        fields = [(b"ragwort-outcome", b"not-run"), (b"x-own", b"1")]
        return make_response(500, fields, b"broken")

    async def scenario(session, port, counters):
        headers = {"Host": "tracking.example:80", "Traceparent": TRACE, "Ragwort-Depth": "3"}
        async with session.get("/drums/1?a=%20b", headers=headers) as response:
            assert (response.status, await response.read()) == (500, b"broken")
            assert response.headers.getall("Ragwort-Outcome") == ["failed"]
            assert response.headers["X-Own"] == "1"

    run_entry(scenario, run_call)
    (call,) = seen
    fields = dict(call.headers)
    assert call.target == b"/drums/1?a=%20b"
    assert call.nested
    assert call.treatment.member == Member("hanbit")
    assert fields[b"ragwort-depth"] == b"4"
    assert fields[b"traceparent"].split(b"-")[1] == TRACE.split("-")[1].encode()
    assert b"host" not in fields


def test_the_callers_deadline_only_shortens_the_rules():
    deadlines = []

    async def run_call(call):
        deadlines.append(call.deadline)
        return make_response()

    async def scenario(session, port, counters):
        for asked in ("100", "99999"):
            headers = {"Host": "tracking", "Ragwort-Deadline-Ms": asked}
            await (await session.get("/drums/1", headers=headers)).read()

    run_entry(scenario, run_call, clock=lambda: 50.0)
    assert deadlines == pytest.approx([50.1, 50.9])


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_call_is_cancelled_when_its_caller_disconnects(method):
    ended = []

    async def run_call(call):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            ended.append(call.method)
            raise

    async def scenario(session, port, counters):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} /drums/1 HTTP/1.1\r\nHost: tracking\r\n\r\n".encode())
        await asyncio.sleep(0.01)
        writer.close()
        await wait_until(lambda: counters.totals["entry.caller_gone"] == 1)

    run_entry(scenario, run_call)
    assert ended == [method]
