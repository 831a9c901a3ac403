"""What a node tells of itself: its log lines, counters and histograms."""

from dataclasses import dataclass, field

from ragwort_common import Counters

from ragwort_mesh._events import EventLog
from ragwort_mesh._metrics import Histograms, render_metrics


@dataclass(slots=True)
class Telemetry:
    """The log, the counters and the histograms that every part of a node shares."""

    events: EventLog
    counters: Counters = field(default_factory=Counters)
    histograms: Histograms = field(default_factory=Histograms)

    def render(self) -> bytes:
        """Return the metrics as text."""
        self.counters.set_gauge("log.dropped_lines", self.events.dropped)
        return render_metrics(self.counters, self.histograms)
