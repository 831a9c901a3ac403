"""Learns from outcomes how much the reports of load are worth.

Reports may be older than they look, or mislead. The entry keeps the slope of a regression of
what calls met (their delay beyond the usual) on what the reports had foretold, with forgetting.
Good reports give a slope near one; useless ones zero; when all entries follow the same old report,
the server that looked idle is the full one, and the slope is negative. The choice weighs the
reports' deviations from the usual by this slope.
"""

from dataclasses import dataclass

MEMORY = 0.01
PRIOR = 0.05
"""Weight, in samples' variances, of the assumption that reports are good."""


@dataclass(slots=True)
class Faith:
    """Running means of foretold and met delays, in units of the usual service time."""

    mean_foretold: float = 0.0
    mean_met: float = 0.0
    variance: float = PRIOR
    covariance: float = PRIOR


def record_delay(faith: Faith, foretold: float, met: float) -> None:
    """Take in one call's foretold and met delay."""
    foretold_off = foretold - faith.mean_foretold
    met_off = met - faith.mean_met
    faith.mean_foretold += MEMORY * foretold_off
    faith.mean_met += MEMORY * met_off
    faith.variance += MEMORY * (foretold_off * foretold_off - faith.variance)
    faith.covariance += MEMORY * (foretold_off * met_off - faith.covariance)


def get_faith(faith: Faith) -> float:
    """Return the weight of reports, 0 to 1."""
    slope = (faith.covariance + PRIOR) / (faith.variance + PRIOR)
    return min(1.0, max(0.0, slope))
