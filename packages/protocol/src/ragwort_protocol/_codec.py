"""Encodes messages into frames and decodes them, with checks of version and size.

A frame consists of a 4-byte big-endian length, a version byte and one message in MessagePack; the
length covers the version byte and the message.
"""

import struct
from typing import Any

import msgspec

from ragwort_protocol import (
    _calls,
    _claims,
    _crashes,
    _departures,
    _evacuations,
    _gossip,
    _limits,
    _load,
    _revision,
    _uploads,
)
from ragwort_protocol._message import Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1 << 20

BODY_PART_BYTES = 16 << 10
"""Size of the parts of a long body; a shorter body is sent with its head. A part takes 13 ms at
10 Mbit/s, during which other messages wait."""

FRAME_HEADER = struct.Struct(">IB")


class ProtocolError(Exception):
    """A violation of the protocol; a link that receives one is closed."""


_MESSAGES: Any = (
    _calls.Request
    | _calls.Data
    | _calls.Response
    | _calls.Refusal
    | _calls.Cancel
    | _calls.Hello
    | _load.LoadReport
    | _load.Probe
    | _load.ProbeReply
    | _gossip.Ping
    | _gossip.PingAck
    | _gossip.PingRequest
    | _gossip.Notice
    | _gossip.Digest
    | _gossip.Summary
    | _gossip.Records
    | _gossip.LoadNotice
    | _gossip.RegionReport
    | _claims.ClaimRequest
    | _claims.ClaimReply
    | _claims.ClaimResult
    | _claims.StoredResponse
    | _claims.OwnerNotice
    | _revision.RevisionNotice
    | _revision.DocumentRequest
    | _revision.Document
    | _revision.NodeNotice
    | _revision.StoreNotice
    | _revision.RecordLost
    | _crashes.CrashNotice
    | _crashes.CrashCleared
    | _crashes.CrashTrial
    | _evacuations.EvacuationNotice
    | _limits.UsageReport
    | _limits.LimitShares
    | _limits.LimitsReady
    | _uploads.BodyRequest
    | _departures.DepartureNotice
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_MESSAGES)


def encode_frame(message: Message) -> bytes:
    """Return the encoded frame of a message.

    Raises
    ------
    ProtocolError
        If the frame would be over ``MAX_FRAME_BYTES``.
    """
    body = _encoder.encode(message)
    size = len(body) + 1
    if size > MAX_FRAME_BYTES:
        raise ProtocolError(f"message of {size} bytes is over the frame limit")
    return FRAME_HEADER.pack(size, PROTOCOL_VERSION) + body


class FrameReader:
    """Decodes a byte stream into messages, and buffers an incomplete frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are now complete.

        Raises
        ------
        ProtocolError
            If a frame is malformed, of an invalid size or of an unsupported version.
        """
        buffer = self._buffer
        buffer += data
        messages = []
        start = 0
        while len(buffer) - start >= FRAME_HEADER.size:
            size, version = FRAME_HEADER.unpack_from(buffer, start)
            _check_header(size, version)
            end = start + 4 + size
            if len(buffer) < end:
                break
            messages.append(_decode(buffer, start + FRAME_HEADER.size, end))
            start = end
        del buffer[:start]
        return messages


def _check_header(size: int, version: int) -> None:
    if not 1 <= size <= MAX_FRAME_BYTES:
        raise ProtocolError(f"frame size of {size} bytes is out of bounds")
    if version != PROTOCOL_VERSION:
        raise ProtocolError(f"frame of unsupported protocol version {version}")


def _decode(buffer: bytearray, start: int, end: int) -> Message:
    # A bytearray can't be resized while views of it exist, so the views are released here.
    with memoryview(buffer) as view, view[start:end] as body:
        try:
            return _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise ProtocolError(f"malformed message: {error}") from error
