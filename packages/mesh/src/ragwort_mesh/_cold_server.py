"""What the gate knows of its server being cold, from reports, health checks and evacuations."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from ragwort_flow import (
    ColdLimit,
    ColdState,
    expect_cold,
    get_remaining,
    is_expected_cold,
    is_limited,
    make_cold_limit,
    make_unconfigured_limit,
    record_statement,
    set_cold_limit,
)
from ragwort_model import Bounds, Configuration, InstanceId, NodeSettings
from ragwort_platform import find_instance, read_cold_ms
from ragwort_transport import Answer

from ragwort_mesh._telemetry import Telemetry

CHECK_INTERVAL_S = 0.1
"""How often a server that gets calls is asked whether it has turned cold: its reports, every 1.5 s,
would let too many calls start. At the design scale about nine calls start meanwhile."""


class ColdServer:
    """Applies what the server states about being cold, and logs when it is limited.

    Parameters
    ----------
    state
        The scheduler's state of the cold server.
    clock
        The node's clock, in seconds.
    """

    def __init__(self, state: ColdState, telemetry: Telemetry, clock: Callable[[], float]) -> None:
        self._state = state
        self._telemetry = telemetry
        self._clock = clock
        self._was_limited = False
        self._has_calls = False
        self._calls = 0
        self._due = asyncio.Event()

    def set_limit(self, limit: ColdLimit | None) -> None:
        """Set the limit while the server is cold, None if it has none."""
        set_cold_limit(self._state, self._clock(), limit)
        self._due.set()
        self.note_change("configuration")

    def expect_cold(self) -> None:
        """Treat the server as cold until it states otherwise, and ask it soon."""
        expect_cold(self._state, self._clock())
        self._due.set()
        self.note_change("expected")

    def record_call(self) -> None:
        """Record that a call is sent to the server."""
        self._has_calls = True
        if self._was_limited:
            self._calls += 1

    def apply_health(self, answer: Answer, instance: InstanceId) -> None:
        """Apply what the server states in the answer to a health check."""
        cold_ms = read_cold_ms(answer)
        if cold_ms is not None and find_instance(answer) in (None, instance):
            record_statement(self._state, self._clock(), cold_ms / 1000)
        self.note_change("health")

    def note_change(self, source: str) -> None:
        """Log whether the server's calls are limited, if that has changed."""
        now = self._clock()
        limited = is_limited(self._state, now)
        if limited == self._was_limited:
            return
        self._was_limited = limited
        self._telemetry.counters.set_gauge("gate.cold", float(limited))
        events = self._telemetry.events
        if not limited:
            events.write("server-warm", source=source, calls=self._calls)
            return
        self._calls = 0
        self._telemetry.counters.add("gate.cold_periods")
        limit = self._state.limit
        assert limit is not None, "a server without a limit is not limited"
        events.write(
            "server-cold",
            source=source,
            cold_ms=self._describe_remaining(now),
            calls_per_s=limit.calls_per_s,
            burst=limit.burst,
        )

    async def run(self, ask: Callable[[], Awaitable[None]]) -> None:
        """Ask the server for its state whenever it may have turned cold, until cancelled.

        ``ask`` checks the server's health and passes the answer to ``apply_health``.
        """
        while True:
            interval_s = CHECK_INTERVAL_S if self._state.limit is not None else None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._due.wait()
            self._due.clear()
            if self._state.limit is None:
                continue
            self.note_change("time")
            if self._has_calls or is_expected_cold(self._state):
                self._has_calls = False
                await ask()

    def _describe_remaining(self, now: float) -> int | str:
        if is_expected_cold(self._state):
            return "unknown"
        remaining_s = get_remaining(self._state, now)
        return round(remaining_s * 1000) if remaining_s < float("inf") else "unknown"


def find_cold_limit(
    configuration: Configuration | None, settings: NodeSettings
) -> ColdLimit | None:
    """Return the limit of this host's server while it is cold, None if it has none.

    Before the first configuration, a cold server gets next to no calls if the deployment's settings
    bound them: after a restart of the host the server is cold and reports before that.
    """
    bounds = settings.bounds
    if configuration is None:
        return make_unconfigured_limit() if bounds.cold_slack > Bounds().cold_slack else None
    cold_start = configuration.cold_starts.get(settings.service)
    if cold_start is None:
        return None
    return make_cold_limit(
        cold_start.duration_s, cold_start.calls_per_s, bounds.cold_excess, bounds.cold_slack
    )
