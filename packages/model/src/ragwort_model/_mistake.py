"""A mistake in what was read from outside."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mistake:
    """Something that can't be read: where it stands and what is wrong with it."""

    place: str
    message: str

    def __str__(self) -> str:
        """Return the mistake as one line."""
        return f"{self.place}: {self.message}"
