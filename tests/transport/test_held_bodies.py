"""The bound on the bytes of long bodies that a server holds."""

import asyncio

import pytest
from helper import wait_until
from ragwort_transport import HeldBodies, HttpLimits, HttpResponse, HttpServer

LIMITS = HttpLimits(500, 1 << 20, 1.0, 5.0)
BOUND = 100_000


def make_head(size):
    return b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


def run_with_server(scenario):
    async def run():
        bodies, release = HeldBodies(BOUND), asyncio.Event()

        async def handle(request):
            await release.wait()
            return HttpResponse(200, [], b"%d" % len(request.body))

        def refuse(headers, held_bytes):
            return HttpResponse(503, [(b"x-refused", b"%d" % held_bytes)])

        server = HttpServer(handle, lambda: LIMITS, None, bodies, refuse)
        port = await server.listen("127.0.0.1:0")
        try:
            async with asyncio.timeout(10):
                await scenario(lambda: asyncio.open_connection("127.0.0.1", port), bodies, release)
        finally:
            server.abort()

    asyncio.run(run())


def test_a_request_over_the_bound_is_refused_before_its_body_is_read():
    async def scenario(connect, bodies, release):
        first_reader, first = await connect()
        first.write(make_head(60_000) + b"x" * 30_000)
        await wait_until(lambda: bodies.held_bytes == 60_000)
        reader, second = await connect()
        second.write(make_head(60_000))
        reply = await reader.read()
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert b"x-refused: 60000" in reply and b"connection: close" in reply
        second.close()
        assert bodies.held_bytes == 60_000
        first.write(b"x" * 30_000)
        release.set()
        assert b"200 OK" in await first_reader.readline()
        await wait_until(lambda: bodies.held_bytes == 0)
        first.close()

    run_with_server(scenario)


def test_a_body_without_stated_length_is_refused_once_the_bound_is_reached():
    async def scenario(connect, bodies, release):
        reader, writer = await connect()
        writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(1, 6):
            writer.write(b"4e20\r\n" + b"x" * 20_000 + b"\r\n")
            await wait_until(lambda expected=number * 20_000: bodies.held_bytes == expected)
        writer.write(b"1\r\nx\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 503 ")
        assert bodies.held_bytes == 0
        writer.close()

    run_with_server(scenario)


@pytest.mark.parametrize("sent", [50_000, 90_000])
def test_a_caller_that_leaves_frees_the_bytes_of_its_body(sent):
    async def scenario(connect, bodies, release):
        _, writer = await connect()
        writer.write(make_head(90_000) + b"x" * sent)
        await wait_until(lambda: bodies.held_bytes == 90_000)
        writer.close()
        await wait_until(lambda: bodies.held_bytes == 0)

    run_with_server(scenario)


def test_short_bodies_are_not_counted():
    async def scenario(connect, bodies, release):
        replies = []
        for _ in range(20):
            reader, writer = await connect()
            writer.write(make_head(16_384) + b"x" * 16_384)
            replies.append((reader, writer))
        release.set()
        for reader, writer in replies:
            assert b"200 OK" in await reader.readline()
            writer.close()
        assert bodies.held_bytes == 0

    run_with_server(scenario)
