"""The HTTP client towards the one local server."""

import asyncio
from dataclasses import dataclass

import aiohttp
from ragwort_common import Outcome, Reason
from yarl import URL

SHED_HEADER = b"ragwort-shed"
"""Header by which a server says that it refused a call without running any of it."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Header fields that concern one connection only (RFC 9110, section 7.6.1)."""

_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True, slots=True)
class Answer:
    """The server's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """No answer: how the call ended and why."""

    outcome: Outcome
    reason: Reason


class ServerClient:
    """Owns the connections to the local server.

    Parameters
    ----------
    base_url
        Where the server listens, such as ``http://127.0.0.1:8080``.
    max_connections
        Most connections that are open at once.
    max_answer_bytes
        Longest answer that is accepted.
    """

    def __init__(self, base_url: str, max_connections: int, max_answer_bytes: int) -> None:
        self._base_url = base_url.rstrip("/")
        self._max_answer_bytes = max_answer_bytes
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=max_connections, keepalive_timeout=60),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None),
        )
        # aiohttp repeats some methods by itself when a kept connection breaks. Whether a call may
        # run twice is for the rules to say, so that is turned off; a test watches over it.
        self._session._retry_connection = False

    async def run_call(
        self,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        budget_ms: float,
    ) -> Answer | Failure:
        """Send one call to the server and return its whole answer, or why there is none.

        A failed connect is ``NOT_RUN``; anything that breaks later is ``UNKNOWN``, but for an
        answer that came and was cut short or malformed, which is ``FAILED``.
        """
        url = URL(self._base_url + target.decode("latin-1"), encoded=True)
        fields = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in headers]
        try:
            async with (
                asyncio.timeout(budget_ms / 1000),
                self._session.request(
                    method, url, headers=fields, data=body or None, allow_redirects=False
                ) as response,
            ):
                return await self._read_answer(response)
        except aiohttp.ClientConnectorError:
            return Failure(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        except TimeoutError:
            return Failure(Outcome.UNKNOWN, Reason.DEADLINE)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            return Failure(Outcome.FAILED, Reason.BAD_ANSWER)
        except (aiohttp.ClientError, OSError):
            return Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _read_answer(self, response: aiohttp.ClientResponse) -> Answer | Failure:
        length = response.content_length
        if length is not None and length > self._max_answer_bytes:
            return Failure(Outcome.FAILED, Reason.BAD_ANSWER)
        body = await response.read()
        if len(body) > self._max_answer_bytes:
            return Failure(Outcome.FAILED, Reason.BAD_ANSWER)
        headers = [
            (lower, value)
            for name, value in response.raw_headers
            if (lower := name.lower()) not in HOP_BY_HOP
        ]
        return Answer(response.status, headers, body)


def is_shed(answer: Answer) -> bool:
    """Tell whether the server says that it refused the call without running it."""
    return answer.status == 503 and any(name == SHED_HEADER for name, _ in answer.headers)
