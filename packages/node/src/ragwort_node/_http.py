"""Runs ASGI applications under uvicorn in the node's event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn
from ragwort_transport import bind_socket


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the node and signals when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections, then set ``listening``."""
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the node handles signals."""
        yield


class RunningServer:
    """A running HTTP server with its socket and task."""

    def __init__(self, server: HttpServer, sock: socket.socket, task: asyncio.Task[None]) -> None:
        self._server = server
        self._socket = sock
        self._task = task

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._socket.getsockname()[1]

    async def stop(self) -> None:
        """Stop accepting connections and wait until the requests in progress have finished."""
        self._server.should_exit = True
        await self._task


async def start_http(app: Any, address: str, grace_ms: int) -> RunningServer:
    """Serve an application on an address, ``host:port``; port 0 selects a free port."""
    sock = bind_socket(address)
    config = uvicorn.Config(
        app,
        http="httptools",
        loop="none",
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=1024,
        timeout_graceful_shutdown=grace_ms // 1000 + 1,
    )
    server = HttpServer(config)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    await server.listening.wait()
    return RunningServer(server, sock, task)
