from ragwort_flow import get_hedge_delay


def test_a_hedge_leaves_time_for_its_own_run():
    delay_s = get_hedge_delay(0.3, 0.067)
    assert 0.067 < delay_s < 0.3 - 0.067 * 1.3


def test_a_call_of_typical_length_is_not_hedged():
    assert get_hedge_delay(0.4, 0.2) >= 0.2 * 1.2


def test_no_hedge_where_it_would_be_late():
    assert get_hedge_delay(0.05, 0.067) is None
    assert get_hedge_delay(-1.0, 0.01) is None
