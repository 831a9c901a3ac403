"""Log and metrics of the decisions between calls of different ranks and customers."""

from collections.abc import Callable

from ragwort_flow import (
    SchedulerState,
    estimate_rate,
    estimate_recent_rate,
    estimate_usual_rate,
    get_customer_ratio,
    get_ratio,
    is_learned,
    list_beyond,
    list_starved,
)

from ragwort_mesh._telemetry import Telemetry

INTERVAL_S = 1.0
"""Least time between two log lines, so that an overload doesn't fill the log."""

MAX_CUSTOMERS = 5
"""Most customers in a log line, the ones with most calls; a surge is usually of one."""


class TriageLog:
    """Writes what the scheduler has given up, and the figures that it decided by.

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
        self._written_at = clock()
        self._given_up = 0
        self._slots_kept = 0
        self._put_behind = 0

    def note_decisions(self) -> None:
        """Count the decisions, and write those since the last line if that is long enough ago."""
        state = self._state
        given_up = state.given_up - self._given_up
        slots_kept = state.slots_kept - self._slots_kept
        put_behind = state.put_behind - self._put_behind
        if not (given_up or slots_kept or put_behind):
            return
        # A gauge gets the total, so that decisions between two lines are in the metrics too.
        self._telemetry.counters.set_gauge("gate.given_up", state.given_up)
        self._telemetry.counters.set_gauge("gate.slots_kept", state.slots_kept)
        if state.put_behind:
            self._telemetry.counters.set_gauge("gate.put_behind", state.put_behind)
        now = self._clock()
        if now - self._written_at < INTERVAL_S:
            return
        starved = list_starved(state.ratios, now)
        self._telemetry.events.write(
            "calls-triaged",
            given_up=given_up,
            slots_kept=slots_kept,
            period_ms=round((now - self._written_at) * 1000),
            running=len(state.running),
            waiting=len(state.waiting),
            limit=state.limit,
            classes=[
                {
                    "rank": rank,
                    "route": kind,
                    "per_s": round(estimate_rate(counts, now), 2),
                    "served": round(get_ratio(counts), 2),
                    "work_ms": round(counts.work_s * 1000),
                    "slack_ms": round(counts.slack_s * 1000),
                    "age_ms": round((now - counts.at) * 1000),
                    "first": (rank, kind) in starved,
                }
                for (rank, kind), counts in sorted(state.ratios.classes.items())
            ],
            **(self._describe_shares(now, put_behind) if state.shares.customers else {}),
        )
        self._written_at = now
        self._given_up = state.given_up
        self._slots_kept = state.slots_kept
        self._put_behind = state.put_behind

    def _describe_shares(self, now: float, put_behind: int) -> dict[str, object]:
        shares = self._state.shares
        beyond = {name: shares.customers[name] for name in list_beyond(shares, now)[:MAX_CUSTOMERS]}
        return {
            "put_behind": put_behind,
            "customers": len(shares.customers),
            "shares_known": is_learned(shares, now),
            "beyond": [
                {
                    "customer": customer,
                    "per_s": round(estimate_recent_rate(usage, now), 2),
                    "usual_per_s": round(estimate_usual_rate(shares, now, usage), 2),
                    "served": round(get_customer_ratio(usage), 2),
                    "age_ms": round((now - usage.at) * 1000),
                }
                for customer, usage in beyond.items()
            ],
        }
