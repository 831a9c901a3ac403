"""Uploads through complete nodes: the gate's node asks for the body once it accepts the call."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from helper import wait_until
from mesh_cluster import HOST, make_route, run_scenario, stop_quickly
from ragwort_standins.application import ATTEMPT_ID_HEADER, SIGNATURE_HEADER

BODY = b"u" * 300_000


async def start(cluster, **fields):
    """Configure a route for uploads to the service of the second node; return both members."""
    await cluster.configure(1, u=make_route("t", "/u/", "upload", **fields))
    await cluster.wait_until_linked()
    first, second = cluster.members[:2]
    await wait_until(lambda: first.node._peers.find_link(second.settings.node))
    return first, second


def upload(cluster, member, **options):
    return asyncio.create_task(cluster.call(member, "/u/x", "POST", data=BODY, **options))


async def hold_body(cluster, first, second, **options):
    """Start an upload whose body stays at the first node while it holds a slot of the second."""
    link = first.node._peers.find_link(second.settings.node)
    link._transfers.pause()
    call = upload(cluster, first, **options)
    await wait_until(lambda: second.node._gate.make_report().in_flight == 1)
    await wait_until(lambda: link._transfers.unsent_bytes == len(BODY))
    return call, link


async def check_not_run(cluster, second):
    """Check that the slot is free and that the server has received nothing."""
    await wait_until(lambda: second.node._gate.make_report().in_flight == 0)
    await second.node._gate.work.wait_idle()
    assert not second.application.requests
    assert cluster.count_runs("c1") == 0


def test_refused_upload_sends_no_byte_of_its_body():
    async def scenario(cluster):
        first, second = await start(cluster)
        second.node._gate._state.accepting = False
        counters = second.node._telemetry.counters.totals
        received = counters["link.bytes_in"]
        status, headers, _ = await upload(cluster, first)
        assert status == 503
        assert "Retry-After" in headers
        assert counters["gate.not-run.leaving"] == 1
        assert counters["link.bytes_in"] - received < 10_000
        await check_not_run(cluster, second)

    run_scenario(scenario, ("s", "t"))


def test_upload_of_a_caller_that_leaves_midway_is_not_run():
    async def scenario(cluster):
        first, second = await start(cluster)
        reader, writer = await asyncio.open_connection(*first.entry.split(":"))
        head = b"POST /u/x HTTP/1.1\r\nhost: %s\r\ncontent-length: 300000\r\n\r\n" % HOST.encode()
        writer.write(head + BODY[:100_000])
        await writer.drain()
        writer.close()
        call, link = await hold_body(cluster, first, second)
        call.cancel()
        await wait_until(lambda: link._transfers.unsent_bytes == 0)
        await check_not_run(cluster, second)
        assert second.node._telemetry.counters.totals["gate.withdrawn"] == 1

    run_scenario(scenario, ("s", "t"))


def test_response_that_comes_before_the_server_has_read_the_body_reaches_the_caller():
    async def answer_at_once(request):
        call_id = request.headers[ATTEMPT_ID_HEADER]
        headers = {ATTEMPT_ID_HEADER: call_id, SIGNATURE_HEADER: f"i-n2.{call_id}"}
        return web.Response(status=413, headers=headers, body=b"too long")

    async def scenario(cluster):
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", answer_at_once)
        await cluster.add("t", server=await cluster.serve(application))
        first, second = await start(cluster)
        status, _, body = await upload(cluster, first)
        assert (status, body) == (413, b"too long")
        await wait_until(lambda: second.node._gate.make_report().in_flight == 0)

    run_scenario(scenario, ("s",))


def test_upload_whose_link_is_cut_runs_on_another_server():
    async def scenario(cluster):
        first, second = await start(cluster)
        call, link = await hold_body(cluster, first, second)
        await cluster.add("t")
        third = cluster.members[2]
        await cluster.wait_until_linked()
        link.abort()
        status, _, body = await call
        assert (status, body) == (200, b"i-n3:" + BODY)
        assert third.application.runs["c1"] == 1
        await wait_until(lambda: second.node._gate.make_report().in_flight == 0)
        assert not second.application.requests

    run_scenario(scenario, ("s", "t"))


def test_upload_whose_link_is_cut_is_refused_as_not_run_without_another_server():
    async def scenario(cluster):
        first, second = await start(cluster)
        call, link = await hold_body(cluster, first, second)
        first.node._targets.list_targets = lambda service: []
        link.abort()
        status, headers, _ = await call
        assert status == 503
        assert "Retry-After" in headers
        await check_not_run(cluster, second)

    run_scenario(scenario, ("s", "t"))


def test_stopping_node_runs_the_uploads_that_it_has_accepted():
    async def scenario(cluster):
        first, second = await start(cluster, timeoutMs=8000)
        headers = {"Ragwortvalve-Deadline-Ms": "8000"}
        call, link = await hold_body(cluster, first, second, headers=headers)
        stop = asyncio.create_task(second.node.stop())
        await wait_until(lambda: not second.node._gate.accepting)
        link._transfers.resume()
        status, _, body = await call
        assert (status, body) == (200, b"i-n2:" + BODY)
        await stop
        cluster.members.remove(second)

    run_scenario(scenario, ("s", "t"))


@pytest.mark.parametrize("evacuated", [False, True])
def test_upload_whose_server_leaves_before_the_body_has_arrived_is_not_run(evacuated):
    async def scenario(cluster):
        first, second = await start(cluster)
        call, link = await hold_body(cluster, first, second)
        if evacuated:
            second.node._gate.set_evacuated(True)
        else:
            await second.send_heartbeat("draining")
        assert not second.node._gate.accepting
        link._transfers.resume()
        assert (await call)[0] == 503
        await check_not_run(cluster, second)

    run_scenario(scenario, ("s", "t"))


def test_upload_of_a_node_that_terminates_is_not_run():
    async def scenario(cluster):
        first, second = await start(cluster)
        call, _ = await hold_body(cluster, first, second)
        await stop_quickly(first.node)
        cluster.members.remove(first)
        await asyncio.gather(call, return_exceptions=True)
        assert isinstance(call.exception(), aiohttp.ClientError)
        await check_not_run(cluster, second)

    run_scenario(scenario, ("s", "t"))


def test_upload_whose_body_does_not_arrive_ends_as_not_run_at_its_deadline():
    async def scenario(cluster):
        first, second = await start(cluster)
        headers = {"Ragwortvalve-Deadline-Ms": "300"}
        call, _ = await hold_body(cluster, first, second, headers=headers)
        assert (await call)[0] == 503
        await check_not_run(cluster, second)
        assert second.node._telemetry.counters.totals["gate.bodies_late"] == 1

    run_scenario(scenario, ("s", "t"))


def test_bodies_of_waiting_uploads_are_asked_for_before_their_slots_are_free(monkeypatch):
    # Transfers on loopback are so short that two calls that end together would start a call whose
    # body was not due yet; the expected time stays at its first value, that of a slow link.
    monkeypatch.setattr("ragwort_mesh._uploads.record_transfer", lambda *_: None)

    async def scenario(cluster):
        first, second = await start(cluster)
        second.application.service_time_s = 0.1
        gate = second.node._gate
        calls = [upload(cluster, first, call_id=f"c{number}") for number in range(12)]
        assert [(await call)[0] for call in calls] == [200] * 12
        assert all(second.application.runs[f"c{number}"] == 1 for number in range(12))
        counters = second.node._telemetry.counters.totals
        assert counters["gate.bodies_requested"] == 12
        assert counters["gate.bodies_requested_early"] == counters["gate.queued"] > 0
        assert gate.make_report().in_flight == 0

    run_scenario(scenario, ("s", "t"))


def test_upload_over_the_memory_of_a_gate_is_refused_there_and_frees_it():
    async def scenario(cluster):
        first, second = await start(cluster)
        second.node._bodies._max_bytes = len(BODY)
        call, link = await hold_body(cluster, first, second)
        assert second.node._bodies.held_bytes == len(BODY)
        status, headers, _ = await upload(cluster, first, call_id="c2")
        assert status == 503
        assert "Retry-After" in headers
        counters = second.node._telemetry.counters.totals
        assert counters["gate.not-run.body-memory"] == 1
        assert first.node._telemetry.counters.totals["entry.not-run.body-memory"] == 1
        link._transfers.resume()
        assert (await call)[0] == 200
        await wait_until(lambda: not second.node._bodies.held_bytes)
        assert not first.node._bodies.held_bytes

    run_scenario(scenario, ("s", "t"))


def test_upload_over_the_memory_of_the_entry_is_refused_without_being_read():
    async def scenario(cluster):
        first, second = await start(cluster)
        first.node._bodies._max_bytes = len(BODY) - 1
        reader, writer = await asyncio.open_connection(*first.entry.split(":"))
        head = b"POST /u/x HTTP/1.1\r\nhost: %s\r\ncontent-length: 300000\r\n" % HOST.encode()
        writer.write(head + b"ragwortvalve-attempt-id: c7\r\n\r\n")
        reply = (await reader.read()).lower()
        writer.close()
        assert reply.startswith(b"http/1.1 503 ")
        assert b"ragwortvalve-attempt-id: c7\r\n" in reply and b"retry-after: " in reply
        assert first.node._telemetry.counters.totals["entry.not-run.body-memory"] == 1
        await check_not_run(cluster, second)

    run_scenario(scenario, ("s", "t"))
