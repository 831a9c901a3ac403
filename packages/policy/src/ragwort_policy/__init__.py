"""The decisions of the load balancer, as pure code."""

from ragwort_policy._claim import ClaimDecision, ClaimLimits, ClaimTable, KeyState, Need
from ragwort_policy._fence import EpochFence
from ragwort_policy._journal import (
    CloseSegment,
    Journal,
    JournalHead,
    JournalLimits,
    LoadSegments,
    Phase,
    ReadHead,
    Segment,
    Step,
    WriteHead,
    decode_head,
    encode_head,
    split_marks,
)
from ragwort_policy._keyrange import (
    KEY_RANGES,
    MAX_KEY_BYTES,
    choose_range,
    hash_call,
    hash_key,
    normalize_key,
    read_minted_ms,
)
from ragwort_policy._ownership import OwnerMap, RangeOwner, choose_owner, count_excess

__all__ = [
    "KEY_RANGES",
    "MAX_KEY_BYTES",
    "ClaimLimits",
    "ClaimTable",
    "CloseSegment",
    "ClaimDecision",
    "EpochFence",
    "Journal",
    "JournalHead",
    "JournalLimits",
    "KeyState",
    "LoadSegments",
    "Need",
    "OwnerMap",
    "Phase",
    "RangeOwner",
    "ReadHead",
    "Segment",
    "Step",
    "WriteHead",
    "choose_owner",
    "choose_range",
    "count_excess",
    "decode_head",
    "encode_head",
    "hash_call",
    "hash_key",
    "normalize_key",
    "read_minted_ms",
    "split_marks",
]
