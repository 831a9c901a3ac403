import asyncio
import contextlib

import pytest

from soak.proxy import Proxy


@contextlib.asynccontextmanager
async def run_proxy():
    """Run a proxy in front of an echo server."""

    async def echo(reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = Proxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
        server.close()


async def say(proxy, word=b"word"):
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(word)
    return reader, writer


def play(scenario):
    async def run():
        async with asyncio.timeout(5), run_proxy() as proxy:
            await scenario(proxy)

    asyncio.run(run())


def test_data_goes_there_and_back():
    async def scenario(proxy):
        reader, _ = await say(proxy)
        assert await reader.readexactly(4) == b"word"

    play(scenario)


@pytest.mark.parametrize("way", ["passes_requests", "passes_replies"])
def test_a_cut_loses_data_one_way_and_healing_ends_the_connection(way):
    async def scenario(proxy):
        setattr(proxy, way, False)
        reader, _ = await say(proxy)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(4), 0.1)
        proxy.heal()
        with pytest.raises(ConnectionError):
            await reader.readexactly(4)

    play(scenario)


def test_a_reset_ends_open_connections_and_lets_new_ones_in():
    async def scenario(proxy):
        reader, _ = await say(proxy)
        await reader.readexactly(4)
        proxy.reset()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        reader, _ = await say(proxy)
        assert await reader.readexactly(4) == b"word"

    play(scenario)


def test_a_delay_holds_data_back():
    async def scenario(proxy):
        proxy.delay_s = 0.1
        loop = asyncio.get_running_loop()
        began = loop.time()
        reader, _ = await say(proxy)
        await reader.readexactly(4)
        assert loop.time() - began >= 0.2

    play(scenario)
