"""The messages by which nodes tell each other of the rules and of themselves."""

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


class DocumentRequest(Message, tag=41):
    """Asks the peer for the document that it has in force, if that is newer than a revision."""

    revision: int


class Document(Message, tag=42):
    """Hands on a document as the platform's store holds it.

    Attributes
    ----------
    revision
        The store's revision of it.
    content
        Its bytes, as they were read from the store.
    packed
        Whether the content is compressed (zlib, RFC 1950).
    """

    revision: int
    content: bytes
    packed: bool = False


class NodeNotice(Message, tag=43):
    """Tells a peer where the sender is reached and what it serves.

    A node that starts while the store is away learns of the others in this way.
    """

    node_id: str
    link_address: str
    service: str
    failure_domain: str
    region: str


class StoreNotice(Message, tag=44):
    """Tells a peer whether the platform's store serves the sender."""

    served: bool


class RecordLost(Message, tag=45):
    """Tells a peer that the store holds no record of it any more."""
