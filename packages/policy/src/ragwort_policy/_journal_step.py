"""The operations on the platform by which the owner of a key range maintains its journal."""

from dataclasses import dataclass

from ragwort_policy._journal_head import JournalHead


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head; pass the result to ``handle_head``."""


@dataclass(frozen=True, slots=True)
class WriteHead:
    """Write the head if it still has this version, or create it if None; see ``handle_write``."""

    version: int | None
    head: JournalHead


@dataclass(frozen=True, slots=True)
class CloseSegment:
    """Create the segment that copies the head of this version; see ``handle_close``."""

    version: int
    head: JournalHead


@dataclass(frozen=True, slots=True)
class LoadSegments:
    """Read all closed segments of the range; pass the result to ``handle_segments``."""


Step = ReadHead | WriteHead | CloseSegment | LoadSegments
