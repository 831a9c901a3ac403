"""Callers that send further GET requests on a connection before the first is answered.

They write raw requests, since client libraries don't pipeline.
"""

import asyncio
import http.client
import io
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_standins.application import ATTEMPT_ID_HEADER, SIGNATURE_HEADER

from soak.callers import CALLER_TIMEOUT_S, DEADLINE_MS, CallResult, make_key_headers
from soak.customers import CUSTOMERS, Key
from soak.fleet import HOST, Fleet, Member

BATCH_RANGE = (2, 12)
"""Least and most requests sent at once; a node starts at most 8 of them at a time."""

BATCH_PAUSE_S = 0.6
"""Mean pause between two batches of a caller."""

SLOW_SHARE = 0.3
"""Share of the requests that take longer, so that those behind them are done first."""


@dataclass(slots=True)
class Batch:
    """Requests that were sent at once on a connection.

    Attributes
    ----------
    sent
        Ids of the calls, in the order of the requests.
    answered
        Ids in the responses, in the order in which they arrived.
    """

    sent: list[str]
    answered: list[str]


async def run_pipelining_callers(
    fleet: Fleet, seed: int, until: float, call_numbers: "itertools.count[int]"
) -> tuple[list[CallResult], list[Batch]]:
    """Run a pipelining caller at every member until a time; return its calls and batches.

    A request that was not answered because an earlier response closed the connection is left out
    of the calls, since it counts as not read.
    """
    assert fleet.keys is not None, "only extended runs have pipelining callers"
    results: list[CallResult] = []
    batches: list[Batch] = []
    async with asyncio.TaskGroup() as group:
        for member in fleet.members:
            caller = _Caller(member, random.Random(f"pipeline-{seed}-{member.number}"))
            customer = CUSTOMERS[member.number % len(CUSTOMERS)]
            find_key = _bind(fleet.keys.find_key, customer)
            group.create_task(caller.run(find_key, until, call_numbers, results, batches))
    return results, batches


def _bind(find_key: Callable[[str, float], Key], customer: str) -> Callable[[], Key]:
    return lambda: find_key(customer, time.time())


class _Caller:
    """A caller that keeps its connection until a response or an error closes it."""

    def __init__(self, member: Member, rng: random.Random) -> None:
        self._member = member
        self._rng = rng
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(
        self,
        find_key: Callable[[], Key],
        until: float,
        call_numbers: "itertools.count[int]",
        results: list[CallResult],
        batches: list[Batch],
    ) -> None:
        while time.time() < until:
            key = find_key()
            count = self._rng.randint(*BATCH_RANGE)
            calls = [self._make_call(f"c-{next(call_numbers)}", key) for _ in range(count)]
            batch = Batch([call.call_id for call in calls], [])
            batches.append(batch)
            results += await self._send(calls, key, batch)
            await asyncio.sleep(self._rng.expovariate(1 / BATCH_PAUSE_S))
        self._close()

    def _make_call(self, call_id: str, key: Key) -> CallResult:
        member = self._member
        result = CallResult(
            call_id, member.number, member.node_starts, "lookup", time.time(), 0.0, -1
        )
        result.key, result.route = key, "lookup"
        return result

    async def _send(self, calls: list[CallResult], key: Key, batch: Batch) -> list[CallResult]:
        """Send calls at once, read their responses, and return those that count as read."""
        done: list[CallResult] = []
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                if self._streams is None:
                    host, _, port = self._member.outbound_address.rpartition(":")
                    self._streams = await asyncio.open_connection(host, int(port))
                reader, writer = self._streams
                writer.write(b"".join(self._encode(call, key) for call in calls))
                for call in calls:
                    done.append(call)
                    if await _read_response(reader, call, batch):
                        self._close()
                        break
        except TimeoutError:
            self._close()
        except OSError:
            # Connecting failed if nothing was sent yet.
            (done or calls)[-1].status = 0 if done else -2
            self._close()
        except (asyncio.IncompleteReadError, http.client.HTTPException, ValueError):
            done[-1].status = 0
            self._close()
        done = done or calls[-1:]
        done[-1].ended_at = done[-1].ended_at or time.time()
        return done

    def _encode(self, call: CallResult, key: Key) -> bytes:
        path = "/lookup/slow" if self._rng.random() < SLOW_SHARE else "/lookup/x"
        headers = {
            "Host": HOST,
            ATTEMPT_ID_HEADER: call.call_id,
            "Ragwortvalve-Deadline-Ms": str(DEADLINE_MS),
            **make_key_headers(key, self._rng),
        }
        lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        return "\r\n".join([*lines, "", ""]).encode()

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


async def _read_response(reader: asyncio.StreamReader, call: CallResult, batch: Batch) -> bool:
    """Read the next response as that of a call; return whether it closes the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, _, fields = head.partition(b"\r\n")
    headers = http.client.parse_headers(io.BytesIO(fields))
    call.body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    call.status = int(status_line.split()[1])
    call.signature = headers.get(SIGNATURE_HEADER, "")
    call.retry_after = headers.get("Retry-After", "")
    call.ended_at = time.time()
    batch.answered.append(headers.get(ATTEMPT_ID_HEADER, ""))
    return headers.get("Connection", "").lower() == "close"


def check_order(batches: list[Batch]) -> list[str]:
    """Report responses that did not arrive in the order of their requests."""
    return [
        f"{expected}: its place in the pipeline got the response of {answered or 'no call'}"
        for batch in batches
        for expected, answered in zip(batch.sent, batch.answered, strict=False)
        if answered != expected
    ]
