"""``drain`` and ``undrain``: start and end the draining of a node's server."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from absl import flags
from expression import Error, Ok, Result
from ragwort_protocol.control import SetDrainReply
from ragwort_store import NODES_PREFIX, ErrorKind, StoredObject, StoreError, decode_announcement

from ragwort_control._command import (
    Command,
    Context,
    Failure,
    Outcome,
    Report,
    fail,
    fail_uncertain,
    fail_usage,
)
from ragwort_control._file import read_file
from ragwort_control._flags import define_platform_flags
from ragwort_control._nodes import NodeError, is_address, set_drain
from ragwort_control._platform import explain_error, use_store
from ragwort_control._store import Store


@dataclass(frozen=True, slots=True)
class DrainResult:
    """A node that accepted the request."""

    node: str
    control_address: str
    draining: bool


def _build_run(draining: bool) -> Callable[[Context], Awaitable[Outcome]]:
    async def run(context: Context) -> Outcome:
        """Request that a node start or end draining."""
        (node,) = context.arguments
        token = _read_token(context)
        if token.is_error():
            return Error(token.error)
        address = await _find_address(context, node)
        if address.is_error():
            return Error(address.error)
        timeout_ms = context.get_flag("timeout-ms")
        reply = await set_drain(address.ok, timeout_ms, draining, token.ok)
        return _report_reply(DrainResult(node, address.ok, draining), reply)

    return run


def _read_token(context: Context) -> Result[str, Failure]:
    name = context.get_flag("token-file")
    if not name:
        expected = "expected --token-file=FILE with the token of the node's settings"
        return Error(fail_usage(f"the token is missing, {expected}"))
    return read_file(name).bind(lambda data: _decode_token(name, data))


def _decode_token(name: str, data: bytes) -> Result[str, Failure]:
    try:
        token = data.decode().strip()
    except UnicodeDecodeError:
        token = ""
    if not token or not token.isprintable():
        return Error(fail_usage(f"{name}: the file has no valid token, expected one line of text"))
    return Ok(token)


async def _find_address(context: Context, node: str) -> Result[str, Failure]:
    if is_address(node):
        return Ok(node)
    return await use_store(context, lambda store: _read_announced_address(store, node))


async def _read_announced_address(store: Store, node: str) -> Result[str, Failure]:
    found = await store.get(f"{NODES_PREFIX}{node}")
    if found.is_error():
        return Error(_explain_missing(node, found.error))
    return _read_address(node, found.ok)


def _explain_missing(node: str, error: StoreError) -> Failure:
    if error.kind is ErrorKind.NOT_FOUND:
        return fail_usage(f"node '{node}' is not announced, expected a node that 'status' shows")
    advice = "if the platform is down, give the node's control address HOST:PORT"
    return fail(*explain_error(error).messages, advice)


def _read_address(node: str, stored: StoredObject) -> Result[str, Failure]:
    decoded = decode_announcement(stored.data)
    if decoded.is_error():
        return Error(fail(f"the announcement of node {node} is damaged: {decoded.error.message}"))
    return Ok(decoded.ok.control_address)


def _report_reply(drain: DrainResult, reply: Result[SetDrainReply, NodeError]) -> Outcome:
    if reply.is_error():
        build_failure = fail_uncertain if reply.error.sent else fail
        message = f"node {drain.node} did not confirm: {reply.error.message}"
        return Error(build_failure(message, "retrying is safe; 'status' shows the node's state"))
    if reply.ok.refusal:
        return Error(fail(f"node {drain.node} refused: {reply.ok.refusal}"))
    state = "drains" if drain.draining else "accepts new calls again"
    return Ok(Report(f"node {drain.node} {state}", drain))


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flags(values)
    flags.DEFINE_string(
        "token-file", "", "File with the token of the node's settings.", flag_values=values
    )


DRAIN = Command(
    name="drain",
    arguments="NODE",
    summary="Drain a node's server: it finishes its calls and accepts no new ones.",
    examples=(
        "drain --token-file=token drum-tracking-1",
        "drain --token-file=token 192.0.2.7:7703",
    ),
    argument_counts=range(1, 2),
    define_flags=_define_flags,
    run=_build_run(True),
)
UNDRAIN = Command(
    name="undrain",
    arguments="NODE",
    summary="Let a node's server accept new calls again.",
    examples=("undrain --token-file=token drum-tracking-1",),
    argument_counts=range(1, 2),
    define_flags=_define_flags,
    run=_build_run(False),
)
