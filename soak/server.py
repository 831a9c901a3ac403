"""Server process of a member: runs the stand-in and logs its events to standard output.

Each line holds a time, an event and the id of the call, if there is one. Lines are written
unbuffered, so that the log of a killed server is complete. ``arrive`` is logged for each request,
with the customer that it names, ``authorization`` for each request with a caller's key,
``run`` when a call that was run ends, ``crash`` when a request ends the process, with its body in
place of the id, and ``leaving`` when the node has acknowledged the drain. ``start`` is logged once,
and ``misdirected`` for each request that was addressed to another instance.
"""

import asyncio
import os
import signal
import time

import aiohttp
from absl import app, flags
from aiohttp import web
from ragwort_standins.application import (
    ATTEMPT_ID_HEADER,
    CUSTOMER_HEADER,
    Application,
    build_application,
    deregister,
    send_report,
)

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

flags.DEFINE_float("cold_s", 0.0, "How long it states that it is cold after its start, in seconds.")

STARTED_AT = time.time()

REPORT_INTERVAL_S = 0.5
"""Interval between two reports to the node."""

SERVICE_TIME_S = 0.02
"""Service time of a call."""

SLOW_PATH = "/slow"
SLOW_TIME_S = 0.06
"""End of the path of a call that takes longer, and how much longer."""

CRASH_PREFIX = b"crash-"
"""Start of the body of a request that ends the process."""

CRASH_DELAY_S = 0.01
"""How long such a request runs before."""

LATE_REPORT_INTERVAL_S = 0.3
"""How often a draining server's last report from before arrives once more: a few times between the
restart of its node and its end."""

INNER_CALL_INTERVAL = 3
"""One in this many calls makes an inner call through the node."""


def log_event(event: str, call_id: str = "", customer: str = "") -> None:
    """Log one event."""
    os.write(1, f"{time.time():.4f} {event} {call_id} {customer}\n".encode())


def count_cold_ms() -> int:
    """Return how long the server is still cold, in milliseconds."""
    return max(0, round((STARTED_AT + FLAGS.cold_s - time.time()) * 1000))


async def serve() -> None:
    """Serve until SIGTERM, then drain and deregister."""
    application = Application(FLAGS.instance, FLAGS.service, slots=6, service_time_s=SERVICE_TIME_S)
    log_event("start")
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    async with aiohttp.ClientSession() as session:
        web_application = _build(application, session, stop_requested)
        runner = web.AppRunner(web_application, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", FLAGS.port, reuse_address=True)
        await site.start()
        reporter = asyncio.create_task(_send_reports(application, stop_requested))
        await stop_requested.wait()
        await reporter
        await runner.cleanup()


def _build(
    application: Application, session: aiohttp.ClientSession, stop_requested: asyncio.Event
) -> web.Application:
    @web.middleware
    async def observe(request: web.Request, handler) -> web.StreamResponse:
        if request.path == "/healthz":
            headers = {"Ragwortvalve-Instance-Id": application.instance}
            headers["Ragwortvalve-Server-Load"] = f"{application.running},0,6,100"
            headers["Ragwortvalve-Cold-Ms"] = str(count_cold_ms())
            # The users' specification requires a draining server to report itself unhealthy.
            return web.Response(status=503 if stop_requested.is_set() else 200, headers=headers)
        call_id = request.headers.get(ATTEMPT_ID_HEADER, "")
        # A repeated field must not hide behind its first value.
        log_event("arrive", call_id, ",".join(request.headers.getall(CUSTOMER_HEADER, [])))
        if "Authorization" in request.headers:
            log_event("authorization", call_id)
        body = await request.read()
        if body.startswith(CRASH_PREFIX):
            await asyncio.sleep(CRASH_DELAY_S)
            log_event("crash", body.decode())
            os._exit(1)
        if request.path.endswith(SLOW_PATH):
            await asyncio.sleep(SLOW_TIME_S)
        runs_before = application.runs[call_id]
        if (
            FLAGS.service != "inner"
            and int(call_id.rpartition("-")[2] or 0) % INNER_CALL_INTERVAL == 0
        ):
            await _call_inner(session, call_id)
        try:
            reply = await handler(request)
            if reply.status == 421:
                log_event("misdirected", call_id)
            return reply
        finally:
            if application.runs[call_id] > runs_before:
                log_event("run", call_id)

    web_application = build_application(application)
    web_application.middlewares.append(observe)
    return web_application


async def _call_inner(session: aiohttp.ClientSession, call_id: str) -> None:
    headers = {"Host": "calls.example", ATTEMPT_ID_HEADER: f"{call_id}.inner-1"}
    headers["Ragwortvalve-Deadline-Ms"] = "400"
    url = f"http://{FLAGS.outbound}/inner/x"
    try:
        async with asyncio.timeout(0.4), session.get(url, headers=headers) as reply:
            await reply.read()
    except (aiohttp.ClientError, TimeoutError):
        log_event("inner-failed", call_id)


async def _send_reports(application: Application, stop_requested: asyncio.Event) -> None:
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        state = "draining" if stop_requested.is_set() else "ready"
        status = await _report(application, sequence, state, born)
        if state == "draining" and status == 200:
            log_event("leaving")
            await _send_late_reports(application, sequence - 1, born)
            await _deregister(application)
            return
        try:
            async with asyncio.timeout(REPORT_INTERVAL_S):
                await stop_requested.wait()
        except TimeoutError:
            continue


async def _send_late_reports(application: Application, sequence: int, born: int) -> None:
    """Send copies of a report from before the drain until the server stops, as on a slow path.

    The node may be killed and started again meanwhile.
    """
    ends_at = time.monotonic() + FLAGS.drain_s + 1.0
    while time.monotonic() < ends_at:
        await asyncio.sleep(LATE_REPORT_INTERVAL_S)
        if sequence:
            await _report(application, sequence, "ready", born)


async def _report(application: Application, sequence: int, state: str, born: int) -> int:
    try:
        async with asyncio.timeout(1.0):
            return await send_report(
                FLAGS.control, application, sequence, state, born, count_cold_ms()
            )
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


async def _deregister(application: Application) -> None:
    try:
        async with asyncio.timeout(1.0):
            await deregister(FLAGS.control, application)
    except (aiohttp.ClientError, TimeoutError, OSError):
        log_event("leave-unheard")


def _main(_: list[str]) -> None:
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(_main)
