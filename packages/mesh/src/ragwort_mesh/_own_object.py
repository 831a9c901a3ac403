"""An object in the store that one node alone writes."""

from ragwort_common import NodeId
from ragwort_model import ErrorKind, InputError
from ragwort_platform import (
    StoredObject,
    build_create,
    build_delete,
    build_get,
    build_replace,
    read_object,
)

from ragwort_mesh._store import StoreClient, StoreReply
from ragwort_mesh._telemetry import Telemetry


class OwnObject:
    """Writes one object, whose name is that of this node.

    Attributes
    ----------
    stored
        The object as it was last seen in the store; None if it isn't there or isn't known.
    """

    def __init__(self, kind: str, node: NodeId, store: StoreClient, telemetry: Telemetry) -> None:
        self.stored: StoredObject | None = None
        self._kind = kind
        self._node = node
        self._store = store
        self._telemetry = telemetry

    async def write(self, content: bytes) -> bool:
        """Try to store the content, and return whether the store said that it did.

        Without its word the write may still have succeeded, so ``stored`` is read again.
        """
        if self.stored is None:
            request = build_create(self._kind, self._node, content)
        else:
            request = build_replace(self._kind, self._node, content, self.stored.revision)
        reply = await self._store.call(request)
        if not isinstance(reply, StoreReply):
            if reply.kind in (ErrorKind.CONFLICT, ErrorKind.UNCERTAIN):
                await self.read()
            elif reply.kind is ErrorKind.NOT_FOUND:
                self.stored = None
            return False
        written = read_object(reply.body)
        if isinstance(written, InputError):
            self._telemetry.events.write("store-reply-unreadable", mistake=str(written))
            return False
        self.stored = written
        return True

    async def remove(self) -> bool:
        """Try to remove the object, and return whether it is gone."""
        stored = self.stored
        if stored is None:
            return True
        reply = await self._store.call(build_delete(self._kind, self._node, stored.revision))
        if isinstance(reply, StoreReply) or reply.kind is ErrorKind.NOT_FOUND:
            self.stored = None
        return self.stored is None

    async def read(self) -> bool:
        """Read the object from the store, and return whether it is known now."""
        reply = await self._store.call(build_get(self._kind, self._node))
        if isinstance(reply, StoreReply):
            stored = read_object(reply.body)
            if isinstance(stored, InputError):
                self._telemetry.events.write("store-reply-unreadable", mistake=str(stored))
                return False
            self.stored = stored
        elif reply.kind is ErrorKind.NOT_FOUND:
            self.stored = None
        else:
            return False
        return True
