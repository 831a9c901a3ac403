"""Exchanges claims of idempotency keys between entries and the owners of key ranges."""

import asyncio

from expression import Error, Ok, Result
from ragwort_common import Counters, NodeId
from ragwort_protocol import ClaimReply, ClaimRequest, ClaimResult
from ragwort_transport import Link

from ragwort_node._key_claims import ClaimError
from ragwort_node._owner import KeyOwner
from ragwort_node._pool import LinkPool


class ClaimExchange:
    """Tracks this node's claims that wait for a reply, and the tasks that answer peers' claims."""

    def __init__(
        self, node_id: NodeId, owner: KeyOwner, pool: LinkPool, counters: Counters
    ) -> None:
        self._node_id = node_id
        self._owner = owner
        self._pool = pool
        self._counters = counters
        self._waiting: dict[bytes, asyncio.Future[ClaimReply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def send_claim(
        self, owner: NodeId, request: ClaimRequest
    ) -> Result[ClaimReply, ClaimError]:
        """Send a claim to an owner and return its reply; callers must set a timeout."""
        if owner == self._node_id:
            return Ok(await self._owner.answer_claim(request))
        link = self._pool.find_link(owner) or await self._pool.open_link(owner)
        if link is None:
            return Error(ClaimError(f"no link to {owner}"))
        reply = asyncio.get_running_loop().create_future()
        self._waiting[request.attempt] = reply
        try:
            link.send(request)
            return Ok(await reply)
        finally:
            self._waiting.pop(request.attempt, None)

    def send_result(self, owner: NodeId, result: ClaimResult) -> None:
        """Send the result of a claimed call to the owner, without waiting."""
        if owner == self._node_id:
            self._owner.record_result(result)
        else:
            self._pool.send(owner, result)

    def receive_claim(self, link: Link, request: ClaimRequest) -> None:
        """Start a task that answers a peer's claim."""
        task = asyncio.create_task(self._answer(link, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def receive_reply(self, reply: ClaimReply) -> None:
        """Complete the claim that waits for this reply; count a reply that comes too late."""
        waiting = self._waiting.get(reply.attempt)
        if waiting is None or waiting.done():
            self._counters.add("keys.late_replies")
            return
        waiting.set_result(reply)

    def receive_result(self, result: ClaimResult) -> None:
        """Record the result of a peer's claimed call."""
        if not self._owner.record_result(result):
            self._counters.add("keys.unused_results")

    async def _answer(self, link: Link, request: ClaimRequest) -> None:
        link.send(await self._owner.answer_claim(request))
