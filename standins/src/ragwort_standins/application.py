"""Stand-in of one of the users' servers: it runs calls, reports itself and keeps count.

It answers with the fields that the users' page on their servers names, makes calls of its own
through the node beside it, and misbehaves on request.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

ID_FIELD = "Ragwortvalve-Attempt-Id"
SIGNATURE_FIELD = "Ragwortvalve-Response-Signature"
INSTANCE_FIELD = "Ragwortvalve-Target-Instance"


@dataclass
class Application:
    """One server and what it has seen.

    Attributes
    ----------
    instance, service
        Its name and what it serves.
    work_s
        Time that a call takes, in seconds.
    behave
        Called with each request that is run; may return an answer in place of the usual one.
    runs, arrivals
        Runs and arrivals by the id of the call.
    requests
        Every request that arrived.
    """

    instance: str
    service: str
    slots: int = 4
    work_s: float = 0.0
    slowdown_percent: int = 100
    behave: Callable[[web.Request], web.Response | None] = lambda request: None
    running: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)
    requests: list[web.Request] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)

    def sign(self, call_id: str) -> str:
        """Return the signature of an answer."""
        return f"{self.instance}.{call_id}"

    async def handle(self, request: web.Request) -> web.Response:
        """Run one call."""
        call_id = request.headers.get(ID_FIELD, "")
        self.arrivals[call_id] += 1
        self.requests.append(request)
        expected = request.headers.get(INSTANCE_FIELD)
        if expected not in (None, self.instance):
            headers = {"Ragwortvalve-Instance-Id": self.instance}
            return web.Response(status=421, headers=headers)
        body = await request.read()
        special = self.behave(request)
        if special is not None:
            return special
        self.runs[call_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.cut.append(call_id)
            raise
        finally:
            self.running -= 1
        load = f"{self.running},0,{self.slots},{self.slowdown_percent}"
        headers = {
            ID_FIELD: call_id,
            SIGNATURE_FIELD: self.sign(call_id),
            "Ragwortvalve-Server-Load": load,
        }
        return web.Response(body=b"%s:" % self.instance.encode() + body, headers=headers)


def shed(request: web.Request) -> web.Response:
    """Refuse a call without running it."""
    return web.Response(status=503, headers={"Ragwortvalve-Not-Executed": "1"})


def fail(request: web.Request) -> web.Response:
    """Fail a call that has run."""
    call_id = request.headers.get(ID_FIELD, "")
    return web.Response(status=500, headers={ID_FIELD: call_id, SIGNATURE_FIELD: "f"}, body=b"bad")


def build_application(application: Application) -> web.Application:
    """Return the web application of a server."""
    served = web.Application()
    served.router.add_route("*", "/{path:.*}", application.handle)
    return served


async def report(
    control: str, application: Application, sequence: int, state: str = "ready", born: int = 1
) -> int:
    """Send one report of a server to its node, and return the status of the reply."""
    content = {
        "service": application.service,
        "addr": "127.0.0.1:1",
        "zone": "z",
        "version": "v1",
        "slots": application.slots,
        "state": state,
        "coldRemainingMs": 0,
        "seq": sequence,
        "born": born,
    }
    url = f"http://{control}/-/instances/{application.instance}"
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, data=json.dumps(content)) as reply,
    ):
        return reply.status


async def leave(control: str, application: Application) -> int:
    """Tell the node that a server leaves, and return the status of the reply."""
    url = f"http://{control}/-/instances/{application.instance}"
    async with aiohttp.ClientSession() as session, session.delete(url) as reply:
        return reply.status
