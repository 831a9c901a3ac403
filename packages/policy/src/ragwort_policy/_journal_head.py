"""The stored form of a key range's journal: the head and its closed segments."""

from dataclasses import dataclass
from struct import Struct

from ragwort_common import Epoch

from ragwort_policy._key_record import MARK_BYTES

FORMAT = 1
HEADER = Struct(">BQQQQ")


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
    return {marks[at : at + MARK_BYTES] for at in range(0, len(marks), MARK_BYTES)}


def encode_head(head: JournalHead) -> bytes:
    """Return the stored form of a head."""
    times = (head.floor_ms, head.horizon_ms, head.written_ms)
    return HEADER.pack(FORMAT, head.epoch, *times) + head.marks


def decode_head(data: bytes) -> JournalHead | None:
    """Return the head read from its stored form, or None if the data is malformed."""
    if len(data) < HEADER.size or (len(data) - HEADER.size) % MARK_BYTES:
        return None
    form, epoch, floor_ms, horizon_ms, written_ms = HEADER.unpack_from(data)
    if form != FORMAT:
        return None
    return JournalHead(Epoch(epoch), floor_ms, horizon_ms, written_ms, data[HEADER.size :])
