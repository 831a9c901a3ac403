"""Learns from the outcomes of calls how much weight load reports deserve.

Reports may be older than they look, or misleading. The entry fits a linear regression, with
exponential forgetting, of the actual delay of calls (beyond the average) on the delay that the
reports predicted. Good reports give a slope near 1 and useless ones a slope of 0. When all entries
follow the same old report, the server that looked idle is in fact the full one, and the slope is
negative. The choice multiplies the reports' deviations from the average by this slope.
"""

from dataclasses import dataclass

MEMORY = 0.01
PRIOR = 0.05
"""Weight of the prior assumption that the slope is 1, as a variance of the predictions."""


@dataclass(slots=True)
class Faith:
    """Moving moments of the predicted and actual delays, in average service times."""

    mean_foretold: float = 0.0
    mean_met: float = 0.0
    variance: float = PRIOR
    covariance: float = PRIOR


def record_delay(faith: Faith, foretold: float, met: float) -> None:
    """Record the predicted and the actual delay of one call."""
    foretold_off = foretold - faith.mean_foretold
    met_off = met - faith.mean_met
    faith.mean_foretold += MEMORY * foretold_off
    faith.mean_met += MEMORY * met_off
    faith.variance += MEMORY * (foretold_off * foretold_off - faith.variance)
    faith.covariance += MEMORY * (foretold_off * met_off - faith.covariance)


def get_faith(faith: Faith) -> float:
    """Return the weight of reports, which is the slope limited to 0 to 1."""
    slope = (faith.covariance + PRIOR) / (faith.variance + PRIOR)
    return min(1.0, max(0.0, slope))
