"""Links between nodes, and HTTP/1.1 clients and servers, as asyncio protocols."""

from ragwort_transport._client import (
    BAD_ANSWER,
    CONNECT_FAILED,
    CONNECTION_LOST,
    TIMED_OUT,
    Answer,
    ClientPool,
    Failure,
    ResponseOwner,
    set_unacknowledged_timeout,
)
from ragwort_transport._exchange import NO_REPORT, exchange_call, make_refusal
from ragwort_transport._hedging import wait_for_first_success
from ragwort_transport._held_bodies import BodyHold, HeldBodies
from ragwort_transport._http import HttpLimits, HttpRequest, HttpResponse, RequestHandler
from ragwort_transport._in_flight_counter import InFlightCounter
from ragwort_transport._incoming_body import IncomingBody
from ragwort_transport._link import Link, LinkLost, MessageHandler, Reply, send_in_parts
from ragwort_transport._message import HOP_BY_HOP, Headers, build_request, find_header
from ragwort_transport._peer_calls import PeerCalls, Receiver
from ragwort_transport._server import HttpServer, bind_socket

__all__ = [
    "Answer",
    "BAD_ANSWER",
    "BodyHold",
    "CONNECTION_LOST",
    "CONNECT_FAILED",
    "ClientPool",
    "Failure",
    "HOP_BY_HOP",
    "Headers",
    "HeldBodies",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "InFlightCounter",
    "IncomingBody",
    "Link",
    "LinkLost",
    "MessageHandler",
    "NO_REPORT",
    "PeerCalls",
    "Receiver",
    "Reply",
    "RequestHandler",
    "ResponseOwner",
    "TIMED_OUT",
    "bind_socket",
    "build_request",
    "exchange_call",
    "find_header",
    "make_refusal",
    "send_in_parts",
    "set_unacknowledged_timeout",
    "wait_for_first_success",
]
