"""Shares what nodes know of the requests that crash servers, and says which are refused.

The gate beside a crashed server tells all nodes which requests it was running. Each node keeps
these crashes and decides by itself; see ``ragwort_flow._crash_history``.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ragwort_common import NodeId, RequestFingerprint
from ragwort_flow import (
    MAX_AGE_S,
    Blame,
    Crash,
    CrashHistory,
    RunningCall,
    clear_request,
    find_blame,
    forget_old_crashes,
    is_in_trial,
    record_crash,
    start_trial,
)
from ragwort_model import CrashId, CrashRecord, InstanceId
from ragwort_protocol import CrashCleared, CrashNotice, CrashTrial, Message, Request
from ragwort_transport import Link

from ragwort_mesh._call import Call, fingerprint_call
from ragwort_mesh._clock import read_time_ms
from ragwort_mesh._telemetry import Telemetry

MAX_CALLS = 32
"""Most calls of a crash that are kept; over twice the calls that a server of today's deployments
runs at once."""

MAX_REQUESTS = 2 * MAX_CALLS
"""Most fingerprints of a crash; a call has two at most."""


@dataclass(frozen=True, slots=True)
class CrashRefusal:
    """Why a call is refused, and when its request may come again.

    Attributes
    ----------
    crashes
        The crashes that it rests on, for the log.
    """

    request: RequestFingerprint
    crashes: list[dict[str, object]]
    retry_after_ms: int


class CrashLedger:
    """Holds the crashes that this node knows, and tells its peers of those at its own gate.

    Parameters
    ----------
    list_links
        Returns the links to all peers.
    clock, read_time_ms
        The node's clock, in seconds, and the time of day, in milliseconds.

    Attributes
    ----------
    changed
        Set when the crashes of this node's server, or what is known of their requests, change.
    """

    def __init__(
        self,
        node: NodeId,
        list_links: Callable[[], Iterable[tuple[NodeId, Link]]],
        telemetry: Telemetry,
        clock: Callable[[], float],
        read_time_ms: Callable[[], int] = read_time_ms,
    ) -> None:
        self.changed = asyncio.Event()
        self._node = node
        self._list_links = list_links
        self._telemetry = telemetry
        self._clock = clock
        self._read_time_ms = read_time_ms
        self._history = CrashHistory()
        self._latest_ms = 0

    def report_crash(self, instance: InstanceId, calls: list[RunningCall]) -> None:
        """Record a crash of the server beside this node, and tell all peers.

        The first of the calls are kept, so the likeliest causes come first.
        """
        # The time of day may have been set back since the last crash.
        self._latest_ms = max(self._read_time_ms(), self._latest_ms + 1)
        requests = {request for call in calls[:MAX_CALLS] for request in call.requests}
        record = CrashRecord(CrashId(self._node, self._latest_ms), instance, frozenset(requests))
        self._add(record, 0.0)
        notice = self._make_notice(self._history.crashes[record.crash_id])
        for _, link in self._list_links():
            link.send(notice)

    def add_stored(self, records: Iterable[CrashRecord]) -> None:
        """Add crashes that were read from the store."""
        now_ms = self._read_time_ms()
        for record in records:
            self._add(record, max(0, now_ms - record.crash_id.at_ms) / 1000)

    def is_outdated(self, record: CrashRecord) -> bool:
        """Return whether a stored crash is too old to count, by the time of day."""
        return self._read_time_ms() - record.crash_id.at_ms > MAX_AGE_S * 1000

    def is_suspect(self, call: Call) -> bool:
        """Return whether a call's request was running in two crashes or more."""
        recurring = self._history.recurring
        return bool(recurring) and not recurring.isdisjoint(fingerprint_call(call))

    def find_refusal(self, call: Call) -> CrashRefusal | None:
        """Return why a call is to be refused, or None if it may run.

        A refused request runs again from time to time; that trial is announced to all nodes first.
        """
        if not self._history.recurring:
            return None
        now = self._clock()
        blamed = self._list_blamed(call, now)
        for request, blame in blamed:
            if blame.retry_at > now:
                return _make_refusal(request, blame, now)
        for request, blame in blamed:
            self._start_trial(request, call.call_id, blame)
        return None

    def find_gate_refusal(self, call: Request) -> CrashRefusal | None:
        """Return why a gate is to refuse a call, or None if it may run now."""
        if not self._history.recurring:
            return None
        now = self._clock()
        for request, blame in self._list_blamed(call, now):
            if not is_in_trial(self._history, now, request):
                return _make_refusal(request, blame, now)
        return None

    def _list_blamed(
        self, call: Call | Request, now: float
    ) -> list[tuple[RequestFingerprint, Blame]]:
        found = (
            (request, find_blame(self._history, now, request)) for request in fingerprint_call(call)
        )
        return [(request, blame) for request, blame in found if blame is not None]

    def note_answered(self, call: Request) -> None:
        """Clear the request of a call that the server beside this node has answered."""
        if not self._history.by_request:
            return
        for request in fingerprint_call(call):
            if request in self._history.by_request:
                self._clear(request, self._node)
                for _, link in self._list_links():
                    link.send(CrashCleared(request))

    def send_own(self, link: Link) -> None:
        """Send a newly linked peer the crashes of this node's server."""
        self._send(link, self.list_own())

    def send_all(self, link: Link) -> None:
        """Send a peer all crashes that this node knows."""
        self._send(link, list(self._history.crashes.values()))

    def receive(self, link: Link, message: Message) -> None:
        """Handle a peer's message about crashes; other messages are ignored."""
        if type(message) is CrashNotice:
            crash_id = CrashId(NodeId(message.node_id), message.at_ms)
            requests = frozenset(map(RequestFingerprint, message.requests[:MAX_REQUESTS]))
            record = CrashRecord(crash_id, InstanceId(message.instance), requests)
            self._add(record, max(0, message.age_ms) / 1000)
        elif type(message) is CrashCleared:
            self._clear(RequestFingerprint(message.request), str(link.peer))
        elif type(message) is CrashTrial:
            start_trial(self._history, self._clock(), RequestFingerprint(message.request))

    def list_own(self) -> list[Crash]:
        """Return the crashes of the server beside this node."""
        return [
            crash
            for crash_id, crash in self._history.crashes.items()
            if crash_id.node == self._node
        ]

    def list_lasting(self) -> list[CrashRecord]:
        """Return the crashes of this node's server that are to outlast it, with their suspects.

        These are the ones with a request that was running in another crash too.
        """
        records = []
        for crash in self.list_own():
            suspects = crash.suspects & self._history.recurring
            if suspects:
                record = crash.record
                records.append(CrashRecord(record.crash_id, record.instance, frozenset(suspects)))
        return records

    def forget_old(self) -> None:
        """Drop the crashes that no longer count."""
        forget_old_crashes(self._history, self._clock())
        self.changed.set()

    def _add(self, record: CrashRecord, age_s: float) -> None:
        if age_s > MAX_AGE_S or not record_crash(self._history, record, self._clock() - age_s):
            return
        if record.crash_id.node == self._node:
            self._latest_ms = max(self._latest_ms, record.crash_id.at_ms)
        if record.requests & self._history.recurring:
            self.changed.set()
        self._telemetry.counters.set_gauge("crashes.known", len(self._history.crashes))

    def _clear(self, request: RequestFingerprint, source: str) -> None:
        if request in self._history.by_request:
            clear_request(self._history, request)
            self._telemetry.events.write_call(
                "request-cleared", False, request=request.hex(), source=source
            )
            self.changed.set()

    def _start_trial(self, request: RequestFingerprint, call_id: str, blame: Blame) -> None:
        start_trial(self._history, self._clock(), request)
        self._telemetry.counters.add("crashes.trials")
        self._telemetry.events.write(
            "request-trial", id=call_id, request=request.hex(), crashes=_describe(blame)
        )
        for _, link in self._list_links():
            link.send(CrashTrial(request))

    def _send(self, link: Link, crashes: list[Crash]) -> None:
        for crash in crashes:
            if crash.suspects:
                link.send(self._make_notice(crash))

    def _make_notice(self, crash: Crash) -> CrashNotice:
        crash_id = crash.record.crash_id
        age_ms = round((self._clock() - crash.happened_at) * 1000)
        return CrashNotice(
            crash_id.node, crash_id.at_ms, age_ms, crash.record.instance, list(crash.suspects)
        )


def _make_refusal(request: RequestFingerprint, blame: Blame, now: float) -> CrashRefusal:
    retry_after_ms = max(1, round((blame.retry_at - now) * 1000))
    return CrashRefusal(request, _describe(blame), retry_after_ms)


def _describe(blame: Blame) -> list[dict[str, object]]:
    """Return the crashes that a refusal rests on, for the log."""
    return [
        {
            "node": crash.record.crash_id.node,
            "t": crash.record.crash_id.at_ms / 1000,
            "server": crash.record.instance,
        }
        for crash in blame.crashes
    ]
