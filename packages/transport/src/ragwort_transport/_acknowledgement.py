"""Asks the kernel whether the peer of a TCP connection still acknowledges data."""

import asyncio
import socket
import struct

_TCP_INFO = struct.Struct("=8B5I")
"""The first fields of Linux's ``tcp_info``, up to ``tcpi_unacked``."""

_RETRANSMITS, _UNACKED = 2, 12
"""Indices of ``tcpi_retransmits`` and ``tcpi_unacked``."""


def is_acknowledging(transport: asyncio.BaseTransport) -> bool:
    """Tell whether the peer's kernel acknowledges what was sent.

    It does not if data was sent again after the kernel's retransmission timeout and is still not
    acknowledged. Data that was only just sent is no sign of a failure. The time of the last
    acknowledgement is not used: the peer's keep-alive probes count even if nothing reaches it.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        info = _TCP_INFO.unpack(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        )
    except (OSError, struct.error):
        return False
    return not (info[_UNACKED] and info[_RETRANSMITS])
