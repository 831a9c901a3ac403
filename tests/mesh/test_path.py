"""Calls through complete nodes, with stand-ins for the store and the servers."""

import asyncio
import json
import time

import aiohttp
import pytest
from aiohttp import web
from helper import wait_until
from mesh_world import HOST, make_configuration, make_route, play
from ragwort_standins.application import fail, leave, shed
from ragwort_standins.store import Trouble


async def start(world, **routes):
    await world.configure(1, **(routes or {"a": make_route("s")}))
    await world.settle()


def test_a_call_comes_back_as_its_server_gave_it():
    async def scenario(world):
        await start(world)
        status, headers, body = await world.call(world.members[0], "/a/x%2Fy?q=1")
        assert (status, body) == (200, b"i-n1:")
        assert headers["Ragwortvalve-Response-Signature"] == "i-n1.c1"
        assert "Ragwortvalve-Server-Load" not in headers
        seen = world.members[0].application.requests[0]
        assert seen.raw_path == "/a/x%2Fy?q=1"
        assert seen.headers["Host"] == HOST
        assert seen.headers["Ragwortvalve-Caller-Service"] == "s"
        assert seen.headers["Ragwortvalve-Target-Instance"] == "i-n1"
        assert 1000 < int(seen.headers["Ragwortvalve-Deadline-Ms"]) <= 1500

    play(scenario)


def test_the_caller_cannot_speak_for_another_service_or_name_a_server():
    async def scenario(world):
        await start(world)
        forged = {"Ragwortvalve-Caller-Service": "x", "Ragwortvalve-Target-Instance": "i-x"}
        status, _, _ = await world.call(world.members[0], headers=forged)
        assert status == 200
        seen = world.members[0].application.requests[0].headers
        assert seen.getall("Ragwortvalve-Caller-Service") == ["s"]
        assert seen.getall("Ragwortvalve-Target-Instance") == ["i-n1"]

    play(scenario)


def test_a_call_for_another_hosts_service_crosses_a_link_with_its_body():
    async def scenario(world):
        await start(world, b=make_route("t", "/b/", "non_idempotent"))
        body = b"z" * 200_000
        status, _, answer = await world.call(world.members[0], "/b/", "POST", data=body)
        assert (status, answer) == (200, b"i-n2:" + body)
        assert world.list_runs("c1") == 1
        seen = world.members[1].application.requests[0].headers
        assert seen["Ragwortvalve-Caller-Service"] == "s"

    play(scenario, ("s", "t"))


def test_no_configuration_is_told_from_no_route():
    async def scenario(world):
        status, headers, _ = await world.call(world.members[0])
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        await start(world)
        assert (await world.call(world.members[0], "/b/x"))[0] == 404
        assert (await world.call(world.members[0], "/a"))[0] == 404

    play(scenario)


def test_a_failure_of_the_server_keeps_its_status_signature_and_body():
    async def scenario(world):
        await start(world, a=make_route("s", kind="non_idempotent"))
        world.members[0].application.behave = fail
        status, headers, body = await world.call(world.members[0], method="POST")
        assert (status, body) == (500, b"bad")
        assert headers["Ragwortvalve-Response-Signature"] == "f"

    play(scenario)


def test_a_call_that_a_server_sheds_runs_at_another():
    async def scenario(world):
        await start(world, a=make_route("s", kind="non_idempotent"))
        world.members[0].application.behave = shed
        for number in range(3):
            status, _, body = await world.call(
                world.members[0], method="POST", call_id=f"c{number}"
            )
            assert (status, body) == (200, b"i-n2:")

    play(scenario, ("s", "s"))


def test_a_refusal_that_says_not_run_is_true_and_tells_when_to_come_back():
    async def scenario(world):
        await start(world, a=make_route("s", kind="non_idempotent"))
        for member in world.members:
            member.application.behave = shed
        status, headers, _ = await world.call(world.members[0], method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) >= 0.03
        assert world.list_runs("c1") == 0
        # The route's "maxAttempts" limits the number of servers that a call reaches.
        arrivals = [member.application.arrivals["c1"] for member in world.members]
        assert sum(arrivals) == 2

    play(scenario, ("s", "s", "s"))


def reset(request):
    request.transport.abort()
    return web.Response()


def test_a_call_that_may_have_run_is_not_sent_again_unless_it_may_run_twice():
    async def scenario(world):
        routes = {"a": make_route("s", kind="non_idempotent"), "b": make_route("s", "/b/")}
        await start(world, **routes)
        for member in world.members:
            member.application.behave = reset
        status, headers, _ = await world.call(world.members[0], method="POST")
        assert status == 502
        assert "Retry-After" not in headers
        assert sum(member.application.arrivals["c1"] for member in world.members) == 1
        world.members[1].application.behave = lambda request: None
        assert (await world.call(world.members[0], "/b/", call_id="c2"))[0] == 200

    play(scenario, ("s", "s"))


def test_a_server_that_breaks_a_connection_is_still_used_by_the_next_call():
    async def scenario(world):
        routes = {"a": make_route("s", kind="non_idempotent"), "b": make_route("s", "/b/")}
        await start(world, **routes)
        first, second = world.members
        first.application.behave = reset
        for number in range(8):
            # Some of these calls reach the second server, which works again for the next call.
            second.application.behave = reset
            await world.call(first, method="POST", call_id=f"a{number}")
            second.application.behave = lambda request: None
            assert (await world.call(first, "/b/", call_id=f"b{number}"))[0] == 200
        assert any(second.application.arrivals[f"a{number}"] for number in range(8))

    play(scenario, ("s", "s"))


def test_an_unsigned_success_is_never_passed_on():
    async def scenario(world):
        await start(world, a=make_route("s", kind="non_idempotent"))
        world.members[0].application.behave = lambda request: web.Response(body=b"forged")
        status, _, body = await world.call(world.members[0], method="POST")
        assert (status, body) == (502, b"")

    play(scenario)


def test_the_final_answer_comes_at_the_routes_timeout():
    async def scenario(world):
        await start(world, a=make_route("s", kind="non_idempotent", timeoutMs=200))
        world.members[0].application.work_s = 5.0
        began = time.monotonic()
        status, _, _ = await world.call(world.members[0], method="POST")
        assert status == 504
        assert time.monotonic() - began < 1.0
        told = world.members[0].application.requests[0].headers["Ragwortvalve-Deadline-Ms"]
        assert int(told) <= 200

    play(scenario)


def test_a_server_that_leaves_gets_no_new_call_and_those_that_run_end():
    async def scenario(world):
        await start(world)
        first, second = world.members
        first.application.work_s = 0.3
        await second.beat("draining")
        running = asyncio.create_task(world.call(first, call_id="held"))
        await wait_until(lambda: first.application.runs["held"])
        await second.beat("ready")
        assert await leave(first.control, first.application) == 200
        # A report sent before the departure notice arrives after it.
        await first.beat("ready")
        second.sequence = 10
        for number in range(5):
            await world.call(first, call_id=f"c{number}")
        assert sum(first.application.arrivals[f"c{number}"] for number in range(5)) == 0
        assert (await running)[0] == 200

    play(scenario, ("s", "s"))


def test_an_unreadable_report_names_no_server_and_the_others_hold():
    async def scenario(world):
        await start(world)
        member = world.members[0]
        url = f"http://{member.control}/-/instances/i-x"
        bodies = [b"\xff", b"[]", b'{"service":"s","addr":"x","state":"odd","seq":9,"slots":4}']
        for body in bodies:
            async with world.session.put(url, data=body) as reply:
                assert reply.status == 400
        assert (await world.call(member))[0] == 200

    play(scenario)


def test_what_a_gone_caller_waited_for_is_broken_off_or_never_sent():
    async def scenario(world):
        await start(world)
        application = world.members[0].application
        application.work_s = 5.0
        call = asyncio.create_task(world.call(world.members[0]))
        await wait_until(lambda: application.running)
        call.cancel()
        await wait_until(lambda: application.cut == ["c1"])

    play(scenario)


def test_a_newer_configuration_comes_into_force_and_an_older_one_never_does():
    async def scenario(world):
        await start(world)
        member = world.members[0]
        await world.configure(3, b=make_route("s", "/b/"))
        await wait_until(lambda: member.node._configuration.current.version == 3)
        assert (await world.call(member, "/b/x"))[0] == 200
        assert (await world.call(member, "/a/x"))[0] == 404
        await world.configure(2, a=make_route("s"))
        await asyncio.sleep(0.1)
        assert member.node._configuration.current.version == 3

    play(scenario)


def test_a_configuration_comes_into_force_after_the_store_has_lost_its_history():
    async def scenario(world):
        await start(world)
        await world.store.compact()
        await world.configure(2, b=make_route("s", "/b/"))
        await world.store.compact()
        member = world.members[0]
        await wait_until(lambda: member.node._configuration.current.version == 2)

    play(scenario)


def test_a_node_that_the_store_turns_away_hears_of_a_configuration_from_its_peers():
    async def scenario(world):
        await start(world)
        first, second = world.members
        # The second node can no longer watch the store.
        for task in second.node._tasks[:2]:
            task.cancel()
        await world.configure(2, b=make_route("s", "/b/"))
        await wait_until(lambda: second.node._configuration.current.version == 2)
        assert first.node._configuration.current.version == 2

    play(scenario, ("s", "s"))


def test_a_node_that_starts_while_the_store_is_away_learns_all_from_its_peers():
    async def scenario(world):
        await start(world)
        first = world.members[0]
        world.store.trouble = Trouble.BUSY
        late = await world.add("s")
        record = late.node._sharing._own
        first.node._directory.learn(record)
        await wait_until(lambda: late.node._configuration.current is not None)
        assert late.node._targets.count_nodes() >= 1
        assert (await world.call(late))[0] == 200

    play(scenario, ("s",))


@pytest.mark.parametrize("trouble", [Trouble.BUSY, Trouble.MANY, Trouble.SILENT])
def test_calls_are_served_while_the_store_is_in_trouble(trouble):
    async def scenario(world):
        await start(world)
        world.store.trouble = trouble
        for number in range(20):
            status, _, _ = await world.call(world.members[number % 2], call_id=f"c{number}")
            assert status == 200

    play(scenario, ("s", "s"))


def test_a_record_is_stored_once_though_answers_are_lost():
    async def scenario(world):
        await start(world)
        world.store.trouble = Trouble.LOSES_ANSWERS
        await world.add("s")
        await wait_until(lambda: ("nodes", "n2") in world.store.objects)
        world.store.trouble = Trouble.NONE
        await wait_until(lambda: world.members[1].node._directory._is_published())
        creates = [call for call in world.store.calls if call[0] == "POST"]
        assert len(creates) <= 3

    play(scenario)


def test_a_lapsed_record_is_back_within_two_seconds():
    async def scenario(world):
        await start(world)
        await world.store.remove("nodes", "n1")
        began = time.monotonic()
        await wait_until(lambda: ("nodes", "n1") in world.store.objects)
        assert time.monotonic() - began < 2.0

    play(scenario)


def test_an_unchanged_record_is_not_written_again_at_a_start():
    async def scenario(world):
        await start(world)
        writes = [call for call in world.store.calls if call[0] != "GET"]
        assert writes == [("POST", "/-/objects/nodes")]

    play(scenario)


def test_a_stopping_node_takes_no_call_after_its_servers_next_report():
    async def scenario(world):
        await start(world)
        first, second = world.members
        second.node._gate.stop_taking()
        await second.beat()
        assert not second.node._gate.accepting
        for number in range(4):
            assert (await world.call(second, call_id=f"c{number}"))[2] == b"i-n1:"

    play(scenario, ("s", "s"))


def test_a_stop_answers_what_came_and_cuts_nothing_off():
    async def scenario(world):
        await start(world)
        first, second = world.members
        second.application.work_s = first.application.work_s = 0.4
        calls = []
        stop = asyncio.create_task(second.node.stop())
        for number in range(12):
            calls.append(asyncio.create_task(world.call(second, call_id=f"c{number}")))
            await asyncio.sleep(0.1)
        async with world.session.get(f"http://{second.ready}/-/ready") as reply:
            assert reply.status == 503
        statuses = [(await call)[0] for call in calls]
        await stop
        assert statuses == [200] * 12
        world.members.remove(second)

    play(scenario, ("s", "s"))


def test_a_split_is_kept_though_a_part_has_no_room():
    async def scenario(world):
        split = [{"service": "s", "weight": 50}, {"service": "t", "weight": 50}]
        await start(world, a=make_route("", split=split))
        world.members[1].application.behave = shed
        statuses = [
            (await world.call(world.members[0], call_id=f"c{number}"))[0] for number in range(40)
        ]
        assert 18 <= statuses.count(200) <= 22
        assert statuses.count(503) == 40 - statuses.count(200)

    play(scenario, ("s", "t"))


def test_a_second_server_answers_in_time_when_the_first_is_slowed_down_in_the_middle():
    async def scenario(world):
        await start(world, a=make_route("s", targetLatencyMs=400))
        first, second = world.members
        for number in range(10):
            await world.call(first, call_id=f"warm{number}")
        first.application.work_s = 1.2
        began = time.monotonic()
        status, _, body = await world.call(first)
        took_s = time.monotonic() - began
        if first.application.arrivals["c1"]:
            assert (status, body) == (200, b"i-n2:")
            await wait_until(lambda: first.application.cut == ["c1"])
        assert took_s < 1.0

    play(scenario, ("s", "s"))


def test_the_metrics_tell_of_calls_and_their_time():
    async def scenario(world):
        await start(world)
        await world.call(world.members[0])
        text = world.members[0].node._telemetry.render().decode()
        assert "ragwortvalve_entry_answered_2xx_total 1" in text
        assert 'ragwortvalve_entry_call_ms_bucket{le="+Inf"} 1' in text

    play(scenario)


def test_ready_is_said_once_a_configuration_is_known():
    async def scenario(world):
        url = f"http://{world.members[0].ready}/-/ready"
        async with world.session.get(url) as reply:
            assert reply.status == 503
        await start(world)
        async with world.session.get(url) as reply:
            assert reply.status == 200

    play(scenario)


def test_an_unreadable_configuration_leaves_the_present_one_in_force():
    async def scenario(world):
        await start(world)
        member = world.members[0]
        broken = make_configuration(2, {"a": {"host": HOST}})
        await world.store.put("config", "main", json.loads(json.dumps(broken)))
        await asyncio.sleep(0.1)
        assert (await world.call(member))[0] == 200

    play(scenario)


def test_a_kept_connection_serves_many_calls():
    async def scenario(world):
        await start(world)
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            world.session, own = session, world.session
            for number in range(20):
                assert (await world.call(world.members[0], call_id=f"c{number}"))[0] == 200
            world.session = own

    play(scenario)


def test_a_node_that_starts_beside_a_running_server_serves_before_its_next_report():
    async def scenario(world):
        health = web.Response(
            headers={
                "Ragwortvalve-Instance-Id": "i-n1",
                "Ragwortvalve-Server-Load": "0,0,4,100",
            }
        )
        application = world.members[0].application
        application.behave = lambda request: health if request.path == "/healthz" else None
        configuration = make_configuration(1, {"a": make_route("s")})
        configuration["services"] = {"s": {"healthPath": "/healthz"}}
        await world.store.put("config", "main", configuration)
        restarted = await world.add("s", application=application, silent=True)
        await wait_until(lambda: restarted.node._gate.accepting)
        # The limit starts at all four slots, which loses the least while it is unknown whether the
        # server's throughput has a knee.
        assert restarted.node._gate.make_report().limit == 4

    play(scenario)


def test_a_node_asks_no_server_that_has_reported_and_trusts_no_ill_one():
    async def scenario(world):
        application = world.members[0].application
        ill = web.Response(status=503, headers={"Ragwortvalve-Instance-Id": "i-n1"})
        application.behave = lambda request: ill if request.path == "/healthz" else None
        configuration = make_configuration(1, {"a": make_route("s")})
        configuration["services"] = {"s": {"healthPath": "/healthz"}}
        await world.store.put("config", "main", configuration)
        restarted = await world.add("s", application=application, silent=True)
        await wait_until(lambda: len(application.requests) == 1)
        await asyncio.sleep(0.05)
        assert not restarted.node._gate.accepting
        assert len(application.requests) == 1

    play(scenario)


def test_a_node_that_leaves_for_good_does_not_publish_itself_again():
    async def scenario(world):
        await start(world)
        second = world.members[1]
        await leave(second.control, second.application)
        await second.node._directory.withdraw()
        await asyncio.sleep(1.2)
        assert ("nodes", "n2") not in world.store.objects
        assert ("nodes", "n1") in world.store.objects

    play(scenario, ("s", "s"))


def test_an_address_that_passes_to_another_node_costs_it_no_link():
    async def scenario(world):
        await start(world)
        first, second = world.members
        record = {"link": second.settings.addresses.link, "service": "s"}
        gone = {**record, "failureDomain": "d9", "region": "r1"}
        link = first.node._peers.find_link("n2")
        await world.store.put("nodes", "n9", gone)
        await wait_until(lambda: "n9" in first.node._directory._records)
        first.node._peers.set_records(first.node._directory._records)
        await asyncio.sleep(0.5)
        assert first.node._peers.find_link("n2") is link
        assert link.is_open

    play(scenario, ("s", "s"))


def test_a_node_removes_the_record_of_the_one_that_had_its_address():
    async def scenario(world):
        await start(world)
        late = await world.add("s", before=lambda address: put_gone(world, address))
        await wait_until(lambda: ("nodes", "n9") not in world.store.objects)
        assert ("nodes", late.settings.node) in world.store.objects
        first = world.members[0]
        await wait_until(lambda: "n9" not in first.node._directory._records)

    async def put_gone(world, address):
        record = {"link": address, "service": "s", "failureDomain": "d9", "region": "r1"}
        await world.store.put("nodes", "n9", record)

    play(scenario)


def test_a_record_whose_address_a_later_one_has_is_not_used():
    async def scenario(world):
        await start(world)
        first, second = world.members
        directory = first.node._directory
        taken = {
            "link": second.settings.addresses.link,
            "service": "s",
            "failureDomain": "d9",
            "region": "r1",
        }
        await world.store.put("nodes", "n9", taken)
        await wait_until(lambda: "n9" in directory._records)
        assert set(directory._list_valid()) == {"n1", "n9"}

    play(scenario, ("s", "s"))


def test_what_a_peer_without_a_record_has_said_is_forgotten_with_its_link():
    async def scenario(world):
        await start(world)
        first, second = world.members
        await world.store.remove("nodes", "n2")
        first.node._targets.set_records({})
        link = first.node._peers.find_link("n2")
        first.node._take_report(link, first.node._gate.make_report())
        assert "n2" in first.node._targets._early
        link.abort()
        await wait_until(lambda: first.node._peers.find_link("n2") is not link)
        await wait_until(lambda: first.node._targets._early.get("n2") is None)

    play(scenario, ("s", "s"))
