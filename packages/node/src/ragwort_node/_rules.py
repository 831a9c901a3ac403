"""The rules in force: validates documents and provides the matcher for the entry."""

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
    """The matcher and services of the rules in force; without a matcher before the first."""

    find_treatment: FindTreatment | None = None
    services: frozenset[ServiceName] = frozenset()
    revision: Revision = Revision(0)


class RulesHolder:
    """Owns the rules in force.

    ``publish`` is called right after ``accept`` for each new document, so the parsed rules are
    kept between the two calls.
    """

    def __init__(self, on_published: Callable[[Revision], None]) -> None:
        self.in_force = RulesInForce()
        self._on_published = on_published
        self._accepted: Rules | None = None

    def accept(self, document: RulesDocument) -> bool:
        """Parse a document and return whether it is free of errors."""
        parsed = parse_rules(document.text)
        self._accepted = None if parsed.errors else parsed.rules
        return self._accepted is not None

    def publish(self, document: RulesDocument) -> None:
        """Bring the last accepted document into force."""
        assert self._accepted is not None, "publish() was called without a preceding accept()"
        self.in_force.find_treatment = build_matcher(self._accepted)
        self.in_force.services = list_services(self._accepted)
        self.in_force.revision = document.revision
        self._accepted = None
        self._on_published(document.revision)
