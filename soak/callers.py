"""Callers that keep their connections open and record the result of each call."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import aiohttp
from ragwort_standins.application import (
    ATTEMPT_ID_HEADER,
    CUSTOMER_HEADER,
    SIGNATURE_HEADER,
)

from soak.customers import CUSTOMERS, Key
from soak.fleet import HOST, Fleet, Member

DEADLINE_MS = 1500
CALLER_TIMEOUT_S = 3.0
"""How long a caller waits for an answer before it gives up on a call."""

CALL_PAUSE_S = 0.05
"""Mean pause between two calls of a caller."""

HOME_SHARE = 0.3
"""Share of the lookups that a caller with a key sends by the home route."""

FORGED_SHARE = 0.2
"""Share of the calls with a key whose caller also names a customer of its own choice."""


@dataclass(slots=True)
class CallResult:
    """Result of a call, as seen by its caller.

    Attributes
    ----------
    member
        Number of the member that the call was sent to.
    node_starts
        Number of starts of that member's node when the call was sent.
    status
        Status of the answer; 0 if the connection was closed without an answer, -1 if the caller
        timed out, -2 if it could not connect.
    expected
        Body of the request, which the server returns after its instance name.
    key
        Key that the caller sent, if any.
    route
        Route of the call, named like its service unless it is the home route.
    """

    call_id: str
    member: int
    node_starts: int
    service: str
    sent_at: float
    ended_at: float
    status: int
    signature: str = ""
    body: bytes = b""
    expected: bytes = b""
    retry_after: str = ""
    key: Key | None = None
    route: str = ""


async def run_callers(
    fleet: Fleet,
    seed: int,
    count: int,
    until: float,
    call_numbers: "itertools.count[int]",
    customers: tuple[str, ...] = CUSTOMERS,
) -> list[CallResult]:
    """Run callers at every member until a time, and return the results of all calls.

    Call ids are made from ``call_numbers``, which all callers of a run share to keep ids unique.
    If the run has keys, each caller has the key of one of the ``customers``.
    """
    results: list[CallResult] = []
    async with asyncio.TaskGroup() as group:
        for member in fleet.members:
            for index in range(count):
                rng = random.Random(f"{seed}-{member.number}-{index}")
                customer = customers[(member.number + index) % len(customers)]
                find_key = partial(fleet.keys.find_key, customer) if fleet.keys else None
                group.create_task(_run_caller(member, rng, call_numbers, until, results, find_key))
    return results


async def _run_caller(
    member: Member,
    rng: random.Random,
    call_numbers: "itertools.count[int]",
    until: float,
    results: list[CallResult],
    find_key: Callable[[float], Key] | None,
) -> None:
    connector = aiohttp.TCPConnector(limit=1)
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        while time.time() < until:
            service = rng.choice(("lookup", "lookup", "confirm"))
            body = rng.randbytes(rng.choice((0, 30, 5000, 90_000)))
            call_id = f"c-{next(call_numbers)}"
            headers, key, route = {}, None, service
            if find_key is not None:
                key = find_key(time.time())
                headers = make_key_headers(key, rng)
                if service == "lookup" and rng.random() < HOME_SHARE:
                    route = "home"
            result = CallResult(call_id, member.number, member.node_starts, service, 0.0, 0.0, 0)
            result.expected, result.key, result.route = body, key, route
            results.append(result)
            await _call(session, member, result, headers)
            await asyncio.sleep(rng.expovariate(1 / CALL_PAUSE_S))


def make_key_headers(key: Key, rng: random.Random) -> dict[str, str]:
    """Return the header fields of a call with a key, some with the name of another customer."""
    headers = {"Authorization": f"Bearer {key.text}"}
    if rng.random() < FORGED_SHARE:
        headers[CUSTOMER_HEADER] = "forged"
    return headers


async def _call(
    session: aiohttp.ClientSession,
    member: Member,
    result: CallResult,
    extra_headers: dict[str, str],
) -> None:
    """Send a call, and complete its result."""
    result.sent_at = time.time()
    headers = extra_headers | {
        "Host": HOST,
        ATTEMPT_ID_HEADER: result.call_id,
        "Ragwortvalve-Deadline-Ms": str(DEADLINE_MS),
    }
    url = f"http://{member.outbound_address}/{result.route}/x"
    try:
        async with session.post(url, headers=headers, data=result.expected) as reply:
            result.body = await reply.read()
            result.status = reply.status
            result.signature = reply.headers.get(SIGNATURE_HEADER, "")
            result.retry_after = reply.headers.get("Retry-After", "")
    except aiohttp.ClientConnectorError:
        result.status = -2
    except TimeoutError:
        result.status = -1
    except aiohttp.ClientError:
        result.status = 0
    result.ended_at = time.time()


async def send_crashing_call(
    session: aiohttp.ClientSession, member: Member, service: str, name: str, key: Key | None
) -> None:
    """Send a request that crashes the server that runs it; its result doesn't count."""
    headers = {"Authorization": f"Bearer {key.text}"} if key is not None else {}
    headers |= {
        "Host": HOST,
        ATTEMPT_ID_HEADER: f"{name}-{time.time_ns()}",
        "Ragwortvalve-Deadline-Ms": str(DEADLINE_MS),
    }
    url = f"http://{member.outbound_address}/{service}/{name}"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            async with session.post(url, headers=headers, data=name.encode()) as reply:
                await reply.read()


@dataclass(frozen=True, slots=True)
class VersionObservation:
    """Whether a node had the route that a version of the configuration added.

    ``node_starts`` is the number of starts of the node; a restarted node may not have the version
    yet.
    """

    member: int
    node_starts: int
    version: int
    at: float
    has_route: bool


async def poll_versions(fleet: Fleet, until: float, observations: list[VersionObservation]) -> None:
    """Request the routes of the latest versions from every node until a time."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        while time.time() < until:
            for member in fleet.members:
                for version, _ in fleet.accepted_versions[-3:]:
                    await _poll_version(session, member, version, observations)
            await asyncio.sleep(0.2)


async def _poll_version(
    session: aiohttp.ClientSession,
    member: Member,
    version: int,
    observations: list[VersionObservation],
) -> None:
    node_starts, at = member.node_starts, time.time()
    headers = {"Host": HOST, ATTEMPT_ID_HEADER: f"v-{version}", "Ragwortvalve-Deadline-Ms": "500"}
    url = f"http://{member.outbound_address}/v{version}/x"
    try:
        async with session.get(url, headers=headers) as reply:
            status = reply.status
    except (aiohttp.ClientError, TimeoutError):
        # A stopped or paused node gives no information about its version.
        return
    if status in (200, 404) and node_starts == member.node_starts:
        observations.append(
            VersionObservation(member.number, node_starts, version, at, status == 200)
        )
