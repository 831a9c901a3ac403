"""Stand-in for the users' store: objects by kind and name, conditional writes and watches.

It implements the part of the users' store API that the nodes use, with fault injection. Run it
with ``python -m ragwort_standins.store --port 8500``.
"""

import argparse
import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from aiohttp import web

PAGE_OBJECTS = 50
"""Objects per page of a listing; below the users' 500, so that tests cover paging."""


class StoreFault(Enum):
    """Fault that the store injects into calls."""

    NONE = "none"
    UNAVAILABLE = "busy"
    RATE_LIMITED = "many"
    SILENT = "silent"
    LOST_REPLIES = "loses-answers"


@dataclass(frozen=True)
class StoreCopy:
    """The objects at a revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


@dataclass
class Store:
    """The objects, their change history and the injected fault.

    Attributes
    ----------
    compacted_revision
        Revision up to which the history has been discarded.
    fault
        Fault to inject.
    calls
        Method and path of every request received.
    changed
        Notified after a change, a compaction or a restore.
    era
        Number of the copy that the store runs on; rises with each restore.
    """

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: list[tuple[str, dict[str, Any], bool]] = field(default_factory=list)
    compacted_revision: int = 0
    fault: StoreFault = StoreFault.NONE
    calls: list[tuple[str, str]] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    era: int = 1

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally, and return its revision."""
        await self.record(kind, make_object(name, spec), False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object unconditionally."""
        await self.record(kind, self.objects[kind, name], True)

    async def record(self, kind: str, stored: dict[str, Any], removed: bool) -> None:
        """Apply a change with the next revision, and wake the watches."""
        self.revision += 1
        stored = {**stored, "metadata": {**stored["metadata"], "revision": self.revision}}
        key = (kind, stored["metadata"]["name"])
        if removed:
            self.objects.pop(key, None)
        else:
            self.objects[key] = stored
        self.history.append((kind, stored, removed))
        async with self.changed:
            self.changed.notify_all()

    async def compact(self) -> None:
        """Discard the history, and end the watches of earlier revisions with status 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    def copy_objects(self) -> StoreCopy:
        """Return a copy of the current objects, for a later restore."""
        return StoreCopy(self.revision, dict(self.objects))

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions since then are given out again."""
        self.era += 1
        self.revision = self.compacted_revision = copy.revision
        self.objects = dict(copy.objects)
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    def lacks_history(self, after: int) -> bool:
        """Return whether changes after a revision are not known to the store."""
        return not self.compacted_revision <= after <= self.revision

    def list_events(self, kind: str, after: int) -> list[dict[str, Any]]:
        """Return the changes to objects of a kind after a revision."""
        return [
            {"object": stored, "removed": removed}
            for other, stored, removed in self.history
            if other == kind and stored["metadata"]["revision"] > after
        ]


def make_object(name: str, spec: Any) -> dict[str, Any]:
    """Return a new object without a revision."""
    metadata = {"name": name, "created": 1, "finalizers": [], "deletionPending": False}
    return {"metadata": metadata, "spec": spec, "status": None}


def build_store(store: Store) -> web.Application:
    """Return the web application that serves a store."""

    @web.middleware
    async def inject_fault(request: web.Request, handler: Any) -> web.StreamResponse:
        store.calls.append((request.method, request.path))
        if store.fault is StoreFault.UNAVAILABLE:
            return web.Response(status=503)
        if store.fault is StoreFault.RATE_LIMITED:
            return web.Response(status=429)
        if store.fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        reply = await handler(request)
        reply.headers["Store-Era"] = str(store.era)
        if store.fault is StoreFault.LOST_REPLIES and request.method != "GET":
            assert request.transport is not None
            request.transport.abort()
        return reply

    async def get_kind(request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await watch(kind, int(request.query["watch"]), int(request.query["waitMs"]))
        after = request.query.get("after", "")
        names = sorted(name for other, name in store.objects if other == kind and name > after)
        page = [store.objects[kind, name] for name in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return _reply({"items": page, "hasMore": more, "asOf": store.revision})

    async def watch(kind: str, after: int, wait_ms: int) -> web.Response:
        def has_result() -> bool:
            return store.lacks_history(after) or bool(store.list_events(kind, after))

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), store.changed:
                await store.changed.wait_for(has_result)
        if store.lacks_history(after):
            return web.Response(status=410)
        return _reply({"events": store.list_events(kind, after), "asOf": store.revision})

    async def get_object(request: web.Request) -> web.Response:
        stored = store.objects.get((request.match_info["kind"], request.match_info["name"]))
        return web.Response(status=404) if stored is None else _reply(stored)

    async def create(request: web.Request) -> web.Response:
        kind, body = request.match_info["kind"], await request.json()
        name = body["metadata"]["name"]
        current = store.objects.get((kind, name))
        if current is not None:
            return _reply(current, 409)
        await store.record(kind, make_object(name, body["spec"]), False)
        return _reply(store.objects[kind, name])

    async def replace(request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.json()
        current = store.objects.get((kind, name))
        if current is None:
            return web.Response(status=404)
        expected = body["metadata"].get("revision")
        if expected is not None and expected != current["metadata"]["revision"]:
            return _reply(current, 409)
        if body["spec"] != current["spec"]:
            await store.record(kind, {**current, "spec": body["spec"]}, False)
        return _reply(store.objects[kind, name])

    async def delete(request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        current = store.objects.get((kind, name))
        if current is None:
            return web.Response(status=404)
        expected = request.query.get("revision")
        if expected is not None and int(expected) != current["metadata"]["revision"]:
            return _reply(current, 409)
        await store.remove(kind, name)
        return _reply(current)

    application = web.Application(middlewares=[inject_fault])
    application.add_routes(
        [
            web.get("/-/objects/{kind}", get_kind),
            web.get("/-/objects/{kind}/{name}", get_object),
            web.post("/-/objects/{kind}", create),
            web.put("/-/objects/{kind}/{name}", replace),
            web.delete("/-/objects/{kind}/{name}", delete),
        ]
    )
    return application


def _reply(content: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(content).encode(), content_type="application/json"
    )


def run() -> None:
    """Serve on a port of 127.0.0.1 until the process is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True, help="port on 127.0.0.1")
    options = parser.parse_args()
    web.run_app(build_store(Store()), host="127.0.0.1", port=options.port, print=None)


if __name__ == "__main__":
    run()
