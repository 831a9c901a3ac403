"""The client of the platform's object API."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from types import TracebackType
from typing import Self, TypeVar
from urllib.parse import quote, urlencode

import aiohttp
from expression import Error, Ok, Result
from ragwort_model import ErrorKind, StoreError
from yarl import URL

from ragwort_store._budget import CallBudget
from ragwort_store._objects import Changes, Listing, StoredObject
from ragwort_store._reply import (
    convert_status,
    format_version,
    parse_changes,
    parse_listing,
    parse_version,
)

MAX_OBJECT_BYTES = 1 << 20
MAX_REPLY_BYTES = 64 << 20
"""Maximum size of a reply; a listing holds many objects."""

DEFAULT_CALLS_PER_S = 5.0
DEFAULT_BURST_CALLS = 20.0

_Parsed = TypeVar("_Parsed")


class CallKind(Enum):
    """The kinds of platform calls, by which calls are counted."""

    GET = "get"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"


_WRITE_KINDS = {CallKind.CREATE, CallKind.UPDATE, CallKind.DELETE}


@dataclass(frozen=True, slots=True)
class _Call:
    """One request to the platform."""

    kind: CallKind
    method: str
    path: str
    headers: dict[str, str]
    timeout_s: float
    data: bytes = b""

    @property
    def is_write(self) -> bool:
        return self.kind in _WRITE_KINDS


@dataclass(frozen=True, slots=True)
class _Reply:
    """A successful reply: the version in its entity tag, if any, and the body."""

    version: int | None
    body: bytes


class ObjectStore:
    """Client of the platform's object API; an async context manager.

    Each call returns a value or a ``StoreError``; failures of the platform or the network never
    raise. No call is retried here, since only the caller knows whether a retry is safe.

    Parameters
    ----------
    base_url
        URL of the API, such as ``http://192.0.2.1:8500``.
    timeout_ms
        How long a call may take; the ``wait_ms`` of a watch is added to it.
    budget
        Limits this node's calls; the default is ``DEFAULT_CALLS_PER_S`` with bursts of
        ``DEFAULT_BURST_CALLS``.

    Attributes
    ----------
    calls
        Number of calls sent, by ``CallKind``.
    errors
        Number of failed calls, by ``ErrorKind``.
    """

    def __init__(self, base_url: str, timeout_ms: float, budget: CallBudget | None = None) -> None:
        self.calls: Counter[CallKind] = Counter()
        self.errors: Counter[ErrorKind] = Counter()
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_ms / 1000
        self._budget = budget or CallBudget(
            DEFAULT_CALLS_PER_S, DEFAULT_BURST_CALLS, time.monotonic
        )
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the HTTP session and its connections."""
        assert self._session is not None
        await self._session.close()

    async def get(self, path: str) -> Result[StoredObject, StoreError]:
        """Return the object at a path."""
        call = _Call(CallKind.GET, "GET", _object_path(path), {}, self._timeout_s)
        reply = await self._send(call)
        return self._parse(reply, lambda reply: _parse_object(path, reply))

    async def create(self, path: str, data: bytes) -> Result[StoredObject, StoreError]:
        """Create an object if there is none at the path."""
        return await self._write(CallKind.CREATE, path, {"If-None-Match": "*"}, data)

    async def update(
        self, path: str, data: bytes, expected_version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object if it still has the expected version."""
        headers = {"If-Match": format_version(expected_version)}
        return await self._write(CallKind.UPDATE, path, headers, data)

    async def delete(self, path: str, expected_version: int) -> Result[None, StoreError]:
        """Delete an object if it still has the expected version."""
        headers = {"If-Match": format_version(expected_version)}
        call = _Call(CallKind.DELETE, "DELETE", _object_path(path), headers, self._timeout_s)
        return (await self._send(call)).map(lambda reply: None)

    async def list_objects(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all objects whose path starts with a prefix."""
        query = urlencode({"prefix": prefix})
        call = _Call(CallKind.LIST, "GET", f"/objects?{query}", {}, self._timeout_s)
        return self._parse(await self._send(call), lambda reply: parse_listing(reply.body))

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Wait for changes under a prefix after a version, for ``wait_ms`` at most."""
        query = urlencode({"prefix": prefix, "after": after_version, "wait_ms": wait_ms})
        timeout_s = self._timeout_s + wait_ms / 1000
        call = _Call(CallKind.WATCH, "GET", f"/objects?{query}", {}, timeout_s)
        return self._parse(await self._send(call), lambda reply: parse_changes(reply.body))

    async def _write(
        self, kind: CallKind, path: str, headers: dict[str, str], data: bytes
    ) -> Result[StoredObject, StoreError]:
        if len(data) > MAX_OBJECT_BYTES:
            return self._fail(
                ErrorKind.INVALID, f"an object of {len(data)} bytes exceeds the size limit"
            )
        # Not PUT: aiohttp resends a PUT by itself after a broken connection. A repeat of a write
        # that took effect would look like a conflict with another writer.
        call = _Call(kind, "POST", _object_path(path), headers, self._timeout_s, data)
        reply = await self._send(call)
        if reply.is_error():
            return Error(reply.error)
        version = reply.ok.version
        if version is None:
            return self._fail(ErrorKind.UNCERTAIN, "the reply to a write has no valid ETag")
        return Ok(StoredObject(path, version, data))

    async def _send(self, call: _Call) -> Result[_Reply, StoreError]:
        if not self._budget.take_token():
            return self._fail(
                ErrorKind.OVER_BUDGET, "the node's budget of platform calls is exhausted"
            )
        self.calls[call.kind] += 1
        try:
            return await self._exchange(call)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return self._fail(ErrorKind.UNAVAILABLE, f"cannot connect to the platform: {error}")
        except aiohttp.InvalidURL as error:
            return self._fail(ErrorKind.INVALID, f"invalid platform URL: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = ErrorKind.UNCERTAIN if call.is_write else ErrorKind.UNAVAILABLE
            return self._fail(kind, f"no complete reply from the platform: {error!r}")

    async def _exchange(self, call: _Call) -> Result[_Reply, StoreError]:
        assert self._session is not None, "ObjectStore is used outside its async context"
        timeout = aiohttp.ClientTimeout(total=call.timeout_s, sock_connect=self._timeout_s)
        url = URL(self._base_url + call.path, encoded=True)
        async with self._session.request(
            call.method,
            url,
            data=call.data or None,
            headers=call.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await _read_body(response)
            if body is None:
                response.close()
                kind = ErrorKind.UNCERTAIN if call.is_write else ErrorKind.UNAVAILABLE
                return self._fail(kind, f"a reply of over {MAX_REPLY_BYTES} bytes was cut off")
        if response.status in (200, 201, 204):
            return Ok(_Reply(parse_version(response.headers.get("ETag")), body))
        failure = convert_status(response.status, call.is_write)
        return self._fail(failure.kind, failure.message)

    def _parse(
        self,
        reply: Result[_Reply, StoreError],
        parse: Callable[[_Reply], Result[_Parsed, StoreError]],
    ) -> Result[_Parsed, StoreError]:
        if reply.is_error():
            return Error(reply.error)
        parsed = parse(reply.ok)
        if parsed.is_error():
            self.errors[parsed.error.kind] += 1
        return parsed

    def _fail(self, kind: ErrorKind, message: str) -> Result:
        self.errors[kind] += 1
        return Error(StoreError(kind, message))


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body of a reply, or None if it is over its limit."""
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_REPLY_BYTES:
            return None
    return bytes(body)


def _object_path(path: str) -> str:
    return "/objects/" + quote(path, safe="/")


def _parse_object(path: str, reply: _Reply) -> Result[StoredObject, StoreError]:
    if reply.version is None:
        return Error(StoreError(ErrorKind.INVALID, "the reply has no valid ETag"))
    return Ok(StoredObject(path, reply.version, reply.body))
