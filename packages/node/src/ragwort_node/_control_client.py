"""Fetches a peer's rules over gRPC."""

import grpc
from ragwort_common import Counters, Revision
from ragwort_protocol.control import ControlStub, FetchRulesRequest

_CHANNEL_OPTIONS = (("grpc.enable_http_proxy", 0),)
"""Ignores the proxy settings of the environment, since peers are reached directly."""


async def fetch_rules(address: str, at_least: Revision, counters: Counters) -> bytes | None:
    """Return a peer's stored rules document, or None on an error or if it is too old.

    Each node fetches a new revision only once, so the channel is not kept open.
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
