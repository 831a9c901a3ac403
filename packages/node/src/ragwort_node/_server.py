"""HTTP client for the local server."""

from ragwort_transport import Answer, ClientPool, Failure, Headers, build_request

DEADLINE_HEADER = b"ragwort-deadline-ms"
"""Header with the remaining time of a call: set by callers, and passed to servers."""

SHED_HEADER = b"ragwort-shed"
"""Header with which a server marks a call that it refused without running any of it."""


class ServerClient:
    """Builds requests to the local server and sends them over pooled connections.

    Parameters
    ----------
    address
        Address of the server, ``host:port``.
    max_idle
        Maximum number of idle connections that are kept open.
    max_response_bytes
        Maximum size of a response body.
    """

    def __init__(self, address: str, max_idle: int, max_response_bytes: int) -> None:
        self._host_field = (b"host", address.encode())
        self._pool = ClientPool(address, max_idle, max_response_bytes)

    async def run_call(
        self, method: str, target: bytes, headers: Headers, body: bytes, budget_ms: float
    ) -> Answer | Failure:
        """Send a call to the server and return its complete response, or the failure.

        Responses don't tell which request they belong to, so a connection is not used after
        a refusal: a second copy of it would be taken for the next call's.
        """
        request = build_request(method, target, [self._host_field, *headers], body)
        return await self._pool.exchange(
            request, budget_ms / 1000, method == "HEAD", is_last=is_shed
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.close()


def is_shed(answer: Answer) -> bool:
    """Return whether the server refused the call without running it."""
    return answer.status == 503 and any(name == SHED_HEADER for name, _ in answer.headers)
