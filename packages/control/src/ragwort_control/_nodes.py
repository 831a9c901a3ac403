"""gRPC calls to nodes: status queries, and starting and ending the draining of a server."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import grpc
from expression import Error, Ok, Result
from ragwort_protocol.control import (
    ControlStub,
    GetStatusReply,
    GetStatusRequest,
    SetDrainReply,
    SetDrainRequest,
)
from tqdm import tqdm

MAX_CONCURRENT_QUERIES = 32

# Control addresses are IP addresses of hosts, so a proxy set in the operator's shell is ignored.
_CHANNEL_OPTIONS = (("grpc.enable_http_proxy", 0),)
_FINAL_STATES = {
    grpc.ChannelConnectivity.READY,
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
}


@dataclass(frozen=True, slots=True)
class NodeError:
    """Why a node did not reply; ``sent`` is true when it may have received the request."""

    message: str
    sent: bool


async def query_status(
    address: str, timeout_ms: int, without_peers: bool = False
) -> Result[GetStatusReply, NodeError]:
    """Query one node for its own status and, unless ``without_peers`` is set, its peers."""
    request = GetStatusRequest(without_peers=without_peers)
    return await _call(address, timeout_ms, "GetStatus", request)


async def set_drain(
    address: str, timeout_ms: int, draining: bool, token: str
) -> Result[SetDrainReply, NodeError]:
    """Request that one node start or end the draining of its server."""
    request = SetDrainRequest(draining=draining, token=token)
    return await _call(address, timeout_ms, "SetDrain", request)


async def query_all(
    addresses: Sequence[str], timeout_ms: int
) -> list[Result[GetStatusReply, NodeError]]:
    """Query many nodes for their status, and return the replies in the same order."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    with tqdm(total=len(addresses), desc="asking", disable=None, leave=False) as progress:

        async def query(address: str) -> Result[GetStatusReply, NodeError]:
            async with semaphore:
                reply = await query_status(address, timeout_ms, without_peers=True)
            progress.update()
            return reply

        return await asyncio.gather(*(query(address) for address in addresses))


async def _call(address: str, timeout_ms: int, name: str, request) -> Result:
    timeout_s = timeout_ms / 1000
    async with grpc.aio.insecure_channel(address, _CHANNEL_OPTIONS) as channel:
        # Before the channel is connected, no request can have been sent.
        if not await _connect(channel, timeout_s):
            return Error(NodeError(f"no connection to {address}", False))
        try:
            return Ok(await getattr(ControlStub(channel), name)(request, timeout=timeout_s))
        except grpc.aio.AioRpcError as error:
            message = f"{error.code().name.lower()}: {error.details()}"
            return Error(NodeError(message, True))


async def _connect(channel: grpc.aio.Channel, timeout_s: float) -> bool:
    """Return whether the channel connects in time; a refused connection fails at once."""
    try:
        async with asyncio.timeout(timeout_s):
            state = channel.get_state(try_to_connect=True)
            while state not in _FINAL_STATES:
                await channel.wait_for_state_change(state)
                state = channel.get_state(try_to_connect=True)
    except TimeoutError:
        return False
    return state is grpc.ChannelConnectivity.READY


def is_address(text: str) -> bool:
    """Return whether a text has the form HOST:PORT."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 1 << 16
