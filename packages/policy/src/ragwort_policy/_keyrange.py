"""Derives the hash, the key range and the timestamp of an idempotency key.

The number of ranges is fixed, so that the cost of their leases does not grow with the fleet.
"""

from hashlib import blake2b

KEY_RANGES = 64
HASH_BYTES = 16
MAX_KEY_BYTES = 255
UUID_LENGTH = 36
UUID_VERSION_INDEX = 14
UUID_VARIANT_INDEX = 19
_LENGTH_BYTES = 4


def hash_key(service: str, member: str, key: str) -> bytes:
    """Return the hash under which a member's key for a service is claimed.

    The hash is cryptographic: a caller able to construct a collision would receive refusals or
    answers that belong to another caller.
    """
    return _hash_parts((service.encode(), member.encode(), normalize_key(key).encode()))


def hash_call(method: str, target: bytes, body: bytes) -> bytes:
    """Return the fingerprint by which two calls with one key are recognized as the same call."""
    return _hash_parts((method.encode(), target, body))


def get_key_range(key_hash: bytes, ranges: int = KEY_RANGES) -> int:
    """Return the number of the key range of a key's hash."""
    return int.from_bytes(key_hash[-4:], "big") % ranges


def normalize_key(key: str) -> str:
    """Return a key without surrounding spaces and quotes, and a UUID in lower case."""
    key = key.strip()
    if len(key) >= 2 and key[0] == key[-1] == '"':
        key = key[1:-1]
    return key.lower() if _is_uuid(key.lower()) else key


def read_timestamp_ms(key: str) -> int:
    """Return the timestamp of a UUIDv7 (RFC 9562) in milliseconds of Unix time, or zero.

    The timestamp is part of the key: even if it is wrong, every repeat carries the same one.
    """
    key = normalize_key(key)
    if not _is_uuid(key):
        return 0
    if key[UUID_VERSION_INDEX] != "7" or key[UUID_VARIANT_INDEX] not in "89ab":
        return 0
    return int(key[:8] + key[9:13], 16)


def _is_uuid(key: str) -> bool:
    if len(key) != UUID_LENGTH:
        return False
    parts = key.split("-")
    if [len(part) for part in parts] != [8, 4, 4, 4, 12]:
        return False
    return all(digit in "0123456789abcdef" for part in parts for digit in part)


def _hash_parts(parts: tuple[bytes, ...]) -> bytes:
    digest = blake2b(digest_size=HASH_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
