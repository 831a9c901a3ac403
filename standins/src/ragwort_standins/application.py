"""Stand-in for a server of the users: runs calls, reports to its node and counts requests.

It sets the response headers that the users' server specification requires. Tests can replace its
answers to simulate faults.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

ATTEMPT_ID_HEADER = "Ragwortvalve-Attempt-Id"
CUSTOMER_HEADER = "Ragwortvalve-Tenant-Id"
SIGNATURE_HEADER = "Ragwortvalve-Response-Signature"
TARGET_INSTANCE_HEADER = "Ragwortvalve-Target-Instance"


@dataclass
class Application:
    """A server and the requests that it received.

    Attributes
    ----------
    instance, service
        Name of the server and of the service that it offers.
    service_time_s
        Service time of a call, in seconds.
    response_override
        Called with each accepted request; may return a response that replaces the usual one.
    notices
        Header fields added to the usual answers.
    runs, arrivals
        Number of runs and of received requests, by call id.
    requests
        Every request received.
    cancelled_calls
        Ids of the calls whose requests were cancelled while they ran.
    """

    instance: str
    service: str
    slots: int = 4
    service_time_s: float = 0.0
    slowdown_percent: int = 100
    response_override: Callable[[web.Request], web.Response | None] = lambda request: None
    notices: dict[str, str] = field(default_factory=dict)
    running: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)
    requests: list[web.Request] = field(default_factory=list)
    cancelled_calls: list[str] = field(default_factory=list)

    def sign(self, call_id: str) -> str:
        """Return the signature of the answer to a call."""
        return f"{self.instance}.{call_id}"

    async def handle(self, request: web.Request) -> web.Response:
        """Run a call, or refuse it if it is addressed to another instance."""
        call_id = request.headers.get(ATTEMPT_ID_HEADER, "")
        self.arrivals[call_id] += 1
        self.requests.append(request)
        expected = request.headers.get(TARGET_INSTANCE_HEADER)
        if expected not in (None, self.instance):
            headers = {ATTEMPT_ID_HEADER: call_id, "Ragwortvalve-Instance-Id": self.instance}
            return web.Response(status=421, headers=headers)
        body = await request.read()
        replacement = self.response_override(request)
        if replacement is not None:
            return replacement
        self.runs[call_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.service_time_s)
        except asyncio.CancelledError:
            self.cancelled_calls.append(call_id)
            raise
        finally:
            self.running -= 1
        load = f"{self.running},0,{self.slots},{self.slowdown_percent}"
        headers = {
            ATTEMPT_ID_HEADER: call_id,
            SIGNATURE_HEADER: self.sign(call_id),
            "Ragwortvalve-Server-Load": load,
            **self.notices,
        }
        return web.Response(body=b"%s:" % self.instance.encode() + body, headers=headers)


def shed(request: web.Request) -> web.Response:
    """Refuse a call, stating that it was not run."""
    call_id = request.headers.get(ATTEMPT_ID_HEADER, "")
    headers = {ATTEMPT_ID_HEADER: call_id, "Ragwortvalve-Not-Executed": "1"}
    return web.Response(status=503, headers=headers)


def fail(request: web.Request) -> web.Response:
    """Return the signed error response of a call that was run."""
    call_id = request.headers.get(ATTEMPT_ID_HEADER, "")
    return web.Response(
        status=500, headers={ATTEMPT_ID_HEADER: call_id, SIGNATURE_HEADER: "f"}, body=b"bad"
    )


def build_application(application: Application) -> web.Application:
    """Return the web application that serves a stand-in server."""
    web_application = web.Application()
    web_application.router.add_route("*", "/{path:.*}", application.handle)
    return web_application


async def send_report(
    control: str,
    application: Application,
    sequence: int,
    state: str = "ready",
    born: int = 1,
    cold_remaining_ms: int = 0,
) -> int:
    """Report a server's state to its node, and return the status of the reply."""
    content = {
        "service": application.service,
        "addr": "127.0.0.1:1",
        "zone": "z",
        "version": "v1",
        "slots": application.slots,
        "state": state,
        "coldRemainingMs": cold_remaining_ms,
        "seq": sequence,
        "born": born,
    }
    url = f"http://{control}/-/instances/{application.instance}"
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, data=json.dumps(content)) as reply,
    ):
        return reply.status


async def deregister(control: str, application: Application) -> int:
    """Deregister a server from its node, and return the status of the reply."""
    url = f"http://{control}/-/instances/{application.instance}"
    async with aiohttp.ClientSession() as session, session.delete(url) as reply:
        return reply.status
