"""Message with which nodes tell each other which failure domains are evacuated."""

from ragwort_protocol._message import Message


class EvacuationNotice(Message, tag=60):
    """Tells which failure domains are evacuated.

    Attributes
    ----------
    order
        Era and revision of the store at which the set was read, in one number; a higher one
        supersedes a lower one.
    failure_domains
        All evacuated failure domains; none if there are none any more.
    """

    order: int
    failure_domains: list[str]
