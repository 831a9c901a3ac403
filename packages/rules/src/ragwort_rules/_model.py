"""The parts of a rules file: rules, notes, the treatment of a call, and mistakes."""

from dataclasses import dataclass
from enum import Enum

from ragwort_common import FailureDomain, Member, ServiceName

ANY_METHOD = "*"

DEFAULT_DEADLINE_MS = 10_000
DEFAULT_SHARE = 1


class Priority(Enum):
    """Which calls a gate's queue serves first."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Treatment:
    """How a call is treated; the defaults are the safe ones.

    Attributes
    ----------
    member
        Firm that asked for the rule; the call counts on its share and limit.
    idempotent
        True when the call may be run twice without harm.
    priority
        Whether the call goes before others in the gate's queue or waits behind them.
    deadline_ms
        Time until the caller gets an answer or a refusal, in milliseconds.
    retries
        Further attempts after one that may have run.
    hedge_percent
        Share of calls that may be sent to a second server when the first is slow, in percent.
    share
        Weight of the member at a gate where several members wait.
    limit
        Concurrent calls of the member at one gate; None for no limit.
    domains
        Failure domains whose servers may serve the call; empty for any.
    key_required
        True when a call without an Idempotency-Key is refused.
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
    """The settings written on a rule's line; None for those left to their defaults."""

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
    """One rule as its line states it.

    Attributes
    ----------
    line
        Number of the line in the file, from 1.
    service, method, path
        Calls that the rule is for; the method may be ``ANY_METHOD``.
    settings
        What the line says of their treatment.
    member, reason
        Firm that asked for the rule, and its comment.
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
    """A blank line, or a line that is only a comment."""

    line: int
    text: str


@dataclass(frozen=True, slots=True)
class Rules:
    """The lines of a rules file, in their order."""

    lines: tuple[Rule | Note, ...] = ()


@dataclass(frozen=True, slots=True, order=True)
class Mistake:
    """What is wrong on a line of a rules file, and what was expected."""

    line: int
    message: str


@dataclass(frozen=True, slots=True)
class Parsed:
    """The rules that could be read, and every mistake of the file in the order of its lines.

    The rules may be used only when there are no mistakes.
    """

    rules: Rules
    mistakes: tuple[Mistake, ...]


def list_rules(rules: Rules) -> tuple[Rule, ...]:
    """Return the rules of a file without its notes."""
    return tuple(line for line in rules.lines if isinstance(line, Rule))


def list_services(rules: Rules) -> frozenset[ServiceName]:
    """Return the services that at least one rule is for."""
    return frozenset(rule.service for rule in list_rules(rules))
