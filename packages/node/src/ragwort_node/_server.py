"""The HTTP client towards the one local server."""

from ragwort_transport import Answer, ClientPool, Failure, Headers, build_request

DEADLINE_HEADER = b"ragwort-deadline-ms"
"""Header with the time left for a call: callers may send it, and servers are told by it."""

SHED_HEADER = b"ragwort-shed"
"""Header by which a server says that it refused a call without running any of it."""


class ServerClient:
    """Builds requests to the local server and sends them over pooled connections.

    Parameters
    ----------
    address
        Where the server listens, ``host:port``.
    max_idle
        Most connections that are kept open between calls.
    max_answer_bytes
        Longest body that is accepted.
    """

    def __init__(self, address: str, max_idle: int, max_answer_bytes: int) -> None:
        self._host_field = (b"host", address.encode())
        self._pool = ClientPool(address, max_idle, max_answer_bytes)

    async def run_call(
        self, method: str, target: bytes, headers: Headers, body: bytes, budget_ms: float
    ) -> Answer | Failure:
        """Send one call to the server and return its whole answer, or why there is none."""
        request = build_request(method, target, [self._host_field, *headers], body)
        return await self._pool.exchange(request, budget_ms / 1000, method == "HEAD")

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.close()


def is_shed(answer: Answer) -> bool:
    """Tell whether the server says that it refused the call without running it."""
    return answer.status == 503 and any(name == SHED_HEADER for name, _ in answer.headers)
