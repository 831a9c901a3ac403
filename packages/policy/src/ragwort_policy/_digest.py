"""Per-bucket hashes of the peer table, updated incrementally with each change.

A suspicion is excluded from the hash: it is short-lived, and including it would make the tables of
all nodes differ while it spreads. Peers that have died or left are excluded as well, because nodes
that started later never held them.
"""

import struct
from dataclasses import dataclass, field

from ragwort_protocol import PeerState

from ragwort_policy._peer import GONE_STATES

BUCKETS = 64

_MASK = (1 << 64) - 1
_INCARNATION_FACTOR = 0x9E3779B97F4A7C15
_STATE_FACTOR = 0xBF58476D1CE4E5B9
_MIX_FACTOR = 0x94D049BB133111EB
_DIGEST_STRUCT = struct.Struct(f">{BUCKETS}I")


@dataclass(slots=True)
class TableDigest:
    """One 32-bit hash for each bucket: the XOR of the hashes of its entries."""

    hashes: list[int] = field(default_factory=lambda: [0] * BUCKETS)


def get_bucket(rank: int) -> int:
    """Return the number of the bucket that holds the peer of a rank."""
    return rank % BUCKETS


def toggle_entry(digest: TableDigest, rank: int, incarnation: int, state: PeerState) -> None:
    """Add an entry to the digest, or remove it if it was added before."""
    if state in GONE_STATES:
        return
    digest.hashes[rank % BUCKETS] ^= hash_entry(rank, incarnation, state)


def hash_entry(rank: int, incarnation: int, state: PeerState) -> int:
    """Return the 32-bit hash of one entry."""
    value = 0 if state is PeerState.SUSPECT else state.value
    mixed = rank ^ (incarnation * _INCARNATION_FACTOR) ^ (value * _STATE_FACTOR)
    mixed = (mixed & _MASK) ^ ((mixed & _MASK) >> 29)
    return ((mixed * _MIX_FACTOR) & _MASK) >> 32


def pack_digest(digest: TableDigest) -> bytes:
    """Return the digest encoded for a message."""
    return _DIGEST_STRUCT.pack(*digest.hashes)


def list_differences(digest: TableDigest, packed: bytes) -> list[int]:
    """Return the numbers of the buckets in which a packed digest differs from the local one.

    A digest of another length comes from another version of the code; then all buckets differ.
    """
    if len(packed) != _DIGEST_STRUCT.size:
        return list(range(BUCKETS))
    theirs = _DIGEST_STRUCT.unpack(packed)
    return [number for number in range(BUCKETS) if theirs[number] != digest.hashes[number]]
