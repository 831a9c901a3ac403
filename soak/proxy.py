"""Loopback TCP proxy that can delay or reset connections, or drop data in either direction."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 64 << 10


@dataclass(eq=False)
class Proxy:
    """Forwards connections from a loopback port to an address.

    Attributes
    ----------
    target
        Address to connect to.
    delay_s
        Delay of each chunk of data.
    passes_requests, passes_replies
        Whether data to the address, and data back from it, is forwarded; otherwise it is dropped.
    """

    target: str
    delay_s: float = 0.0
    passes_requests: bool = True
    passes_replies: bool = True
    port: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            if writer.transport.is_closing():
                continue
            # With a linger time of zero the kernel closes the connection with RST instead of FIN.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

    def heal(self) -> None:
        """Forward everything again, and reset the connections if data may have been dropped."""
        lost = not (self.passes_requests and self.passes_replies)
        self.delay_s = 0.0
        self.passes_requests = self.passes_replies = True
        if lost:
            self.reset()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self.server is not None:
            self.server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_writer, lambda: self.passes_requests)
                )
                group.create_task(self._forward(target_reader, writer, lambda: self.passes_replies))
        finally:
            self.writers -= {writer, target_writer}
            for end in (writer, target_writer):
                end.transport.abort()

    async def _forward(self, reader, writer, is_forwarding) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if is_forwarding():
                    writer.write(data)
                    await writer.drain()
            writer.write_eof()
