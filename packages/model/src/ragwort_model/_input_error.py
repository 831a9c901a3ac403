"""An error in external input."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InputError:
    """An input that can't be accepted: the location and what is wrong there."""

    place: str
    message: str

    def __str__(self) -> str:
        """Return the location and the message on one line."""
        return f"{self.place}: {self.message}"
