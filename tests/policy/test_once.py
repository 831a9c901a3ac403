"""At-most-once runs of keyed calls: a state machine, and a scenario for each single guard.

The state machine covers owners, entries, gates and the platform.
"""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from once_simulation import Simulation
from ragwort_policy import ClaimTable, EpochFence, Journal, KeyState, Phase
from ragwort_protocol import ClaimVerdict

index = st.integers(0, 11)
seen_by = st.sampled_from([None, None, None, 0, 1])
write_results = st.sampled_from(["ok", "ok", "lost", "reply-lost", "late"])
run_results = st.sampled_from(["answered", "broken", "refused", "died"])
skew = st.sampled_from([None, None, -20_000, 0, 0, 5_000, 9_000, 40_000])
reported = st.sampled_from(["", "once", "twice"])


class OnceMachine(RuleBasedStateMachine):
    """Any order of claims, runs, message losses, pauses, crashes, takeovers and outages."""

    def __init__(self):
        super().__init__()
        self.simulation = Simulation()
        self.simulation.open_range(self.simulation.owners[0])
        self.keys = []

    def find_owner(self, seen_by):
        """Return the lease holder, or another node that an entry believes to be the owner."""
        owners = self.simulation.owners
        holder = self.simulation.platform.holder
        return owners["abc".find(holder) if seen_by is None else seen_by]

    def make_key(self, skew_ms):
        timestamp_ms = 0 if skew_ms is None else self.simulation.wall_ms() + skew_ms
        self.keys.append((f"key {len(self.keys)}", timestamp_ms))
        return self.keys[-1]

    @rule(
        skew_ms=skew,
        count=st.integers(1, 4),
        result=run_results,
        write=write_results,
        report=reported,
    )
    def call_new(self, skew_ms, count, result, write, report):
        for _ in range(count):
            self.simulation.call(self.find_owner(None), *self.make_key(skew_ms), 0, result, write)
            if report:
                self.simulation.deliver_report(again=report == "twice")
            self.simulation.now += 1.5
            self.simulation.renew(self.find_owner(None))

    @precondition(lambda self: self.keys)
    @rule(seen_by=seen_by, number=index, result=run_results, report=reported)
    def call_again(self, seen_by, number, result, report):
        key = self.keys[-1 - number % len(self.keys)]
        self.simulation.call(self.find_owner(seen_by), *key, 1, result)
        if report:
            self.simulation.deliver_report(again=report == "twice")

    @rule(seen_by=seen_by, skew_ms=skew)
    def claim_new(self, seen_by, skew_ms):
        self.simulation.claim(self.find_owner(seen_by), *self.make_key(skew_ms))

    @precondition(lambda self: self.keys)
    @rule(seen_by=seen_by, number=index)
    def claim_again(self, seen_by, number):
        key = self.keys[-1 - number % len(self.keys)]
        self.simulation.claim(self.find_owner(seen_by), *key)

    @precondition(lambda self: self.simulation.attempts)
    @rule(seen_by=seen_by, number=index)
    def send_again(self, seen_by, number):
        attempts = self.simulation.attempts
        self.simulation.send(attempts[-1 - number % len(attempts)], self.find_owner(seen_by))

    @precondition(lambda self: self.simulation.replies)
    @rule(number=index, lose=st.sampled_from([False, False, True]))
    def deliver_reply(self, number, lose):
        if lose:
            self.simulation.replies.pop(number % len(self.simulation.replies))
        else:
            self.simulation.deliver_reply(number)

    @precondition(lambda self: self.simulation.list_granted())
    @rule(number=index, gate=st.integers(0, 1), result=run_results, give_up=st.booleans())
    def end_attempt(self, number, gate, result, give_up):
        granted = self.simulation.list_granted()
        attempt = granted[number % len(granted)]
        if give_up:
            self.simulation.give_up(attempt)
        else:
            self.simulation.run(attempt, gate, result)

    @precondition(lambda self: self.simulation.reports)
    @rule(number=index, again=st.booleans())
    def deliver_report(self, number, again):
        self.simulation.deliver_report(number, again)

    @rule(seen_by=seen_by, result=write_results)
    def step_journal(self, seen_by, result):
        self.simulation.step_journal(self.find_owner(seen_by), result)

    @precondition(lambda self: self.simulation.platform.late)
    @rule(number=index)
    def apply_late(self, number):
        self.simulation.apply_late(number)

    @rule(seconds=st.sampled_from([0.5, 4.0, 20.0]), renew=st.sampled_from([True, True, False]))
    def advance(self, seconds, renew):
        self.simulation.now += seconds
        if renew:
            self.simulation.renew(self.find_owner(None))

    @rule(owner=st.integers(0, 2), how=st.sampled_from(["kill", "pause", "release"]))
    def take_over(self, owner, how):
        before = self.find_owner(None)
        if how == "release":
            self.simulation.release(before)
        if how == "kill":
            self.simulation.kill(before)
        if how != "release":
            self.simulation.now += 61
        self.simulation.open_range(self.simulation.owners[owner])

    @rule(down=st.sampled_from([False, False, False, True]))
    def switch_platform(self, down):
        self.simulation.platform.down = down

    @invariant()
    def no_call_ran_twice(self):
        assert all(runs == 1 for runs in self.simulation.runs.values())


TestOnce = OnceMachine.TestCase
TestOnce.settings = settings(max_examples=250, stateful_step_count=50)


# One scenario for each guard: it passes, and detects a second run when the guard is disabled.


def run_floor(simulation):
    """A caller repeats a key after its owner has died."""
    a, b, _ = simulation.owners
    simulation.open_range(a)
    simulation.call(a, "k", simulation.wall_ms() + 10)
    simulation.now += 61
    simulation.open_range(b)
    simulation.call(b, "k", simulation.wall_ms() - 60_990)


def run_horizon(simulation):
    """The timestamp of a key is past the horizon that the next owner will find."""
    a, b, _ = simulation.owners
    simulation.open_range(a)
    simulation.now += 40
    simulation.renew(a)
    simulation.now += 25
    timestamp_ms = simulation.wall_ms()
    simulation.claim(a, "k", timestamp_ms)
    simulation.deliver_reply()
    simulation.run(simulation.attempts[0])
    simulation.now += 61
    simulation.open_range(b)
    simulation.call(b, "k", timestamp_ms)


def run_mark(simulation):
    """A key without a timestamp is repeated after its owner died before writing the mark."""
    a, b, _ = simulation.owners
    simulation.open_range(a)
    attempt = simulation.claim(a, "k")
    simulation.deliver_reply()
    simulation.run(attempt)
    simulation.now += 61
    simulation.open_range(b)
    simulation.call(b, "k")


def run_read_back(simulation):
    """A journal write gets no reply and never takes effect."""
    a, b, _ = simulation.owners
    simulation.open_range(a)
    attempt = simulation.claim(a, "k")
    simulation.step_journal(a, "lost")
    simulation.deliver_reply()
    simulation.run(attempt)
    simulation.now += 61
    simulation.open_range(b)
    simulation.call(b, "k")


def run_copy(simulation):
    """More keys are granted than the journal head can hold, then the owner dies."""
    a, b, _ = simulation.owners
    simulation.open_range(a)
    for key in ("k", "l", "m"):
        simulation.call(a, key)
        simulation.now += 6
    simulation.now += 61
    simulation.open_range(b)
    simulation.call(b, "k")


def run_forget(simulation):
    """The table is full and evicts the key that ran first."""
    a = simulation.owners[0]
    simulation.open_range(a)
    for key in ("k", "l", "m", "n"):
        simulation.call(a, key, simulation.wall_ms() + 10)
        simulation.now += 6
    simulation.call(a, "k", simulation.wall_ms() - 24_000 + 10)


def run_expiry(simulation):
    """The entry dies while its call runs, and the caller repeats the call after the deadline."""
    a = simulation.owners[0]
    simulation.open_range(a)
    timestamp_ms = simulation.wall_ms()
    simulation.call(a, "k", timestamp_ms + 10, result="died")
    simulation.now += 4
    simulation.call(a, "k", timestamp_ms + 10)


def run_stale_report(simulation):
    """A report that frees the key is delivered again while the next attempt runs."""
    a = simulation.owners[0]
    simulation.open_range(a)
    timestamp_ms = simulation.wall_ms() + 10
    simulation.call(a, "k", timestamp_ms, result="refused")
    simulation.deliver_report(again=True)
    simulation.call(a, "k", timestamp_ms, result="died")
    simulation.deliver_report()
    simulation.call(a, "k", timestamp_ms)


def lose_horizon(simulation):
    """Extend the horizon of owner a, then restore the platform from a copy made before."""
    a = simulation.owners[0]
    simulation.open_range(a)
    older = simulation.platform.head
    simulation.now += 50
    simulation.renew(a)
    simulation.call(a, "other", simulation.wall_ms())
    assert simulation.platform.head != older
    simulation.now += 20
    simulation.platform.head = older
    return simulation.wall_ms() + 10


def run_lease(simulation):
    """The journal is lost, and an entry with a stale view sends its claim to the previous owner."""
    timestamp_ms = lose_horizon(simulation)
    a, b, _ = simulation.owners
    simulation.now += 41
    simulation.open_range(b)
    simulation.call(b, "k", timestamp_ms, gate=0)
    simulation.claim(a, "k", timestamp_ms)
    simulation.deliver_reply()
    simulation.run(simulation.attempts[-1], gate=1)


def run_fence(simulation):
    """The journal is lost, and the owner is paused between its lease check and its reply."""
    timestamp_ms = lose_horizon(simulation)
    a, b, _ = simulation.owners
    late = simulation.claim(a, "k", timestamp_ms)
    simulation.now += 41
    simulation.open_range(b)
    simulation.call(b, "k", timestamp_ms)
    simulation.deliver_reply()
    simulation.run(late)


def run_seal(simulation):
    """The owner's clock stood still, and its delayed write arrives after a takeover."""
    a, b, _ = simulation.owners
    simulation.open_range(a)
    simulation.now += 58
    timestamp_ms = simulation.wall_ms() + 9_000
    late = simulation.claim(a, "k", timestamp_ms)
    simulation.step_journal(a, "late")
    simulation.now += 4
    a.clock_lag_s = 4.0
    simulation.open_range(b)
    simulation.apply_late(0)
    simulation.settle_journal(a)
    simulation.deliver_reply()
    simulation.run(late, gate=0)
    simulation.call(b, "k", timestamp_ms, gate=1)


start_seal = Journal._start_seal


def skip_seal(journal):
    if journal.head is None:
        return start_seal(journal)
    journal.head = replace(journal.head, floor_ms=journal.head.horizon_ms)
    journal.phase = Phase.READY if journal._is_loaded else Phase.LOAD
    return None


def free_expired(table, record, now):
    if record.state is KeyState.RUNNING and now >= record.expires_s:
        record.state = KeyState.FREE


handle_write = Journal.handle_write


def trust_write(journal, step, version):
    return handle_write(journal, step, version or (step.version or 0) + 1)


GUARDS = {
    "floor": (run_floor, ClaimTable, "_is_before_floor", lambda self, timestamp_ms: False),
    "horizon before grant": (run_horizon, ClaimTable, "_is_past_horizon", lambda self, ms: False),
    "mark before grant": (run_mark, ClaimTable, "_needs_mark", lambda self: False),
    "read back": (run_read_back, Journal, "handle_write", trust_write),
    "copy before drop": (run_copy, Journal, "_is_closed", lambda self: True),
    "forgotten raises floor": (run_forget, ClaimTable, "_remember_granted", lambda *args: None),
    "unknown stays": (run_expiry, ClaimTable, "_expire", free_expired),
    "attempt of report": (run_stale_report, ClaimTable, "_is_current", lambda *args: True),
    "lease before grant": (run_lease, ClaimTable, "_holds_lease", lambda self, now: True),
    "fence at gate": (run_fence, EpochFence, "admit", lambda self, key_range, epoch: True),
    "seal on takeover": (run_seal, Journal, "_start_seal", skip_seal),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_each_guard_alone_prevents_a_second_run(guard, monkeypatch):
    scenario, owner, name, switched_off = GUARDS[guard]
    scenario(Simulation())
    monkeypatch.setattr(owner, name, switched_off)
    with pytest.raises(AssertionError, match="ran twice"):
        scenario(Simulation())


def test_a_repeat_gets_the_first_answer_or_still_running():
    simulation = Simulation()
    a = simulation.owners[0]
    simulation.open_range(a)
    for key, timestamp_ms in [("timed", simulation.wall_ms() + 10), ("opaque", 0)]:
        assert simulation.call(a, key, timestamp_ms) is ClaimVerdict.GRANTED
        assert simulation.call(a, key, timestamp_ms) is ClaimVerdict.RUNNING
        simulation.deliver_report()
        assert simulation.call(a, key, timestamp_ms) is ClaimVerdict.DONE


def test_after_a_graceful_release_only_keys_that_were_granted_are_unproven():
    simulation = Simulation()
    a, b, _ = simulation.owners
    simulation.open_range(a)
    seen_ms = simulation.wall_ms() + 10
    simulation.call(a, "seen", seen_ms)
    simulation.release(a)
    simulation.open_range(b)
    assert simulation.call(b, "seen", seen_ms) is ClaimVerdict.UNPROVEN
    assert simulation.call(b, "new", seen_ms + 1) is ClaimVerdict.GRANTED


def test_a_key_freed_by_a_refusal_is_granted_again():
    simulation = Simulation()
    a = simulation.owners[0]
    simulation.open_range(a)
    assert simulation.call(a, "k", result="refused") is ClaimVerdict.GRANTED
    simulation.deliver_report()
    assert simulation.call(a, "k") is ClaimVerdict.GRANTED


def test_a_key_from_the_future_is_refused_as_not_run():
    simulation = Simulation()
    a = simulation.owners[0]
    simulation.open_range(a)
    assert simulation.call(a, "k", simulation.wall_ms() + 11_000) is ClaimVerdict.IN_FUTURE


def test_nothing_is_granted_in_a_long_outage_and_the_epoch_goes_on_after_it():
    simulation = Simulation()
    a = simulation.owners[0]
    simulation.open_range(a)
    simulation.platform.down = True
    simulation.now += 61
    assert simulation.call(a, "k", simulation.wall_ms()) is ClaimVerdict.NO_LEASE
    simulation.platform.down = False
    simulation.renew(a)
    assert simulation.call(a, "k", simulation.wall_ms()) is ClaimVerdict.GRANTED


def test_an_owner_restores_its_journal_when_the_platform_comes_back_with_an_older_copy():
    simulation = Simulation()
    a, b, _ = simulation.owners
    simulation.open_range(a)
    older = simulation.platform.head
    timestamp_ms = simulation.wall_ms() + 9_000
    simulation.now += 58
    assert simulation.call(a, "opaque") is ClaimVerdict.GRANTED
    assert simulation.call(a, "timed", timestamp_ms + 58_000) is ClaimVerdict.GRANTED
    simulation.platform.head = older
    assert simulation.call(a, "other") is ClaimVerdict.GRANTED
    simulation.now += 61
    simulation.open_range(b)
    assert simulation.call(b, "opaque") is ClaimVerdict.UNPROVEN
    assert simulation.call(b, "timed", timestamp_ms + 58_000) is ClaimVerdict.UNPROVEN
