"""The message that tells peers of a new revision of the rules."""

from ragwort_protocol._message import Message


class RevisionNotice(Message, tag=40):
    """Tells that the sender has a revision of the rules in force, to be fetched from it.

    Attributes
    ----------
    revision
        Number of the revision.
    digest
        Hash of the stored document, so that two documents under one number are noticed.
    """

    revision: int
    digest: int
