"""Calls through complete nodes, with stand-ins for the store and the servers."""

import asyncio
import json
import time

import aiohttp
import pytest
from aiohttp import web
from helper import wait_until
from mesh_cluster import HOST, make_configuration, make_route, run_scenario
from ragwort_model import Bounds
from ragwort_standins.application import deregister, fail, shed
from ragwort_standins.store import StoreFault


async def start(cluster, **routes):
    await cluster.configure(1, **(routes or {"a": make_route("s")}))
    await cluster.wait_until_linked()


def test_response_is_returned_as_the_server_sent_it():
    async def scenario(cluster):
        await start(cluster)
        status, headers, body = await cluster.call(cluster.members[0], "/a/x%2Fy?q=1")
        assert (status, body) == (200, b"i-n1:")
        assert headers["Ragwortvalve-Response-Signature"] == "i-n1.c1"
        assert "Ragwortvalve-Server-Load" not in headers
        seen = cluster.members[0].application.requests[0]
        assert seen.raw_path == "/a/x%2Fy?q=1"
        assert seen.headers["Host"] == HOST
        assert seen.headers["Ragwortvalve-Caller-Service"] == "s"
        assert seen.headers["Ragwortvalve-Target-Instance"] == "i-n1"
        assert 1000 < int(seen.headers["Ragwortvalve-Deadline-Ms"]) <= 1500

    run_scenario(scenario)


def test_caller_cannot_set_the_caller_service_or_target_instance():
    async def scenario(cluster):
        await start(cluster)
        forged = {"Ragwortvalve-Caller-Service": "x", "Ragwortvalve-Target-Instance": "i-x"}
        status, _, _ = await cluster.call(cluster.members[0], headers=forged)
        assert status == 200
        seen = cluster.members[0].application.requests[0].headers
        assert seen.getall("Ragwortvalve-Caller-Service") == ["s"]
        assert seen.getall("Ragwortvalve-Target-Instance") == ["i-n1"]

    run_scenario(scenario)


def test_call_to_a_service_on_another_host_keeps_its_body():
    async def scenario(cluster):
        await start(cluster, b=make_route("t", "/b/", "non_idempotent"))
        body = b"z" * 200_000
        status, _, answer = await cluster.call(cluster.members[0], "/b/", "POST", data=body)
        assert (status, answer) == (200, b"i-n2:" + body)
        assert cluster.count_runs("c1") == 1
        seen = cluster.members[1].application.requests[0].headers
        assert seen["Ragwortvalve-Caller-Service"] == "s"

    run_scenario(scenario, ("s", "t"))


def test_missing_configuration_gives_503_and_missing_route_404():
    async def scenario(cluster):
        status, headers, _ = await cluster.call(cluster.members[0])
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        await start(cluster)
        assert (await cluster.call(cluster.members[0], "/b/x"))[0] == 404
        assert (await cluster.call(cluster.members[0], "/a"))[0] == 404

    run_scenario(scenario)


def test_server_error_keeps_its_status_signature_and_body():
    async def scenario(cluster):
        await start(cluster, a=make_route("s", kind="non_idempotent"))
        cluster.members[0].application.response_override = fail
        status, headers, body = await cluster.call(cluster.members[0], method="POST")
        assert (status, body) == (500, b"bad")
        assert headers["Ragwortvalve-Response-Signature"] == "f"

    run_scenario(scenario)


def test_call_shed_by_one_server_runs_on_another():
    async def scenario(cluster):
        await start(cluster, a=make_route("s", kind="non_idempotent"))
        cluster.members[0].application.response_override = shed
        for number in range(3):
            status, _, body = await cluster.call(
                cluster.members[0], method="POST", call_id=f"c{number}"
            )
            assert (status, body) == (200, b"i-n2:")

    run_scenario(scenario, ("s", "s"))


def test_call_shed_by_all_servers_has_not_run_and_gets_retry_after():
    async def scenario(cluster):
        await start(cluster, a=make_route("s", kind="non_idempotent"))
        for member in cluster.members:
            member.application.response_override = shed
        status, headers, _ = await cluster.call(cluster.members[0], method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) >= 0.03
        assert cluster.count_runs("c1") == 0
        # The route's "maxAttempts" limits the number of servers that a call reaches.
        arrivals = [member.application.arrivals["c1"] for member in cluster.members]
        assert sum(arrivals) == 2

    run_scenario(scenario, ("s", "s", "s"))


def reset_connection(request):
    request.transport.abort()
    return web.Response()


def test_only_idempotent_calls_are_retried_after_a_lost_connection():
    async def scenario(cluster):
        routes = {"a": make_route("s", kind="non_idempotent"), "b": make_route("s", "/b/")}
        await start(cluster, **routes)
        for member in cluster.members:
            member.application.response_override = reset_connection
        status, headers, _ = await cluster.call(cluster.members[0], method="POST")
        assert status == 502
        assert "Retry-After" not in headers
        assert sum(member.application.arrivals["c1"] for member in cluster.members) == 1
        cluster.members[1].application.response_override = lambda request: None
        assert (await cluster.call(cluster.members[0], "/b/", call_id="c2"))[0] == 200

    run_scenario(scenario, ("s", "s"))


def test_repeat_after_a_lost_pooled_connection_needs_retry_budget():
    async def scenario(cluster):
        for _ in range(2):
            await cluster.add("s", bounds=Bounds(retry_ratio=0.0, retry_extra=0.0))
        await start(cluster)
        for member in cluster.members:
            assert (await cluster.call(member))[0] == 200
        for member in cluster.members:
            member.application.response_override = reset_connection
        arrivals = 0
        for number in range(4):
            await cluster.call(cluster.members[0], call_id=f"a{number}")
            arrivals += sum(member.application.arrivals[f"a{number}"] for member in cluster.members)
        assert arrivals == 4

    run_scenario(scenario, ())


def test_server_that_resets_a_connection_still_gets_the_next_call():
    async def scenario(cluster):
        routes = {"a": make_route("s", kind="non_idempotent"), "b": make_route("s", "/b/")}
        await start(cluster, **routes)
        first, second = cluster.members
        first.application.response_override = reset_connection
        for number in range(8):
            # Some of these calls reach the second server, which works again for the next call.
            second.application.response_override = reset_connection
            await cluster.call(first, method="POST", call_id=f"a{number}")
            second.application.response_override = lambda request: None
            assert (await cluster.call(first, "/b/", call_id=f"b{number}"))[0] == 200
        assert any(second.application.arrivals[f"a{number}"] for number in range(8))

    run_scenario(scenario, ("s", "s"))


def test_unsigned_success_is_not_returned_to_the_caller():
    async def scenario(cluster):
        await start(cluster, a=make_route("s", kind="non_idempotent"))
        cluster.members[0].application.response_override = lambda request: web.Response(
            body=b"forged"
        )
        status, _, body = await cluster.call(cluster.members[0], method="POST")
        assert (status, body) == (502, b"")

    run_scenario(scenario)


def test_call_ends_with_504_at_the_timeout_of_its_route():
    async def scenario(cluster):
        await start(cluster, a=make_route("s", kind="non_idempotent", timeoutMs=200))
        cluster.members[0].application.service_time_s = 5.0
        began = time.monotonic()
        status, _, _ = await cluster.call(cluster.members[0], method="POST")
        assert status == 504
        assert time.monotonic() - began < 1.0
        deadline_ms = cluster.members[0].application.requests[0].headers["Ragwortvalve-Deadline-Ms"]
        assert int(deadline_ms) <= 200

    run_scenario(scenario)


def test_calls_beyond_the_rate_of_a_server_run_on_another():
    async def scenario(cluster):
        await start(cluster)
        limited, other = cluster.members
        limited.application.notices["Server-Limit"] = "5.0"
        while not limited.application.arrivals:
            await cluster.call(limited, call_id="first")
        started = time.monotonic()
        before = limited.application.arrivals.total()
        replies = []
        for batch in range(20):
            calls = [cluster.call(limited, call_id=f"c{batch}.{n}") for n in range(3)]
            replies += await asyncio.gather(*calls)
        elapsed_s = time.monotonic() - started
        assert {status for status, _, _ in replies} == {200}
        assert limited.application.arrivals.total() - before <= 5.0 * elapsed_s + 3
        assert other.application.arrivals.total() > 30

    run_scenario(scenario, ("s", "s"))


def test_server_that_leaves_by_its_answers_gets_no_further_calls():
    async def scenario(cluster):
        await start(cluster)
        leaving, other = cluster.members
        leaving.application.notices["Server-Leaving"] = "1"
        while not leaving.application.arrivals:
            await cluster.call(leaving, call_id="first")
        await leaving.send_heartbeat()
        arrived = leaving.application.arrivals.total()
        for member in cluster.members:
            for number in range(10):
                assert (await cluster.call(member, call_id=f"{number}"))[0] == 200
        assert leaving.application.arrivals.total() == arrived
        assert other.application.arrivals.total() >= 20

    run_scenario(scenario, ("s", "s"))


def test_leaving_server_finishes_running_calls_and_gets_no_new_ones():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        first.application.service_time_s = 0.3
        await second.send_heartbeat("draining")
        running = asyncio.create_task(cluster.call(first, call_id="held"))
        await wait_until(lambda: first.application.runs["held"])
        await second.send_heartbeat("ready")
        assert await deregister(first.control, first.application) == 200
        # A report sent before the departure notice arrives after it.
        await first.send_heartbeat("ready")
        second.sequence = 10
        for number in range(5):
            await cluster.call(first, call_id=f"c{number}")
        assert sum(first.application.arrivals[f"c{number}"] for number in range(5)) == 0
        assert (await running)[0] == 200

    run_scenario(scenario, ("s", "s"))


def test_invalid_reports_are_rejected_and_do_not_affect_the_server():
    async def scenario(cluster):
        await start(cluster)
        member = cluster.members[0]
        url = f"http://{member.control}/-/instances/i-x"
        bodies = [b"\xff", b"[]", b'{"service":"s","addr":"x","state":"odd","seq":9,"slots":4}']
        for body in bodies:
            async with cluster.session.put(url, data=body) as reply:
                assert reply.status == 400
        assert (await cluster.call(member))[0] == 200

    run_scenario(scenario)


def test_idempotent_call_is_cancelled_when_its_caller_disconnects():
    async def scenario(cluster):
        await start(cluster)
        application = cluster.members[0].application
        application.service_time_s = 5.0
        call = asyncio.create_task(cluster.call(cluster.members[0]))
        await wait_until(lambda: application.running)
        call.cancel()
        await wait_until(lambda: application.cancelled_calls == ["c1"])

    run_scenario(scenario)


def test_newer_configuration_is_activated_and_older_one_is_not():
    async def scenario(cluster):
        await start(cluster)
        member = cluster.members[0]
        await cluster.configure(3, b=make_route("s", "/b/"))
        await wait_until(lambda: member.node._configuration.current.version == 3)
        assert (await cluster.call(member, "/b/x"))[0] == 200
        assert (await cluster.call(member, "/a/x"))[0] == 404
        await cluster.configure(2, a=make_route("s"))
        await asyncio.sleep(0.1)
        assert member.node._configuration.current.version == 3

    run_scenario(scenario)


def test_configuration_is_activated_after_the_store_compacts_its_history():
    async def scenario(cluster):
        await start(cluster)
        await cluster.store.compact()
        await cluster.configure(2, b=make_route("s", "/b/"))
        await cluster.store.compact()
        member = cluster.members[0]
        await wait_until(lambda: member.node._configuration.current.version == 2)

    run_scenario(scenario)


def test_node_that_cannot_read_the_store_gets_the_configuration_from_peers():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        # The second node can no longer watch the store.
        for task in second.node._tasks[:2]:
            task.cancel()
        await cluster.configure(2, b=make_route("s", "/b/"))
        await wait_until(lambda: second.node._configuration.current.version == 2)
        assert first.node._configuration.current.version == 2

    run_scenario(scenario, ("s", "s"))


def test_node_started_while_the_store_is_unavailable_gets_its_state_from_peers():
    async def scenario(cluster):
        await start(cluster)
        first = cluster.members[0]
        cluster.store.fault = StoreFault.UNAVAILABLE
        late = await cluster.add("s")
        record = late.node._peer_sync._own_record
        first.node._directory.apply_announced(record)
        await wait_until(lambda: late.node._configuration.current is not None)
        assert late.node._targets.count_nodes() >= 1
        assert (await cluster.call(late))[0] == 200

    run_scenario(scenario, ("s",))


@pytest.mark.parametrize(
    "fault", [StoreFault.UNAVAILABLE, StoreFault.RATE_LIMITED, StoreFault.SILENT]
)
def test_calls_are_served_while_the_store_fails(fault):
    async def scenario(cluster):
        await start(cluster)
        cluster.store.fault = fault
        for number in range(20):
            status, _, _ = await cluster.call(cluster.members[number % 2], call_id=f"c{number}")
            assert status == 200

    run_scenario(scenario, ("s", "s"))


def test_record_is_created_once_if_store_replies_are_lost():
    async def scenario(cluster):
        await start(cluster)
        cluster.store.fault = StoreFault.LOST_REPLIES
        await cluster.add("s")
        await wait_until(lambda: ("nodes", "n2") in cluster.store.objects)
        cluster.store.fault = StoreFault.NONE
        await wait_until(lambda: cluster.members[1].node._directory._is_published())
        creates = [call for call in cluster.store.calls if call[0] == "POST"]
        assert len(creates) <= 3

    run_scenario(scenario)


def test_removed_record_is_stored_again_within_two_seconds():
    async def scenario(cluster):
        await start(cluster)
        await cluster.store.remove("nodes", "n1")
        began = time.monotonic()
        await wait_until(lambda: ("nodes", "n1") in cluster.store.objects)
        assert time.monotonic() - began < 2.0

    run_scenario(scenario)


def test_startup_writes_the_record_only_once():
    async def scenario(cluster):
        await start(cluster)
        writes = [call for call in cluster.store.calls if call[0] != "GET"]
        assert writes == [("POST", "/-/objects/nodes")]

    run_scenario(scenario)


def test_stopping_node_accepts_no_calls_after_a_server_report():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        second.node._gate.stop_accepting()
        await second.send_heartbeat()
        assert not second.node._gate.accepting
        for number in range(4):
            assert (await cluster.call(second, call_id=f"c{number}"))[2] == b"i-n1:"

    run_scenario(scenario, ("s", "s"))


def test_stopping_node_completes_every_call_that_it_accepted():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        second.application.service_time_s = first.application.service_time_s = 0.4
        calls = []
        stop = asyncio.create_task(second.node.stop())
        for number in range(12):
            calls.append(asyncio.create_task(cluster.call(second, call_id=f"c{number}")))
            await asyncio.sleep(0.1)
        async with cluster.session.get(f"http://{second.ready}/-/ready") as reply:
            assert reply.status == 503
        statuses = [(await call)[0] for call in calls]
        await stop
        assert statuses == [200] * 12
        cluster.members.remove(second)

    run_scenario(scenario, ("s", "s"))


def test_split_weights_hold_while_one_part_sheds_its_calls():
    async def scenario(cluster):
        split = [{"service": "s", "weight": 50}, {"service": "t", "weight": 50}]
        await start(cluster, a=make_route("", split=split))
        cluster.members[1].application.response_override = shed
        statuses = [
            (await cluster.call(cluster.members[0], call_id=f"c{number}"))[0]
            for number in range(40)
        ]
        assert 18 <= statuses.count(200) <= 22
        assert statuses.count(503) == 40 - statuses.count(200)

    run_scenario(scenario, ("s", "t"))


def test_hedged_call_is_answered_in_time_when_the_first_server_slows_down():
    async def scenario(cluster):
        await start(cluster, a=make_route("s", targetLatencyMs=400))
        first, second = cluster.members
        for number in range(10):
            await cluster.call(first, call_id=f"warm{number}")
        first.application.service_time_s = 1.2
        began = time.monotonic()
        status, _, body = await cluster.call(first)
        took_s = time.monotonic() - began
        if first.application.arrivals["c1"]:
            assert (status, body) == (200, b"i-n2:")
            await wait_until(lambda: first.application.cancelled_calls == ["c1"])
        assert took_s < 1.0

    run_scenario(scenario, ("s", "s"))


def test_metrics_count_calls_and_their_durations():
    async def scenario(cluster):
        await start(cluster)
        await cluster.call(cluster.members[0])
        text = cluster.members[0].node._telemetry.render().decode()
        assert "ragwortvalve_entry_answered_2xx_total 1" in text
        assert 'ragwortvalve_entry_call_ms_bucket{le="+Inf"} 1' in text

    run_scenario(scenario)


def test_node_is_ready_once_it_has_a_configuration():
    async def scenario(cluster):
        url = f"http://{cluster.members[0].ready}/-/ready"
        async with cluster.session.get(url) as reply:
            assert reply.status == 503
        await start(cluster)
        async with cluster.session.get(url) as reply:
            assert reply.status == 200

    run_scenario(scenario)


def test_invalid_configuration_leaves_the_active_one_unchanged():
    async def scenario(cluster):
        await start(cluster)
        member = cluster.members[0]
        broken = make_configuration(2, {"a": {"host": HOST}})
        await cluster.store.put("config", "main", json.loads(json.dumps(broken)))
        await asyncio.sleep(0.1)
        assert (await cluster.call(member))[0] == 200

    run_scenario(scenario)


def test_persistent_connection_serves_many_calls():
    async def scenario(cluster):
        await start(cluster)
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            cluster.session, own = session, cluster.session
            for number in range(20):
                assert (await cluster.call(cluster.members[0], call_id=f"c{number}"))[0] == 200
            cluster.session = own

    run_scenario(scenario)


def test_node_started_beside_a_running_server_serves_before_its_next_report():
    async def scenario(cluster):
        health = web.Response(
            headers={
                "Ragwortvalve-Instance-Id": "i-n1",
                "Ragwortvalve-Server-Load": "0,0,4,100",
            }
        )
        application = cluster.members[0].application
        application.response_override = lambda request: (
            health if request.path == "/healthz" else None
        )
        configuration = make_configuration(1, {"a": make_route("s")})
        configuration["services"] = {"s": {"healthPath": "/healthz"}}
        await cluster.store.put("config", "main", configuration)
        restarted = await cluster.add("s", application=application, without_heartbeat=True)
        await wait_until(lambda: restarted.node._gate.accepting)
        # The limit starts at all four slots, which loses the least while it is unknown whether the
        # server's throughput has a knee.
        assert restarted.node._gate.make_report().limit == 4

    run_scenario(scenario)


def test_unhealthy_server_is_checked_once_and_gets_no_calls():
    async def scenario(cluster):
        application = cluster.members[0].application
        ill = web.Response(status=503, headers={"Ragwortvalve-Instance-Id": "i-n1"})
        application.response_override = lambda request: ill if request.path == "/healthz" else None
        configuration = make_configuration(1, {"a": make_route("s")})
        configuration["services"] = {"s": {"healthPath": "/healthz"}}
        await cluster.store.put("config", "main", configuration)
        restarted = await cluster.add("s", application=application, without_heartbeat=True)
        await wait_until(lambda: len(application.requests) == 1)
        await asyncio.sleep(0.05)
        assert not restarted.node._gate.accepting
        assert len(application.requests) == 1

    run_scenario(scenario)


def test_a_node_that_leaves_for_good_does_not_publish_itself_again():
    async def scenario(cluster):
        await start(cluster)
        second = cluster.members[1]
        await deregister(second.control, second.application)
        await second.node._directory.withdraw()
        await asyncio.sleep(1.2)
        assert ("nodes", "n2") not in cluster.store.objects
        assert ("nodes", "n1") in cluster.store.objects

    run_scenario(scenario, ("s", "s"))


def test_stale_record_with_the_address_of_a_node_does_not_close_its_link():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        record = {"link": second.settings.addresses.link, "service": "s"}
        stale_record = {**record, "failureDomain": "d9", "region": "r1"}
        link = first.node._peers.find_link("n2")
        await cluster.store.put("nodes", "n9", stale_record)
        await wait_until(lambda: "n9" in first.node._directory._records)
        first.node._peers.set_records(first.node._directory._records)
        await asyncio.sleep(0.5)
        assert first.node._peers.find_link("n2") is link
        assert link.is_open

    run_scenario(scenario, ("s", "s"))


def test_node_removes_the_record_of_the_previous_node_at_its_address():
    async def scenario(cluster):
        await start(cluster)
        late = await cluster.add(
            "s", before_start=lambda address: put_stale_record(cluster, address)
        )
        await wait_until(lambda: ("nodes", "n9") not in cluster.store.objects)
        assert ("nodes", late.settings.node) in cluster.store.objects
        first = cluster.members[0]
        await wait_until(lambda: "n9" not in first.node._directory._records)

    async def put_stale_record(cluster, address):
        record = {"link": address, "service": "s", "failureDomain": "d9", "region": "r1"}
        await cluster.store.put("nodes", "n9", record)

    run_scenario(scenario)


def test_record_with_the_address_of_a_later_one_is_ignored():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        directory = first.node._directory
        taken = {
            "link": second.settings.addresses.link,
            "service": "s",
            "failureDomain": "d9",
            "region": "r1",
        }
        await cluster.store.put("nodes", "n9", taken)
        await wait_until(lambda: "n9" in directory._records)
        assert set(directory._list_valid()) == {"n1", "n9"}

    run_scenario(scenario, ("s", "s"))


def test_report_of_a_peer_without_a_record_is_dropped_with_its_link():
    async def scenario(cluster):
        await start(cluster)
        first, second = cluster.members
        await cluster.store.remove("nodes", "n2")
        first.node._targets.set_records({})
        link = first.node._peers.find_link("n2")
        first.node._apply_report(link, first.node._gate.make_report())
        assert "n2" in first.node._targets._early_reports
        link.abort()
        await wait_until(lambda: first.node._peers.find_link("n2") is not link)
        await wait_until(lambda: first.node._targets._early_reports.get("n2") is None)

    run_scenario(scenario, ("s", "s"))
