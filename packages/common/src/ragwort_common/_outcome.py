"""The ways in which a call can end, and the reasons given for a refusal."""

from enum import Enum


class Outcome(Enum):
    """How a call ended; every call ends in exactly one of these."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(Enum):
    """Why a call was refused, or why its outcome is unknown or failed."""

    NONE = "none"
    UNKNOWN_SERVICE = "unknown-service"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    BAD_ANSWER = "bad-answer"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    LIMIT = "limit"
    KEY_RUNNING = "key-running"
    KEY_UNPROVEN = "key-unproven"
    KEY_MISSING = "key-missing"
    KEY_MISMATCH = "key-mismatch"
    KEY_IN_FUTURE = "key-in-future"
    NO_OWNER = "no-owner"
    NOT_READY = "not-ready"
