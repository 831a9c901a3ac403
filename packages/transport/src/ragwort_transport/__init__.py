"""Links between nodes, and HTTP/1.1 clients and servers, as asyncio protocols."""

from ragwort_transport._client import (
    BAD_ANSWER,
    CONNECT_FAILED,
    CONNECTION_LOST,
    TIMED_OUT,
    Answer,
    ClientPool,
    Failure,
    set_silence_limit,
)
from ragwort_transport._exchange import NO_REPORT, exchange_call, make_refusal
from ragwort_transport._hedging import take_first_answer
from ragwort_transport._link import Handler, Link, LinkLost, Reply, send_in_parts
from ragwort_transport._message import HOP_BY_HOP, Headers, build_request, find_header
from ragwort_transport._peer_calls import PeerCalls, Receiver
from ragwort_transport._server import (
    HttpLimits,
    HttpReply,
    HttpRequest,
    HttpServer,
    bind_socket,
)
from ragwort_transport._work_count import WorkCount

__all__ = [
    "Answer",
    "BAD_ANSWER",
    "CONNECTION_LOST",
    "CONNECT_FAILED",
    "ClientPool",
    "Failure",
    "HOP_BY_HOP",
    "Handler",
    "Headers",
    "HttpLimits",
    "HttpReply",
    "HttpRequest",
    "HttpServer",
    "Link",
    "LinkLost",
    "NO_REPORT",
    "PeerCalls",
    "Receiver",
    "Reply",
    "TIMED_OUT",
    "WorkCount",
    "bind_socket",
    "build_request",
    "exchange_call",
    "find_header",
    "make_refusal",
    "send_in_parts",
    "set_silence_limit",
    "take_first_answer",
]
