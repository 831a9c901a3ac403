"""Recognizes calls that are the same request, although each has an id of its own."""

from hashlib import blake2b

from ragwort_common import RequestFingerprint

FINGERPRINT_BYTES = 8
"""Length of a fingerprint; two of a million requests agree by chance with a probability of 3e-8."""


def fingerprint_request(
    caller: bytes, host: bytes, method: str, target: bytes, body: bytes
) -> list[RequestFingerprint]:
    """Return the fingerprints of a request.

    The first one covers caller, host, method, path and body. For a request with a query, a second
    one covers that too, since either the path alone or the query may decide what a server does.

    Parameters
    ----------
    caller
        Service that the request comes from.
    target
        Path and query.
    """
    path, separator, query = target.partition(b"?")
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller, host, method.encode(), path, body):
        # The lengths keep two requests apart whose parts are the same bytes, divided differently.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    fingerprints = [RequestFingerprint(digest.digest())]
    if separator:
        digest.update(query)
        fingerprints.append(RequestFingerprint(digest.digest()))
    return fingerprints
