"""Callers that keep their connections open and record the result of each call."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

import aiohttp
from ragwort_standins.application import ID_FIELD, SIGNATURE_FIELD

from soak.fleet import HOST, Fleet, Member

DEADLINE_MS = 1500
PATIENCE_S = 3.0
"""How long a caller waits for an answer before it gives up on a call."""

CALL_PAUSE_S = 0.05
"""Mean pause between two calls of a caller."""


@dataclass(slots=True)
class Result:
    """Result of a call, as seen by its caller.

    Attributes
    ----------
    member
        Number of the member that the call was sent to.
    starts
        Number of starts of that member's node when the call was sent.
    status
        Status of the answer; 0 if the connection was closed without an answer, -1 if the caller
        timed out, -2 if it could not connect.
    expected
        Body of the request, which the server returns after its instance name.
    """

    call_id: str
    member: int
    starts: int
    service: str
    sent_at: float
    ended_at: float
    status: int
    signature: str = ""
    body: bytes = b""
    expected: bytes = b""
    retry_after: str = ""


async def run_callers(
    fleet: Fleet, seed: int, count: int, until: float, numbers: "itertools.count[int]"
) -> list[Result]:
    """Run callers at every member until a time, and return the results of all calls.

    Call ids are made from ``numbers``, which is shared by all callers of a run to keep them unique.
    """
    results: list[Result] = []
    async with asyncio.TaskGroup() as group:
        for member in fleet.members:
            for index in range(count):
                source = random.Random(f"{seed}-{member.number}-{index}")
                group.create_task(_run_caller(member, source, numbers, until, results))
    return results


async def _run_caller(
    member: Member,
    source: random.Random,
    numbers: "itertools.count[int]",
    until: float,
    results: list[Result],
) -> None:
    connector = aiohttp.TCPConnector(limit=1)
    timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        while time.time() < until:
            service = source.choice(("lookup", "lookup", "confirm"))
            body = source.randbytes(source.choice((0, 30, 5000, 90_000)))
            call_id = f"c-{next(numbers)}"
            results.append(await _call(session, member, service, call_id, body))
            await asyncio.sleep(source.expovariate(1 / CALL_PAUSE_S))


async def _call(
    session: aiohttp.ClientSession, member: Member, service: str, call_id: str, body: bytes
) -> Result:
    result = Result(call_id, member.number, member.starts, service, time.time(), 0.0, 0)
    result.expected = body
    fields = {"Host": HOST, ID_FIELD: call_id, "Ragwortvalve-Deadline-Ms": str(DEADLINE_MS)}
    url = f"http://{member.entry}/{service}/x"
    try:
        async with session.post(url, headers=fields, data=body) as reply:
            result.body = await reply.read()
            result.status = reply.status
            result.signature = reply.headers.get(SIGNATURE_FIELD, "")
            result.retry_after = reply.headers.get("Retry-After", "")
    except aiohttp.ClientConnectorError:
        result.status = -2
    except TimeoutError:
        result.status = -1
    except aiohttp.ClientError:
        result.status = 0
    result.ended_at = time.time()
    return result


@dataclass(frozen=True, slots=True)
class Sighting:
    """Whether a node had the route that a version of the configuration added.

    ``starts`` is the number of starts of the node: a restarted node may not have the version yet.
    """

    member: int
    starts: int
    version: int
    at: float
    known: bool


async def watch_versions(fleet: Fleet, until: float, sightings: list[Sighting]) -> None:
    """Request the routes of the latest versions from every node until a time."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        while time.time() < until:
            for member in fleet.members:
                for version, _ in fleet.configured[-3:]:
                    await _look(session, member, version, sightings)
            await asyncio.sleep(0.2)


async def _look(
    session: aiohttp.ClientSession, member: Member, version: int, sightings: list[Sighting]
) -> None:
    starts, at = member.starts, time.time()
    fields = {"Host": HOST, ID_FIELD: f"v-{version}", "Ragwortvalve-Deadline-Ms": "500"}
    url = f"http://{member.entry}/v{version}/x"
    try:
        async with session.get(url, headers=fields) as reply:
            status = reply.status
    except (aiohttp.ClientError, TimeoutError):
        # A stopped or paused node gives no information about its version.
        return
    if status in (200, 404) and starts == member.starts:
        sightings.append(Sighting(member.number, starts, version, at, status == 200))
