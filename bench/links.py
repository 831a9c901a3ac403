"""Measures the memory of a link, and the processor time of a call over one of many links.

Both ends of each link are in this process, so the memory of one end is half of the measurement.
Memory is the growth of the process's resident set, which does not include kernel buffers.
"""

import asyncio
import time

import psutil
import uvloop
from ragwort_common import Counters, NodeId
from ragwort_protocol import Hello, Message, Request, Response
from ragwort_transport import Link

from bench.costs import REPORT, report
from bench.wire import HEADERS

LINKS = (10, 100, 700)
CALLS = 7_000


def _answer(link: Link, message: Message) -> None:
    if isinstance(message, Request):
        link.send(Response(message.call_id, 200, HEADERS, message.body, REPORT))


def _ignore(link: Link) -> None:
    """Ignore that a link was opened or closed."""


def _make_link() -> Link:
    return Link(Hello(NodeId("host-0001"), 1), _answer, _ignore, _ignore, Counters())


async def measure_links(sizes: tuple[int, ...] = LINKS, calls: int = CALLS) -> None:
    """Print the memory of one end of a link and the time of a call, by the number of open links."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_make_link, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    process = psutil.Process()
    links: list[Link] = []
    await _exchange(await _open(address), calls // 10)
    resident = process.memory_info().rss
    first: float | None = None
    for size in sizes:
        links += [await _open(address) for _ in range(size - len(links))]
        for link in links:
            await _exchange(link, 1)
        growth_bytes = (process.memory_info().rss - resident) / size / 2
        report(f"links.{size}_links.memory", growth_bytes, "bytes/end")
        began = time.process_time()
        for number in range(calls):
            await _exchange(links[number % size], 1)
        cost_us = (time.process_time() - began) / calls * 1e6
        first = first or cost_us
        report(f"links.{size}_links.call", cost_us, "us/call, both ends", first)
    for link in links:
        link.close()
    server.close()
    await asyncio.sleep(0.1)


async def _open(address: tuple[str, int]) -> Link:
    loop = asyncio.get_running_loop()
    _, link = await loop.create_connection(_make_link, *address)
    await link.hello_received
    return link


async def _exchange(link: Link, calls: int) -> None:
    for _ in range(calls):
        request = Request(link.take_call_id(), "GET", b"/drums/17", HEADERS, b"x" * 200, 1_500.0)
        await link.start_call(request)


def run_links() -> None:
    """Run the measurement on uvloop, the event loop that nodes use."""
    uvloop.run(measure_links())
