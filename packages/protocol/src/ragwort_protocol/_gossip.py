"""Messages of the gossip protocol: failure detection and the spread of peer updates."""

from enum import Enum

import msgspec

from ragwort_protocol._message import Message


class PeerState(Enum):
    """State of a peer; within one incarnation a higher value replaces a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class Profile(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The properties that a peer announces when it starts; fixed until its next start.

    Attributes
    ----------
    service, region, failure_domain
        Service of the peer's server, and the location of its host.
    link_address, entry_address, control_address
        Addresses for other nodes, callers and operators, each as ``host:port``.
    """

    service: str
    region: str
    failure_domain: str
    link_address: str
    entry_address: str
    control_address: str


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False, omit_defaults=True):
    """An update on the state of one peer.

    ``profile`` is omitted when the receiver is expected to hold that of this incarnation.
    """

    node_id: str
    incarnation: int
    state: PeerState
    profile: Profile | None = None


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The number of servers of one service in one region, and their total of free slots."""

    service: str
    servers: int
    free_slots: int


class Ping(Message, tag=20):
    """Asks the receiver to reply at once with a ``PingAck`` of the same sequence number."""

    sequence: int
    revision: int
    updates: list[PeerUpdate]


class PingAck(Message, tag=21):
    """Answers a ``Ping``, or relays the answer to a ``PingRequest``."""

    sequence: int
    revision: int
    updates: list[PeerUpdate]


class PingRequest(Message, tag=22):
    """Asks the receiver to ping a target that did not answer the sender (an indirect ping)."""

    sequence: int
    target: str
    revision: int


class Notice(Message, tag=23):
    """Sends urgent updates without waiting for the next ping; it has no reply."""

    revision: int
    updates: list[PeerUpdate]


class Digest(Message, tag=24):
    """Carries the hashes of all buckets of the sender's peer table, 4 bytes each."""

    hashes: bytes


class Summary(Message, tag=25):
    """Answers a digest with the sender's entries in the buckets that differ.

    Attributes
    ----------
    buckets
        Numbers of the buckets that are listed completely; empty when the tables agree.
    entries
        Updates without profiles, one for each peer in those buckets.
    is_complete
        True when every differing bucket is listed.
    """

    buckets: list[int]
    entries: list[PeerUpdate]
    is_complete: bool


class Records(Message, tag=26):
    """Sends updates that the receiver lacks, and requests those of the peers in ``wanted``."""

    updates: list[PeerUpdate]
    wanted: list[str]


class LoadNotice(Message, tag=27):
    """Tells a bridge node how many slots are free on the sender's server."""

    free_slots: int


class RegionReport(Message, tag=28):
    """Reports the load and the rules revision of one region to another.

    Attributes
    ----------
    region
        Region that the report describes.
    origin, version
        Bridge that wrote the report, and the report's number there; a higher number replaces a
        lower one.
    root
        Node that started the relay within the receiving region; empty between regions.
    revision
        Rules revision in force at the origin.
    is_first
        True in the report of the region's first bridge, which is relayed to all nodes.
    loads
        Load of the region's services; only the first bridge fills it.
    """

    region: str
    origin: str
    version: int
    root: str
    revision: int
    is_first: bool
    loads: list[ServiceLoad]


_update_encoder = msgspec.msgpack.Encoder()


def measure_update(update: PeerUpdate) -> int:
    """Return the encoded size of an update within a message, in bytes."""
    return len(_update_encoder.encode(update))
