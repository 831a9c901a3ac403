from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import Incarnation, NodeId
from ragwort_policy._digest import TableDigest, list_differences, pack_digest, toggle_entry
from ragwort_policy._peer import GONE_STATES, Peer, get_generation, is_newer, raise_incarnation
from ragwort_policy._table import PeerTable, apply_update, list_service
from ragwort_protocol import PeerState, PeerUpdate, Profile, measure_update

PROFILES = [Profile(f"s{number}", "r", "d", "a", "b", "c") for number in range(2)]
INCARNATIONS = [(1 << 12), (1 << 12) + 1, (2 << 12), (2 << 12) + 1]
updates = st.builds(
    lambda name, incarnation, state, with_profile: PeerUpdate(
        name,
        incarnation,
        state,
        PROFILES[get_generation(incarnation) - 1] if with_profile else None,
    ),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(INCARNATIONS),
    st.sampled_from(PeerState),
    st.booleans(),
)


def get_sort_key(update: PeerUpdate) -> tuple[int, int]:
    return update.incarnation, update.state.value


@given(st.lists(updates, max_size=25))
def test_merging_keeps_the_newest_and_all_derived_state_agrees(received):
    table = PeerTable()
    held = {}
    for at, update in enumerate(received):
        change = apply_update(table, update, float(at))
        peer = table.peers.get(NodeId(update.node_id))
        before = held.get(update.node_id)
        if change is not None:
            assert before is None or get_sort_key(update) > before
            held[update.node_id] = get_sort_key(update)
        elif update.profile is not None and before is not None:
            assert get_sort_key(update) <= before
        if peer is not None:
            assert (peer.incarnation, peer.state.value) == held[update.node_id]
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECT):
                assert peer.profile is PROFILES[get_generation(peer.incarnation) - 1]
    rebuilt = TableDigest()
    for peer in table.peers.values():
        toggle_entry(rebuilt, peer.rank, peer.incarnation, peer.state)
    assert rebuilt == table.digest
    for number, profile in enumerate(PROFILES):
        usable = [p for p in table.peers.values() if p.is_usable and p.profile is profile]
        assert list_service(table, f"s{number}") == usable


@given(
    st.permutations(
        [PeerUpdate("a", i, s, PROFILES[0]) for i in INCARNATIONS[:2] for s in PeerState]
    )
)
def test_updates_in_any_order_give_the_same_result(received):
    table = PeerTable()
    # The death of a peer that is not known is not taken in, so make it known first.
    apply_update(table, PeerUpdate("a", 1, PeerState.ALIVE, PROFILES[0]), 0.0)
    for update in received:
        apply_update(table, update, 0.0)
    assert table.peers["a"].incarnation == INCARNATIONS[1]
    assert table.peers["a"].state is PeerState.LEFT


@given(st.integers(0, 1 << 50), st.integers(0, 1 << 50), st.sampled_from(PeerState))
def test_a_raised_incarnation_supersedes_both(own, seen, state):
    raised = raise_incarnation(own, seen)
    for incarnation in (own, seen):
        peer = Peer("a", PROFILES[0], Incarnation(incarnation), state, 0, 0.0, 0)
        assert is_newer(raised, PeerState.ALIVE, peer)
    assert get_generation(raised) != get_generation(seen) or get_generation(seen) <= get_generation(
        own
    )


def test_digest_differs_in_the_bucket_of_the_change_only():
    one, two = TableDigest(), TableDigest()
    toggle_entry(one, 70, 5, PeerState.ALIVE)
    toggle_entry(two, 70, 5, PeerState.SUSPECT)
    assert list_differences(one, pack_digest(two)) == []
    toggle_entry(two, 70, 5, PeerState.ALIVE)
    toggle_entry(two, 70, 5, PeerState.LEAVING)
    assert list_differences(one, pack_digest(two)) == [70 % 64]
    assert len(list_differences(one, b"short")) == 64
    for state in GONE_STATES:
        toggle_entry(one, 3, 1, state)
    assert one.hashes[3] == 0


def test_an_update_without_a_profile_is_short():
    notice = PeerUpdate("host-0123", first := (1_700_000_000_000 << 12), PeerState.DEAD)
    assert (
        measure_update(notice)
        < 25
        < measure_update(PeerUpdate("host-0123", first, PeerState.ALIVE, PROFILES[0]))
    )


def test_the_death_of_an_unknown_peer_is_ignored():
    table = PeerTable()
    assert apply_update(table, PeerUpdate("a", 1, PeerState.DEAD, PROFILES[0]), 0.0) is None
    assert table.peers == {}
