"""Messages with which nodes exchange rules documents and announce themselves."""

from ragwort_protocol._message import Message


class RevisionNotice(Message, tag=40):
    """Announces the revision of the rules in force at the sender, which may be fetched from it.

    Attributes
    ----------
    revision
        Number of the revision.
    digest
        Hash of the stored document, which reveals two documents with the same number.
    """

    revision: int
    digest: int


class DocumentRequest(Message, tag=41):
    """Requests the rules document in force at the peer if it is newer than ``revision``."""

    revision: int


class Document(Message, tag=42):
    """Carries a rules document as the platform's store holds it.

    Attributes
    ----------
    revision
        Revision of the document in the store.
    content
        Bytes of the document as read from the store.
    compressed
        Whether the content is compressed (zlib, RFC 1950).
    """

    revision: int
    content: bytes
    compressed: bool = False


class NodeNotice(Message, tag=43):
    """Announces the sender's address, service and location to a peer.

    A node that starts while the store is unavailable discovers the other nodes in this way.
    """

    node_id: str
    link_address: str
    service: str
    failure_domain: str
    region: str


class StoreNotice(Message, tag=44):
    """Tells a peer whether the platform's store answers the sender."""

    store_available: bool


class RecordLost(Message, tag=45):
    """Tells a peer that the store no longer holds its record."""
