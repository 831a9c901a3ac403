"""The messages by which nodes watch each other and pass on news of peers."""

from enum import Enum

import msgspec

from ragwort_protocol._message import Message


class PeerState(Enum):
    """What is known of a peer; for one incarnation a higher value replaces a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class Profile(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a peer states about itself when it starts; fixed until it starts again.

    Attributes
    ----------
    service, region, failure_domain
        What the server beside the peer provides, and where it stands.
    link_address, entry_address, control_address
        Where other nodes, callers and operators reach the peer, each as ``host:port``.
    """

    service: str
    region: str
    failure_domain: str
    link_address: str
    entry_address: str
    control_address: str


class News(msgspec.Struct, frozen=True, array_like=True, gc=False, omit_defaults=True):
    """One statement about one peer.

    ``profile`` is left out when the receiver is expected to hold it from this start of the peer.
    """

    node_id: str
    incarnation: int
    state: PeerState
    profile: Profile | None = None


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The servers of one service in one region and the slots that are free on them."""

    service: str
    servers: int
    free_slots: int


class Ping(Message, tag=20):
    """Asks the receiver to answer at once with a ``PingAck`` of the same sequence."""

    sequence: int
    revision: int
    news: list[News]


class PingAck(Message, tag=21):
    """Answers a probe, or relays the answer to a ``PingRequest``."""

    sequence: int
    revision: int
    news: list[News]


class PingRequest(Message, tag=22):
    """Asks the receiver to probe a target that did not answer the sender."""

    sequence: int
    target: str
    revision: int


class Notice(Message, tag=23):
    """Pushes news that cannot wait for the next probe; it is not answered."""

    revision: int
    news: list[News]


class Digest(Message, tag=24):
    """The hashes of all buckets of the sender's table, 4 bytes each."""

    hashes: bytes


class Summary(Message, tag=25):
    """Answers a digest with the sender's entries in those buckets that differ.

    Attributes
    ----------
    buckets
        Numbers of the buckets that are listed whole; empty when the tables agree.
    entries
        News without profiles, one for each peer in those buckets.
    is_complete
        True when all differing buckets are listed.
    """

    buckets: list[int]
    entries: list[News]
    is_complete: bool


class Records(Message, tag=26):
    """Brings news that the receiver lacks and asks for news that the sender lacks."""

    news: list[News]
    wanted: list[str]


class LoadNotice(Message, tag=27):
    """Tells a bridge how many slots are free on the server beside the sender."""

    free_slots: int


class RegionReport(Message, tag=28):
    """What one region tells another: its load and its rules revision.

    Attributes
    ----------
    region
        Region that is reported on.
    origin, version
        Bridge that wrote the report and its number there; a higher number replaces a lower one.
    root
        Node of the reading region that started to relay the report; empty on the paid link.
    revision
        Rules revision in force at the origin.
    is_first
        True on the report of the region's first bridge, which is passed on to all nodes.
    loads
        Load of services in the region; only the first bridge fills it.
    """

    region: str
    origin: str
    version: int
    root: str
    revision: int
    is_first: bool
    loads: list[ServiceLoad]


_news_encoder = msgspec.msgpack.Encoder()


def measure_news(news: News) -> int:
    """Return how many bytes a piece of news takes within a message."""
    return len(_news_encoder.encode(news))
