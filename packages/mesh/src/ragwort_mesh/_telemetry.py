"""Log, counters and histograms of a node."""

from dataclasses import dataclass, field

from ragwort_common import Counters

from ragwort_mesh._customer_counts import CustomerCounts
from ragwort_mesh._events import EventLog
from ragwort_mesh._metrics import Histograms, render_metrics


@dataclass(slots=True)
class Telemetry:
    """Log, counters and histograms shared by all components of a node."""

    events: EventLog
    counters: Counters = field(default_factory=Counters)
    histograms: Histograms = field(default_factory=Histograms)
    customers: CustomerCounts = field(default_factory=CustomerCounts)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus exposition format."""
        self.counters.set_gauge("log.dropped_lines", self.events.dropped)
        return render_metrics(self.counters, self.histograms, self.customers)
