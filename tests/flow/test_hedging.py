from ragwort_flow import get_hedge_delay


def test_the_second_send_still_has_time_for_its_own_run():
    delay_s = get_hedge_delay(0.3, 0.067)
    assert 0.067 < delay_s < 0.3 - 0.067 * 1.3


def test_a_call_of_usual_length_is_not_sent_twice():
    assert get_hedge_delay(0.4, 0.2) >= 0.2 * 1.2


def test_no_second_send_where_it_could_not_be_in_time():
    assert get_hedge_delay(0.05, 0.067) is None
    assert get_hedge_delay(-1.0, 0.01) is None
