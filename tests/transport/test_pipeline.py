import asyncio
from collections import defaultdict

import pytest
from helper import wait_until
from ragwort_transport import HttpLimits, HttpResponse, HttpServer


def make(names):
    """Return requests of empty bodies, named by one letter each; those of capitals are unsafe."""
    form = "%s /%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
    return "".join(form % ("POST" if name < "a" else "GET", name) for name in names).encode()


def run(scenario, idle_s=1.0, size=0):
    """Run a scenario with one connection; requests run until an event releases them."""
    running, cancelled, release = [], [], defaultdict(asyncio.Event)

    async def handle(request):
        name = request.target[1:].decode()
        running.append(name)
        try:
            await release[name].wait()
        except asyncio.CancelledError:
            cancelled.append(name)
            raise
        assert name != "x"
        return HttpResponse(200, [], f"<{name}>".encode() + bytes(size))

    async def wait_running(names):
        await wait_until(lambda: len(running) >= len(names))
        await asyncio.sleep(0.02)
        assert "".join(running) == names

    async def connect():
        server = HttpServer(handle, lambda: HttpLimits(500, 1000, 0.3, idle_s))
        streams = await asyncio.open_connection("127.0.0.1", await server.listen("127.0.0.1:0"))
        async with asyncio.timeout(10):
            await scenario(server, *streams, wait_running, release, cancelled)
        streams[1].close()
        server.abort()

    asyncio.run(connect())


def test_requests_run_together_if_safe_and_are_answered_in_order_even_if_one_fails():
    async def scenario(server, reader, writer, wait_running, release, _):
        writer.write(make("abxcPQd"))
        await wait_running("abxc")
        for name in "cxb":
            release[name].set()
        await wait_running("abxc")
        release["a"].set()
        received = await reader.readuntil(b"<c>")
        order = [received.index(part) for part in (b"<a>", b"<b>", b" 500 ", b"<c>")]
        assert order == sorted(order) and b"connection: close" not in received
        await wait_running("abxcP")
        release["P"].set()
        await wait_running("abxcPQ")

    run(scenario)


def test_a_finished_request_keeps_its_place_among_the_eight_until_it_is_answered():
    async def scenario(server, reader, writer, wait_running, release, cancelled):
        # The part of a head behind complete requests is not counted with them (limit: 500 bytes).
        writer.write(make("abcdefghij") + b"GET /part")
        await wait_running("abcdefgh")
        for name in "bcdefg":
            release[name].set()
        await wait_running("abcdefgh")
        release["a"].set()
        await wait_running("abcdefghij")
        writer.close()
        await server.work.wait_idle()
        assert cancelled == ["h", "i", "j"]

    run(scenario)


@pytest.mark.parametrize("cause", ["stop", "field", "malformed"])
def test_only_the_last_response_of_a_closing_connection_says_so(cause):
    async def scenario(server, reader, writer, wait_running, release, _):
        fields = b"\r\nConnection: close\r\n\r\n" if cause == "field" else b"\r\n\r\n"
        writer.write(make("a") + make("b")[:-4] + fields + make("P"))
        await wait_running("ab")
        if cause == "stop":
            server.start_closing()
        # A malformed request must not cut off those before it, also after the linger time.
        writer.write(b"nonsense\r\n\r\n" if cause == "malformed" else make("c"))
        await asyncio.sleep(1.3 if cause == "malformed" else 0.02)
        release["a"].set()
        release["b"].set()
        first, _, second = (await reader.read()).partition(b"<a>")
        assert b"connection: close" not in first
        assert b"connection: close" in second and second.endswith(b"<b>")
        await wait_running("ab")

    run(scenario)


def test_a_caller_that_does_not_read_starts_no_more_and_is_cut_off():
    async def scenario(server, reader, writer, wait_running, release, _):
        writer.transport.pause_reading()
        for name in "abcdefghijklmnopqrst":
            release[name].set()
        writer.write(make("abcdefghijklmnopqrst"))
        await wait_running("abcdefgh")
        await wait_until(lambda: not server._state.connections)

    run(scenario, idle_s=0.3, size=4 << 20)


def test_100_continue_comes_after_the_responses_before_it():
    async def scenario(server, reader, writer, wait_running, release, _):
        expect = b"\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        writer.write(make("a") + b"POST /P HTTP/1.1" + expect)
        await wait_running("a")
        release["a"].set()
        assert b" 100 " not in await reader.readuntil(b"<a>")
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"

    run(scenario)
