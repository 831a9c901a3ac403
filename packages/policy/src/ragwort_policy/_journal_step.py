"""The steps that the owner of a key range takes at the platform for its journal."""

from dataclasses import dataclass

from ragwort_policy._journal_head import JournalHead


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head; the reply goes to ``take_head``."""


@dataclass(frozen=True, slots=True)
class WriteHead:
    """Write the head if it still has this version (create it when None) for ``take_write``."""

    version: int | None
    head: JournalHead


@dataclass(frozen=True, slots=True)
class CloseSegment:
    """Create the copy of the head of this version; the reply goes to ``take_close``."""

    version: int
    head: JournalHead


@dataclass(frozen=True, slots=True)
class LoadSegments:
    """Read all closed segments of the range; the reply goes to ``take_segments``."""


Step = ReadHead | WriteHead | CloseSegment | LoadSegments
