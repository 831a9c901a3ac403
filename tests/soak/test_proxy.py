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


async def send(proxy, data=b"word"):
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(data)
    return reader, writer


def run_scenario(scenario):
    async def run():
        async with asyncio.timeout(5), run_proxy() as proxy:
            await scenario(proxy)

    asyncio.run(run())


def test_forwards_data_in_both_directions():
    async def scenario(proxy):
        reader, _ = await send(proxy)
        assert await reader.readexactly(4) == b"word"

    run_scenario(scenario)


@pytest.mark.parametrize("way", ["passes_requests", "passes_replies"])
def test_blocked_direction_drops_data_and_heal_resets_connection(way):
    async def scenario(proxy):
        setattr(proxy, way, False)
        reader, _ = await send(proxy)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(4), 0.1)
        proxy.heal()
        with pytest.raises(ConnectionError):
            await reader.readexactly(4)

    run_scenario(scenario)


def test_reset_ends_open_connections_and_allows_new_ones():
    async def scenario(proxy):
        reader, _ = await send(proxy)
        await reader.readexactly(4)
        proxy.reset()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        reader, _ = await send(proxy)
        assert await reader.readexactly(4) == b"word"

    run_scenario(scenario)


def test_delay_applies_in_both_directions():
    async def scenario(proxy):
        proxy.delay_s = 0.1
        loop = asyncio.get_running_loop()
        began = loop.time()
        reader, _ = await send(proxy)
        await reader.readexactly(4)
        assert loop.time() - began >= 0.2

    run_scenario(scenario)
