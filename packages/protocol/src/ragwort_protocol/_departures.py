"""Message with which nodes keep for each other which servers have announced that they leave."""

from ragwort_protocol._message import Message


class LeavingServer(Message):
    """A server that leaves.

    Attributes
    ----------
    instance, born_ms
        Name of the instance, and the latest of its starts that leaves, in Unix milliseconds.
    at_ms
        When that was announced, in Unix milliseconds.
    has_left
        Whether the server has said goodbye.
    """

    instance: str
    born_ms: int
    at_ms: int
    has_left: bool


class DepartureNotice(Message, tag=90):
    """Tells which servers beside a node have announced that they leave, as far as is known.

    ``node_id`` is the sender, or the receiver when the sender tells it what it may have lost.
    """

    node_id: str
    servers: list[LeavingServer]
