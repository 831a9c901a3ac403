from hypothesis import given
from hypothesis import strategies as st
from ragwort_protocol import (
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ClaimVerdict,
    FrameReader,
    OwnerNotice,
    StoredResponse,
    encode_frame,
)

hashes = st.binary(min_size=16, max_size=16)
numbers = st.integers(0, 2**48)
headers = st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9)), max_size=3)
answers = st.none() | st.builds(
    StoredResponse, st.integers(100, 599), headers, st.binary(max_size=99)
)
messages = st.one_of(
    st.builds(ClaimRequest, hashes, hashes, hashes, numbers, numbers, numbers, st.floats(0, 1e6)),
    st.builds(ClaimReply, hashes, st.sampled_from(ClaimVerdict), numbers, numbers, answers),
    st.builds(ClaimResult, hashes, hashes, numbers, st.just("answered"), answers),
    st.builds(OwnerNotice, numbers, numbers, st.text(max_size=20)),
)


@given(messages)
def test_claim_messages_round_trip(message):
    assert FrameReader().feed(encode_frame(message)) == [message]
