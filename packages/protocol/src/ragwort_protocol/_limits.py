"""Messages between entries and the coordinators of customers' limits."""

from ragwort_protocol._message import Message


class CustomerUsage(Message):
    """An entry's calls of one customer.

    Attributes
    ----------
    session
        Number of the entry's session with the coordinator; a new one starts the totals at zero.
        Zero ends the session.
    arrived, admitted
        Totals of the calls in the session; calls that were not run are taken back from the latter.
    spent, granted
        Total of the credits used, and of those granted, as far as the entry knows.
    held, recent
        Credits held when the session began, and calls admitted in the window before.
    """

    customer: str
    session: int
    arrived: int
    admitted: int
    spent: int
    granted: int
    held: int = 0
    recent: int = 0


class UsageReport(Message, tag=70):
    """Tells a coordinator what has arrived and was admitted at an entry."""

    usages: list[CustomerUsage]


class LimitShare(Message):
    """What one entry may admit for a customer.

    Attributes
    ----------
    session
        Number of the entry's session; zero withdraws the credits of an entry without one.
    granted, covered
        Total of the credits in the session, and of those that stay valid while the entry does not
        hear from the coordinator.
    calls_per_s, paced
        Share of the rate, and whether the entry keeps to it.
    report_intervals
        Intervals between the entry's reports while it has a share.
    """

    customer: str
    session: int
    granted: int
    covered: int
    calls_per_s: float
    paced: bool
    report_intervals: int = 1


class LimitShares(Message, tag=71):
    """Tells an entry how many calls it may admit."""

    shares: list[LimitShare]


class LimitsReady(Message, tag=72):
    """Tells a linked node that it may admit first calls without a session.

    Attributes
    ----------
    short
        Customers that the sender coordinates and that are over their limits: the node has no
        credits for them.
    """

    short: list[str]
