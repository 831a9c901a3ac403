"""Stand-in for the platform's object API over HTTP, with fault injection.

Run it as a process with ``python -m ragwort_standins.platform --port N``, or inside the event loop
of a test as ``PlatformStandIn``. The protocol is in docs/design/store.md.
"""

import argparse
import asyncio
import base64
import contextlib
import re
import socket
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Self

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ragwort_standins._objects import Faults, ObjectTable, StoredObject

MAX_OBJECT_BYTES = 1 << 20
MAX_WAIT_MS = 60_000
STOP_TIMEOUT_S = 1
_ETAG = re.compile(r'"([0-9]{1,19})"')


class PlatformApp:
    """Serves an ``ObjectTable`` over HTTP; ``app`` is the ASGI application."""

    def __init__(self, table: ObjectTable, clock: Callable[[], float] = time.monotonic) -> None:
        self.table = table
        self._clock = clock
        self._tokens = 0.0
        self._refilled_at = clock()
        self.app = Starlette(
            routes=[
                Route("/objects", self._query, methods=["GET"]),
                Route("/objects/{path:path}", self._get, methods=["GET"]),
                Route("/objects/{path:path}", self._write, methods=["POST"]),
                Route("/objects/{path:path}", self._delete, methods=["DELETE"]),
                Route("/control/faults", self._set_faults, methods=["POST"]),
                Route("/control/{action}", self._run_action, methods=["POST"]),
                Route("/control/counts", self._show_counts, methods=["GET"]),
            ]
        )

    async def _get(self, request: Request) -> Response:
        refusal = await self._admit("get", request)
        if refusal:
            return refusal
        stored = self.table.objects.get(request.path_params["path"])
        if stored is None:
            return Response(status_code=404)
        return Response(stored.data, headers=_version_header(stored.version))

    async def _write(self, request: Request) -> Response:
        is_create = request.headers.get("If-None-Match") == "*"
        data = await request.body()
        refusal = await self._admit("create" if is_create else "update", request)
        if refusal:
            return refusal
        if len(data) > MAX_OBJECT_BYTES:
            return Response(status_code=413)
        path = request.path_params["path"]
        failure = self._check_create(path) if is_create else self._check_match(path, request)
        if failure:
            return failure
        stored = self.table.write(path, data)
        await self._lose_reply(request)
        status = 201 if is_create else 200
        return Response(status_code=status, headers=_version_header(stored.version))

    async def _delete(self, request: Request) -> Response:
        refusal = await self._admit("delete", request)
        if refusal:
            return refusal
        path = request.path_params["path"]
        failure = self._check_match(path, request)
        if failure:
            return failure
        self.table.delete(path)
        await self._lose_reply(request)
        return Response(status_code=204)

    async def _query(self, request: Request) -> Response:
        query = request.query_params
        is_watch = "after" in query
        refusal = await self._admit("watch" if is_watch else "list", request)
        if refusal:
            return refusal
        prefix = query.get("prefix", "")
        if not is_watch:
            return _render_items(self.table.list_objects(prefix), self.table.version)
        try:
            after = int(query["after"])
            wait_ms = int(query.get("wait_ms", "0"))
        except ValueError:
            return Response(status_code=400)
        return await self._watch(request, prefix, after, min(wait_ms, MAX_WAIT_MS))

    async def _watch(self, request: Request, prefix: str, after: int, wait_ms: int) -> Response:
        deadline = self._clock() + wait_ms / 1000
        while True:
            if self.table.faults.outage or self.table.faults.silent:
                return await self._fail(request)
            if not self.table.has_full_history_since(after):
                return Response(status_code=410)
            changes = self.table.list_changes(prefix, after)
            remaining_s = deadline - self._clock()
            if changes or remaining_s <= 0:
                return _render_items(changes, self.table.version)
            await self.table.wait_for_change(remaining_s)

    async def _admit(self, kind: str, request: Request) -> Response | None:
        """Count a call, and return the error response if a fault makes it fail."""
        faults = self.table.faults
        self.table.counts[kind] += 1
        if faults.outage or faults.silent:
            return await self._fail(request)
        if faults.max_calls_per_s and not self._take_token(faults.max_calls_per_s):
            return Response(status_code=429)
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        return None

    async def _fail(self, request: Request) -> Response:
        if self.table.faults.silent:
            await _wait_for_disconnect(request)
        return Response(status_code=503)

    def _take_token(self, calls_per_s: float) -> bool:
        now = self._clock()
        added = (now - self._refilled_at) * calls_per_s
        self._tokens = min(calls_per_s, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _lose_reply(self, request: Request) -> None:
        if self.table.faults.lost_replies > 0:
            self.table.faults.lost_replies -= 1
            await _wait_for_disconnect(request)

    def _check_create(self, path: str) -> Response | None:
        return Response(status_code=412) if path in self.table.objects else None

    def _check_match(self, path: str, request: Request) -> Response | None:
        match = _ETAG.fullmatch(request.headers.get("If-Match", ""))
        if match is None:
            return Response(status_code=400)
        stored = self.table.objects.get(path)
        if stored is None:
            return Response(status_code=404)
        if stored.version != int(match[1]):
            return Response(status_code=412, headers=_version_header(stored.version))
        return None

    async def _set_faults(self, request: Request) -> Response:
        known = asdict(self.table.faults)
        requested = await request.json()
        unknown = sorted(set(requested) - set(known))
        if unknown:
            return JSONResponse({"unknown": unknown}, status_code=400)
        self.table.faults = Faults(**known | requested)
        self.table.wake_watchers()
        return JSONResponse(asdict(self.table.faults))

    async def _run_action(self, request: Request) -> Response:
        actions = {
            "snapshot": self.table.take_snapshot,
            "restore": self.table.restore_snapshot,
            "compact": self.table.compact,
        }
        action = actions.get(request.path_params["action"])
        if action is None:
            return Response(status_code=404)
        action()
        return Response(status_code=204)

    async def _show_counts(self, request: Request) -> Response:
        return JSONResponse(dict(self.table.counts))


class PlatformStandIn:
    """Async context manager that runs the stand-in in the current event loop.

    Attributes
    ----------
    table
        The objects, the ``faults`` to inject and the ``counts`` of calls.
    url
        The base URL for clients.
    """

    def __init__(self, port: int = 0, host: str = "127.0.0.1") -> None:
        self.table = ObjectTable()
        self._socket = socket.create_server((host, port))
        self.url = f"http://{host}:{self._socket.getsockname()[1]}"
        config = uvicorn.Config(
            PlatformApp(self.table).app,
            log_level="warning",
            access_log=False,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        self._server = uvicorn.Server(config)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start serving; the socket has been listening since construction."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the waiting watches, stop serving and close the socket."""
        assert self._task is not None
        self.table.faults = Faults(outage=True)
        self.table.wake_watchers()
        self._server.should_exit = True
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def serve(self) -> None:
        """Serve until the process receives a stop signal."""
        await self._server.serve(sockets=[self._socket])


async def _wait_for_disconnect(request: Request) -> None:
    message = await request.receive()
    while message["type"] != "http.disconnect":
        message = await request.receive()


def _version_header(version: int) -> dict[str, str]:
    return {"ETag": f'"{version}"'}


def _render_items(items: list[StoredObject], version: int) -> Response:
    rendered = [
        {
            "path": item.path,
            "version": item.version,
            "data": base64.b64encode(item.data).decode(),
            "deleted": item.deleted,
        }
        for item in items
    ]
    return JSONResponse({"version": version, "items": rendered})


def run() -> None:
    """Serve on a port of 127.0.0.1 until the process receives a stop signal."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's object API.")
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(PlatformStandIn(parser.parse_args().port).serve())


if __name__ == "__main__":
    run()
