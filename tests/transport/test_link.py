import asyncio
import contextlib

import pytest
from helper import wait_until
from ragwort_common import Counters
from ragwort_node._pool import LinkPool
from ragwort_protocol import Cancel, Hello, LoadReport, Request, Response
from ragwort_transport import LinkLost, send_in_parts

REPORT = LoadReport(0, 1, 0, 0)


def make_request(link, body=b""):
    return Request(link.take_call_id(), "GET", b"/", [], body, 1000.0)


@contextlib.asynccontextmanager
async def run_pair(handle):
    """Run pools ``a`` and ``b``; ``a`` connects to ``b``, whose messages go to ``handle``."""
    counters = Counters()
    ports = []
    a = LinkPool(
        Hello("a", 1), lambda peer: f"127.0.0.1:{ports[0]}", lambda *_: None, counters, 2000
    )
    b = LinkPool(Hello("b", 1), lambda peer: None, handle, counters, 2000)
    ports.append(b.bind("127.0.0.1", 0))
    await b.listen()
    try:
        yield a, b, counters
    finally:
        await a.close()
        await b.close()


def echo(link, message):
    send_in_parts(link, Response(message.call_id, 200, [], message.body, REPORT))


def run_with_link(handle, scenario):
    async def run():
        async with run_pair(handle) as (a, b, counters):
            await scenario(a, b, await a.open_link("b"), counters)

    asyncio.run(run())


@pytest.mark.parametrize("size", [0, 1, 16384, 16385, 65537, 300_000])
def test_a_body_of_any_length_is_transferred_completely(size):
    async def scenario(a, b, link, counters):
        body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
        reply = await link.start_call(make_request(link, body))
        assert reply.body == body

    run_with_link(echo, scenario)


def test_replies_out_of_order_reach_their_own_calls():
    waiting = []

    def reply_in_reverse(link, message):
        waiting.append(message)
        if len(waiting) == 20:
            for request in reversed(waiting):
                echo(link, request)

    async def scenario(a, b, link, counters):
        bodies = [b"%d" % number for number in range(20)]
        calls = [link.start_call(make_request(link, body)) for body in bodies]
        assert [(await reply).body for reply in calls] == bodies

    run_with_link(reply_in_reverse, scenario)


def test_a_late_or_duplicate_reply_is_dropped_and_counted():
    def reply_twice(link, message):
        echo(link, message)
        echo(link, message)

    async def scenario(a, b, link, counters):
        first = make_request(link)
        assert (await link.start_call(first)).call_id == first.call_id
        forgotten = make_request(link)
        reply = link.start_call(forgotten)
        link.forget_call(forgotten.call_id)
        await wait_until(lambda: counters.totals["link.late_answers"] == 3)
        assert not reply.done()

    run_with_link(reply_twice, scenario)


def test_a_broken_link_ends_its_calls_as_lost_and_a_new_link_works():
    async def scenario(a, b, link, counters):
        reply = link.start_call(make_request(link))
        for other in list(b._open_links):
            other.close()
        assert await reply == LinkLost()
        again = await a.open_link("b")
        assert again is not link
        assert again.send(Cancel(1)) > 0
        assert link.send(Cancel(1)) == 0

    run_with_link(lambda link, message: None, scenario)


@pytest.mark.parametrize("frame", [b"\xff\xff\xff\xff\x01", b"\0\0\0\2\x09\xc0", b"\0" * 9])
def test_an_invalid_frame_closes_only_its_own_link(frame):
    async def scenario(a, b, link, counters):
        reader, writer = await asyncio.open_connection(*b._server.sockets[0].getsockname()[:2])
        writer.write(frame)
        while await reader.read(1000):
            pass
        writer.close()
        assert counters.totals["link.protocol_errors"] == 1
        assert (await link.start_call(make_request(link, b"after"))).body == b"after"

    run_with_link(echo, scenario)


def test_a_body_over_the_limit_closes_the_link(monkeypatch):
    monkeypatch.setattr("ragwort_transport._link.MAX_BODY_BYTES", 100_000)

    async def scenario(a, b, link, counters):
        assert await link.start_call(make_request(link, b"x" * 200_000)) == LinkLost(not_run=True)
        assert counters.totals["link.protocol_errors"] == 1

    run_with_link(echo, scenario)


def test_opening_a_link_to_an_unreachable_peer_returns_none():
    async def scenario(a, b, link, counters):
        link.close()
        await b.close()
        await wait_until(lambda: not link.is_open)
        assert await a.open_link("b") is None
        assert counters.totals["link.connect_failures"] == 1

    run_with_link(echo, scenario)
