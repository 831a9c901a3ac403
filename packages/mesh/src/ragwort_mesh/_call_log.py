"""Log lines and metrics of the calls at the gate."""

from collections.abc import Callable

from ragwort_common import Outcome, Reason
from ragwort_platform import find_call_id
from ragwort_protocol import LoadReport, Refusal, Request, Response

from ragwort_mesh._call import fingerprint_call
from ragwort_mesh._telemetry import Telemetry


class CallLog:
    """Counts and logs how calls at the gate have ended.

    Parameters
    ----------
    clock
        The node's clock, in seconds.
    make_report
        Returns the gate's current load.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        clock: Callable[[], float],
        make_report: Callable[[], LoadReport],
    ) -> None:
        self._telemetry = telemetry
        self._clock = clock
        self._make_report = make_report

    def refuse(
        self, request: Request, outcome: Outcome, reason: Reason, retry_after_ms: int
    ) -> Refusal:
        """Count a refusal, and return it with the current load."""
        self._telemetry.counters.add(f"gate.{outcome.value}.{reason.value}")
        report = self._make_report()
        return Refusal(request.call_id, outcome.value, reason.value, retry_after_ms, report)

    def write(
        self,
        request: Request,
        reply: Response | Refusal,
        arrived: float,
        started: float | None,
        now: float,
        start: dict[str, object] | None = None,
    ) -> None:
        """Write the line of a call that has ended; ``start`` has further fields for it."""
        if started is not None:
            self._telemetry.histograms.add("gate.wait", (started - arrived) * 1000)
            self._telemetry.histograms.add("gate.run", (now - started) * 1000)
        report = reply.report
        is_response = isinstance(reply, Response)
        self._telemetry.events.write_call(
            "gate",
            not is_response,
            id=find_call_id(request.headers).decode("latin-1"),
            route=request.route,
            rank=request.rank,
            outcome=Outcome.ANSWERED.value if is_response else reply.outcome,
            reason="" if is_response else reply.reason,
            status=reply.status if is_response else 0,
            waited_ms=round(((started or now) - arrived) * 1000, 1),
            ran_ms=round((now - started) * 1000, 1) if started is not None else None,
            budget_ms=round(request.budget_ms),
            objective_ms=round(request.objective_ms),
            running=report.in_flight,
            waiting=report.queued,
            limit=report.limit,
            slowdown=report.slowdown_percent,
            retry_after_ms=0 if is_response else reply.retry_after_ms,
            **(start or {}),
            **_describe_request(request, reply),
            **({"customer": request.member} if request.member else {}),
        )

    def write_body_refused(self, request: Request, body_bytes: int, held_bytes: int) -> None:
        """Write the size of a body that would take too much memory."""
        self._telemetry.events.write_call(
            "body-refused",
            True,
            id=find_call_id(request.headers).decode("latin-1"),
            part="gate",
            body_bytes=body_bytes,
            held_bytes=held_bytes,
        )

    def write_cancelled(self, request: Request, arrived: float, started: float | None) -> None:
        """Log a call that was cancelled while it was queued or running."""
        self._telemetry.counters.add("gate.withdrawn")
        outcome = Outcome.NOT_RUN if started is None else Outcome.UNKNOWN
        refusal = Refusal(
            request.call_id, outcome.value, Reason.CANCELLED.value, 0, self._make_report()
        )
        self.write(request, refusal, arrived, started, self._clock())


def _describe_request(request: Request, reply: Response | Refusal) -> dict[str, object]:
    """Return the first fingerprint of a call that its server broke off, for the log."""
    if isinstance(reply, Response) or reply.reason != Reason.CONNECTION_LOST.value:
        return {}
    return {"request": fingerprint_call(request)[0].hex()}
