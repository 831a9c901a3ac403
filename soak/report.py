"""Renders the results of runs as a table, and as a plot of latency and faults over time."""

from pathlib import Path

from tabulate import tabulate

from soak.run import RunReport


def format_reports(reports: list[RunReport]) -> str:
    """Return a table with one row per seed."""
    rows = [
        (
            report.seed,
            len(report.schedule),
            sum(report.statuses.values()),
            report.statuses[200],
            report.statuses[503],
            report.statuses[401],
            report.statuses[429],
            report.statuses[0] + report.statuses[-1] + report.statuses[-2],
            report.runs,
            len(report.violations),
        )
        for report in reports
    ]
    names = (
        "seed",
        "faults",
        "calls",
        "served",
        "503",
        "401",
        "429",
        "no answer",
        "runs",
        "broken",
    )
    return tabulate(rows, names)


def plot_report(report: RunReport, path: Path) -> None:
    """Write a plot of a run: latency of each call by the time it was sent, and the faults."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(12, 5))
    for served, color in ((True, "tab:blue"), (False, "tab:red")):
        calls = [result for result in report.results if (result.status == 200) is served]
        axes.scatter(
            [result.sent_at - report.started_at for result in calls],
            [(result.ended_at - result.sent_at) * 1000 for result in calls],
            s=3,
            color=color,
            label="served" if served else "not served",
        )
    for index, scheduled in enumerate(report.schedule):
        axes.axvspan(
            scheduled.start_s, scheduled.start_s + scheduled.duration_s, alpha=0.1, color="tab:gray"
        )
        axes.text(scheduled.start_s, 1600 - 60 * (index % 8), scheduled.fault.value, fontsize=6)
    axes.set_xlabel("seconds")
    axes.set_ylabel("latency of a call, ms")
    axes.set_title(f"seed {report.seed}")
    axes.legend(loc="upper right")
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
