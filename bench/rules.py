"""Measures rules files of three sizes, and the cost of ``ragwortctl status`` at three fleet sizes.

Run as ``python -m bench.rules``. Matching is compared with a linear search in the same run; a
single gRPC server on loopback takes the place of all nodes that ``status`` queries.
"""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable

import grpc
from ragwort_common import ServiceName
from ragwort_control._nodes import query_all
from ragwort_protocol.control import (
    ControlServicer,
    GetStatusReply,
    Peer,
    add_ControlServicer_to_server,
)
from ragwort_rules import Rules, build_matcher, list_rules, parse_rules

from bench.report import print_result

SEED = 5
SERVICES = 81
RULES_PER_SERVICE = (4, 16, 64)
FLEETS = (24, 240, 720)
CALLS = 20_000
LINEAR_CALLS = 500
TIMEOUT_MS = 20_000
US_PER_S = 1e6

Call = tuple[ServiceName, str, str]


def format_rules(per_service: int) -> bytes:
    """Return a rules file with ``per_service`` rules for each service, the last one a catch-all."""
    lines = []
    for service in range(SERVICES):
        for rule in range(per_service - 1):
            head = f"service-{service} GET /part-{rule}/*/items idempotent deadline=800ms"
            lines.append(f"{head} retries=1 hedge=2% domains=siheung,hwaseong  # hanbit: lookups")
        lines.append(f"service-{service} * /** deadline=5s  # hanbit: everything else")
    return "\n".join(lines).encode()


def choose_calls(per_service: int, count: int) -> list[Call]:
    """Return calls that match rules throughout the file."""
    rng = random.Random(SEED)
    parts = range(per_service)
    return [
        (
            ServiceName(f"service-{rng.randrange(SERVICES)}"),
            "GET",
            f"/part-{rng.choice(parts)}/{rng.randrange(10_000)}/items",
        )
        for _ in range(count)
    ]


def build_linear_matcher(rules: Rules) -> Callable[[ServiceName, str, str], object]:
    """Return a matcher that searches all rules in order and compares paths by segment."""
    split = [(rule, rule.path.split("/")[1:]) for rule in list_rules(rules)]

    def match(service: ServiceName, method: str, path: str) -> object:
        given = path.split("/")[1:]
        for rule, wanted in split:
            if (
                rule.service == service
                and rule.method in ("*", method)
                and _matches_path(wanted, given)
            ):
                return rule
        return None

    return match


def _matches_path(wanted: list[str], given: list[str]) -> bool:
    if wanted[-1] == "**":
        if len(given) < len(wanted):
            return False
        wanted = wanted[:-1]
        given = given[: len(wanted)]
    if len(wanted) != len(given):
        return False
    return all(a == b or (a == "*" and b) for a, b in zip(wanted, given, strict=True))


def time_calls(match: Callable[[ServiceName, str, str], object], calls: list[Call]) -> float:
    """Return the mean time of a match, in microseconds."""
    started = time.perf_counter()
    for call in calls:
        match(*call)
    return (time.perf_counter() - started) / len(calls) * US_PER_S


def measure_rules(per_service: int) -> None:
    """Print the cost of parsing, indexing and matching at one size."""
    data = format_rules(per_service)
    count = SERVICES * per_service
    started = time.perf_counter()
    rules = parse_rules(data).rules
    parsed = time.perf_counter()
    match = build_matcher(rules)
    built = time.perf_counter()
    report(f"rules.{count}.parse", (parsed - started) / count * US_PER_S, "us/rule")
    report(f"rules.{count}.index", (built - parsed) / count * US_PER_S, "us/rule")
    linear_us = time_calls(build_linear_matcher(rules), choose_calls(per_service, LINEAR_CALLS))
    report(
        f"rules.{count}.match", time_calls(match, choose_calls(per_service, CALLS)), "us", linear_us
    )
    tracemalloc.start()
    kept = (build_matcher(rules), parse_rules(data).rules)
    report(f"rules.{count}.memory", tracemalloc.get_traced_memory()[0] / count, "bytes/rule")
    tracemalloc.stop()
    del kept


class Node(ControlServicer):
    """Returns the status of a node with ``peers`` peers."""

    def __init__(self, peers: int) -> None:
        own = self.make_peer(peers)
        others = [self.make_peer(number) for number in range(peers)]
        self.full_reply = GetStatusReply(self=own, peers=others)
        self.short_reply = GetStatusReply(self=own)

    def make_peer(self, number: int) -> Peer:
        """Return the description of a peer, as nodes send it."""
        return Peer(
            node_id=f"service-{number % SERVICES}-{number:04d}",
            service=f"service-{number % SERVICES}",
            region="gyeonggi",
            failure_domain="siheung",
            state="alive",
            incarnation=1_700_000_000_000 + number,
            link_address="192.0.2.117:7701",
            control_address="192.0.2.117:7703",
            revision=830,
        )

    async def GetStatus(self, request, context):  # noqa: N802
        """Return the node's own state, and its peers unless the request excludes them."""
        return self.short_reply if request.without_peers else self.full_reply


async def measure_status(nodes: int) -> None:
    """Print the command's cost of querying a fleet, and the size of the nodes' replies."""
    node = Node(nodes - 1)
    server = grpc.aio.server()
    add_ControlServicer_to_server(node, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    started, used = time.perf_counter(), time.process_time()
    replies = await query_all([f"127.0.0.1:{port}"] * nodes, TIMEOUT_MS)
    elapsed, spent = time.perf_counter() - started, time.process_time() - used
    assert all(reply.is_ok() for reply in replies)
    await server.stop(None)
    report(f"status.{nodes}.elapsed", elapsed, "s")
    report(f"status.{nodes}.processor", spent / nodes * 1e3, "ms/node")
    report(f"status.{nodes}.replies", node.short_reply.ByteSize() * nodes / 1e6, "MB")


def report(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Print a result with the seed of this benchmark."""
    print_result(name, value, unit, baseline, SEED)


def main() -> None:
    """Run all measurements."""
    for per_service in RULES_PER_SERVICE:
        measure_rules(per_service)
    for nodes in FLEETS:
        asyncio.run(measure_status(nodes))


if __name__ == "__main__":
    main()
