"""The client of the platform's object API, and the documents and leases stored there."""

from ragwort_model import ErrorKind, StoreError

from ragwort_store._budget import CallBudget
from ragwort_store._document import (
    NODES_PREFIX,
    RULES_PATH,
    Announcement,
    DocumentError,
    RulesDocument,
    decode_announcement,
    decode_rules_document,
    encode_announcement,
    encode_rules_document,
    history_path,
)
from ragwort_store._lease import (
    DEFAULT_MARGIN_MS,
    DEFAULT_TTL_MS,
    Lease,
    LeaseClient,
    LeaseError,
    LeaseErrorKind,
    LeaseHolder,
    decode_lease_holder,
    is_lease_valid,
    read_boot_clock,
)
from ragwort_store._objects import Change, Changes, Listing, StoredObject
from ragwort_store._store import (
    DEFAULT_BURST_CALLS,
    DEFAULT_CALLS_PER_S,
    MAX_OBJECT_BYTES,
    CallKind,
    ObjectStore,
)

__all__ = [
    "DEFAULT_BURST_CALLS",
    "DEFAULT_CALLS_PER_S",
    "DEFAULT_MARGIN_MS",
    "DEFAULT_TTL_MS",
    "MAX_OBJECT_BYTES",
    "NODES_PREFIX",
    "RULES_PATH",
    "Announcement",
    "CallBudget",
    "CallKind",
    "Change",
    "Changes",
    "DocumentError",
    "ErrorKind",
    "Lease",
    "LeaseClient",
    "LeaseError",
    "LeaseErrorKind",
    "LeaseHolder",
    "Listing",
    "ObjectStore",
    "RulesDocument",
    "StoreError",
    "StoredObject",
    "decode_announcement",
    "decode_rules_document",
    "encode_announcement",
    "encode_rules_document",
    "history_path",
    "decode_lease_holder",
    "is_lease_valid",
    "read_boot_clock",
]
