import json

import pytest

from bench.costs import Iterations, measure_choice, measure_gate
from bench.wire import measure_codec, measure_flush


@pytest.mark.parametrize("measure", [measure_choice, measure_codec, measure_flush, measure_gate])
def test_each_result_is_one_json_line_with_a_unit(measure, capsys):
    measure(Iterations(count=200))
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert len(lines) >= 3
    assert all(line["name"].startswith("capacity.") and line["value"] > 0 for line in lines)
    assert all(line["unit"] for line in lines)
