"""Data types of a rules file: rules, notes, treatments of calls, and errors."""

from dataclasses import dataclass
from enum import Enum

from ragwort_common import FailureDomain, Member, ServiceName

ANY_METHOD = "*"

DEFAULT_DEADLINE_MS = 10_000
DEFAULT_SHARE = 1


class Priority(Enum):
    """Queueing priority of a call at the admission gate."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Treatment:
    """How a call is handled; the defaults are the safe ones, without retries and hedging.

    Attributes
    ----------
    member
        Company that requested the rule; the call counts towards its share and limit.
    idempotent
        True when executing the call twice does no harm.
    priority
        Whether the admission gate's queue serves the call before or after others.
    deadline_ms
        Time within which the caller gets a response or a rejection, in milliseconds.
    retries
        Maximum number of attempts after one that may have been executed.
    hedge_percent
        Maximum share of calls that are also sent to a second server when the first is slow, in
        percent.
    share
        Weight of the member when calls of several members are queued at an admission gate.
    limit
        Maximum number of concurrent calls of the member at one gate; None for no limit.
    domains
        Failure domains whose servers may serve the call; empty for any.
    key_required
        True when a call without an Idempotency-Key header is rejected.
    """

    member: Member
    idempotent: bool = False
    priority: Priority = Priority.INTERACTIVE
    deadline_ms: int = DEFAULT_DEADLINE_MS
    retries: int = 0
    hedge_percent: float = 0.0
    share: int = DEFAULT_SHARE
    limit: int | None = None
    domains: frozenset[FailureDomain] = frozenset()
    key_required: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings given on a rule's line; None for those that keep their defaults."""

    idempotent: bool | None = None
    priority: Priority | None = None
    deadline_ms: int | None = None
    retries: int | None = None
    hedge_percent: float | None = None
    share: int | None = None
    limit: int | None = None
    domains: tuple[FailureDomain, ...] | None = None
    key_required: bool | None = None


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule as written on its line.

    Attributes
    ----------
    line
        Line number in the file, counted from 1.
    service, method, path
        Calls that the rule applies to; the method may be ``ANY_METHOD``.
    settings
        Settings given on the line.
    member, reason
        Company that requested the rule, and its reason, both from the line's comment.
    """

    line: int
    service: ServiceName
    method: str
    path: str
    settings: Settings
    member: Member
    reason: str


@dataclass(frozen=True, slots=True)
class Note:
    """A blank line or a line with only a comment."""

    line: int
    text: str


@dataclass(frozen=True, slots=True)
class Rules:
    """The lines of a rules file, in file order."""

    lines: tuple[Rule | Note, ...] = ()


@dataclass(frozen=True, slots=True, order=True)
class RuleError:
    """An error on a line of a rules file: what is wrong and what was expected."""

    line: int
    message: str


@dataclass(frozen=True, slots=True)
class ParseResult:
    """The rules that could be parsed, and all errors of the file in line order.

    The rules must not be used when there are errors.
    """

    rules: Rules
    errors: tuple[RuleError, ...]


def list_rules(rules: Rules) -> tuple[Rule, ...]:
    """Return the rules of a file without its notes."""
    return tuple(line for line in rules.lines if isinstance(line, Rule))


def list_services(rules: Rules) -> frozenset[ServiceName]:
    """Return the services that have at least one rule."""
    return frozenset(rule.service for rule in list_rules(rules))
