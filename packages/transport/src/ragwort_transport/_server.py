"""An HTTP/1.1 server that reads complete requests within limits and writes complete responses.

uvicorn is not used here (docs/design/deployment.md): it starts four times slower, and it gives no
control over slow headers, idle connections and which requests a closing connection still answers.
"""

import asyncio
import socket
from collections.abc import Callable

from ragwort_common import Counters

from ragwort_transport._held_bodies import HeldBodies
from ragwort_transport._http import HttpLimits, HttpResponse, RequestHandler
from ragwort_transport._message import Headers
from ragwort_transport._server_connection import ServerConnection, ServerState

SWEEP_INTERVAL_S = 0.25
"""Interval at which the time limits of the connections are checked."""

LISTEN_BACKLOG = 1024
"""Length of the accept queue; a full queue delays a caller's connect by seconds."""


class HttpServer:
    """Accepts connections on one address and passes their requests to a handler.

    Parameters
    ----------
    handle
        Returns the response to a request.
    get_limits
        Returns the current limits.

    counters
        Counts the requests that were started beside an earlier one of their connection.
    bodies
        Bounds the bytes of the long bodies of all requests; without it, only the limits do.
    refuse_body
        Returns the response, given the header fields and the bytes held, to a request whose body is
        over that bound. It is sent without reading the body, and the connection is closed.

    Attributes
    ----------
    work
        Count of the requests in progress.
    """

    def __init__(
        self,
        handle: RequestHandler,
        get_limits: Callable[[], HttpLimits],
        counters: Counters | None = None,
        bodies: HeldBodies | None = None,
        refuse_body: Callable[[Headers, int], HttpResponse] = lambda *_: HttpResponse(503, []),
    ) -> None:
        self._state = ServerState(
            handle, get_limits, counters or Counters(), bodies or HeldBodies(), refuse_body
        )
        self.work = self._state.work
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> int:
        """Accept connections on an address, given as ``host:port``, and return the port.

        Raises
        ------
        OSError
            If the address is in use or is not an address of this host.
        """
        sock = bind_socket(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._state), sock=sock, backlog=LISTEN_BACKLOG
        )
        self._schedule_sweep()
        return sock.getsockname()[1]

    def start_closing(self) -> None:
        """Keep answering requests, but close each connection after its next response."""
        self._state.closing = True

    def stop_listening(self) -> None:
        """Stop accepting connections, and close the idle ones."""
        self._state.closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Stop listening, and close every connection at once."""
        self.stop_listening()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._state.connections):
            connection.abort()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        now = asyncio.get_running_loop().time()
        for connection in list(self._state.connections):
            connection.check_timeout(now)
        self._schedule_sweep()


def bind_socket(address: str) -> socket.socket:
    """Return a socket that is bound to an address, given as ``host:port``, but does not listen.

    Raises
    ------
    OSError
        If the address is in use or is not an address of this host.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        sock.close()
        raise OSError(f"{address}: {error.strerror}") from error
    return sock
