"""Long bodies on a link, beside each other and beside other messages."""

import asyncio

import pytest
from ragwort_common import Counters
from ragwort_protocol import (
    BODY_PART_BYTES,
    BodyRequest,
    Cancel,
    Data,
    FrameReader,
    Hello,
    LoadReport,
    Probe,
    ProtocolError,
    Refusal,
    Request,
    Response,
)
from ragwort_transport import Link, LinkLost, PeerCalls

REPORT = LoadReport(0, 1, 0, 0)


class FakeTransport:
    """Holds what is written until the test drains it, and pauses the link as asyncio does."""

    def __init__(self, link):
        self.link = link
        self.held = bytearray()
        self.messages = []
        self.reader = FrameReader()

    def set_write_buffer_limits(self, high, low):
        self.high = high

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return len(self.held)

    def write(self, data):
        self.held += data
        if len(self.held) > self.high:
            self.link.pause_writing()

    def drain(self):
        self.messages += self.reader.feed(bytes(self.held))
        self.held.clear()
        self.link.resume_writing()


def run_with_link(scenario):
    async def run():
        counters = Counters()
        link = Link(Hello("a", 1), lambda *_: None, lambda _: None, lambda _: None, counters)
        transport = FakeTransport(link)
        link.connection_made(transport)
        transport.drain()
        async with asyncio.timeout(10):
            await scenario(link, transport)

    asyncio.run(run())


async def iterate(count=3):
    for _ in range(count):
        await asyncio.sleep(0)


def start_upload(link, size):
    request = Request(link.take_call_id(), "POST", b"/", [], b"x" * size, 1000.0)
    return request.call_id, link.start_call(request)


def list_parts(transport):
    return [message.call_id for message in transport.messages if type(message) is Data]


def test_a_message_waits_for_at_most_one_part_of_the_bodies_before_it():
    async def scenario(link, transport):
        for _ in range(10):
            start_upload(link, 1 << 20)
        await iterate()
        assert len(transport.held) < 2 * BODY_PART_BYTES
        link.send(Probe(7))
        transport.drain()
        assert transport.messages[-1] == Probe(7)
        assert len(list_parts(transport)) == 1

    run_with_link(scenario)


def test_parts_of_different_bodies_take_turns():
    async def scenario(link, transport):
        first, _ = start_upload(link, 5 * BODY_PART_BYTES)
        second, _ = start_upload(link, 2 * BODY_PART_BYTES)
        for _ in range(7):
            await iterate()
            transport.drain()
        assert list_parts(transport) == [first, second, first, second, first, first, first]

    run_with_link(scenario)


def test_a_cancelled_call_sends_no_further_part():
    async def scenario(link, transport):
        call_id, _ = start_upload(link, 5 * BODY_PART_BYTES)
        await iterate()
        link.forget_call(call_id)
        link.send(Cancel(call_id))
        transport.drain()
        await iterate()
        transport.drain()
        assert list_parts(transport) == [call_id]
        assert link._transfers.unsent_bytes == 0

    run_with_link(scenario)


def test_a_closed_link_ends_its_transfers():
    async def scenario(link, transport):
        _, reply = start_upload(link, 5 * BODY_PART_BYTES)
        await iterate()
        link.connection_lost(None)
        transport.drain()
        await iterate()
        assert (await reply, len(transport.held)) == (LinkLost(not_run=True), 0)
        assert link._transfers.unsent_bytes == 0

    run_with_link(scenario)


def test_a_silent_peer_ends_only_the_calls_whose_bodies_are_not_complete():
    async def scenario(link, transport):
        requests = [
            Request(link.take_call_id(), "POST", b"/", [], b"x" * 2 * BODY_PART_BYTES, 1000.0)
            for _ in range(3)
        ]
        replies = [link.start_call(request, body_on_request=True) for request in requests]
        complete, partial, held = replies
        for request in requests[:2]:
            link._receive(BodyRequest(request.call_id))
        for _ in range(3):
            await iterate()
            transport.drain()
        link.give_up_repeatable()
        await iterate()
        assert await partial == await held == LinkLost(not_run=True)
        assert not complete.done()
        transport.drain()
        assert [message.call_id for message in transport.messages if type(message) is Cancel] == [
            request.call_id for request in requests[1:]
        ]

    run_with_link(scenario)


def test_a_body_is_sent_once_and_only_while_its_call_is_in_progress():
    async def scenario(link, transport):
        body = b"x" * 2 * BODY_PART_BYTES
        request = Request(link.take_call_id(), "POST", b"/", [], body, 1000.0)
        link.start_call(request, body_on_request=True)
        transport.drain()
        head = transport.messages[-1]
        assert (head.body, head.body_bytes, head.more) == (b"", len(body), False)
        link._receive(Refusal(request.call_id, "not-run", "overloaded", 0, REPORT))
        link._receive(BodyRequest(request.call_id))
        await iterate()
        transport.drain()
        assert not list_parts(transport)
        assert link._counters.totals["link.late_body_requests"] == 1

    run_with_link(scenario)


@pytest.mark.parametrize("size", [19_999, 20_001])
def test_a_body_of_another_size_than_stated_is_a_protocol_error(size):
    async def scenario(link, transport):
        request = Request(5, "POST", b"/", [], b"", 1000.0, body_bytes=20_000)
        received = link.request_body(request)
        link._receive(Data(5, b"x" * BODY_PART_BYTES, True))
        with pytest.raises(ProtocolError):
            link._receive(Data(5, b"x" * (size - BODY_PART_BYTES), False))
        assert not received.done()

    run_with_link(scenario)


@pytest.mark.parametrize("size", [1 << 20, 6 << 20])
def test_link_with_much_to_send_is_not_used_for_new_calls(size):
    async def scenario(link, transport):
        start_upload(link, size)
        assert link.write_paused == (size > 4 << 20)

    run_with_link(scenario)


def test_a_stopping_node_waits_until_long_responses_are_written():
    async def scenario(link, transport):
        async def answer(request):
            return Response(request.call_id, 200, [], b"x" * 3 * BODY_PART_BYTES, REPORT)

        calls = PeerCalls(answer, Counters(), lambda *_: None)
        calls.receive(link, Request(1, "GET", b"/", [], b"", 1000.0))
        idle = asyncio.create_task(calls.wait_idle())
        for parts in range(3):
            await iterate()
            assert not idle.done()
            assert len(list_parts(transport)) == parts
            transport.drain()
        await idle
        assert len(list_parts(transport)) == 3

    run_with_link(scenario)
