"""HTTP handlers for server reports, readiness checks and metrics."""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl

from ragwort_common import ServiceName
from ragwort_model import Heartbeat, InputError, InstanceState
from ragwort_platform import is_readiness_check, read_server_report
from ragwort_transport import HttpLimits, HttpRequest, HttpResponse, RequestHandler

from ragwort_mesh._gate import Gate
from ragwort_mesh._telemetry import Telemetry

CONTROL_LIMITS = HttpLimits(
    max_header_bytes=16 << 10, max_body_bytes=64 << 10, header_timeout_s=3.0, idle_timeout_s=30.0
)
"""Limits on server reports, which are a few hundred bytes each, every second or two."""

PLACEMENT_PATH = b"/placement"
"""Path of the operators' endpoint that explains where a call would go."""

JSON_HEADERS = [(b"content-type", b"application/json")]


def build_report_handler(
    gate: Gate,
    service: ServiceName,
    telemetry: Telemetry,
    keep_departures: Callable[[], Awaitable[None]],
) -> RequestHandler:
    """Return the handler of reports from the server on this host, which provides ``service``.

    ``keep_departures`` is awaited before a server that leaves gets its acknowledgement.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        report = read_server_report(request)
        if isinstance(report, InputError):
            telemetry.counters.add("control.unreadable_reports")
            telemetry.events.write_call("server-report-unreadable", True, mistake=str(report))
            return HttpResponse(400, JSON_HEADERS, b"{}")
        if isinstance(report, Heartbeat) and report.service != service:
            telemetry.counters.add("control.foreign_reports")
            telemetry.events.write_call(
                "server-report-foreign", True, report=repr(report), service=service
            )
            return HttpResponse(400, JSON_HEADERS, b"{}")
        gate.apply_server_report(report)
        if not isinstance(report, Heartbeat) or report.state is InstanceState.DRAINING:
            await keep_departures()
        return HttpResponse(200, JSON_HEADERS, b"{}")

    return handle


def build_readiness_handler(is_ready: Callable[[], bool]) -> RequestHandler:
    """Return the handler of readiness checks."""

    async def handle(request: HttpRequest) -> HttpResponse:
        if not is_readiness_check(request.method, request.target):
            return HttpResponse(404, [])
        return HttpResponse(200 if is_ready() else 503, [])

    return handle


def build_metrics_handler(
    telemetry: Telemetry, path: bytes, explain: Callable[[str, str, str], bytes]
) -> RequestHandler:
    """Return the handler of the operators' endpoint: metrics, and where a call would go.

    Parameters
    ----------
    explain
        Returns the explanation of a call's placement as JSON, given its host, its path and the
        name of its customer, which is empty without one.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        place, _, query = request.target.partition(b"?")
        if place == PLACEMENT_PATH:
            fields = dict(parse_qsl(query.decode("latin-1")))
            if not {"host", "path"} <= fields.keys():
                return HttpResponse(400, [])
            explanation = explain(fields["host"], fields["path"], fields.get("customer", ""))
            return HttpResponse(200, JSON_HEADERS, explanation)
        if request.target != path:
            return HttpResponse(404, [])
        return HttpResponse(
            200, [(b"content-type", b"text/plain; version=0.0.4")], telemetry.render()
        )

    return handle
