"""Node announcements in the platform: written at startup, listed once, removed at shutdown.

A node that already knows its peers works without any of these calls.
"""

import logging

from expression import Error, Ok, Result
from ragwort_common import Incarnation, NodeId
from ragwort_policy import Peer
from ragwort_protocol import PeerState, PeerUpdate, Profile
from ragwort_store import (
    NODES_PREFIX,
    Announcement,
    ErrorKind,
    ObjectStore,
    StoredObject,
    StoreError,
    decode_announcement,
    encode_announcement,
)

log = logging.getLogger(__name__)

_MAX_WRITE_ATTEMPTS = 3


def convert_announcement(announcement: Announcement) -> PeerUpdate:
    """Convert an announcement to a membership update for an alive peer."""
    profile = Profile(
        announcement.service,
        announcement.region,
        announcement.failure_domain,
        announcement.link_address,
        announcement.entry_address,
        announcement.control_address,
    )
    return PeerUpdate(announcement.node_id, announcement.incarnation, PeerState.ALIVE, profile)


def make_announcement(peer: Peer) -> Announcement:
    """Return a node's announcement, built from its own entry in the table of peers."""
    profile = peer.profile
    return Announcement(
        peer.node_id,
        peer.service,
        peer.region,
        peer.failure_domain,
        profile.link_address,
        profile.entry_address,
        profile.control_address,
        peer.incarnation,
    )


async def read_announcement(
    store: ObjectStore, node_id: NodeId
) -> Result[tuple[StoredObject, Announcement] | None, StoreError]:
    """Return the stored object of a node's announcement and its content; None if absent."""
    found = await store.get(NODES_PREFIX + node_id)
    if found.is_error():
        if found.error.kind is ErrorKind.NOT_FOUND:
            return Ok(None)
        return Error(found.error)
    decoded = decode_announcement(found.ok.data)
    if decoded.is_error():
        return Error(StoreError(ErrorKind.INVALID, decoded.error.message))
    return Ok((found.ok, decoded.ok))


async def write_announcement(
    store: ObjectStore, announcement: Announcement
) -> Result[Incarnation, StoreError]:
    """Create the node's announcement, or replace the one from its previous start.

    Returns
    -------
    Result
        The incarnation that the platform now stores. A higher one than the node's own is not
        replaced: the node has to raise its own above it and write again.
    """
    path = NODES_PREFIX + announcement.node_id
    data = encode_announcement(announcement)
    failure = StoreError(
        ErrorKind.CONFLICT, "the announcement was changed concurrently on every attempt"
    )
    version: int | None = None
    for _ in range(_MAX_WRITE_ATTEMPTS):
        if version is None:
            written = await store.create(path, data)
        else:
            written = await store.update(path, data, version)
        if written.is_ok():
            return Ok(announcement.incarnation)
        failure = written.error
        if failure.kind not in (ErrorKind.CONFLICT, ErrorKind.UNCERTAIN):
            break
        # The stored object also shows whether a write whose reply was lost took effect.
        found = await store.get(path)
        if found.is_error():
            version = None
            continue
        version = found.ok.version
        stored_incarnation = _read_incarnation(found.ok.data)
        if stored_incarnation >= announcement.incarnation:
            return Ok(stored_incarnation)
    return Error(failure)


async def list_announced(store: ObjectStore) -> Result[list[PeerUpdate], StoreError]:
    """Return all announcements as membership updates, without those that cannot be decoded."""
    listed = await store.list_objects(NODES_PREFIX)
    if listed.is_error():
        return Error(listed.error)
    updates = []
    for stored in listed.ok.items:
        decoded = decode_announcement(stored.data)
        if decoded.is_ok():
            updates.append(convert_announcement(decoded.ok))
    return Ok(updates)


async def remove_announcement(
    store: ObjectStore, node_id: NodeId, incarnation: Incarnation
) -> Result[bool, StoreError]:
    """Remove an announcement unless its incarnation is higher than the given one.

    Returns
    -------
    Result
        Whether the announcement is now known to be gone.
    """
    found = await read_announcement(store, node_id)
    if found.is_error():
        return Error(found.error)
    if found.ok is None:
        return Ok(True)
    stored, announcement = found.ok
    if announcement.incarnation > incarnation:
        return Ok(False)
    # The version condition protects an announcement that the node rewrote after the read.
    removed = await store.delete(stored.path, stored.version)
    return removed.map(lambda _: True)


def _read_incarnation(data: bytes) -> Incarnation:
    decoded = decode_announcement(data)
    return decoded.ok.incarnation if decoded.is_ok() else Incarnation(0)
