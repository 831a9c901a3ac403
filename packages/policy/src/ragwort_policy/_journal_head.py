"""What the platform keeps of a key range's journal: the head and its closed copies."""

from dataclasses import dataclass
from struct import Struct

from ragwort_common import Epoch

from ragwort_policy._key_record import MARK_BYTES

FORMAT = 1
HEADER = Struct(">BQQQQ")


@dataclass(frozen=True, slots=True)
class JournalHead:
    """What the head object or a closed segment holds.

    Attributes
    ----------
    epoch
        The only epoch that may write the head.
    floor_ms
        Horizon that the epoch found when it sealed the head.
    horizon_ms
        No key minted later was granted in this epoch or before.
    written_ms
        Wall time at which the last mark was added.
    marks
        Marks of granted keys, one after the other.
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
    """Return the single marks of a head or segment."""
    return {marks[at : at + MARK_BYTES] for at in range(0, len(marks), MARK_BYTES)}


def encode_head(head: JournalHead) -> bytes:
    """Return the bytes that the platform keeps."""
    times = (head.floor_ms, head.horizon_ms, head.written_ms)
    return HEADER.pack(FORMAT, head.epoch, *times) + head.marks


def decode_head(data: bytes) -> JournalHead | None:
    """Read what the platform kept, None when it is malformed."""
    if len(data) < HEADER.size or (len(data) - HEADER.size) % MARK_BYTES:
        return None
    form, epoch, floor_ms, horizon_ms, written_ms = HEADER.unpack_from(data)
    if form != FORMAT:
        return None
    return JournalHead(Epoch(epoch), floor_ms, horizon_ms, written_ms, data[HEADER.size :])
