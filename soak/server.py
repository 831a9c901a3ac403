"""Server process of a member: runs the stand-in and logs its events to standard output.

Each line holds a time, an event and the id of the call, if there is one. Lines are written
unbuffered, so that the log of a killed server is complete. ``arrive`` is logged for each request,
``run`` when a call that was run ends, and ``leaving`` when the node has acknowledged the drain.
"""

import asyncio
import os
import signal
import time

import aiohttp
from absl import app, flags
from aiohttp import web
from ragwort_standins.application import ID_FIELD, Application, build_application, leave, report

FLAGS = flags.FLAGS
flags.DEFINE_string(
    "instance", None, "Instance name, different for each start of the server.", required=True
)
flags.DEFINE_string("service", None, "Service that it offers.", required=True)
flags.DEFINE_integer("port", None, "Port on 127.0.0.1.", required=True)
flags.DEFINE_string("control", None, "Address at which its node takes reports.", required=True)
flags.DEFINE_string(
    "outbound", None, "Address at which its node takes outbound calls.", required=True
)
flags.DEFINE_float("drain_s", 1.5, "How long it still serves calls while draining, in seconds.")

BEAT_S = 0.5
"""Interval between two reports to the node."""

WORK_S = 0.02
"""Service time of a call."""

INNER_SHARE = 3
"""One in this many calls makes an inner call through the node."""


def tell(fact: str, call_id: str = "") -> None:
    """Log one event."""
    os.write(1, f"{time.time():.4f} {fact} {call_id}\n".encode())


async def serve() -> None:
    """Serve until SIGTERM, then drain and deregister."""
    application = Application(FLAGS.instance, FLAGS.service, slots=6, work_s=WORK_S)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    async with aiohttp.ClientSession() as session:
        served = _build(application, session, stopped)
        runner = web.AppRunner(served, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", FLAGS.port, reuse_address=True)
        await site.start()
        beats = asyncio.create_task(_beat(application, stopped))
        await stopped.wait()
        await beats
        await runner.cleanup()


def _build(
    application: Application, session: aiohttp.ClientSession, stopped: asyncio.Event
) -> web.Application:
    @web.middleware
    async def observe(request: web.Request, handler) -> web.StreamResponse:
        if request.path == "/healthz":
            headers = {"Ragwortvalve-Instance-Id": application.instance}
            headers["Ragwortvalve-Server-Load"] = f"{application.running},0,6,100"
            # The users' specification requires a draining server to report itself unhealthy.
            return web.Response(status=503 if stopped.is_set() else 200, headers=headers)
        call_id = request.headers.get(ID_FIELD, "")
        tell("arrive", call_id)
        ran = application.runs[call_id]
        if FLAGS.service != "inner" and int(call_id.rpartition("-")[2] or 0) % INNER_SHARE == 0:
            await _call_inner(session, call_id)
        try:
            return await handler(request)
        finally:
            if application.runs[call_id] > ran:
                tell("run", call_id)

    served = build_application(application)
    served.middlewares.append(observe)
    return served


async def _call_inner(session: aiohttp.ClientSession, call_id: str) -> None:
    headers = {"Host": "calls.example", ID_FIELD: f"{call_id}.inner-1"}
    headers["Ragwortvalve-Deadline-Ms"] = "400"
    url = f"http://{FLAGS.outbound}/inner/x"
    try:
        async with asyncio.timeout(0.4), session.get(url, headers=headers) as reply:
            await reply.read()
    except (aiohttp.ClientError, TimeoutError):
        tell("inner-failed", call_id)


async def _beat(application: Application, stopped: asyncio.Event) -> None:
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        state = "draining" if stopped.is_set() else "ready"
        status = await _report(application, sequence, state, born)
        if state == "draining" and status == 200:
            tell("leaving")
            await asyncio.sleep(FLAGS.drain_s + 1.0)
            await _leave(application)
            return
        try:
            async with asyncio.timeout(BEAT_S):
                await stopped.wait()
        except TimeoutError:
            continue


async def _report(application: Application, sequence: int, state: str, born: int) -> int:
    try:
        async with asyncio.timeout(1.0):
            return await report(FLAGS.control, application, sequence, state, born)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


async def _leave(application: Application) -> None:
    try:
        async with asyncio.timeout(1.0):
            await leave(FLAGS.control, application)
    except (aiohttp.ClientError, TimeoutError, OSError):
        tell("leave-unheard")


def _main(_: list[str]) -> None:
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(_main)
