"""Each check of customers reports the violation that it covers, and accepts a correct record."""

from soak.callers import CallResult
from soak.checks import ServerEvent
from soak.customer_checks import (
    check_customer_fields,
    check_keys,
    check_limit,
    select_servable,
)
from soak.customers import KEEP_KEY_S, LIMITED_CUSTOMER, Key, KeyRing


def make_result(sent_at, status=200, key=None):
    key = key or Key("acre", "key-acre-1", 0.0, 19.9, 20.0)
    return CallResult("c-1", 0, 1, "lookup", sent_at, sent_at + 0.05, status, key=key)


def make_arrival(customer="acre", call_id="c-1"):
    return ServerEvent("i-0-1", 20.0, "arrive", call_id, customer)


def is_always_undisturbed(member, since, until):
    return True


def test_check_keys_reports_a_removed_key_that_is_still_accepted():
    assert check_keys([make_result(22.4)], [], is_always_undisturbed) == []
    assert check_keys([make_result(22.6, 401)], [], is_always_undisturbed) == []
    assert check_keys([make_result(22.6)], [], is_always_undisturbed)
    assert check_keys([make_result(22.6)], [], lambda *span: False) == []
    # A call that reached a server was accepted, whatever its caller got.
    assert check_keys([make_result(22.6, 0)], [make_arrival()], is_always_undisturbed)


def test_check_keys_reports_a_valid_key_that_is_refused():
    assert check_keys([make_result(10.0, 401)], [], is_always_undisturbed)
    assert check_keys([make_result(10.0, 401)], [], lambda *span: False) == []
    # The version that removes the key may already be in force, or the one that adds it not yet.
    assert check_keys([make_result(19.95, 401)], [], is_always_undisturbed) == []
    assert check_keys([make_result(2.4, 401)], [], is_always_undisturbed) == []


def test_check_keys_reports_a_refused_call_that_reached_a_server():
    assert check_keys([make_result(21.0, 401)], [make_arrival()], is_always_undisturbed)


def test_check_customer_fields_reports_keys_and_wrong_names_at_servers():
    results = [make_result(10.0)]
    assert check_customer_fields(results, [make_arrival(), make_arrival("", "c-1.inner-1")]) == []
    for customer in ("", "forged", "acre,forged"):
        assert check_customer_fields(results, [make_arrival(customer)])
    assert check_customer_fields(results, [ServerEvent("i-0-1", 20.0, "authorization", "c-1")])


def test_check_limit_reports_too_many_runs_in_any_window():
    key = Key(LIMITED_CUSTOMER, "key")
    results = [make_result(10.0, key=key)]
    runs = [ServerEvent("i-0-1", 10.0 + number * 0.05, "run", "c-1") for number in range(87)]
    assert check_limit(results, runs[:86]) == []
    assert check_limit(results, runs)
    assert check_limit([make_result(10.0)], runs) == []


def test_select_servable_leaves_out_what_a_node_may_refuse():
    assert select_servable([make_result(10.0)])
    assert not select_servable([make_result(19.9)])
    assert not select_servable([make_result(10.0, key=Key(LIMITED_CUSTOMER, "key"))])


def test_callers_keep_a_removed_key_until_every_node_must_refuse_it():
    keys = KeyRing()
    keys.acknowledge({"key-acre-1"}, 1.0)
    keys.replace_key("acre", 9.0)
    assert keys.build_tenants()["acre"] == {"apiKeys": ["key-acre-2"]}
    assert keys.find_key("acre", 9.5).text == "key-acre-1"
    keys.acknowledge({"key-acre-2"}, 10.0)
    removed = keys.find_key("acre", 10.0 + KEEP_KEY_S - 0.1)
    assert (removed.text, removed.added_at, removed.removed_at) == ("key-acre-1", 1.0, 10.0)
    assert keys.find_key("acre", 10.0 + KEEP_KEY_S).text == "key-acre-2"
