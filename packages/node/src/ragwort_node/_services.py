"""What an entry knows of each service: its servers, and the budgets of its calls."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_policy import (
    AttemptBudget,
    ChoiceSettings,
    ChoiceState,
    HedgeState,
    ServerPlace,
    make_choice,
    make_hedge,
    record_report,
    update_servers,
)
from ragwort_protocol import LoadReport


@dataclass(slots=True)
class ServiceState:
    """The policy state of one service at this entry."""

    choice: ChoiceState
    hedge: HedgeState
    retries: AttemptBudget = field(default_factory=AttemptBudget)


class Services:
    """Owns the state of every service that this entry knows servers of."""

    def __init__(
        self, failure_domain: FailureDomain, region: Region, settings: ChoiceSettings
    ) -> None:
        self._failure_domain = failure_domain
        self._region = region
        self._settings = settings
        self._states: dict[ServiceName, ServiceState] = {}
        self._services_of: dict[NodeId, ServiceName] = {}

    def find(self, service: ServiceName) -> ServiceState | None:
        """Return the state of a service, or None when no server of it was ever known."""
        return self._states.get(service)

    def list_states(self) -> list[tuple[ServiceName, ServiceState]]:
        """Return the state of every service that is known."""
        return list(self._states.items())

    def update(self, service: ServiceName, places: Iterable[ServerPlace], now: float) -> None:
        """Set a service's servers that may be chosen; what is known of those that stay is kept."""
        listed = list(places)
        state = self._states.get(service)
        if state is None:
            state = self._add(service)
        for node in state.choice.servers:
            self._services_of.pop(node, None)
        self._services_of.update({place.node: service for place in listed})
        update_servers(state.choice, listed, now)

    def take_report(self, node: NodeId, report: LoadReport, now: float) -> None:
        """Take in a gate's report."""
        state = self._states.get(self._services_of.get(node))
        if state is not None:
            record_report(state.choice, node, report, now)

    def _add(self, service: ServiceName) -> ServiceState:
        choice = make_choice(self._settings, self._failure_domain, self._region)
        state = ServiceState(choice, make_hedge(self._settings.expected_ms / 1000))
        self._states[service] = state
        return state
