"""At-most-once runs of keyed calls: a state machine, and a scenario for each single guard.

The state machine covers owners, entries, gates and the platform.
"""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from once_world import World
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
        self.world = World()
        self.world.open_range(self.world.owners[0])
        self.keys = []

    def find_owner(self, seen_by):
        """Return the lease holder, or another node that an entry believes to be the owner."""
        owners = self.world.owners
        holder = self.world.platform.holder
        return owners["abc".find(holder) if seen_by is None else seen_by]

    def make_key(self, skew_ms):
        timestamp_ms = 0 if skew_ms is None else self.world.wall_ms() + skew_ms
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
            self.world.call(self.find_owner(None), *self.make_key(skew_ms), 0, result, write)
            if report:
                self.world.deliver_report(again=report == "twice")
            self.world.now += 1.5
            self.world.renew(self.find_owner(None))

    @precondition(lambda self: self.keys)
    @rule(seen_by=seen_by, number=index, result=run_results, report=reported)
    def call_again(self, seen_by, number, result, report):
        key = self.keys[-1 - number % len(self.keys)]
        self.world.call(self.find_owner(seen_by), *key, 1, result)
        if report:
            self.world.deliver_report(again=report == "twice")

    @rule(seen_by=seen_by, skew_ms=skew)
    def claim_new(self, seen_by, skew_ms):
        self.world.claim(self.find_owner(seen_by), *self.make_key(skew_ms))

    @precondition(lambda self: self.keys)
    @rule(seen_by=seen_by, number=index)
    def claim_again(self, seen_by, number):
        key = self.keys[-1 - number % len(self.keys)]
        self.world.claim(self.find_owner(seen_by), *key)

    @precondition(lambda self: self.world.attempts)
    @rule(seen_by=seen_by, number=index)
    def send_again(self, seen_by, number):
        attempts = self.world.attempts
        self.world.send(attempts[-1 - number % len(attempts)], self.find_owner(seen_by))

    @precondition(lambda self: self.world.replies)
    @rule(number=index, lose=st.sampled_from([False, False, True]))
    def deliver_reply(self, number, lose):
        if lose:
            self.world.replies.pop(number % len(self.world.replies))
        else:
            self.world.deliver_reply(number)

    @precondition(lambda self: self.world.list_granted())
    @rule(number=index, gate=st.integers(0, 1), result=run_results, give_up=st.booleans())
    def end_attempt(self, number, gate, result, give_up):
        granted = self.world.list_granted()
        attempt = granted[number % len(granted)]
        if give_up:
            self.world.give_up(attempt)
        else:
            self.world.run(attempt, gate, result)

    @precondition(lambda self: self.world.reports)
    @rule(number=index, again=st.booleans())
    def deliver_report(self, number, again):
        self.world.deliver_report(number, again)

    @rule(seen_by=seen_by, result=write_results)
    def step_journal(self, seen_by, result):
        self.world.step_journal(self.find_owner(seen_by), result)

    @precondition(lambda self: self.world.platform.late)
    @rule(number=index)
    def apply_late(self, number):
        self.world.apply_late(number)

    @rule(seconds=st.sampled_from([0.5, 4.0, 20.0]), renew=st.sampled_from([True, True, False]))
    def advance(self, seconds, renew):
        self.world.now += seconds
        if renew:
            self.world.renew(self.find_owner(None))

    @rule(owner=st.integers(0, 2), how=st.sampled_from(["kill", "pause", "release"]))
    def take_over(self, owner, how):
        before = self.find_owner(None)
        if how == "release":
            self.world.release(before)
        if how == "kill":
            self.world.kill(before)
        if how != "release":
            self.world.now += 61
        self.world.open_range(self.world.owners[owner])

    @rule(down=st.sampled_from([False, False, False, True]))
    def switch_platform(self, down):
        self.world.platform.down = down

    @invariant()
    def no_call_ran_twice(self):
        assert all(runs == 1 for runs in self.world.runs.values())


TestOnce = OnceMachine.TestCase
TestOnce.settings = settings(max_examples=250, stateful_step_count=50)


# One scenario for each guard: it passes, and detects a second run when the guard is disabled.


def run_floor(world):
    """A caller repeats a key after its owner has died."""
    a, b, _ = world.owners
    world.open_range(a)
    world.call(a, "k", world.wall_ms() + 10)
    world.now += 61
    world.open_range(b)
    world.call(b, "k", world.wall_ms() - 60_990)


def run_horizon(world):
    """The timestamp of a key is past the horizon that the next owner will find."""
    a, b, _ = world.owners
    world.open_range(a)
    world.now += 40
    world.renew(a)
    world.now += 25
    timestamp_ms = world.wall_ms()
    world.claim(a, "k", timestamp_ms)
    world.deliver_reply()
    world.run(world.attempts[0])
    world.now += 61
    world.open_range(b)
    world.call(b, "k", timestamp_ms)


def run_mark(world):
    """A key without a timestamp is repeated after its owner died before writing the mark."""
    a, b, _ = world.owners
    world.open_range(a)
    attempt = world.claim(a, "k")
    world.deliver_reply()
    world.run(attempt)
    world.now += 61
    world.open_range(b)
    world.call(b, "k")


def run_read_back(world):
    """A journal write gets no reply and never takes effect."""
    a, b, _ = world.owners
    world.open_range(a)
    attempt = world.claim(a, "k")
    world.step_journal(a, "lost")
    world.deliver_reply()
    world.run(attempt)
    world.now += 61
    world.open_range(b)
    world.call(b, "k")


def run_copy(world):
    """More keys are granted than the journal head can hold, then the owner dies."""
    a, b, _ = world.owners
    world.open_range(a)
    for key in ("k", "l", "m"):
        world.call(a, key)
        world.now += 6
    world.now += 61
    world.open_range(b)
    world.call(b, "k")


def run_forget(world):
    """The table is full and evicts the key that ran first."""
    a = world.owners[0]
    world.open_range(a)
    for key in ("k", "l", "m", "n"):
        world.call(a, key, world.wall_ms() + 10)
        world.now += 6
    world.call(a, "k", world.wall_ms() - 24_000 + 10)


def run_expiry(world):
    """The entry dies while its call runs, and the caller repeats the call after the deadline."""
    a = world.owners[0]
    world.open_range(a)
    timestamp_ms = world.wall_ms()
    world.call(a, "k", timestamp_ms + 10, result="died")
    world.now += 4
    world.call(a, "k", timestamp_ms + 10)


def run_stale_report(world):
    """A report that frees the key is delivered again while the next attempt runs."""
    a = world.owners[0]
    world.open_range(a)
    timestamp_ms = world.wall_ms() + 10
    world.call(a, "k", timestamp_ms, result="refused")
    world.deliver_report(again=True)
    world.call(a, "k", timestamp_ms, result="died")
    world.deliver_report()
    world.call(a, "k", timestamp_ms)


def lose_horizon(world):
    """Extend the horizon of owner a, then restore the platform from a copy made before."""
    a = world.owners[0]
    world.open_range(a)
    older = world.platform.head
    world.now += 50
    world.renew(a)
    world.call(a, "other", world.wall_ms())
    assert world.platform.head != older
    world.now += 20
    world.platform.head = older
    return world.wall_ms() + 10


def run_lease(world):
    """The journal is lost, and an entry with a stale view sends its claim to the previous owner."""
    timestamp_ms = lose_horizon(world)
    a, b, _ = world.owners
    world.now += 41
    world.open_range(b)
    world.call(b, "k", timestamp_ms, gate=0)
    world.claim(a, "k", timestamp_ms)
    world.deliver_reply()
    world.run(world.attempts[-1], gate=1)


def run_fence(world):
    """The journal is lost, and the owner is paused between its lease check and its reply."""
    timestamp_ms = lose_horizon(world)
    a, b, _ = world.owners
    late = world.claim(a, "k", timestamp_ms)
    world.now += 41
    world.open_range(b)
    world.call(b, "k", timestamp_ms)
    world.deliver_reply()
    world.run(late)


def run_seal(world):
    """The owner's clock stood still, and its delayed write arrives after a takeover."""
    a, b, _ = world.owners
    world.open_range(a)
    world.now += 58
    timestamp_ms = world.wall_ms() + 9_000
    late = world.claim(a, "k", timestamp_ms)
    world.step_journal(a, "late")
    world.now += 4
    a.clock_lag_s = 4.0
    world.open_range(b)
    world.apply_late(0)
    world.settle_journal(a)
    world.deliver_reply()
    world.run(late, gate=0)
    world.call(b, "k", timestamp_ms, gate=1)


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
    scenario(World())
    monkeypatch.setattr(owner, name, switched_off)
    with pytest.raises(AssertionError, match="ran twice"):
        scenario(World())


def test_a_repeat_gets_the_first_answer_or_still_running():
    world = World()
    a = world.owners[0]
    world.open_range(a)
    for key, timestamp_ms in [("timed", world.wall_ms() + 10), ("opaque", 0)]:
        assert world.call(a, key, timestamp_ms) is ClaimVerdict.GRANTED
        assert world.call(a, key, timestamp_ms) is ClaimVerdict.RUNNING
        world.deliver_report()
        assert world.call(a, key, timestamp_ms) is ClaimVerdict.DONE


def test_after_a_graceful_release_only_keys_that_were_granted_are_unproven():
    world = World()
    a, b, _ = world.owners
    world.open_range(a)
    seen_ms = world.wall_ms() + 10
    world.call(a, "seen", seen_ms)
    world.release(a)
    world.open_range(b)
    assert world.call(b, "seen", seen_ms) is ClaimVerdict.UNPROVEN
    assert world.call(b, "new", seen_ms + 1) is ClaimVerdict.GRANTED


def test_a_key_freed_by_a_refusal_is_granted_again():
    world = World()
    a = world.owners[0]
    world.open_range(a)
    assert world.call(a, "k", result="refused") is ClaimVerdict.GRANTED
    world.deliver_report()
    assert world.call(a, "k") is ClaimVerdict.GRANTED


def test_a_key_from_the_future_is_refused_as_not_run():
    world = World()
    a = world.owners[0]
    world.open_range(a)
    assert world.call(a, "k", world.wall_ms() + 11_000) is ClaimVerdict.IN_FUTURE


def test_nothing_is_granted_in_a_long_outage_and_the_epoch_goes_on_after_it():
    world = World()
    a = world.owners[0]
    world.open_range(a)
    world.platform.down = True
    world.now += 61
    assert world.call(a, "k", world.wall_ms()) is ClaimVerdict.NO_LEASE
    world.platform.down = False
    world.renew(a)
    assert world.call(a, "k", world.wall_ms()) is ClaimVerdict.GRANTED


def test_an_owner_restores_its_journal_when_the_platform_comes_back_with_an_older_copy():
    world = World()
    a, b, _ = world.owners
    world.open_range(a)
    older = world.platform.head
    timestamp_ms = world.wall_ms() + 9_000
    world.now += 58
    assert world.call(a, "opaque") is ClaimVerdict.GRANTED
    assert world.call(a, "timed", timestamp_ms + 58_000) is ClaimVerdict.GRANTED
    world.platform.head = older
    assert world.call(a, "other") is ClaimVerdict.GRANTED
    world.now += 61
    world.open_range(b)
    assert world.call(b, "opaque") is ClaimVerdict.UNPROVEN
    assert world.call(b, "timed", timestamp_ms + 58_000) is ClaimVerdict.UNPROVEN
