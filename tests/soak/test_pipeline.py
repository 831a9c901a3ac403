"""The pipelining caller pairs responses with requests, and the check finds those out of order."""

import asyncio
import itertools
import random
import time

from soak.customers import Key
from soak.pipeline import Batch, _Caller, check_order


def test_check_order_reports_swapped_responses_only():
    assert check_order([Batch(["c-1", "c-2", "c-3"], ["c-1", "c-2"])]) == []
    assert len(check_order([Batch(["c-1", "c-2", "c-3"], ["c-2", "c-1", "c-3"])])) == 2
    assert check_order([Batch(["c-1"], [""])])


def run_caller(closes_after):
    """Run a caller for one batch at a server that closes the connection after some responses."""

    async def answer(reader, writer):
        for number in itertools.count(1):
            head = await reader.readuntil(b"\r\n\r\n")
            call_id = head.split(b"Attempt-Id: ")[1].split(b"\r\n")[0]
            is_last = number == closes_after
            close = b"Connection: close\r\n" if is_last else b""
            writer.write(
                b"HTTP/1.1 200 OK\r\n%sRagwortvalve-Attempt-Id: %s\r\nContent-Length: 1\r\n\r\nx"
                % (close, call_id)
            )
            if is_last:
                break

    class Member:
        number, node_starts = 0, 1

    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        Member.outbound_address = f"127.0.0.1:{port}"
        results, batches = [], []
        caller = _Caller(Member(), random.Random(3))
        until = time.time() + 0.01
        key = Key("acre", "key")
        await caller.run(lambda: key, until, itertools.count(1), results, batches)
        server.close()
        return results, batches

    return asyncio.run(run())


def test_caller_reads_every_response_in_order():
    results, batches = run_caller(closes_after=None)
    assert [result.call_id for result in results] == batches[0].sent == batches[0].answered
    assert {(result.status, result.body) for result in results} == {(200, b"x")}


def test_requests_behind_a_closing_response_count_as_not_read():
    results, batches = run_caller(closes_after=2)
    assert [result.call_id for result in results] == batches[0].sent[:2]
    assert len(batches[0].sent) > 2
