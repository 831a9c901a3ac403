"""Messages with which nodes tell each other of crashed servers and the requests that they ran."""

from ragwort_protocol._message import Message


class CrashNotice(Message, tag=50):
    """Tells that a server has crashed.

    Attributes
    ----------
    node_id, at_ms
        The node beside the server, and its time of day in milliseconds; together they identify the
        crash.
    age_ms
        How long ago it happened, in milliseconds.
    instance
        Id of the server's instance.
    requests
        Fingerprints of the requests that the server was running.
    """

    node_id: str
    at_ms: int
    age_ms: int
    instance: str
    requests: list[bytes]


class CrashCleared(Message, tag=51):
    """Tells that a server has run a request and answered, so that it caused none of the crashes."""

    request: bytes


class CrashTrial(Message, tag=52):
    """Tells that a refused request is run once more."""

    request: bytes
