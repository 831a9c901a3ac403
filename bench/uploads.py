"""Measures uploads: time, bytes, memory, and the delay of small calls beside them.

The first part has nodes, servers and a store as processes, without a limit on their links. The
second has a link through a relay of 10 Mbit/s in this process.
"""

import asyncio
import contextlib
import itertools
import socket
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import aiohttp
import psutil
import uvloop
from ragwort_common import Counters, NodeId, Outcome, Reason
from ragwort_protocol import Hello, Message, Refusal, Request, Response
from ragwort_transport import Link, PeerCalls, exchange_call

from bench.costs import REPORT
from bench.deployment import find_free_ports
from bench.report import print_result
from bench.wire import HEADERS
from soak.fleet import HOST, Fleet, Member

SEED = 0
BODY_BYTES = 60_000
BITS_PER_S = 10e6
RELAY_BYTES = 1500
UPLOADS = 100
SMALL_CALLS = 60
CALLS = 200
SAMPLE_S = 0.005
LINK_TIMEOUT_MS = 60_000.0
READY_ATTEMPTS = 100

RunCall = Callable[..., Awaitable[Response | Refusal]]


async def _answer(request: Request, body: object = None) -> Response:
    if body is not None:
        await body.request()
    return Response(request.call_id, 200, HEADERS, b"ok", REPORT)


async def _refuse(request: Request, body: object = None) -> Refusal:
    outcome, reason = Outcome.NOT_RUN.value, Reason.OVERLOADED.value
    return Refusal(request.call_id, outcome, reason, 0, REPORT)


async def _relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forward data at the rate of the link; what is too much stays with the sender."""
    due = 0.0
    with contextlib.suppress(OSError):
        while data := await reader.read(RELAY_BYTES):
            due = max(due, time.monotonic()) + len(data) * 8 / BITS_PER_S
            await asyncio.sleep(due - time.monotonic())
            writer.write(data)
            await writer.drain()
    writer.close()


@contextlib.asynccontextmanager
async def _open_link(run_call: RunCall) -> AsyncIterator[tuple[Link, Counters]]:
    """Open a link through the relay to a peer that runs calls; counts the bytes of both."""
    loop, counters = asyncio.get_running_loop(), Counters()
    calls = PeerCalls(run_call, counters, lambda *_: None)

    def make_link(handle: Callable[[Link, Message], None]) -> Link:
        return Link(Hello(NodeId("h"), 1), handle, lambda _: None, lambda _: None, counters)

    async def connect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        other_reader, other_writer = await asyncio.open_connection(
            *peer.sockets[0].getsockname(), limit=RELAY_BYTES
        )
        # The tasks of the relay are cancelled at the end.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(_relay(reader, other_writer), _relay(other_reader, writer))

    peer = await loop.create_server(lambda: make_link(calls.receive), "127.0.0.1", 0)
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    relay = await asyncio.start_server(connect, sock=sock, limit=RELAY_BYTES)
    _, link = await loop.create_connection(lambda: make_link(lambda *_: None), *sock.getsockname())
    await link.hello_received
    try:
        yield link, counters
    finally:
        link.abort()
        relay.close()
        peer.close()


def _make_request(link: Link, size: int) -> Request:
    return Request(link.take_call_id(), "POST", b"/u", HEADERS, b"u" * size, LINK_TIMEOUT_MS)


async def _time_call(link: Link, size: int, **options: bool) -> float:
    began = time.monotonic()
    await exchange_call(link, _make_request(link, size), **options)
    return (time.monotonic() - began) * 1000


async def measure_delay() -> None:
    """Print the time of a small call alone, and beside uploads on the same link."""
    for count, size in ((0, 0), (1, BODY_BYTES), (1, 1_000_000), (UPLOADS, BODY_BYTES)):
        times: list[float] = []
        async with _open_link(_answer) as (link, _):
            while len(times) < SMALL_CALLS:
                uploads = [link.start_call(_make_request(link, size)) for _ in range(count)]
                while len(times) < SMALL_CALLS:
                    times.append(await _time_call(link, 100))
                    await asyncio.sleep(0.005)
                    if count and all(upload.done() for upload in uploads):
                        break
        name = f"uploads.small_call.beside_{count}_of_{size}"
        print_result(f"{name}.median", statistics.median(times), "ms", None, SEED)
        print_result(f"{name}.max", max(times), "ms", None, SEED)


async def measure_bytes() -> None:
    """Print time and bytes of an upload whose body is sent at once, and when it is asked for."""
    for name, run_call in (("accepted", _answer), ("refused", _refuse)):
        for mode, on_request in (("at_once", False), ("on_request", True)):
            async with _open_link(run_call) as (link, counters):
                before = counters.totals["link.bytes_out"]
                took_ms = await _time_call(link, BODY_BYTES, body_on_request=on_request)
                sent = counters.totals["link.bytes_out"] - before
            print_result(f"uploads.{name}.{mode}.bytes", sent, "bytes", BODY_BYTES, SEED)
            print_result(f"uploads.{name}.{mode}.time", took_ms, "ms", None, SEED)


async def _upload(session: aiohttp.ClientSession, url: str, size: int) -> tuple[int, float]:
    headers = {"Host": HOST}
    began = time.monotonic()
    async with session.post(url, data=b"u" * size, headers=headers) as reply:
        await reply.read()
        return reply.status, (time.monotonic() - began) * 1000


async def measure_nodes() -> None:
    """Print the time of an upload through two nodes, and their memory with many of them."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), find_free_ports(1)[0])
        try:
            await fleet.start(domains=1, copies=1)
            entry, target = fleet.members[0], fleet.members[1]
            async with aiohttp.ClientSession() as session:
                url = f"http://{entry.outbound_address}/confirm/u"
                await _wait_ready(session, url)
                direct_url = f"http://127.0.0.1:{target.ports['server']}/confirm/u"
                await _measure_times(session, url, direct_url)
                await _measure_memory(session, url, entry, target)
        finally:
            await fleet.stop()


async def _wait_ready(session: aiohttp.ClientSession, url: str) -> None:
    for _ in range(READY_ATTEMPTS):
        with contextlib.suppress(aiohttp.ClientError):
            if (await _upload(session, url, 1))[0] == 200:
                return
        await asyncio.sleep(0.2)
    raise RuntimeError("the nodes did not answer a call in time")


async def _measure_times(session: aiohttp.ClientSession, url: str, direct_url: str) -> None:
    times: dict[str, list[float]] = {url: [], direct_url: []}
    for _, each in itertools.product(range(CALLS), times):
        status, took_ms = await _upload(session, each, BODY_BYTES)
        if status == 200:
            times[each].append(took_ms)
    direct_ms = statistics.median(times[direct_url])
    print_result("uploads.direct.median", direct_ms, "ms", None, SEED)
    median_ms = statistics.median(times[url])
    print_result("uploads.two_nodes.median", median_ms, "ms", direct_ms, SEED)
    print_result("uploads.two_nodes.answered", len(times[url]) / CALLS, "ratio", None, SEED)


async def _measure_memory(
    session: aiohttp.ClientSession, url: str, entry: Member, target: Member
) -> None:
    processes = {
        name: psutil.Process(member.node.pid)
        for name, member in (("entry", entry), ("gate", target))
        if member.node is not None
    }
    before = {name: process.memory_info().rss for name, process in processes.items()}
    most = dict(before)
    uploads = [asyncio.create_task(_upload(session, url, BODY_BYTES)) for _ in range(UPLOADS)]
    while not all(upload.done() for upload in uploads):
        for name, process in processes.items():
            most[name] = max(most[name], process.memory_info().rss)
        await asyncio.sleep(SAMPLE_S)
    statuses = [upload.result()[0] for upload in uploads]
    for name in processes:
        growth_mb = (most[name] - before[name]) / 1e6
        print_result(f"uploads.{UPLOADS}_at_once.{name}.memory", most[name] / 1e6, "MB", None, SEED)
        print_result(f"uploads.{UPLOADS}_at_once.{name}.growth", growth_mb, "MB", None, SEED)
    answered = statuses.count(200) / UPLOADS
    print_result(f"uploads.{UPLOADS}_at_once.answered", answered, "ratio", None, SEED)


async def _measure_links() -> None:
    await measure_delay()
    await measure_bytes()


if __name__ == "__main__":
    # The proxies of the first part need asyncio's own event loop.
    asyncio.run(measure_nodes())
    uvloop.run(_measure_links())
