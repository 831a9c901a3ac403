"""A server on raw connections that one kind of request crashes, and that is back after a while."""

import asyncio
import contextlib
from collections import Counter

from ragwort_standins.application import Application, send_report

CRASH_DELAY_S = 0.02
"""How long a request runs until it crashes its server."""

SERVICE_TIME_S = 0.1
"""How long any other request runs."""


class CrashingServer:
    """A server and what it ran; it reports to its node when it starts.

    Attributes
    ----------
    crashes
        Number of crashes so far.
    runs
        Number of runs, by body.
    down_s
        How long the server stays away after a crash, in seconds.
    keeps_id
        Whether it comes back under the id that it had.
    """

    def __init__(self, name, service="s", down_s=0.3, keeps_id=False):
        self.name = name
        self.application = Application(f"i-{name}-0", service)
        self.down_s = down_s
        self.keeps_id = keeps_id
        self.crashes = 0
        self.runs = Counter()
        self.control = ""
        self._born = 1
        self._port = 0
        self._server = None
        self._writers = set()
        self._restart = None

    async def start(self):
        """Listen, always on the same port, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self._port}"

    async def stop(self):
        """Stop for good."""
        if self._restart is not None:
            self._restart.cancel()
        self._break_off()

    def crash(self):
        """End without notice, and start again after a while."""
        self.crashes += 1
        self._break_off()
        self._restart = asyncio.create_task(self._start_again())

    async def report(self, sequence=1):
        """Report to the node that the server is ready."""
        await send_report(self.control, self.application, sequence, born=self._born)

    def _break_off(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _start_again(self):
        await asyncio.sleep(self.down_s)
        self._born += 1
        if not self.keeps_id:
            self.application.instance = f"i-{self.name}-{self._born}"
        await self.start()
        await self.report()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await self._serve_request(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_request(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
        self.runs[body] += 1
        if body == b"crash":
            await asyncio.sleep(CRASH_DELAY_S)
            # Another request may have crashed the server meanwhile.
            if writer in self._writers:
                self.crash()
            return
        await asyncio.sleep(SERVICE_TIME_S)
        call_id = fields.get(b"ragwortvalve-attempt-id", b"")
        writer.write(
            b"HTTP/1.1 200 OK\r\nRagwortvalve-Response-Signature: s\r\n"
            b"Ragwortvalve-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
            % (call_id, len(body), body)
        )
