"""Sends long bodies over a link in parts, so that they share it fairly with other messages."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ragwort_protocol import BODY_PART_BYTES, Data

BodyKey = tuple[bool, int]
"""Whether a body is that of a request of this side, and the id of its call."""


@dataclass(slots=True)
class _Transfer:
    """A body that is being sent; ``done`` gets whether its last part has been written."""

    body: bytes
    done: asyncio.Future[bool]
    sent_bytes: int = 0


class BodyTransfers:
    """The bodies that are being sent over one link.

    One part is written in each iteration of the event loop while the write buffer is nearly empty;
    the bodies take turns. Other messages go out between the parts.

    Parameters
    ----------
    write
        Writes a part to the link.

    Attributes
    ----------
    unsent_bytes
        Bytes of the bodies that have not been written.
    """

    def __init__(self, write: Callable[[Data], object]) -> None:
        self._write = write
        self._transfers: dict[BodyKey, _Transfer] = {}
        self._scheduled: asyncio.Handle | None = None
        self._is_paused = False
        self.unsent_bytes = 0

    def start(self, key: BodyKey, body: bytes) -> asyncio.Future[bool]:
        """Send a body, and return the future of whether all of it has been written.

        Cancelling the future stops the transfer.
        """
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._transfers[key] = _Transfer(body, done)
        self.unsent_bytes += len(body)
        done.add_done_callback(lambda _: self.stop(key))
        self._schedule()
        return done

    def stop(self, key: BodyKey) -> None:
        """Send no more of a body."""
        transfer = self._transfers.pop(key, None)
        if transfer is not None:
            self.unsent_bytes -= len(transfer.body) - transfer.sent_bytes
            if not transfer.done.done():
                transfer.done.set_result(False)

    def is_sending(self, key: BodyKey) -> bool:
        """Tell whether a part of a body has not been written."""
        return key in self._transfers

    def pause(self) -> None:
        """Write no part because the write buffer holds enough."""
        self._is_paused = True

    def resume(self) -> None:
        """Write parts again."""
        self._is_paused = False
        self._schedule()

    def close(self) -> None:
        """End all transfers because the link has closed."""
        for key in list(self._transfers):
            self.stop(key)

    def _schedule(self) -> None:
        if self._scheduled is None and self._transfers and not self._is_paused:
            self._scheduled = asyncio.get_running_loop().call_soon(self._send_part)

    def _send_part(self) -> None:
        self._scheduled = None
        if self._is_paused or not self._transfers:
            return
        key = next(iter(self._transfers))
        transfer = self._transfers.pop(key)
        start = transfer.sent_bytes
        transfer.sent_bytes = min(start + BODY_PART_BYTES, len(transfer.body))
        self.unsent_bytes -= transfer.sent_bytes - start
        more = transfer.sent_bytes < len(transfer.body)
        if more:
            # Behind the other bodies.
            self._transfers[key] = transfer
        from_caller, call_id = key
        self._write(Data(call_id, transfer.body[start : transfer.sent_bytes], more, from_caller))
        if not more and not transfer.done.done():
            transfer.done.set_result(True)
        self._schedule()
