"""An error in external input."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mistake:
    """An input that could not be parsed: its location and what is wrong with it."""

    place: str
    message: str

    def __str__(self) -> str:
        """Return the location and the message on one line."""
        return f"{self.place}: {self.message}"
