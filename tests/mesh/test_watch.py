"""The watch of the configuration notices lost requests in time."""

import asyncio
import json
import re

import pytest
from mesh_cluster import make_configuration, make_route
from ragwort_mesh._configuration import ActiveConfiguration
from ragwort_mesh._events import EventLog
from ragwort_mesh._store import StoreClient, StoreReply
from ragwort_mesh._telemetry import Telemetry
from ragwort_platform import build_list
from ragwort_standins.store import make_object
from ragwort_transport import TIMED_OUT, Answer

from bench.virtual import read_clock, run_virtual

ROUND_TRIP_S = 0.06


class SilentStore:
    """Connections to a store that at times neither answers nor closes them.

    Attributes
    ----------
    silences
        Start and end times of the silences; requests that meet one are never answered.
    writes
        Time, revision and version of each configuration.
    requests
        Number of requests that were sent.
    """

    def __init__(self, silences, writes):
        self.silences = silences
        self.writes = writes
        self.requests = 0

    async def exchange(self, request, timeout_s, **_):
        self.requests += 1
        sent = read_clock()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answer(request.decode(), sent)
        except TimeoutError:
            return TIMED_OUT

    async def _answer(self, request, sent):
        await asyncio.sleep(ROUND_TRIP_S)
        watch = re.search(r"watch=(\d+)&waitMs=(\d+)", request)
        since = int(watch[1]) if watch else 0
        answered_at = sent + ROUND_TRIP_S
        if watch and not self._list(since, answered_at):
            expires = answered_at + int(watch[2]) / 1000
            written = [at for at, _, _ in self.writes if answered_at < at < expires]
            answered_at = min(written, default=expires)
        for start, end in self.silences:
            if start < answered_at and sent < end:
                await asyncio.sleep(3600)
        await asyncio.sleep(max(0.0, answered_at - read_clock()))
        return self._render(watch is not None, self._list(since, answered_at), answered_at)

    def _list(self, since, now):
        return [write for write in self.writes if write[1] > since and write[0] <= now]

    def _render(self, is_watch, writes, now):
        objects = []
        for _, revision, version in writes:
            routes = {"a": make_route("s")}
            stored = make_object("main", make_configuration(version, routes))
            stored["metadata"]["revision"] = revision
            objects.append(stored)
        revision = max(revision for at, revision, _ in self.writes if at <= now)
        if is_watch:
            events = [{"object": stored, "removed": False} for stored in objects]
            body = {"events": events, "asOf": revision}
        else:
            body = {"items": objects[-1:], "hasMore": False, "asOf": revision}
        return Answer(200, [], json.dumps(body).encode())


def find_activation(silence_start_s, silence_s, write_s):
    """Return when the configuration written ``write_s`` after a silence came into force.

    The time is relative to the end of the silence.
    """

    async def play():
        started = read_clock()
        ended = started + silence_start_s + silence_s
        store = SilentStore(
            [(started + silence_start_s, ended)], [(0.0, 5, 1), (ended + write_s, 6, 2)]
        )
        telemetry = Telemetry(EventLog("n"))
        client = StoreClient("127.0.0.1:1", telemetry, lambda _: None, lambda: None)
        client._pool = store
        enabled = asyncio.Event()
        enabled.set()
        changed = asyncio.Queue()
        active = ActiveConfiguration(
            client, telemetry, lambda: changed.put_nowait(active.current.version), enabled, 4.0
        )
        task = asyncio.create_task(active.run())
        while await changed.get() != 2:
            pass
        task.cancel()
        return read_clock() - ended

    return run_virtual(play())


def test_configuration_is_not_late_after_the_store_was_silent():
    settled_s, configuration_s = 4.0, 2.5
    late = [
        (start_s, silence_s, write_s)
        for start_s in (3.0, 4.1, 5.2, 6.3, 7.4, 8.5, 9.9)
        for silence_s in (0.1, 0.9, 2.0, 4.0, 5.0, 6.9, 9.3, 20.0)
        for write_s in (0.01, 0.5, 1.4, 3.0)
        if find_activation(start_s, silence_s, write_s) > max(settled_s, write_s + configuration_s)
    ]
    if late:
        pytest.fail("a configuration came into force later than its bound")


def count_requests(lost_s, probe_interval_s, callers):
    """Return how many requests a node sends to a store that is silent for ``lost_s`` seconds.

    Each of the callers sends one request after the other, and the last ones are answered.
    """

    async def play():
        started = read_clock()
        store = SilentStore([(started, started + lost_s)], [(started, 5, 1)])
        telemetry = Telemetry(EventLog("n"))
        client = StoreClient(
            "127.0.0.1:1",
            telemetry,
            lambda _: None,
            lambda: None,
            lambda: probe_interval_s,
        )
        client._pool = store

        async def call_until_answered():
            while not isinstance(await client.call(build_list("config", "", False)), StoreReply):
                pass
            return read_clock() - started

        regained = await asyncio.gather(*(call_until_answered() for _ in range(callers)))
        return store.requests, max(regained)

    return run_virtual(play())


def test_an_outage_costs_one_probe_per_interval_however_many_tasks_need_the_store():
    for callers in (1, 4):
        requests, _ = count_requests(30.0, 5.0, callers)
        # Each caller's first requests, until the store is found lost, and a probe each 3.75 s.
        assert requests <= 2 * callers + 9


def test_every_task_goes_on_when_one_probe_finds_the_store_back():
    _, regained_s = count_requests(30.0, 2.0, 4)
    # The silence, the longest pause between probes, and the timeout of one that it still met.
    assert regained_s <= 30.0 + 2.5 + 1.0 + 0.5
