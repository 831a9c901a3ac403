"""Measures keyed calls: the time of a claim, the memory of a key and the gain of group commit.

Run as ``python -m bench.once``. Decisions are timed in real time; the journal runs in virtual time
against an in-memory object store.
"""

import asyncio
import gc
import random
import time
import tracemalloc

from ragwort_common import Epoch
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits
from ragwort_node._range_owner import KeyRangeOwner
from ragwort_policy import (
    KEY_RANGES,
    ClaimLimits,
    ClaimTable,
    choose_owner,
    hash_call,
    hash_key,
    read_timestamp_ms,
)
from ragwort_protocol import ClaimReply, ClaimRequest, ClaimResult, ClaimVerdict, encode_frame

from bench.report import print_result
from bench.virtual import MemoryStore, read_clock, read_wall_ms, run_virtual

SEED = 4
TABLE_SIZES = (1_000, 10_000, 50_000)
FLEET_CALLS_PER_S = (6.4, 64, 640, 6_800)
ROUND_TRIPS_MS = (5, 35)
RUN_S = 60.0
REPEATS = 20_000
WALL_MS = 1_700_000_000_000
LIMITS = ClaimLimits(max_keys=10**6, max_marks=10**6)


def report(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Print a result with the seed of this benchmark."""
    print_result(name, value, unit, baseline, SEED)


def make_claims(count: int, timestamp_ms: int) -> list[ClaimRequest]:
    """Return claims of distinct keys."""
    rng = random.Random(SEED)
    return [make_claim(rng, timestamp_ms) for _ in range(count)]


def make_claim(rng: random.Random, timestamp_ms: int) -> ClaimRequest:
    """Return a claim of a random key."""
    key_hash, attempt, fingerprint = (rng.randbytes(16) for _ in range(3))
    return ClaimRequest(attempt, key_hash, fingerprint, 0, 1, timestamp_ms, 10_000.0)


def make_table(marks: set[bytes]) -> ClaimTable:
    """Return an empty claim table whose lease and time horizon allow it to grant claims."""
    table = ClaimTable(Epoch(1), WALL_MS, marks, LIMITS)
    table.horizon_ms = WALL_MS + 60_000
    table.lease_until_s = 1e9
    return table


def measure_us(work, items) -> float:
    """Return the mean time of a function per item, in microseconds."""
    gc.disable()
    start = time.perf_counter()
    for item in items:
        work(item)
    elapsed_s = time.perf_counter() - start
    gc.enable()
    return elapsed_s / len(items) * 1e6


def bench_table() -> None:
    """Measure the time of claims and the memory per key, by the size of the claim table."""
    first_us = None
    for size in TABLE_SIZES:
        fresh = make_claims(size + REPEATS, WALL_MS + 1)[size:]
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        table = make_table(set())
        for claim in make_claims(size, WALL_MS + 1):
            table.decide(claim, 0.0, WALL_MS)
        held_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        grant_us = measure_us(lambda claim, t=table: t.decide(claim, 0.0, WALL_MS), fresh)
        results = [ClaimResult(c.attempt, c.key_hash, 0, "answered") for c in fresh]
        settle_us = measure_us(lambda result, t=table: t.record_result(result, 0.0), results)
        repeat_us = measure_us(lambda claim, t=table: t.decide(claim, 0.0, WALL_MS), fresh)
        first_us = first_us or grant_us
        report(f"once.grant.{size}_keys", grant_us, "us", first_us)
        report(f"once.settle.{size}_keys", settle_us, "us", grant_us)
        report(f"once.repeat.{size}_keys", repeat_us, "us", grant_us)
        report(f"once.table_bytes_per_key.{size}_keys", held_bytes / size, "bytes")


def bench_marks() -> None:
    """Measure the memory per mark that is kept from earlier epochs."""
    for size in TABLE_SIZES:
        rng = random.Random(SEED)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        marks = {rng.randbytes(8) for _ in range(size)}
        held_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        report(f"once.mark_bytes.{size}_marks", held_bytes / len(marks), "bytes")


def bench_entry() -> None:
    """Measure the entry's work for each keyed call, and the bytes sent over the link."""
    keys = [f"017f22e2-79b0-7cc3-98c4-{number:012x}" for number in range(REPEATS)]
    report("once.hash_key", measure_us(lambda key: hash_key("routes", "hanbit", key), keys), "us")
    report("once.read_minted", measure_us(read_timestamp_ms, keys), "us")
    body = b"x" * 1_000
    report("once.hash_call", measure_us(lambda key: hash_call("POST", b"/x", body), keys), "us")
    claim = make_claims(1, WALL_MS)[0]
    reply = ClaimReply(claim.attempt, ClaimVerdict.GRANTED, 7)
    result = ClaimResult(claim.attempt, claim.key_hash, 63, "answered")
    size = sum(len(encode_frame(message)) for message in (claim, reply, result))
    report("once.link_bytes_per_call", size, "bytes")


def bench_ownership() -> None:
    """Measure the time to choose the owner of a key range, at three fleet sizes."""
    first_ms = None
    for size in (24, 720, 7_200):
        nodes = [f"node-{number}" for number in range(size)]
        cost_us = measure_us(lambda r, nodes=nodes: choose_owner(r, nodes, {}, 64), range(8))
        first_ms = first_ms or cost_us
        report(f"once.choose_owner.{size}_nodes", cost_us, "us", first_ms)


async def run_range(calls_per_s: float, round_trip_ms: float) -> tuple[MemoryStore, list[float]]:
    """Send claims of opaque keys to one range at random times; return the store and the delays."""
    rng = random.Random(SEED)
    store = MemoryStore(round_trip_ms / 1_000)
    clocks = OwnerClocks(read_clock, read_wall_ms)
    range_owner = KeyRangeOwner(0, Epoch(1), store, clocks, OwnerLimits(claims=LIMITS))
    range_owner.set_lease_end(1e9)
    task = asyncio.create_task(range_owner.run())
    await asyncio.sleep(10)
    store.writes = store.written_bytes = 0
    delays: list[float] = []

    async def call() -> None:
        start = read_clock()
        claim = make_claim(rng, 0)
        reply = await range_owner.answer_claim(claim)
        assert reply.verdict is ClaimVerdict.GRANTED, reply
        delays.append(read_clock() - start)

    end = read_clock() + RUN_S
    calls = []
    while read_clock() < end:
        await asyncio.sleep(rng.expovariate(calls_per_s))
        calls.append(asyncio.create_task(call()))
    await asyncio.gather(*calls)
    task.cancel()
    return store, sorted(delays)


def bench_journal() -> None:
    """Measure group commit: the fleet's journal writes, and the delay added to a call."""
    for round_trip_ms in ROUND_TRIPS_MS:
        for fleet_calls_per_s in FLEET_CALLS_PER_S:
            store, delays = run_virtual(run_range(fleet_calls_per_s / KEY_RANGES, round_trip_ms))
            name = f"{fleet_calls_per_s:g}_calls_per_s.{round_trip_ms}_ms"
            writes = store.writes / RUN_S * KEY_RANGES
            calls = len(delays) / RUN_S * KEY_RANGES
            kbytes = store.written_bytes / RUN_S * KEY_RANGES / 1_000
            median = delays[len(delays) // 2] * 1e3
            p99 = delays[int(len(delays) * 0.99)] * 1e3
            report(f"once.journal_writes.{name}", writes, "1/s", calls)
            report(f"once.journal_kbytes.{name}", kbytes, "kB/s")
            report(f"once.journal_delay_p50.{name}", median, "ms", round_trip_ms)
            report(f"once.journal_delay_p99.{name}", p99, "ms", round_trip_ms)


def main() -> None:
    """Run all measurements."""
    bench_table()
    bench_marks()
    bench_entry()
    bench_ownership()
    bench_journal()


if __name__ == "__main__":
    main()
