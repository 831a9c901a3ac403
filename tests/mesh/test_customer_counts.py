from ragwort_mesh._customer_counts import MAX_NAMED, RANKING_CALLS, CustomerCounts


def render(counts):
    lines = [line for line in counts.render("x_") if not line.startswith("#")]
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


def add(counts, name, calls, refused=False):
    for _ in range(calls):
        counts.add(name, refused)


def test_calls_and_refusals_are_counted_by_escaped_names():
    counts = CustomerCounts()
    assert counts.render("x_") == []
    add(counts, 'a"\\\n', 2)
    add(counts, 'a"\\\n', 1, refused=True)
    rendered = render(counts)
    assert rendered['x_customer_calls_total{customer="a\\"\\\\\\n"}'] == 3
    assert rendered['x_customer_refused_total{customer="a\\"\\\\\\n"}'] == 1


def test_number_of_metrics_and_of_known_customers_is_bounded_and_the_largest_are_named():
    counts = CustomerCounts()
    for number in range(500):
        add(counts, f"small{number:03}", 1)
    add(counts, "large", RANKING_CALLS - 501)
    before = render(counts)
    assert before["x_other_customers_calls_total"] == RANKING_CALLS - 1 - MAX_NAMED
    # Its count by name starts when it is named, so that the number of the others never falls.
    add(counts, "large", 6)
    after = render(counts)
    assert len(after) == len(before) == 2 * (MAX_NAMED + 1)
    assert after['x_customer_calls_total{customer="large"}'] == 5
    assert after["x_other_customers_calls_total"] >= before["x_other_customers_calls_total"]
    assert sum(after.values()) == RANKING_CALLS + 5
    add(counts, "large", 5 * RANKING_CALLS)
    assert set(counts._recent) == {"large"}
