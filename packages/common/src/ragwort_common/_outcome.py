"""Outcomes of a call, and the reasons for a refusal or an unsuccessful outcome."""

from enum import Enum


class Outcome(Enum):
    """How a call ended; every call has exactly one outcome."""

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
    CRASHES_SERVERS = "crashes-servers"
    NO_HOME_SERVER = "no-home-server"
    EVACUATED = "evacuated"
    UNKNOWN_KEY = "unknown-key"
    CUSTOMER_LIMIT = "customer-limit"
    BODY_MEMORY = "body-memory"
