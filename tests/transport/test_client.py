import asyncio
import contextlib

import pytest
from ragwort_common import Outcome, Reason
from ragwort_transport import Answer, ClientPool, Failure, ResponseOwner, find_header

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


def make_response(number, extra=b"", body=b"ok"):
    return b"HTTP/1.1 200 OK\r\nid: %d\r\n%sContent-Length: %d\r\n\r\n%s" % (
        number,
        extra,
        len(body),
        body,
    )


def is_response_to(number):
    def find_owner(headers, is_reused):
        echoed = find_header(headers, b"id")
        if echoed is None:
            return ResponseOwner.UNKNOWN if is_reused else ResponseOwner.CURRENT
        return ResponseOwner.CURRENT if echoed == b"%d" % number else ResponseOwner.EARLIER

    return find_owner


async def exchange_all(script, requests=2, pause_s=0.0):
    """Send requests to a scripted server, and return the results and the connections opened.

    The script holds a list for each request: the bytes that the server sends in turn, or None to
    close the connection.
    """
    served = iter(script)

    async def serve(reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                for part in next(served):
                    if part is None:
                        writer.close()
                        return
                    writer.write(part)
                    await writer.drain()
        except (asyncio.IncompleteReadError, StopIteration, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = ClientPool(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 4, 1000)
    async with server:
        results = []
        for number in range(requests):
            result = await pool.exchange(REQUEST, 2.0, find_owner=is_response_to(number))
            results.append(result)
            await asyncio.sleep(pause_s)
        await pool.close()
        return results, pool.connects


def run(script, **options):
    return asyncio.run(exchange_all(script, **options))


HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nid: %d\r\nContent-Length: 2\r\n\r\n",
    "no body": b"HTTP/1.1 200 OK\r\nid: %d\r\nContent-Length: 0\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nid: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until the close": b"HTTP/1.1 200 OK\r\nid: %d\r\nserver: s\r\n\r\n",
    "interim first": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: %d\r\n\r\n",
    "earlier first": make_response(7) + b"HTTP/1.1 200 OK\r\nid: %d\r\n\r\n",
}


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize("number", [0, 1], ids=["new connection", "kept connection"])
def test_an_answer_whose_head_breaks_off_anywhere_is_no_answer(head, number):
    # Such an answer would reach the caller as a success with an empty body.
    whole = head % number

    async def exchange_cut():
        for cut in range(len(whole)):
            script = [[make_response(0)]] * number + [[whole[:cut], None]]
            results, connects = await exchange_all(script, requests=number + 1)
            assert isinstance(results[-1], Failure), (cut, results[-1])
            assert connects == 1

    asyncio.run(exchange_cut())


def test_an_idle_connection_is_reused():
    results, connects = run([[make_response(0)], [make_response(1)]])
    assert [result.body for result in results] == [b"ok", b"ok"]
    assert connects == 1


def test_a_duplicate_response_before_the_expected_one_is_skipped_by_its_id():
    late = make_response(0, body=b"old")
    results, _ = run([[make_response(0)], [late, make_response(1, body=b"new")]])
    assert results[1].body == b"new"


def test_a_late_copy_without_an_id_never_reaches_the_next_call_on_the_connection():
    late = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
    results, connects = run([[make_response(0)], [late], [make_response(2)]], requests=3)
    assert results[1] == Failure(Outcome.FAILED, Reason.BAD_ANSWER)
    assert results[2].body == b"ok"
    assert connects == 2


def test_a_connection_that_delivered_an_extra_response_is_not_reused():
    script = [[make_response(0)], [make_response(0) + make_response(1)], [make_response(2)]]
    results, connects = run(script, requests=3)
    assert all(isinstance(result, Answer) for result in results)
    assert connects == 2


def test_a_connection_with_bytes_after_a_response_is_not_reused():
    script = [[make_response(0) + b"garbage"], [make_response(1)]]
    results, connects = run(script, pause_s=0.05)
    assert [result.body for result in results] == [b"ok", b"ok"]
    assert connects == 2


def test_a_connection_that_the_server_closes_is_not_reused():
    closing = make_response(0, b"Connection: close\r\n")
    results, connects = run([[closing, None], [make_response(1)]])
    assert [result.body for result in results] == [b"ok", b"ok"]
    assert connects == 2


def test_the_keep_alive_timeout_of_the_server_is_respected():
    expired = make_response(0, b"Keep-Alive: timeout=0\r\n")
    results, connects = run([[expired], [make_response(1)]])
    assert len(results) == 2
    assert connects == 2


def test_a_connection_idle_for_longer_than_max_idle_is_not_reused():
    async def scenario():
        async def serve(reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(make_response(0))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ClientPool(address, 4, 1000)
        await pool.exchange(REQUEST, 2.0)
        await asyncio.sleep(0.05)
        await pool.exchange(REQUEST, 2.0, max_idle_s=0.01)
        connects = pool.connects
        await pool.close()
        server.close()
        return connects

    assert asyncio.run(scenario()) == 2


def test_a_request_without_a_response_ends_at_its_timeout():
    async def scenario():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ClientPool(address, 4, 1000)
        result = await pool.exchange(REQUEST, 0.05)
        server.close()
        return result

    assert asyncio.run(scenario()) == Failure(Outcome.UNKNOWN, Reason.DEADLINE)


def test_a_long_response_may_take_longer_than_the_timeout_while_its_parts_arrive():
    head, parts = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", [b"a"] * 8

    async def scenario(part_count, max_transfer_s):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for part in [head, *parts[:part_count]]:
                writer.write(part)
                await asyncio.sleep(0.05)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ClientPool(address, 4, 1000)
        result = await pool.exchange(REQUEST, 0.2, max_stall_s=0.2, max_transfer_s=max_transfer_s)
        server.close()
        return result

    timed_out = Failure(Outcome.UNKNOWN, Reason.DEADLINE)
    assert asyncio.run(scenario(8, 10.0)) == Answer(200, [(b"content-length", b"8")], b"a" * 8)
    # A response that stalls, and one that goes on for too long.
    assert asyncio.run(scenario(7, 10.0)) == timed_out
    assert asyncio.run(scenario(8, 0.25)) == timed_out


def test_a_request_is_resent_after_a_pooled_connection_breaks_only_if_allowed():
    async def scenario(may_resend):
        answers = iter([[make_response(0)], [None], [make_response(0)]])

        async def serve(reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                for part in next(answers):
                    if part is None:
                        writer.transport.abort()
                        return
                    writer.write(part)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ClientPool(address, 4, 1000)
        await pool.exchange(REQUEST, 2.0)
        result = await pool.exchange(REQUEST, 2.0, may_resend=may_resend)
        await pool.close()
        server.close()
        return result

    assert isinstance(asyncio.run(scenario(True)), Answer)
    assert asyncio.run(scenario(False)) == Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)


def test_a_request_that_was_sent_is_never_reported_as_not_run():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_response(0))
            await reader.readuntil(b"\r\n\r\n")
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ClientPool(address, 4, 1000)
        await pool.exchange(REQUEST, 2.0)
        # The pooled connection breaks, and no new one can be opened.
        return await pool.exchange(REQUEST, 2.0, may_resend=True)

    assert asyncio.run(scenario()) == Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)


def test_a_connection_is_not_reused_after_a_response_that_is_its_last():
    async def scenario():
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(make_response(0))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ClientPool(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 4, 1000)
        async with server:
            for is_last in (True, True, False, False):
                await pool.exchange(REQUEST, 2.0, is_last=lambda answer, last=is_last: last)
            await pool.close()
            await asyncio.sleep(0.01)
        return pool.connects

    assert asyncio.run(scenario()) == 3
