from dataclasses import dataclass
from typing import Any

import pytest
from fake_store import FakeStore, Fault
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from ragwort_control._replacement import Replacement, ReplacementStatus, replace_rules
from ragwort_control._revision import CurrentRules
from ragwort_store import (
    RULES_PATH,
    RulesDocument,
    decode_rules_document,
    encode_rules_document,
    history_path,
)

MAX_OPERATORS = 4


async def skip_pause(delay_s):
    """Return without waiting: the state machine schedules the operators' steps."""


def read_current_rules(store):
    stored = store.objects.get(RULES_PATH)
    return stored and CurrentRules(decode_rules_document(stored.data).ok, stored)


def build_document(number, replaced):
    revision = replaced.document.revision + 1 if replaced else 1
    return RulesDocument(revision, f"operator {number}", "now", f"id {number}", b"%d" % number)


@dataclass
class Attempt:
    replaced: CurrentRules | None
    document: RulesDocument
    steps: Any
    outcome: Replacement | None = None


class OperatorsMachine(RuleBasedStateMachine):
    """Operators replace the rules concurrently while requests and replies are lost.

    The oracle is the list of all documents that the store has accepted as current.
    """

    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.attempts = []

    def list_active(self):
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @precondition(lambda self: len(self.list_active()) < MAX_OPERATORS)
    @rule()
    def start(self):
        replaced = read_current_rules(self.store)
        document = build_document(len(self.attempts), replaced)
        steps = replace_rules(self.store, replaced, document, skip_pause)
        self.attempts.append(Attempt(replaced, document, steps))

    @precondition(lambda self: self.list_active())
    @rule(pick=st.integers(0, MAX_OPERATORS - 1), fault=st.sampled_from(Fault))
    def step(self, pick, fault):
        active = self.list_active()
        self.advance(active[pick % len(active)], fault)

    @precondition(lambda self: self.list_active())
    @rule(pick=st.integers(0, MAX_OPERATORS - 1))
    def finish(self, pick):
        active = self.list_active()
        attempt = active[pick % len(active)]
        while attempt.outcome is None:
            self.advance(attempt, Fault.NONE)

    @precondition(lambda self: self.store.delayed)
    @rule(pick=st.integers(0, 9))
    def deliver_delayed(self, pick):
        self.store.deliver_delayed(pick)

    def advance(self, attempt, fault):
        self.store.faults.clear()
        self.store.faults.append(fault)
        try:
            attempt.steps.send(None)
        except StopIteration as stop:
            attempt.outcome = stop.value
            self.check_outcome(attempt)

    def check_outcome(self, attempt):
        accepted = [document.apply_id for document in self.store.accepted]
        own_id = attempt.document.apply_id
        match attempt.outcome.status:
            case ReplacementStatus.ACCEPTED:
                assert own_id in accepted
            case ReplacementStatus.SUPERSEDED:
                assert own_id in accepted[:-1]
            case ReplacementStatus.LOST | ReplacementStatus.UNCHANGED:
                assert own_id not in accepted
        if attempt.outcome.competing:
            assert attempt.outcome.competing in self.store.accepted
            assert attempt.outcome.competing.apply_id != own_id

    @invariant()
    def every_replaced_revision_is_kept(self):
        for document in self.store.accepted[:-1]:
            kept = self.store.objects[history_path(document.revision)]
            assert decode_rules_document(kept.data).ok == document

    @invariant()
    def every_accepted_revision_is_one_operators_own_and_replaced_what_they_read(self):
        by_id = {attempt.document.apply_id: attempt for attempt in self.attempts}
        before = None
        for document in self.store.accepted:
            attempt = by_id.pop(document.apply_id)
            assert attempt.document == document
            assert (attempt.replaced and attempt.replaced.document) == before
            assert before is None or before.revision < document.revision
            before = document

    def teardown(self):
        while self.list_active():
            self.advance(self.list_active()[0], Fault.NONE)
        while self.store.delayed:
            self.store.deliver_delayed(0)
        # The outcome reported by each attempt must still be true after the last delayed write.
        for attempt in self.attempts:
            self.check_outcome(attempt)
        self.every_replaced_revision_is_kept()
        self.every_accepted_revision_is_one_operators_own_and_replaced_what_they_read()


class TestOperators(OperatorsMachine.TestCase):
    settings = settings(max_examples=200, stateful_step_count=40)


def replace(store, replaced, number, faults=()):
    store.faults.extend(faults)
    steps = replace_rules(store, replaced, build_document(number, replaced), skip_pause)
    while True:
        try:
            steps.send(None)
        except StopIteration as stop:
            return stop.value


@pytest.mark.parametrize(
    ("faults", "status", "accepted"),
    [
        ([Fault.LOST_REPLY], ReplacementStatus.ACCEPTED, 1),
        ([Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.UNAVAILABLE], ReplacementStatus.ACCEPTED, 1),
        ([Fault.LOST_REPLY, Fault.NONE, *[Fault.UNAVAILABLE] * 9], ReplacementStatus.UNKNOWN, 1),
        ([Fault.LOST_REQUEST] * 9, ReplacementStatus.UNKNOWN, 0),
        ([Fault.UNAVAILABLE] * 9, ReplacementStatus.UNCHANGED, 0),
    ],
)
def test_the_status_of_an_attempt_matches_what_can_be_known(faults, status, accepted):
    store = FakeStore()
    assert replace(store, None, 1, faults).status is status
    assert len(store.accepted) == accepted


def test_a_write_with_a_lost_reply_is_recognised_after_it_was_superseded():
    store = FakeStore()
    store.faults.append(Fault.LOST_REPLY)
    first = replace_rules(store, None, build_document(1, None), skip_pause)
    first.send(None)
    first.send(None)
    assert replace(store, read_current_rules(store), 2).status is ReplacementStatus.ACCEPTED
    with pytest.raises(StopIteration) as stop:
        while True:
            first.send(None)
    assert stop.value.value == Replacement(ReplacementStatus.SUPERSEDED, store.accepted[1])


def test_a_different_revision_of_that_number_in_the_history_stops_the_attempt():
    store = FakeStore()
    replace(store, None, 1)
    store.put(history_path(1), encode_rules_document(build_document(7, None)))
    outcome = replace(store, read_current_rules(store), 2)
    assert outcome.status is ReplacementStatus.UNCHANGED
    assert "another revision of that number" in outcome.reason
    assert len(store.accepted) == 1
