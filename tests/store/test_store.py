import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest
from helper import wait_until
from ragwort_standins.platform import PlatformStandIn
from ragwort_store import CallBudget, CallKind, ErrorKind, ObjectStore

UNLIMITED = 1e9


@asynccontextmanager
async def open_store(timeout_ms=2000):
    budget = CallBudget(UNLIMITED, UNLIMITED, lambda: 0.0)
    async with (
        PlatformStandIn() as platform,
        ObjectStore(platform.url, timeout_ms, budget) as store,
    ):
        yield platform, store


def run_with_store(scenario, timeout_ms=2000):
    async def run():
        async with open_store(timeout_ms) as (platform, store):
            await scenario(platform, store)

    asyncio.run(run())


def test_writes_are_conditional_on_the_version():
    async def scenario(platform, store):
        first = (await store.create("a/ü 1", b"one")).ok
        assert (await store.get("a/ü 1")).ok == first
        assert (await store.create("a/ü 1", b"two")).error.kind is ErrorKind.CONFLICT
        second = (await store.update("a/ü 1", b"two", first.version)).ok
        assert second.version > first.version
        assert (await store.update("a/ü 1", b"x", first.version)).error.kind is ErrorKind.CONFLICT
        assert (await store.delete("a/ü 1", first.version)).error.kind is ErrorKind.CONFLICT
        assert (await store.delete("a/ü 1", second.version)).is_ok()
        assert (await store.get("a/ü 1")).error.kind is ErrorKind.NOT_FOUND
        assert (await store.update("a/ü 1", b"", 1)).error.kind is ErrorKind.NOT_FOUND

    run_with_store(scenario)


def test_one_of_two_racing_writers_wins():
    async def scenario(platform, store):
        version = (await store.create("a", b"")).ok.version
        results = await asyncio.gather(*(store.update("a", b"%d" % n, version) for n in range(9)))
        winners = [result.ok.data for result in results if result.is_ok()]
        assert [(await store.get("a")).ok.data] == winners

    run_with_store(scenario)


def test_a_listing_and_the_watch_after_it_miss_nothing():
    async def scenario(platform, store):
        await store.create("n/1", b"one")
        await store.create("other", b"")
        listing = (await store.list_objects("n/")).ok
        assert [(item.path, item.data) for item in listing.items] == [("n/1", b"one")]
        watching = asyncio.create_task(store.watch("n/", listing.version, 10_000))
        await store.create("n/2", b"two")
        changes = (await watching).ok
        assert [item.path for item in changes.items] == ["n/2"]
        await store.delete("n/1", listing.items[0].version)
        changes = (await store.watch("n/", changes.version, 10_000)).ok
        assert [(item.path, item.deleted) for item in changes.items] == [("n/1", True)]
        assert (await store.watch("n/", changes.version, 1)).ok.items == ()
        assert platform.table.counts["watch"] == store.calls[CallKind.WATCH] == 3

    run_with_store(scenario)


def test_a_watch_from_before_a_compaction_or_across_a_restored_snapshot_is_compacted():
    async def scenario(platform, store):
        first = (await store.create("a", b"one")).ok
        platform.table.take_snapshot()
        second = (await store.update("a", b"two", first.version)).ok
        watching = asyncio.create_task(store.watch("a", second.version, 10_000))
        await wait_until(lambda: platform.table.counts["watch"])
        platform.table.restore_snapshot()
        assert (await watching).error.kind is ErrorKind.COMPACTED
        assert (await store.get("a")).ok == first
        assert (await store.watch("a", 0, 0)).error.kind is ErrorKind.COMPACTED

    run_with_store(scenario)


def test_an_outage_has_no_effect_and_ends_watches():
    async def scenario(platform, store):
        watching = asyncio.create_task(store.watch("", 0, 10_000))
        await wait_until(lambda: platform.table.counts["watch"])
        async with aiohttp.ClientSession() as session:
            await session.post(platform.url + "/control/faults", json={"outage": True})
        assert (await watching).error.kind is ErrorKind.UNAVAILABLE
        assert (await store.create("a", b"")).error.kind is ErrorKind.UNAVAILABLE
        assert platform.table.objects == {}

    run_with_store(scenario)


def test_a_lost_reply_to_a_write_is_uncertain_and_nothing_is_sent_twice():
    async def scenario(platform, store):
        platform.table.faults.lost_replies = 1
        assert (await store.create("a", b"mine")).error.kind is ErrorKind.UNCERTAIN
        assert platform.table.objects["a"].data == b"mine"
        assert platform.table.counts["create"] == 1
        platform.table.faults.silent = True
        assert (await store.get("a")).error.kind is ErrorKind.UNAVAILABLE
        assert store.errors[ErrorKind.UNCERTAIN] == store.errors[ErrorKind.UNAVAILABLE] == 1

    run_with_store(scenario, timeout_ms=100)


def test_a_broken_connection_after_a_write_is_uncertain_and_the_write_is_sent_once():
    async def run():
        requests = []

        async def hang_up(reader, writer):
            requests.append(await reader.readuntil(b"\r\n\r\n"))
            if len(requests) == 1:
                writer.write(b'HTTP/1.1 200 OK\r\nETag: "1"\r\nContent-Length: 0\r\n\r\n')
                requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, ObjectStore(f"http://127.0.0.1:{port}", 1000) as store:
            assert (await store.create("a", b"")).is_ok()
            assert (await store.update("a", b"", 1)).error.kind is ErrorKind.UNCERTAIN
        assert len(requests) == 2

    asyncio.run(run())


def make_reply(body, tag=b'"1"', length=None):
    size = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\nETag: %b\r\nContent-Length: %d\r\n\r\n%b" % (tag, size, body)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"\xff\xfe garbage\r\n\r\n",
        b"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9000,
        b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
        make_reply(b"[]", length=99),
        make_reply(b"[" * 9999, tag=b"odd"),
        make_reply(b'{"version": true, "items": []}', tag=b'"-1"'),
        make_reply(b'{"version": 1, "items": [{"path": 3}]}', tag=b""),
        make_reply(b'{"version": 1, "items": [{"path": "", "version": 1, "data": "?"}]}', tag=b"1"),
    ],
)
def test_a_malformed_reply_returns_an_error(reply):
    async def send_reply(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        writer.close()

    async def run():
        server = await asyncio.start_server(send_reply, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, ObjectStore(f"http://127.0.0.1:{port}", 1000) as store:
            reads = store.get("a"), store.list_objects(""), store.watch("", 0, 1)
            for read in reads:
                kind = (await read).error.kind
                assert kind in (ErrorKind.UNAVAILABLE, ErrorKind.INVALID)
            writes = store.create("a", b""), store.update("a", b"", 1)
            for write in writes:
                assert (await write).error.kind is ErrorKind.UNCERTAIN
            assert sum(store.errors.values()) == 5

    asyncio.run(run())


def test_a_refused_connection_has_no_effect():
    async def run():
        async with ObjectStore("http://127.0.0.1:1", 1000) as store:
            assert (await store.create("a", b"")).error.kind is ErrorKind.UNAVAILABLE

    asyncio.run(run())


def test_oversized_objects_and_calls_over_the_platforms_rate_limit_fail():
    async def scenario(platform, store):
        assert (await store.create("a", b"x" * (1 << 20))).is_ok()
        assert (await store.create("b", b"x" * (1 << 20) + b"x")).error.kind is ErrorKind.INVALID
        assert len((await store.get("a")).ok.data) == 1 << 20
        platform.table.faults.max_calls_per_s = 1e-9
        assert (await store.get("a")).error.kind is ErrorKind.UNAVAILABLE

    run_with_store(scenario)


def test_a_call_over_the_budget_is_not_sent():
    now = 0.0
    budget = CallBudget(calls_per_s=2, burst_calls=3, clock=lambda: now)
    assert [budget.take_token() for _ in range(4)] == [True, True, True, False]
    now = 0.5
    assert [budget.take_token() for _ in range(2)] == [True, False]

    async def run():
        async with PlatformStandIn() as platform, ObjectStore(platform.url, 1000, budget) as store:
            assert (await store.get("a")).error.kind is ErrorKind.OVER_BUDGET
            assert not platform.table.counts
            assert not store.calls

    asyncio.run(run())
