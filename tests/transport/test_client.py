import asyncio

from ragwort_common import Outcome, Reason
from ragwort_transport import Answer, ClientPool, Failure, find_header

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


def make_answer(number, extra=b"", body=b"ok"):
    return b"HTTP/1.1 200 OK\r\nid: %d\r\n%sContent-Length: %d\r\n\r\n%s" % (
        number,
        extra,
        len(body),
        body,
    )


def is_answer_to(number):
    return lambda headers: find_header(headers, b"id") == b"%d" % number


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
            result = await pool.exchange(REQUEST, 2.0, is_ours=is_answer_to(number))
            results.append(result)
            await asyncio.sleep(pause_s)
        await pool.close()
        return results, pool.connects


def run(script, **options):
    return asyncio.run(exchange_all(script, **options))


def test_a_kept_connection_is_used_again():
    results, connects = run([[make_answer(0)], [make_answer(1)]])
    assert [result.body for result in results] == [b"ok", b"ok"]
    assert connects == 1


def test_an_extra_answer_in_the_place_of_the_next_is_told_by_its_id():
    late = make_answer(0, body=b"old")
    results, _ = run([[make_answer(0)], [late, make_answer(1, body=b"new")]])
    assert results[1].body == b"new"


def test_a_connection_that_brought_an_extra_answer_is_not_used_again():
    script = [[make_answer(0)], [make_answer(0) + make_answer(1)], [make_answer(2)]]
    results, connects = run(script, requests=3)
    assert all(isinstance(result, Answer) for result in results)
    assert connects == 2


def test_bytes_after_an_answer_belong_to_no_request():
    script = [[make_answer(0) + b"garbage"], [make_answer(1)]]
    results, connects = run(script, pause_s=0.05)
    assert [result.body for result in results] == [b"ok", b"ok"]
    assert connects == 2


def test_a_connection_that_the_server_closes_is_not_used_again():
    closing = make_answer(0, b"Connection: close\r\n")
    results, connects = run([[closing, None], [make_answer(1)]])
    assert [result.body for result in results] == [b"ok", b"ok"]
    assert connects == 2


def test_the_idle_time_that_a_server_states_is_respected():
    brief = make_answer(0, b"Keep-Alive: timeout=0\r\n")
    results, connects = run([[brief], [make_answer(1)]])
    assert len(results) == 2
    assert connects == 2


def test_a_connection_idle_for_too_long_carries_nothing_that_must_not_run_twice():
    async def scenario():
        async def serve(reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(make_answer(0))

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


def test_a_server_that_never_answers_ends_at_the_time_limit():
    async def scenario():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ClientPool(address, 4, 1000)
        result = await pool.exchange(REQUEST, 0.05)
        server.close()
        return result

    assert asyncio.run(scenario()) == Failure(Outcome.UNKNOWN, Reason.DEADLINE)


def test_a_kept_connection_that_breaks_is_replaced_only_for_what_may_be_sent_again():
    async def scenario(may_resend):
        answers = iter([[make_answer(0)], [None], [make_answer(0)]])

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


def test_a_request_that_was_sent_is_never_said_not_to_have_run():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_answer(0))
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
