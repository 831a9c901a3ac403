"""State of each service at an entry: its servers, retry budget and hedging."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_policy import (
    AttemptBudget,
    ChoiceSettings,
    ChoiceState,
    HedgeState,
    ServerLocation,
    make_choice_state,
    make_hedge_state,
    record_report,
    update_servers,
)
from ragwort_protocol import LoadReport


@dataclass(slots=True)
class ServiceState:
    """State of one service for server selection, hedging and retries."""

    choice: ChoiceState
    hedge: HedgeState
    retries: AttemptBudget = field(default_factory=AttemptBudget)


class Services:
    """Owns the state of every service with known servers."""

    def __init__(
        self, failure_domain: FailureDomain, region: Region, settings: ChoiceSettings
    ) -> None:
        self._failure_domain = failure_domain
        self._region = region
        self._settings = settings
        self._states: dict[ServiceName, ServiceState] = {}
        self._services_of: dict[NodeId, ServiceName] = {}

    def find(self, service: ServiceName) -> ServiceState | None:
        """Return the state of a service, or None when none of its servers was ever known."""
        return self._states.get(service)

    def list_states(self) -> list[tuple[ServiceName, ServiceState]]:
        """Return the state of every known service."""
        return list(self._states.items())

    def update(self, service: ServiceName, locations: Iterable[ServerLocation], now: float) -> None:
        """Replace the list of a service's servers; servers that stay keep their state."""
        listed = list(locations)
        state = self._states.get(service)
        if state is None:
            state = self._add(service)
        for node in state.choice.servers:
            self._services_of.pop(node, None)
        self._services_of.update({location.node: service for location in listed})
        update_servers(state.choice, listed, now)

    def record_report(self, node: NodeId, report: LoadReport, now: float) -> None:
        """Record a load report of a node's gate."""
        state = self._states.get(self._services_of.get(node))
        if state is not None:
            record_report(state.choice, node, report, now)

    def _add(self, service: ServiceName) -> ServiceState:
        choice = make_choice_state(self._settings, self._failure_domain, self._region)
        state = ServiceState(choice, make_hedge_state(self._settings.expected_ms / 1000))
        self._states[service] = state
        return state
