"""Parts of HTTP/1.1 messages that clients and servers share."""

from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
"""Header fields in their order, with names in lower case."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Header fields that concern one connection only (RFC 9110, section 7.6.1)."""

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

_WITHOUT_BODY = frozenset({204, 304})


def has_no_body(status: int) -> bool:
    """Tell whether an answer with this status never has a body."""
    return status < 200 or status in _WITHOUT_BODY


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, or None."""
    for other, value in headers:
        if other == name:
            return value
    return None
