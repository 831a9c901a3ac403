"""Links whose peer answers no probe, kept for the calls under way on them."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from ragwort_transport import Link


class SilentState(Enum):
    """What becomes of a silent link.

    Attributes
    ----------
    WAITING
        It is kept for its calls, or is being closed.
    ANSWERING
        Its peer answers again.
    FINISHED
        No call is under way on it.
    GONE
        The peer's kernel does not acknowledge data any more.
    """

    WAITING = auto()
    ANSWERING = auto()
    FINISHED = auto()
    GONE = auto()


@dataclass(slots=True)
class _Silence:
    received_at: float
    probed_at: float
    acknowledged_at: float
    finished: bool = False


class SilentLinks:
    """Holds the silent links and decides what becomes of them.

    Parameters
    ----------
    is_serving
        Tells whether calls of the peer that came over a link run on this node.
    timeout_s
        How long the peer's kernel may stop acknowledging data on a link that is kept, in seconds.
    probe_interval_s
        How often a silent link is probed, in seconds, so that there is data to acknowledge.
    """

    def __init__(
        self, is_serving: Callable[[Link], bool], timeout_s: float, probe_interval_s: float
    ) -> None:
        self._is_serving = is_serving
        self._timeout_s = timeout_s
        self._probe_interval_s = probe_interval_s
        self._links: dict[Link, _Silence] = {}

    def __contains__(self, link: Link) -> bool:
        return link in self._links

    def hold(self, link: Link, now: float) -> SilentState:
        """Keep a link if it has calls that must not be given up, and return its state.

        Calls that may be run again are given up, so that other servers can run them.
        """
        self._links[link] = _Silence(link.received_at, now, now)
        if not link.is_acknowledging():
            return SilentState.GONE
        link.give_up_repeatable()
        return self._check_calls(link)

    def retire(self, link: Link, now: float) -> None:
        """Let a link that is not needed any more end its calls, and then be closed."""
        self._links[link] = _Silence(math.inf, now, now)

    def check(self, link: Link, now: float, probe: Callable[[Link], None]) -> SilentState:
        """Return the state of a silent link, and probe it if it is time."""
        silence = self._links[link]
        if link.received_at > silence.received_at and not silence.finished:
            del self._links[link]
            return SilentState.ANSWERING
        if link.is_acknowledging():
            silence.acknowledged_at = now
        elif now - silence.acknowledged_at > self._timeout_s:
            return SilentState.GONE
        if now - silence.probed_at > self._probe_interval_s:
            silence.probed_at = now
            probe(link)
        return self._check_calls(link)

    def drop(self, link: Link) -> None:
        """Forget a link that has closed."""
        self._links.pop(link, None)

    def _check_calls(self, link: Link) -> SilentState:
        silence = self._links[link]
        if silence.finished or link.count_pending() or self._is_serving(link):
            return SilentState.WAITING
        silence.finished = True
        return SilentState.FINISHED
