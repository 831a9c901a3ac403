"""The rules in force on this node: checks a document, then lets the entry match calls with it."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import Revision, ServiceName
from ragwort_rules import Rules, Treatment, build_matcher, list_services, parse_rules
from ragwort_store import RulesDocument

log = logging.getLogger(__name__)

FindTreatment = Callable[[ServiceName, str, str], Treatment | None]


@dataclass(slots=True)
class RulesInForce:
    """The matcher of the rules in force; None before the first have come."""

    find_treatment: FindTreatment | None = None
    services: frozenset[ServiceName] = frozenset()
    revision: Revision = Revision(0)


class RulesKeeper:
    """Owns the rules in force.

    ``accept`` and ``publish`` are called one after the other for each new document, so the
    document that was parsed last is kept between them.
    """

    def __init__(self, published: Callable[[Revision], None]) -> None:
        self.in_force = RulesInForce()
        self._published = published
        self._accepted: Rules | None = None

    def accept(self, document: RulesDocument) -> bool:
        """Tell whether a document can come into force: it has no mistakes."""
        parsed = parse_rules(document.text)
        self._accepted = None if parsed.mistakes else parsed.rules
        return self._accepted is not None

    def publish(self, document: RulesDocument) -> None:
        """Bring the document that was just accepted into force."""
        assert self._accepted is not None, "a document comes into force only once accepted"
        self.in_force.find_treatment = build_matcher(self._accepted)
        self.in_force.services = list_services(self._accepted)
        self.in_force.revision = document.revision
        self._accepted = None
        self._published(document.revision)
