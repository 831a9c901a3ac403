from ragwort_mesh._customer_counts import MAX_NAMED, RANKING_CALLS, CustomerCounts


def render(counts):
    lines = [line for line in counts.render("x_") if not line.startswith("#")]
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


def add(counts, name, calls, refused=False):
    for _ in range(calls):
        counts.add(name, refused)


def test_nothing_is_rendered_without_calls_of_customers():
    assert CustomerCounts().render("x_") == []


def test_calls_and_refusals_are_counted_and_names_are_escaped():
    counts = CustomerCounts()
    add(counts, 'a"\\\n', 2)
    add(counts, 'a"\\\n', 1, refused=True)
    rendered = render(counts)
    assert rendered['x_customer_calls_total{customer="a\\"\\\\\\n"}'] == 3
    assert rendered['x_customer_refused_total{customer="a\\"\\\\\\n"}'] == 1


def test_number_of_metrics_is_bounded_and_the_largest_customers_are_named():
    counts = CustomerCounts()
    for number in range(MAX_NAMED):
        add(counts, f"small{number:02}", 1)
    add(counts, "unnamed", 3)
    add(counts, "large", RANKING_CALLS - MAX_NAMED - 4)
    before = render(counts)
    assert before["x_other_customers_calls_total"] == RANKING_CALLS - MAX_NAMED - 1
    add(counts, "large", 6)
    after = render(counts)
    assert len(after) == len(before) == 2 * (MAX_NAMED + 1)
    # Its count by name starts when it is named, so that the number of the others never falls.
    assert after['x_customer_calls_total{customer="large"}'] == 5
    assert 'x_customer_calls_total{customer="unnamed"}' in after
    calls = {name: value for name, value in after.items() if "calls" in name}
    assert sum(calls.values()) == RANKING_CALLS + 5
    assert after["x_other_customers_calls_total"] >= before["x_other_customers_calls_total"]


def test_customers_that_stop_calling_are_forgotten():
    counts = CustomerCounts()
    for number in range(500):
        add(counts, f"c{number}", 1)
    add(counts, "a", 6 * RANKING_CALLS)
    assert set(counts._recent) == {"a"}
