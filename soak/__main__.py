"""Command line of the soak test: ``python -m soak --seed 1 --count 50``."""

import sys
from pathlib import Path

from absl import app, flags

from soak.plan import Fault
from soak.report import format_reports, plot_report
from soak.run import Options, RunReport, run_seed

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "First seed.")
flags.DEFINE_integer("count", 1, "Number of consecutive seeds to run.", lower_bound=1)
flags.DEFINE_float("seconds", 12.0, "Time in which faults start, in seconds.", lower_bound=3.0)
flags.DEFINE_integer("domains", 2, "Number of failure domains.", lower_bound=1)
flags.DEFINE_integer("copies", 1, "Servers of each service in a failure domain.", lower_bound=1)
flags.DEFINE_integer("callers", 2, "Callers at each member.", lower_bound=1)
flags.DEFINE_multi_enum_class("fault", None, Fault, "Kinds of faults to inject; all by default.")
flags.DEFINE_bool("extended", False, "Also has customers, cold servers and an operator.")
flags.DEFINE_string("logs", None, "Folder for process logs and plots.")


def _main(_: list[str]) -> None:
    options = Options(
        seconds=FLAGS.seconds,
        domains=FLAGS.domains,
        copies=FLAGS.copies,
        callers=FLAGS.callers,
        faults=tuple(FLAGS.fault or Fault),
        extended=FLAGS.extended,
    )
    reports: list[RunReport] = []
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.count):
        folder = Path(FLAGS.logs) / str(seed) if FLAGS.logs else None
        report = run_seed(seed, options, folder)
        reports.append(report)
        for line in report.violations:
            print(f"seed {seed}: {line}", flush=True)
        if folder is not None:
            plot_report(report, folder / "calls.png")
    print(format_reports(reports))
    sys.exit(1 if any(report.violations for report in reports) else 0)


if __name__ == "__main__":
    app.run(_main)
