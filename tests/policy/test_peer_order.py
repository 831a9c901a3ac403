from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import Incarnation, NodeId
from ragwort_policy._digest import TableDigest, list_differences, pack_digest, toggle_entry
from ragwort_policy._peer import GONE_STATES, Peer, generation_of, is_newer, raise_incarnation
from ragwort_policy._table import PeerTable, list_service, merge_news
from ragwort_protocol import News, PeerState, Profile, measure_news

PROFILES = [Profile(f"s{number}", "r", "d", "a", "b", "c") for number in range(2)]
INCARNATIONS = [(1 << 12), (1 << 12) + 1, (2 << 12), (2 << 12) + 1]
news_items = st.builds(
    lambda name, incarnation, state, with_profile: News(
        name,
        incarnation,
        state,
        PROFILES[generation_of(incarnation) - 1] if with_profile else None,
    ),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(INCARNATIONS),
    st.sampled_from(PeerState),
    st.booleans(),
)


def order_of(news: News) -> tuple[int, int]:
    return news.incarnation, news.state.value


@given(st.lists(news_items, max_size=25))
def test_merging_keeps_the_newest_and_all_derived_state_agrees(received):
    table = PeerTable()
    held = {}
    for at, news in enumerate(received):
        change = merge_news(table, news, float(at))
        peer = table.peers.get(NodeId(news.node_id))
        before = held.get(news.node_id)
        if change is not None:
            assert before is None or order_of(news) > before
            held[news.node_id] = order_of(news)
        elif news.profile is not None and before is not None:
            assert order_of(news) <= before
        if peer is not None:
            assert (peer.incarnation, peer.state.value) == held[news.node_id]
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECT):
                assert peer.profile is PROFILES[generation_of(peer.incarnation) - 1]
    rebuilt = TableDigest()
    for peer in table.peers.values():
        toggle_entry(rebuilt, peer.rank, peer.incarnation, peer.state)
    assert rebuilt == table.digest
    for number, profile in enumerate(PROFILES):
        usable = [p for p in table.peers.values() if p.is_usable and p.profile is profile]
        assert list_service(table, f"s{number}") == usable


@given(st.permutations([News("a", i, s, PROFILES[0]) for i in INCARNATIONS[:2] for s in PeerState]))
def test_any_order_of_the_same_news_ends_alike(received):
    table = PeerTable()
    # The death of a peer that is not known is not taken in, so make it known first.
    merge_news(table, News("a", 1, PeerState.ALIVE, PROFILES[0]), 0.0)
    for news in received:
        merge_news(table, news, 0.0)
    assert table.peers["a"].incarnation == INCARNATIONS[1]
    assert table.peers["a"].state is PeerState.LEFT


@given(st.integers(0, 1 << 50), st.integers(0, 1 << 50), st.sampled_from(PeerState))
def test_a_raised_incarnation_beats_both(own, seen, state):
    raised = raise_incarnation(own, seen)
    for incarnation in (own, seen):
        peer = Peer("a", PROFILES[0], Incarnation(incarnation), state, 0, 0.0, 0)
        assert is_newer(raised, PeerState.ALIVE, peer)
    assert generation_of(raised) != generation_of(seen) or generation_of(seen) <= generation_of(own)


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


def test_news_without_a_profile_is_short():
    notice = News("host-0123", first := (1_700_000_000_000 << 12), PeerState.DEAD)
    assert (
        measure_news(notice)
        < 25
        < measure_news(News("host-0123", first, PeerState.ALIVE, PROFILES[0]))
    )


def test_the_death_of_an_unknown_peer_is_not_taken_in():
    table = PeerTable()
    assert merge_news(table, News("a", 1, PeerState.DEAD, PROFILES[0]), 0.0) is None
    assert table.peers == {}
