"""HTTP/1.1 message elements shared by the client and the server."""

from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, with lower-case names."""

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
"""Header fields that apply to a single connection (RFC 9110, section 7.6.1)."""

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

_WITHOUT_BODY = frozenset({204, 304})


def has_no_body(status: int) -> bool:
    """Tell whether responses with this status never have a body."""
    return status < 200 or status in _WITHOUT_BODY


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field, or None if it is absent."""
    for other, value in headers:
        if other == name:
            return value
    return None


METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
"""Methods whose requests have a Content-Length even if the body is empty."""


def build_request(method: str, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return the encoded request; its Content-Length is added here."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method.encode("ascii"), target)]
    lines += [b"%s: %s\r\n" % field for field in headers]
    if body or method in METHODS_WITH_BODY:
        lines.append(b"content-length: %d\r\n" % len(body))
    head = b"".join(lines)
    # A line break inside a field would let a caller smuggle in a second request.
    assert head.count(b"\n") == len(lines), "a header field contains a line break"
    return b"%s\r\n%s" % (head, body)
