"""Asks a peer for its rules over gRPC."""

import grpc
from ragwort_common import Counters, Revision
from ragwort_protocol.control import ControlStub, FetchRulesRequest

_CHANNEL_OPTIONS = (("grpc.enable_http_proxy", 0),)
"""Keeps proxy settings of the environment away from the addresses of peers."""


async def fetch_rules(address: str, at_least: Revision, counters: Counters) -> bytes | None:
    """Return a peer's stored rules document, or None when it has none or can't be asked.

    A new revision is fetched once by each node, so the channel is not kept.
    """
    async with grpc.aio.insecure_channel(address, _CHANNEL_OPTIONS) as channel:
        try:
            reply = await ControlStub(channel).FetchRules(FetchRulesRequest(at_least=at_least))
        except grpc.aio.AioRpcError:
            return None
    counters.add("watching.rules_bytes_in", len(reply.document))
    if reply.revision < at_least:
        return None
    return reply.document
