"""The base class of the messages on a link.

Each message is encoded as a positional MessagePack array that starts with its tag. The tags are
assigned in blocks: calls 1 to 9, load reports and probes 10 to 19, gossip 20 to 29, claims 30 to
39, rules revisions and node announcements 40 to 49, crashes 50 to 59, evacuated failure domains 60
to 69, customers' limits 70 to 79, uploads 80 to 89, departures of servers 90 to 99.
"""

from typing import Any, TypeVar

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base class of the messages; a subclass sets its tag with ``tag=N``."""


M = TypeVar("M", bound=Message)


def replace_fields(message: M, **changes: Any) -> M:
    """Return a copy of a message with the given fields changed."""
    return msgspec.structs.replace(message, **changes)
