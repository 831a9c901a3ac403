"""``status``: shows all nodes and the revision that each one runs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from absl import flags
from expression import Error, Ok, Result
from ragwort_protocol.control import GetStatusReply
from ragwort_store import NODES_PREFIX, decode_announcement
from tabulate import tabulate

from ragwort_control._command import (
    Command,
    Context,
    ExitStatus,
    Failure,
    Outcome,
    Report,
    fail,
    fail_usage,
)
from ragwort_control._flags import define_platform_flags
from ragwort_control._nodes import NodeError, is_address, query_all, query_status
from ragwort_control._platform import explain_error, use_store
from ragwort_control._revision import read_current
from ragwort_control._store import Store

HEADINGS = ("node", "service", "domain", "control address", "revision", "state", "calls", "queued")
_ADVICE = "if the platform is down, give --node=HOST:PORT, the control address of any node"


@dataclass(frozen=True, slots=True)
class KnownNode:
    """A node that is announced or known to a peer."""

    node_id: str
    service: str
    failure_domain: str
    control_address: str


@dataclass(frozen=True, slots=True)
class NodeRow:
    """A node's reply; the other fields are meaningless when there is an error."""

    node: KnownNode
    revision: int = 0
    state: str = ""
    ready: bool = False
    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    error: str = ""


@dataclass(frozen=True, slots=True)
class Status:
    """The nodes, and the platform's current revision; None if the platform was not queried."""

    current_revision: int | None
    nodes: list[NodeRow]
    damaged: list[str]


@dataclass(frozen=True, slots=True)
class Fleet:
    """The nodes to query, and the paths of announcements that are damaged."""

    current_revision: int | None
    nodes: list[KnownNode]
    damaged: list[str]


async def show_status(context: Context) -> Outcome:
    """Query every node for its status."""
    timeout_ms = context.get_flag("timeout-ms")
    node = context.get_flag("node")
    find = _find_peers(node, timeout_ms) if node else use_store(context, _read_fleet)
    fleet = await find
    if fleet.is_error():
        return Error(fleet.error)
    replies = await query_all([node.control_address for node in fleet.ok.nodes], timeout_ms)
    rows = [_build_row(*pair) for pair in zip(fleet.ok.nodes, replies, strict=True)]
    status = Status(fleet.ok.current_revision, rows, fleet.ok.damaged)
    return Ok(_report_status(status))


async def _find_peers(address: str, timeout_ms: int) -> Result[Fleet, Failure]:
    if not is_address(address):
        return Error(fail_usage(f"node '{address}' is not an address, expected HOST:PORT"))
    reply = await query_status(address, timeout_ms)
    if reply.is_error():
        return Error(fail(f"node {address} could not be queried: {reply.error.message}"))
    own = reply.ok.self
    known = {
        peer.node_id: KnownNode(
            peer.node_id, peer.service, peer.failure_domain, peer.control_address
        )
        for peer in (*reply.ok.peers, own)
    }
    return Ok(Fleet(None, _sort_nodes(known.values()), []))


async def _read_fleet(store: Store) -> Result[Fleet, Failure]:
    current = await read_current(store)
    if current.is_error():
        return Error(Failure(current.error.status, (*current.error.messages, _ADVICE)))
    listing = await store.list_objects(NODES_PREFIX)
    if listing.is_error():
        return Error(Failure(ExitStatus.FAILED, (*explain_error(listing.error).messages, _ADVICE)))
    nodes, damaged = [], []
    for stored in listing.ok.items:
        decoded = decode_announcement(stored.data)
        if decoded.is_error():
            damaged.append(stored.path)
            continue
        found = decoded.ok
        nodes.append(
            KnownNode(found.node_id, found.service, found.failure_domain, found.control_address)
        )
    revision = current.ok.document.revision if current.ok else 0
    return Ok(Fleet(revision, _sort_nodes(nodes), damaged))


def _sort_nodes(nodes: Iterable[KnownNode]) -> list[KnownNode]:
    return sorted(nodes, key=lambda node: (node.service, node.node_id))


def _build_row(node: KnownNode, reply: Result[GetStatusReply, NodeError]) -> NodeRow:
    if reply.is_error():
        return NodeRow(node, error=reply.error.message)
    found = reply.ok
    own = found.self
    if own.node_id != node.node_id:
        # An address may be reused by another node before the old announcement is removed.
        return NodeRow(node, error=f"node {own.node_id} replied at this address")
    return NodeRow(
        node,
        revision=own.revision,
        state=_describe_state(found, own.state),
        ready=found.ready,
        in_flight=found.in_flight,
        limit=found.limit,
        queued=found.queued,
    )


def _describe_state(reply: GetStatusReply, state: str) -> str:
    if reply.draining:
        return "draining"
    return state if reply.ready else f"{state}, not ready".removeprefix(", ")


def _report_status(status: Status) -> Report:
    failed = [row for row in status.nodes if row.error]
    notes = [f"could not query {row.node.node_id}: {row.error}" for row in failed]
    notes += [f"could not read the announcement {path}" for path in status.damaged]
    text = tabulate([_list_cells(status, row) for row in status.nodes], HEADINGS)
    summary = _summarise(status, failed)
    exit_status = ExitStatus.UNCERTAIN if notes else ExitStatus.DONE
    return Report(f"{text}\n{summary}", status, tuple(notes), exit_status)


def _list_cells(status: Status, row: NodeRow) -> Sequence[object]:
    node = row.node
    known = (node.node_id, node.service, node.failure_domain, node.control_address)
    if row.error:
        return (*known, "?", "could not be queried", "?", "?")
    behind = status.current_revision is not None and row.revision < status.current_revision
    revision = f"{row.revision}{' (behind)' if behind else ''}"
    return (*known, revision, row.state, f"{row.in_flight}/{row.limit}", row.queued)


def _summarise(status: Status, failed: list[NodeRow]) -> str:
    replied = [row for row in status.nodes if not row.error]
    counts = dict.fromkeys(sorted({row.revision for row in replied}, reverse=True), 0)
    for row in replied:
        counts[row.revision] += 1
    parts = [f"{count} run revision {revision}" for revision, count in counts.items()]
    if failed:
        parts.append(f"{len(failed)} could not be queried")
    current = status.current_revision
    if current is not None:
        parts.append(f"the platform's current revision is {current}" if current else "no rules yet")
    return f"{len(status.nodes)} nodes: {'; '.join(parts) or 'none'}"


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flags(values)
    flags.DEFINE_string(
        "node",
        "",
        "Control address HOST:PORT of a node to query for its peers instead of the platform.",
        flag_values=values,
    )


COMMAND = Command(
    name="status",
    arguments="",
    summary="Show all nodes, the revision each one runs, and which could not be queried.",
    examples=("status", "status --json", "status --node=192.0.2.7:7703"),
    argument_counts=range(0, 1),
    define_flags=_define_flags,
    run=show_status,
)
