"""Message with which a gate asks for the body of a call that it has accepted."""

from ragwort_protocol._message import Message


class BodyRequest(Message, tag=80):
    """Asks for the body of a request that was sent without it.

    The sender answers with ``Data`` messages, the last of which has ``more`` unset.
    """

    call_id: int
