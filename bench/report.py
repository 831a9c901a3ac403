"""Prints benchmark results, one JSON object per line."""

import json


def print_result(name: str, value: float, unit: str, baseline: float | None, seed: int) -> None:
    """Print a result, with its ratio to the baseline of the same run if there is one."""
    ratio = None if not baseline else round(value / baseline, 3)
    line = {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "baseline": None if baseline is None else round(baseline, 4),
        "ratio": ratio,
        "seed": seed,
    }
    print(json.dumps(line), flush=True)
