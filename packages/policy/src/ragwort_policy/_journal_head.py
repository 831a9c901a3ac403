"""The stored form of a key range's journal: the head and its closed segments."""

from dataclasses import dataclass
from struct import Struct

from ragwort_common import Epoch

from ragwort_policy._key_record import MARK_BYTES

FORMAT_VERSION = 1
HEADER_STRUCT = Struct(">BQQQQ")


@dataclass(frozen=True, slots=True)
class JournalHead:
    """The content of the head object or of a closed segment.

    Attributes
    ----------
    epoch
        The only epoch that may write the head.
    floor_ms
        Horizon found in the head when this epoch sealed it.
    horizon_ms
        No key with a later timestamp was granted in this epoch or before.
    written_ms
        Wall-clock time at which the last mark was added.
    marks
        Concatenated marks of granted keys, ``MARK_BYTES`` each.
    """

    epoch: Epoch
    floor_ms: int
    horizon_ms: int
    written_ms: int
    marks: bytes = b""


@dataclass(frozen=True, slots=True)
class Segment:
    """A closed segment and the version of the head that it copies."""

    version: int
    head: JournalHead


def split_marks(marks: bytes) -> set[bytes]:
    """Return the individual marks of a head or segment."""
    return {marks[offset : offset + MARK_BYTES] for offset in range(0, len(marks), MARK_BYTES)}


def encode_head(head: JournalHead) -> bytes:
    """Return the stored form of a head."""
    times = (head.floor_ms, head.horizon_ms, head.written_ms)
    return HEADER_STRUCT.pack(FORMAT_VERSION, head.epoch, *times) + head.marks


def decode_head(data: bytes) -> JournalHead | None:
    """Return the head read from its stored form, or None if the data is malformed."""
    if len(data) < HEADER_STRUCT.size or (len(data) - HEADER_STRUCT.size) % MARK_BYTES:
        return None
    format_version, epoch, floor_ms, horizon_ms, written_ms = HEADER_STRUCT.unpack_from(data)
    if format_version != FORMAT_VERSION:
        return None
    return JournalHead(Epoch(epoch), floor_ms, horizon_ms, written_ms, data[HEADER_STRUCT.size :])
