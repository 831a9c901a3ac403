"""Learns from the outcomes of calls how much weight load reports deserve.

Reports may be older than they look, or misleading. The entry fits a linear regression, with
exponential forgetting, of the actual delay of calls (beyond the average) on the delay that the
reports predicted. Good reports give a slope near 1 and useless ones a slope of 0. When all entries
follow the same old report, the server that looked idle is in fact the full one, and the slope is
negative. The choice multiplies the reports' deviations from the average by this slope.
"""

from dataclasses import dataclass

SMOOTHING = 0.01
PRIOR_WEIGHT = 0.05
"""Weight of the prior assumption that the slope is 1, as a variance of the predictions."""


@dataclass(slots=True)
class ReportRegression:
    """Moving moments of the predicted and actual delays, in average service times."""

    mean_predicted: float = 0.0
    mean_actual: float = 0.0
    variance: float = PRIOR_WEIGHT
    covariance: float = PRIOR_WEIGHT


def record_delay(regression: ReportRegression, predicted: float, actual: float) -> None:
    """Record the predicted and the actual delay of one call."""
    predicted_deviation = predicted - regression.mean_predicted
    actual_deviation = actual - regression.mean_actual
    regression.mean_predicted += SMOOTHING * predicted_deviation
    regression.mean_actual += SMOOTHING * actual_deviation
    regression.variance += SMOOTHING * (
        predicted_deviation * predicted_deviation - regression.variance
    )
    regression.covariance += SMOOTHING * (
        predicted_deviation * actual_deviation - regression.covariance
    )


def get_report_weight(regression: ReportRegression) -> float:
    """Return the weight of reports, which is the slope limited to 0 to 1."""
    slope = (regression.covariance + PRIOR_WEIGHT) / (regression.variance + PRIOR_WEIGHT)
    return min(1.0, max(0.0, slope))
