import asyncio

import pytest
from ragwort_common import Counters
from ragwort_protocol import Cancel, LoadReport, Probe, ProtocolError, Request, Response
from ragwort_transport import PeerCalls

REPORT = LoadReport(0, 1, 0, 0)


class FakeGate:
    """Blocks each call until it is released, and records the cancelled calls."""

    def __init__(self):
        self.release = asyncio.Event()
        self.cancelled = []
        self.headers = []

    async def run_call(self, request):
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.call_id)
            raise
        return Response(request.call_id, 200, self.headers, b"ok", REPORT)


class FakeLink:
    def __init__(self):
        self.sent = []

    def send(self, message):
        if isinstance(message, Response) and len(message.headers) > 1:
            raise ProtocolError("over the frame limit")
        self.sent.append(message)


def make_request(call_id):
    return Request(call_id, "GET", b"/", [], b"", 1000.0)


def run_calls(scenario):
    async def run():
        gate, others = FakeGate(), []
        calls = PeerCalls(gate.run_call, Counters(), lambda link, message: others.append(message))
        first, second = FakeLink(), FakeLink()
        for call_id in (1, 2):
            calls.receive(first, make_request(call_id))
        calls.receive(second, make_request(1))
        await asyncio.sleep(0)
        await scenario(calls, gate, first, second, others)

    asyncio.run(run())


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


def test_each_reply_is_sent_on_the_link_of_its_call():
    async def scenario(calls, gate, first, second, others):
        gate.release.set()
        await run_pending_tasks()
        assert [reply.call_id for reply in first.sent] == [1, 2]
        assert [reply.call_id for reply in second.sent] == [1]

    run_calls(scenario)


def test_a_cancel_message_cancels_only_its_own_call():
    async def scenario(calls, gate, first, second, others):
        calls.receive(first, Cancel(2))
        calls.receive(first, Cancel(99))
        await run_pending_tasks()
        assert gate.cancelled == [2]

    run_calls(scenario)


def test_a_closed_link_cancels_only_its_own_calls():
    async def scenario(calls, gate, first, second, others):
        calls.drop_link(first)
        await run_pending_tasks()
        assert gate.cancelled == [1, 2]
        gate.release.set()
        await run_pending_tasks()
        assert (first.sent, len(second.sent)) == ([], 1)

    run_calls(scenario)


def test_a_duplicate_call_id_is_a_protocol_error_and_other_messages_are_forwarded():
    async def scenario(calls, gate, first, second, others):
        with pytest.raises(ProtocolError):
            calls.receive(first, make_request(1))
        calls.receive(first, Probe(4))
        assert others == [Probe(4)]

    run_calls(scenario)


def test_a_response_that_cannot_be_sent_ends_its_call_as_failed_at_once():
    async def scenario(calls, gate, first, second, others):
        gate.headers = [(b"x", b"1")] * 2
        gate.release.set()
        await run_pending_tasks()
        (refusal,) = second.sent
        assert (refusal.outcome, refusal.reason) == ("failed", "bad-answer")

    run_calls(scenario)
