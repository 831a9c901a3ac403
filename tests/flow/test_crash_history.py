"""Which requests are refused because servers crash under them."""

import random

import pytest
from ragwort_common import NodeId, RequestFingerprint
from ragwort_flow import (
    MAX_AGE_S,
    CrashHistory,
    clear_request,
    find_blame,
    forget_old_crashes,
    is_in_trial,
    record_crash,
    start_trial,
)
from ragwort_flow._crash_history import (
    CRASHES_TO_BLAME,
    FIRST_TRIAL_S,
    MAX_CRASHES,
    MAX_TIED_CRASHES,
    MAX_TRIAL_S,
    TIED_TRIAL_S,
    TRIAL_FACTOR,
    TRIAL_PASS_S,
)
from ragwort_model import CrashId, CrashRecord, InstanceId


def fingerprint(name):
    return RequestFingerprint(name.encode())


def make_record(node, at_ms, *names):
    requests = frozenset(map(fingerprint, names))
    return CrashRecord(CrashId(NodeId(node), at_ms), InstanceId("i"), requests)


def make_history(*crashes):
    """Return a history of crashes, one a second, each given by the names of its requests."""
    history = CrashHistory()
    for number, names in enumerate(crashes):
        record_crash(history, make_record(f"n{number}", number, *names), float(number))
    return history


def is_refused(history, name, now=5.0):
    return find_blame(history, now, fingerprint(name)) is not None


def test_request_of_three_crashes_is_refused_with_the_crashes_it_rests_on():
    history = make_history(["p", "a"], ["p"], ["p", "b"])
    blame = find_blame(history, 5.0, fingerprint("p"))
    assert [crash.record.crash_id.node for crash in blame.crashes] == ["n0", "n1", "n2"]
    assert not is_refused(history, "a") and not is_refused(history, "b")


@pytest.mark.parametrize("count", range(CRASHES_TO_BLAME))
def test_request_of_fewer_crashes_runs(count):
    assert not is_refused(make_history(*[["p"]] * count), "p")


def test_a_crash_that_is_told_twice_counts_once():
    history = make_history(["p"], ["p"])
    assert not record_crash(history, make_record("n0", 0, "p"), 3.0)
    assert not is_refused(history, "p")


def test_two_crashes_of_a_server_that_comes_back_under_its_id_count_twice():
    history = CrashHistory()
    for at_ms in (1000, 5000, 9000):
        record_crash(history, make_record("n", at_ms, "p"), at_ms / 1000)
    assert is_refused(history, "p", now=10.0)


def test_request_that_only_ran_beside_the_cause_is_served():
    history = make_history(["p", "a"], ["p", "a"], ["p", "a"], ["p"])
    assert is_refused(history, "p")
    assert not is_refused(history, "a")


def test_request_that_was_answered_between_the_crashes_is_served():
    history = make_history(["a"], ["a"])
    clear_request(history, fingerprint("a"))
    record_crash(history, make_record("n9", 9, "a"), 9.0)
    assert not is_refused(history, "a", now=10.0)


def test_false_accusation_ends_with_the_first_answered_trial():
    history = make_history(["p", "a"], ["p", "a"], ["p", "a"])
    blame = find_blame(history, 5.0, fingerprint("a"))
    assert blame.retry_at == 2.0 + TIED_TRIAL_S
    start_trial(history, blame.retry_at, fingerprint("a"))
    assert is_in_trial(history, blame.retry_at, fingerprint("a"))
    clear_request(history, fingerprint("a"))
    assert not is_refused(history, "a", now=blame.retry_at)
    assert is_refused(history, "p", now=blame.retry_at)


@pytest.mark.parametrize("crashes", [CRASHES_TO_BLAME, MAX_TIED_CRASHES])
def test_requests_of_the_same_crashes_are_told_apart_by_one_trial_at_a_time(crashes):
    # A frequent request that ran beside the cause in four crashes was refused for 40 s: all servers
    # of the service were down between the crashes, so that none answered it.
    history = make_history(*[["a", "b", "p"]] * crashes)
    last = crashes - 1.0
    turns = [find_blame(history, last, fingerprint(name)).retry_at for name in ("a", "b", "p")]
    assert turns == [last + TIED_TRIAL_S, last + 2 * TIED_TRIAL_S, last + 3 * TIED_TRIAL_S]
    # A trial that ends without an answer or a crash tells nothing, so the others have their turns.
    start_trial(history, turns[0], fingerprint("a"))
    later = find_blame(history, turns[0], fingerprint("a")).retry_at
    assert later == turns[0] + 3 * TIED_TRIAL_S
    # The cause's own trial crashes a server, and the others are explained by it from then on.
    record_crash(history, make_record("n9", 9, "p"), turns[2])
    now = turns[2]
    assert not is_refused(history, "a", now) and not is_refused(history, "b", now)
    alone = find_blame(history, now, fingerprint("p")).retry_at
    assert alone >= now + FIRST_TRIAL_S * TRIAL_FACTOR


def test_requests_that_stay_tied_have_their_trials_as_late_as_one_alone():
    # The fingerprints of one request with a query are tied in all of its crashes.
    history = make_history(*[["a", "p"]] * (MAX_TIED_CRASHES + 1))
    for name in ("a", "p"):
        blame = find_blame(history, 5.0, fingerprint(name))
        assert blame.retry_at == MAX_TIED_CRASHES + FIRST_TRIAL_S * TRIAL_FACTOR**2


def test_a_trial_puts_off_the_next_one_at_every_node():
    history = make_history(["p"], ["p"], ["p"])
    start_trial(history, 20.0, fingerprint("p"))
    assert find_blame(history, 20.1, fingerprint("p")).retry_at == 20.0 + FIRST_TRIAL_S
    assert not is_in_trial(history, 20.0 + TRIAL_PASS_S, fingerprint("p"))


def test_each_crash_of_a_trial_makes_the_next_one_rarer():
    history = CrashHistory()
    waits = []
    for number in range(8):
        record_crash(history, make_record("n", number, "p"), 100.0)
        blame = find_blame(history, 100.0, fingerprint("p"))
        if blame is not None:
            waits.append(blame.retry_at - 100.0)
    assert waits == sorted(waits) and waits[0] == FIRST_TRIAL_S and waits[-1] == MAX_TRIAL_S


def test_crashes_no_longer_count_after_their_age_limit():
    history = make_history(["p"], ["p"], ["p"])
    assert is_refused(history, "p", now=MAX_AGE_S - 1)
    assert not is_refused(history, "p", now=MAX_AGE_S + 1.5)
    forget_old_crashes(history, MAX_AGE_S + 3)
    assert history == CrashHistory()


def test_unrelated_crashes_never_push_out_those_of_a_refused_request():
    history = make_history(["p"], ["p"], ["p"])
    for number in range(3 * MAX_CRASHES):
        record_crash(history, make_record("other", number, f"a{number}"), 3.0)
    assert len(history.crashes) == MAX_CRASHES
    assert is_refused(history, "p")


def test_memory_is_bounded_and_consistent_under_any_sequence():
    source = random.Random(3)
    history = CrashHistory()
    for step in range(4000):
        names = {f"r{source.randrange(400)}" for _ in range(source.randrange(1, 13))}
        action = source.random()
        if action < 0.8:
            record_crash(history, make_record(f"n{step % 7}", step, *names), float(step))
        elif action < 0.95:
            clear_request(history, fingerprint(names.pop()))
        else:
            forget_old_crashes(history, float(step))
        suspects = {request for crash in history.crashes.values() for request in crash.suspects}
        assert len(history.crashes) <= MAX_CRASHES
        assert suspects == set(history.by_request)
        assert history.recurring == {
            request for request, crashes in history.by_request.items() if len(crashes) > 1
        }


def may_run(history, name, now):
    """Return whether a request may run, as any other or as a trial."""
    blame = find_blame(history, now, fingerprint(name))
    if blame is not None and blame.retry_at > now:
        return False
    start_trial(history, now, fingerprint(name))
    return True


def play_fleet(seed, crash_chance, count_s=120, cause="p"):
    """Play crashes of a fleet whose calls have contents of their own, and a cause in half of them.

    Returns how many of the other calls were refused, how many there were, and how often the cause
    ran.
    """
    source = random.Random(seed)
    history = CrashHistory()
    refused = total = cause_runs = 0
    for step in range(count_s * 10):
        now = step / 10
        # One call in five repeats a content that others sent before.
        names = [
            f"hot{source.randrange(40)}" if source.random() < 0.2 else f"own{step}.{number}"
            for number in range(10)
        ]
        running = [name for name in names if may_run(history, name, now)]
        total += len(names)
        refused += len(names) - len(running)
        has_cause = cause is not None and source.random() < 0.5
        if has_cause and may_run(history, cause, now):
            running.append(cause)
            crashed = True
            cause_runs += 1
        else:
            crashed = source.random() < crash_chance
        if crashed:
            record_crash(history, make_record("n", step, *running), now)
        else:
            for name in running:
                clear_request(history, fingerprint(name))
    return refused, total, cause_runs


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("cause", [None, "p"])
def test_other_calls_are_served_while_servers_crash_for_any_reason(seed, cause):
    refused, total, cause_runs = play_fleet(seed, crash_chance=0.05, cause=cause)
    # The users' rule on refusals of proper calls: 5 and one in 500.
    assert refused <= 5 + total / 500
    # Their rule on a request that crashes servers: three runs after the third crash.
    assert cause_runs <= CRASHES_TO_BLAME + 3
