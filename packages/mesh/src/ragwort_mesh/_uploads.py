"""Bodies of peers' calls that the gate asks for once it has accepted the calls."""

import asyncio
from collections.abc import Callable

from ragwort_common import CallId
from ragwort_flow import (
    SchedulerState,
    TransferTimes,
    list_due,
    record_transfer,
    restart_call,
)
from ragwort_transport import IncomingBody

from ragwort_mesh._telemetry import Telemetry


class Uploads:
    """Asks for bodies, those of waiting calls early enough that no slot is idle meanwhile.

    Parameters
    ----------
    state
        The scheduler's state.
    clock
        The node's clock, in seconds.
    """

    def __init__(
        self, state: SchedulerState, telemetry: Telemetry, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._telemetry = telemetry
        self._clock = clock
        self._times = TransferTimes()
        self._waiting: dict[CallId, IncomingBody] = {}

    def add_waiting(self, call_id: CallId, body: IncomingBody) -> None:
        """Add the body of a call that waits for a slot."""
        self._waiting[call_id] = body
        self.request_due()

    def remove_waiting(self, call_id: CallId) -> None:
        """Remove the body of a call that waits no longer."""
        self._waiting.pop(call_id, None)

    def request_due(self) -> None:
        """Ask for the bodies of the waiting calls that are expected to start soon."""
        if not self._waiting:
            return
        for call_id in list_due(self._state, self._clock(), self._times):
            body = self._waiting.get(call_id)
            if body is not None and not body.is_requested:
                self._telemetry.counters.add("gate.bodies_requested_early")
                self._request(body)

    async def receive(self, call_id: CallId, body: IncomingBody, deadline: float) -> bytes | None:
        """Return the body of a call that has a slot, or None if it has not arrived by a time."""
        began = self._clock()
        try:
            async with asyncio.timeout(max(0.0, deadline - began)):
                received = await self._request(body)
        except TimeoutError:
            self._telemetry.counters.add("gate.bodies_late")
            return None
        now = self._clock()
        self._telemetry.histograms.add("gate.body_wait", (now - began) * 1000)
        restart_call(self._state, now, call_id)
        return received

    def _request(self, body: IncomingBody) -> asyncio.Future[bytes]:
        if body.is_requested:
            return body.request()
        began = self._clock()
        self._telemetry.counters.add("gate.bodies_requested")
        received = body.request()

        def record(_: asyncio.Future[bytes]) -> None:
            if not received.cancelled():
                record_transfer(self._times, self._clock() - began)

        received.add_done_callback(record)
        return received
