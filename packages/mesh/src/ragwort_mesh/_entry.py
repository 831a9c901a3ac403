"""HTTP entry for calls from clients and the server on this host."""

import asyncio
import random
from collections.abc import Callable

from ragwort_common import KeyDigest, Outcome, Reason, ServiceName
from ragwort_flow import (
    SplitState,
    UnservedCall,
    UnservedCalls,
    choose_service_index,
    claim_first_arrival,
    record_unserved,
)
from ragwort_model import Route, RouteName
from ragwort_platform import (
    CallFields,
    build_forwarded_headers,
    build_refusal_headers,
    read_call_fields,
    read_key,
)
from ragwort_protocol import Refusal, Response
from ragwort_transport import (
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
    make_refusal,
)

from ragwort_mesh._call import Call, fingerprint_call
from ragwort_mesh._configuration import ActiveConfiguration
from ragwort_mesh._customer_limits import CustomerLimits
from ragwort_mesh._customers import CallTerms, find_call_terms
from ragwort_mesh._dispatcher import Dispatcher, Progress
from ragwort_mesh._telemetry import Telemetry

NOT_READY_RETRY_MS = 300
"""Retry delay sent to callers before the node has a configuration; startup takes less."""

MIN_RETRY_MS = 30
"""Minimum retry delay: a caller's round trip, and time for a few running calls to finish."""

LOGGED_DIGEST_BYTES = 4
"""Bytes of a key's digest in the log: enough to tell the keys of a deployment apart."""

RETRY_SPREAD = 0.5
"""Random fraction added to retry delays, so that callers do not all retry at once."""

_STATUSES = {
    Reason.DEADLINE: 504,
    Reason.BAD_ANSWER: 502,
    Reason.CONNECTION_LOST: 502,
}

_NOT_RUN_STATUSES = {Reason.UNKNOWN_KEY: 401, Reason.CUSTOMER_LIMIT: 429}
"""Statuses of calls that have not run; 503 for other reasons."""


class Entry:
    """Handles incoming calls; keeps traffic split state and unserved calls between calls.

    Parameters
    ----------
    service
        Service of the server on this host, sent to other servers as the caller's service.
    """

    def __init__(
        self,
        service: ServiceName,
        configuration: ActiveConfiguration,
        dispatcher: Dispatcher,
        customer_limits: CustomerLimits,
        telemetry: Telemetry,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._service = service
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._customer_limits = customer_limits
        self._telemetry = telemetry
        self._clock = clock
        self._random = random_source
        self._splits: dict[RouteName, SplitState] = {}
        self._unserved = UnservedCalls()

    def get_limits(self) -> HttpLimits:
        """Return the limits on callers' requests."""
        limits = self._configuration.limits
        return HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )

    def refuse_body(self, headers: Headers, held_bytes: int) -> HttpResponse:
        """Refuse a call, given its header fields, whose body would take too much memory.

        ``held_bytes`` is the size of the bodies that the node holds.
        """
        refusal = make_refusal(Outcome.NOT_RUN, Reason.BODY_MEMORY)
        fields = read_call_fields(headers)
        length = find_header(headers, b"content-length")
        self._telemetry.events.write_call(
            "body-refused",
            True,
            id=fields.call_id.decode("latin-1"),
            part="entry",
            body_bytes=None if length is None else int(length),
            held_bytes=held_bytes,
        )
        return self._make_reply(fields, refusal, self._clock(), None, Progress())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Route one call and return its response."""
        arrived = self._clock()
        fields = read_call_fields(request.headers)
        configuration = self._configuration.current
        find_route = self._configuration.get_route_finder()
        if configuration is None or find_route is None:
            refusal = make_refusal(Outcome.NOT_RUN, Reason.NOT_READY, NOT_READY_RETRY_MS)
            return self._make_reply(fields, refusal, arrived, None, Progress())
        host = find_header(request.headers, b"host") or b""
        path = request.target.partition(b"?")[0]
        route = find_route(host.decode("latin-1"), path.decode("latin-1"))
        if route is None:
            self._telemetry.counters.add("entry.no_route")
            self._log(fields, arrived, None, 404, "no-route", Progress())
            return HttpResponse(404, build_refusal_headers(fields.call_id, 0))
        key = read_key(request.headers) if configuration.customers else None
        terms = find_call_terms(configuration, route, key)
        if terms is None:
            return self._refuse_key(fields, arrived, route, key)
        call = self._make_call(request, fields, route, terms, arrived)
        progress = Progress()
        customer = call.customer
        credit = None if customer is None else self._customer_limits.find_credit(customer)
        over_limit = self._check_customer_limit(call)
        if over_limit is not None:
            return self._make_reply(fields, over_limit, arrived, call, progress)
        try:
            reply = await self._dispatcher.run_call(call, progress)
        except asyncio.CancelledError:
            self._telemetry.counters.add("entry.caller_left")
            self._count_for_customer(call, refused=False)
            self._log(fields, arrived, call, 0, Reason.CANCELLED.value, progress)
            raise
        if customer is not None and credit is not None and _is_not_run(reply):
            self._customer_limits.give_back(customer, credit)
        return self._make_reply(fields, reply, arrived, call, progress)

    def _check_customer_limit(self, call: Call) -> Refusal | None:
        """Count a call against its customer's limit, and return the refusal if it is over that."""
        if call.customer is None:
            return None
        is_late = call.objective < call.arrived + self._dispatcher.estimate_work(call.route)
        delay_s = self._customer_limits.admit(call.customer, call.arrived, is_late)
        if delay_s is None:
            return None
        return make_refusal(Outcome.NOT_RUN, Reason.CUSTOMER_LIMIT, round(delay_s * 1000))

    def _make_call(
        self,
        request: HttpRequest,
        fields: CallFields,
        route: Route,
        terms: CallTerms,
        arrived: float,
    ) -> Call:
        caller_timeout_ms = route.timeout_ms if fields.deadline_ms is None else fields.deadline_ms
        caller_deadline = arrived + caller_timeout_ms / 1000
        first_arrived = claim_first_arrival(self._unserved, route.name, caller_deadline, arrived)
        return Call(
            call_id=fields.call_id.decode("latin-1"),
            route=route,
            service=self._choose_service(route),
            method=request.method,
            target=request.target,
            headers=build_forwarded_headers(
                request.headers, self._service, terms.has_customers, terms.customer
            ),
            body=request.body,
            arrived=arrived,
            first_arrived=first_arrived,
            caller_deadline=caller_deadline,
            objective=first_arrived + route.objective_ms / 1000,
            deadline=arrived + min(caller_timeout_ms, route.timeout_ms) / 1000,
            allowed_regions=terms.allowed_regions,
            customer=terms.customer,
            rank=terms.rank,
        )

    def _refuse_key(
        self, fields: CallFields, arrived: float, route: Route, key: KeyDigest | None
    ) -> HttpResponse:
        """Refuse a call that needs a customer's key and has none, or one that nobody holds."""
        reason = Reason.UNKNOWN_KEY
        self._telemetry.counters.add(f"entry.{Outcome.NOT_RUN.value}.{reason.value}")
        status = _NOT_RUN_STATUSES[reason]
        described = {
            "refused_route": route.name,
            "key": key[:LOGGED_DIGEST_BYTES].hex() if key is not None else "",
        }
        self._log(fields, arrived, None, status, reason.value, Progress(), described=described)
        return HttpResponse(status, build_refusal_headers(fields.call_id, 0, needs_key=True))

    def _count_for_customer(self, call: Call, refused: bool) -> None:
        if call.customer is not None:
            self._telemetry.customers.add(call.customer, refused)

    def _choose_service(self, route: Route) -> ServiceName:
        if len(route.parts) == 1:
            return route.parts[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = SplitState(self._random.random())
        return route.parts[
            choose_service_index(split, [part.weight for part in route.parts])
        ].service

    def _make_reply(
        self,
        fields: CallFields,
        reply: Response | Refusal,
        arrived: float,
        call: Call | None,
        progress: Progress,
    ) -> HttpResponse:
        response = self._build_response(fields, reply, arrived, call, progress)
        if call is not None and (response.status >= 500 or response.status == 429):
            unserved = UnservedCall(call.route.name, call.caller_deadline, call.first_arrived)
            record_unserved(self._unserved, self._clock(), unserved)
        if call is not None:
            self._count_for_customer(call, refused=_is_not_run(reply))
        return response

    def _build_response(
        self,
        fields: CallFields,
        reply: Response | Refusal,
        arrived: float,
        call: Call | None,
        progress: Progress,
    ) -> HttpResponse:
        if isinstance(reply, Response):
            self._telemetry.counters.add(f"entry.answered.{reply.status // 100}xx")
            self._log(fields, arrived, call, reply.status, "", progress)
            return HttpResponse(reply.status, reply.headers, reply.body)
        outcome, reason = Outcome(reply.outcome), Reason(reply.reason)
        self._telemetry.counters.add(f"entry.{outcome.value}.{reason.value}")
        status = _STATUSES.get(reason, 502)
        retry_after_ms = 0.0
        if outcome is Outcome.NOT_RUN:
            status = _NOT_RUN_STATUSES.get(reason, 503)
            retry_after_ms = max(MIN_RETRY_MS, reply.retry_after_ms)
            retry_after_ms *= 1.0 + RETRY_SPREAD * self._random.random()
        self._log(fields, arrived, call, status, reason.value, progress, retry_after_ms)
        return HttpResponse(status, build_refusal_headers(fields.call_id, retry_after_ms))

    def _log(
        self,
        fields: CallFields,
        arrived: float,
        call: Call | None,
        status: int,
        reason: str,
        progress: Progress,
        retry_after_ms: float = 0.0,
        described: dict[str, object] | None = None,
    ) -> None:
        took_ms = (self._clock() - arrived) * 1000
        self._telemetry.histograms.add("entry.call", took_ms)
        version = self._configuration.current.version if self._configuration.current else 0
        described = dict(described or {})
        if call is not None and call.customer is not None:
            described["customer"] = call.customer
        if call is not None and reason == Reason.CONNECTION_LOST.value:
            described["request"] = fingerprint_call(call)[0].hex()
        if progress.crash_refusal is not None:
            described["request"] = progress.crash_refusal.request.hex()
            described["crashes"] = progress.crash_refusal.crashes
        if call is not None and progress.reachable is not None:
            described["reachable"] = progress.reachable
            regions = call.allowed_regions
            described["allowed_regions"] = None if regions is None else sorted(regions)
        self._telemetry.events.write_call(
            "entry",
            status >= 500 or not status,
            id=fields.call_id.decode("latin-1"),
            version=version,
            route=call.route.name if call else None,
            service=call.service if call else None,
            status=status,
            reason=reason,
            took_ms=round(took_ms, 1),
            deadline_ms=fields.deadline_ms,
            waited_ms=round((arrived - call.first_arrived) * 1000) if call else None,
            objective_ms=round((call.objective - arrived) * 1000) if call else None,
            retry_after_ms=round(retry_after_ms),
            attempts=progress.attempts,
            **described,
        )


def _is_not_run(reply: Response | Refusal) -> bool:
    return isinstance(reply, Refusal) and reply.outcome == Outcome.NOT_RUN.value
