"""The documents that nodes and operators share through the platform, and their JSON form."""

import json
from dataclasses import asdict, dataclass
from typing import Any

from expression import Error, Ok, Result
from ragwort_common import FailureDomain, Incarnation, NodeId, Region, Revision, ServiceName
from ragwort_model import is_address

RULES_PATH = "rules/current"
NODES_PREFIX = "nodes/"


@dataclass(frozen=True, slots=True)
class DocumentError:
    """Why stored bytes could not be decoded as the expected document."""

    message: str


@dataclass(frozen=True, slots=True)
class RulesDocument:
    """One revision of the rules file, with who applied it and when.

    Attributes
    ----------
    revision
        Number of this revision; it increases with each accepted change.
    author
        Who applied it.
    applied_at
        When it was applied, in ISO 8601; only displayed, never compared.
    apply_id
        Unique id of the attempt that wrote it; lets the author recognise its own write after the
        reply was lost.
    text
        Unmodified contents of the operator's rules file.
    """

    revision: Revision
    author: str
    applied_at: str
    apply_id: str
    text: bytes


@dataclass(frozen=True, slots=True)
class Announcement:
    """The identity and addresses that a node publishes when it starts."""

    node_id: NodeId
    service: ServiceName
    region: Region
    failure_domain: FailureDomain
    link_address: str
    entry_address: str
    control_address: str
    incarnation: Incarnation


def history_path(revision: Revision) -> str:
    """Return the path at which a revision is kept once a later one has replaced it."""
    return f"rules/history/{revision:010d}"


def encode_rules_document(document: RulesDocument) -> bytes:
    """Return the stored form of a rules document."""
    # UTF-8 text stays readable in the platform's own tools; other bytes are preserved as they are.
    fields = asdict(document) | {"text": document.text.decode("utf-8", "surrogateescape")}
    return json.dumps(fields, ensure_ascii=False).encode("utf-8", "surrogateescape")


def decode_rules_document(data: bytes) -> Result[RulesDocument, DocumentError]:
    """Decode a rules document from its stored form."""
    try:
        fields = json.loads(data.decode("utf-8", "surrogateescape"))
        return Ok(
            RulesDocument(
                revision=Revision(_read_non_negative_int(fields, "revision")),
                author=_read_text(fields, "author"),
                applied_at=_read_text(fields, "applied_at"),
                apply_id=_read_text(fields, "apply_id"),
                text=_read_text(fields, "text").encode("utf-8", "surrogateescape"),
            )
        )
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return Error(DocumentError(f"malformed rules document: {error!r}"))


def encode_announcement(announcement: Announcement) -> bytes:
    """Return the stored form of an announcement."""
    return json.dumps(asdict(announcement)).encode()


def decode_announcement(data: bytes) -> Result[Announcement, DocumentError]:
    """Decode an announcement from its stored form."""
    try:
        fields = json.loads(data)
        return Ok(
            Announcement(
                node_id=NodeId(_read_text(fields, "node_id")),
                service=ServiceName(_read_text(fields, "service")),
                region=Region(_read_text(fields, "region")),
                failure_domain=FailureDomain(_read_text(fields, "failure_domain")),
                link_address=_read_address(fields, "link_address"),
                entry_address=_read_address(fields, "entry_address"),
                control_address=_read_address(fields, "control_address"),
                incarnation=Incarnation(_read_non_negative_int(fields, "incarnation")),
            )
        )
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return Error(DocumentError(f"malformed announcement: {error!r}"))


def _read_text(fields: Any, name: str) -> str:
    value = fields[name]
    if not isinstance(value, str):
        raise ValueError(f"{name} is not a string")
    return value


def _read_address(fields: Any, name: str) -> str:
    """Return an address, which is empty if the node doesn't state it."""
    value = _read_text(fields, name)
    if value and not is_address(value):
        raise ValueError(f"{name} is not an IPv4 address and a port")
    return value


def _read_non_negative_int(fields: Any, name: str) -> int:
    value = fields[name]
    if type(value) is not int or not 0 <= value < 1 << 63:
        raise ValueError(f"{name} is not an integer from 0 to 2**63 - 1")
    return value
