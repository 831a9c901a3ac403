"""Failures that operators of similar systems have told of, played through whole nodes."""

import asyncio
import contextlib
import ctypes
import re
import socket
import struct

import aiohttp
import pytest
from helper import wait_until
from mesh_cluster import HOST, make_route, run_scenario
from ragwort_mesh import _peers
from ragwort_standins.application import deregister

ATTEMPT_ID = "ragwortvalve-attempt-id"


def read_call_id(request):
    found = re.search(rb"ragwortvalve-attempt-id: (\S+)", request, re.IGNORECASE)
    return found.group(1) if found else b""


def make_answer(call_id, with_id=True, body=None):
    body = b"answer to " + call_id if body is None else body
    echo = b"Ragwortvalve-Attempt-Id: " + call_id + b"\r\n" if with_id else b""
    return (
        b"HTTP/1.1 200 OK\r\nRagwortvalve-Response-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s"
        % (echo, len(body), body)
    )


def reset(writer):
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@contextlib.asynccontextmanager
async def run_server(answer):
    """Run a server on raw connections; ``answer`` writes what follows each call."""

    async def serve(reader, writer):
        earlier = []
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                call_id = read_call_id(request)
                if not call_id:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                if not await answer(writer, call_id, earlier):
                    return
                earlier.append(call_id)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def start_with_server(cluster, address, kind="idempotent"):
    await cluster.add(service="raw", server=address)
    await cluster.configure(1, a=make_route("raw", kind=kind, maxAttempts=1))
    await cluster.wait_until_linked()


@pytest.mark.parametrize("with_id", [True, False])
@pytest.mark.parametrize("moment", ["before the next answer", "after the answer"])
def test_a_late_second_copy_of_an_answer_never_reaches_another_caller(with_id, moment):
    async def answer(writer, call_id, earlier):
        if earlier and moment == "before the next answer":
            writer.write(make_answer(earlier[-1], with_id))
            await asyncio.sleep(0.002)
        writer.write(make_answer(call_id))
        if moment == "after the answer":
            await asyncio.sleep(0.002)
            writer.write(make_answer(call_id, with_id))
        return True

    async def scenario(cluster):
        async with run_server(answer) as address:
            await start_with_server(cluster, address)
            own = 0
            for number in range(30):
                call_id = f"c{number}"
                status, _, body = await cluster.call(cluster.members[0], call_id=call_id)
                assert status != 200 or body == b"answer to " + call_id.encode()
                own += status == 200
            assert own >= 15

    run_scenario(scenario)


def make_refusal(call_id, with_id=True):
    echo = b"Ragwortvalve-Attempt-Id: " + call_id + b"\r\n" if with_id else b""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nRagwortvalve-Not-Executed: 1\r\n%s"
        b"Content-Length: 0\r\n\r\n" % echo
    )


@pytest.mark.parametrize("with_id", [True, False])
@pytest.mark.parametrize("moment", ["before the answer", "with the answer", "without an answer"])
def test_an_earlier_refusal_written_again_never_counts_for_a_call_that_runs(with_id, moment):
    # A call that runs would be reported as not run, or run again at the second server.
    runs, kept = [], []

    async def answer(writer, call_id, earlier):
        if len(earlier) % 2 == 0:
            writer.write(make_refusal(call_id, with_id))
            return True
        runs.append(call_id)
        kept.append(writer)
        writer.write(make_refusal(earlier[-1], with_id))
        if moment == "before the answer":
            await asyncio.sleep(0.002)
        elif moment == "without an answer":
            await asyncio.sleep(0.05)
            return False
        writer.write(make_answer(call_id))
        return True

    async def scenario(cluster):
        async with run_server(answer) as address:
            for _ in range(2):
                await cluster.add(service="raw", server=address)
            await cluster.configure(1, a=make_route("raw", kind="non_idempotent", maxAttempts=2))
            await cluster.wait_until_linked()
            for number in range(30):
                call_id = f"c{number}"
                status, _, _ = await cluster.call(
                    cluster.members[0], method="POST", call_id=call_id
                )
                count = runs.count(call_id.encode())
                assert count <= 1
                assert not (count and status in (408, 421, 429, 503)), (call_id, status)
            # The refusals were written on connections that were in use again.
            assert kept

    run_scenario(scenario)


FRAMINGS = {
    "length": make_answer(b"c1", body=b"0123456789"),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nRagwortvalve-Response-Signature: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("framing", sorted(FRAMINGS))
@pytest.mark.parametrize("resets", [False, True])
def test_an_answer_that_breaks_off_anywhere_is_never_a_complete_success(framing, resets):
    complete = FRAMINGS[framing]
    cut = {"at": 0}

    async def answer(writer, call_id, earlier):
        writer.write(complete[: cut["at"]])
        await writer.drain()
        if resets:
            await asyncio.sleep(0.002)
            reset(writer)
        return False

    async def scenario(cluster):
        async with run_server(answer) as address:
            await start_with_server(cluster, address, kind="non_idempotent")
            for cut["at"] in range(0, len(complete), 3):
                try:
                    status, _, body = await cluster.call(
                        cluster.members[0], method="POST", call_id=f"c{cut['at']}"
                    )
                except aiohttp.ClientError:
                    continue
                assert status in (502, 503, 504), (cut["at"], status, body)

    run_scenario(scenario)


@pytest.mark.parametrize("resets", [False, True])
def test_a_body_until_the_close_is_complete_only_if_the_connection_ends_in_order(resets):
    async def answer(writer, call_id, earlier):
        writer.write(b"HTTP/1.1 200 OK\r\nRagwortvalve-Response-Signature: s\r\n\r\n01234")
        await writer.drain()
        if resets:
            await asyncio.sleep(0.02)
            reset(writer)
        return False

    async def scenario(cluster):
        async with run_server(answer) as address:
            await start_with_server(cluster, address, kind="non_idempotent")
            status, _, body = await cluster.call(cluster.members[0], method="POST")
            assert (status, body) == (200, b"01234") or (resets and status == 502)
            assert not (resets and status == 200)

    run_scenario(scenario)


def test_calls_whose_last_byte_comes_as_a_planned_stop_begins_are_all_answered():
    async def scenario(cluster):
        await cluster.configure(1, a=make_route("s"))
        await cluster.wait_until_linked()
        first, second = cluster.members
        first.application.service_time_s = second.application.service_time_s = 0.05
        host, _, port = second.entry.rpartition(":")
        connections = [await asyncio.open_connection(host, int(port)) for _ in range(24)]
        for number, (_, writer) in enumerate(connections):
            head = f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: c{number}\r\n"
            writer.write(head.encode() + f"{ATTEMPT_ID[:-10]}deadline-ms: 1500\r\n\r".encode())
        await asyncio.sleep(0.1)
        for _, writer in connections[:12]:
            writer.write(b"\n")
        stop = asyncio.create_task(second.node.stop())
        for _, writer in connections[12:]:
            writer.write(b"\n")
        statuses = []
        for reader, writer in connections:
            head = await reader.readuntil(b"\r\n\r\n")
            statuses.append(int(head.split()[1]))
            writer.close()
        await stop
        cluster.members.remove(second)
        assert statuses == [200] * 24

    run_scenario(scenario, ("s", "s"))


def test_a_server_that_has_left_gets_no_call_after_its_node_was_restarted():
    async def scenario(cluster):
        await cluster.configure(1, a=make_route("s"))
        await cluster.wait_until_linked()
        first, second = cluster.members
        await deregister(second.control, second.application)
        await second.node.stop()
        cluster.members.remove(second)
        # The platform stops a server after it has left; a restarted node finds none beside it.
        await cluster.add(server="127.0.0.1:9", without_heartbeat=True)
        await cluster.wait_until_linked()
        for number in range(10):
            status, _, body = await cluster.call(cluster.members[1], call_id=f"c{number}")
            assert (status, body) == (200, b"i-n1:")
        assert sum(second.application.runs.values()) == 0

    run_scenario(scenario, ("s", "s"))


class SilentTransport:
    """Holds back what a link sends, and reads nothing, until it is released."""

    def __init__(self, transport):
        self.transport = transport
        self.held = []
        transport.pause_reading()

    def write(self, data):
        self.held.append(data)

    def release(self, link):
        link._transport = self.transport
        for data in self.held:
            self.transport.write(data)
        self.transport.resume_reading()

    def __getattr__(self, name):
        return getattr(self.transport, name)


def drop_segments(sock):
    """Make the kernel drop what arrives for a socket, as if its host were gone."""
    program = ctypes.create_string_buffer(struct.pack("=HBBI", 0x06, 0, 0, 0))
    filter_fields = struct.pack("@HP", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, 26, filter_fields)  # SO_ATTACH_FILTER: "return 0 bytes"


def silence_links(node):
    silenced = []
    for _, link in node._peers.list_links():
        link._transport = SilentTransport(link._transport)
        silenced.append(link)
    return silenced


@pytest.mark.parametrize("silent_s", [1.0, 2.6])
def test_work_at_a_node_that_is_silent_for_a_while_is_not_given_up_or_run_again(silent_s):
    async def scenario(cluster):
        await cluster.configure(1, a=make_route("t", kind="non_idempotent", timeoutMs=8000))
        await cluster.wait_until_linked()
        first, second = cluster.members
        second.application.service_time_s = 0.5
        call = asyncio.create_task(
            cluster.call(first, method="POST", headers={"Ragwortvalve-Deadline-Ms": "6000"}.items())
        )
        await wait_until(lambda: second.application.arrivals["c1"] == 1)
        silenced = silence_links(second.node)
        await asyncio.sleep(silent_s)
        for link in silenced:
            if isinstance(link._transport, SilentTransport):
                link._transport.release(link)
        status, _, body = await call
        assert cluster.count_runs("c1") == 1
        if (status, body) != (200, b"i-n2:"):
            pytest.fail(f"the work was given up with status {status}")

    run_scenario(scenario, ("s", "t"))


@pytest.mark.parametrize(
    ("course", "kind", "expected"),
    [
        ("answers", "non_idempotent", 200),
        ("silent", "non_idempotent", 504),
        ("silent", "idempotent", 502),
        ("gone", "non_idempotent", 502),
    ],
)
def test_a_silent_link_gets_no_new_calls_and_is_kept_only_for_those_that_must_not_run_again(
    course, kind, expected, monkeypatch
):
    monkeypatch.setattr(_peers, "PROBE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(_peers, "BUSY_PROBE_S", 0.1)

    async def scenario(cluster):
        await cluster.configure(1, a=make_route("t", kind=kind, maxAttempts=1, timeoutMs=9000))
        await cluster.wait_until_linked()
        first, second = cluster.members
        find_link = first.node._peers.find_link
        link = find_link("n2")
        second.application.service_time_s = 0.2
        call = asyncio.create_task(cluster.call(first, method="POST"))
        await wait_until(lambda: second.application.arrivals["c1"] == 1)
        silenced = silence_links(second.node)
        if course == "gone":
            for other in silenced:
                drop_segments(other._transport.get_extra_info("socket"))
        await wait_until(lambda: find_link("n2") is not link)
        if course == "answers":
            await wait_until(lambda: find_link("n2") is not None)
            for other in silenced:
                other._transport.release(other)
        assert (await call)[0] == expected
        if course == "answers":
            # A link that was opened beside it must not stay open after each pause.
            await wait_until(lambda: find_link("n2") is link)
            await wait_until(lambda: first.node._peers._all_links == {link})
        else:
            await wait_until(lambda: not link.is_open)

    run_scenario(scenario, ("s", "t"))
