import asyncio
import contextlib
import socket
import struct

import pytest
from ragwort_common import Outcome, Reason
from ragwort_node._server import ServerClient
from ragwort_transport import Answer, Failure

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.asynccontextmanager
async def run_raw_server(replies):
    """Send one entry of ``replies`` for each request; None closes without a reply."""
    requests = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                requests.append(await reader.readuntil(b"\r\n\r\n"))
                reply = replies[min(len(requests), len(replies)) - 1]
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
                if reply is not WHOLE:
                    break
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1], requests


async def call(port, method="GET", budget_ms=5000.0, count=1):
    client = ServerClient(f"127.0.0.1:{port}", 4, 1000)
    try:
        for _ in range(count):
            result = await client.run_call(method, b"/a%2Fb?x=1", [(b"x-a", b"1")], b"", budget_ms)
        return result
    finally:
        await client.close()


async def call_raw(replies, **options):
    async with run_raw_server(replies) as (port, requests):
        return await call(port, **options), requests


def test_a_complete_answer_is_returned_and_the_target_is_passed_unchanged():
    result, requests = asyncio.run(call_raw([WHOLE]))
    assert result == Answer(200, [(b"content-length", b"2")], b"ok")
    assert requests[0].startswith(b"GET /a%2Fb?x=1 HTTP/1.1\r\n")


@pytest.mark.parametrize(
    "reply, limit",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", ""),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ""),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n", ""),
        (b"HTTP/1.1 abc\r\n\r\n", ""),
        (b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n", "head"),
        (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", ""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000, "body"),
    ],
)
def test_a_truncated_malformed_or_too_long_answer_is_never_passed_as_complete(reply, limit):
    result, _ = asyncio.run(call_raw([reply]))
    assert result == Failure(Outcome.FAILED, Reason.BAD_ANSWER, limit)


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nends with its connection"


def test_an_answer_without_a_length_is_complete_when_its_connection_is_closed():
    result, _ = asyncio.run(call_raw([UNFRAMED]))
    assert result == Answer(200, [], b"ends with its connection")


def test_an_answer_without_a_length_is_not_complete_when_its_connection_is_reset():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(UNFRAMED)
            await writer.drain()
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await asyncio.sleep(0.05)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            return await call(server.sockets[0].getsockname()[1])

    assert asyncio.run(scenario()) == Failure(Outcome.FAILED, Reason.BAD_ANSWER)


def test_an_interim_answer_alone_leaves_the_outcome_unknown():
    result, _ = asyncio.run(call_raw([b"HTTP/1.1 100 Continue\r\n\r\n"]))
    assert result == Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_broken_keep_alive_connection_is_unknown_and_never_retried(method):
    result, requests = asyncio.run(call_raw([WHOLE, None], method=method, count=2))
    assert result == Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
    assert len(requests) == 2


def test_an_interim_answer_is_skipped():
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    result, _ = asyncio.run(call_raw([interim + WHOLE]))
    assert result == Answer(200, [(b"content-length", b"2")], b"ok")


def test_an_answer_to_head_has_a_length_and_no_body():
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
    result, _ = asyncio.run(call_raw([reply], method="HEAD"))
    assert result == Answer(200, [(b"content-length", b"900")], b"")


def test_a_second_answer_never_reaches_the_next_call():
    result, requests = asyncio.run(call_raw([WHOLE + WHOLE.replace(b"ok", b"no")], count=2))
    assert result == Answer(200, [(b"content-length", b"2")], b"ok")
    assert len(requests) == 2


def test_a_failed_connect_is_not_run():
    async def connect_nowhere():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return await call(port)

    assert asyncio.run(connect_nowhere()) == Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)


def test_a_server_that_does_not_answer_in_time_leaves_the_outcome_unknown():
    async def call_silent():
        async with await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0) as server:
            return await call(server.sockets[0].getsockname()[1], budget_ms=50.0)

    assert asyncio.run(call_silent()) == Failure(Outcome.UNKNOWN, Reason.DEADLINE)


def test_an_earlier_refusal_written_again_is_not_taken_for_that_of_the_next_call():
    # The server runs the next call, which would be reported as not run.
    shed = b"HTTP/1.1 503 Service Unavailable\r\nRagwort-Shed: 1\r\nContent-Length: 0\r\n\r\n"

    async def scenario():
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(WHOLE if refused else shed)
                refused.append(writer)
                await reader.readuntil(b"\r\n\r\n")
                writer.write(shed + WHOLE)
            writer.close()

        refused = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            return await call(server.sockets[0].getsockname()[1], count=2)

    assert asyncio.run(scenario()).status == 200
