import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_protocol import (
    PROTOCOL_VERSION,
    Cancel,
    CrashCleared,
    CrashNotice,
    CrashTrial,
    CustomerUsage,
    Data,
    EvacuationNotice,
    FrameReader,
    LimitShare,
    LimitShares,
    ProtocolError,
    Request,
    UsageReport,
    encode_frame,
)
from ragwort_protocol._codec import FRAME_HEADER

_TOTALS = (st.text(max_size=20), *[st.integers(-(2**40), 2**40)] * 7)
messages = st.one_of(
    st.builds(Cancel, call_id=st.integers(0, 2**40)),
    st.builds(
        Data, call_id=st.integers(0, 2**40), body=st.binary(max_size=300), more=st.booleans()
    ),
    st.builds(
        CrashNotice,
        node_id=st.text(max_size=20),
        at_ms=st.integers(0, 2**42),
        age_ms=st.integers(0, 2**30),
        instance=st.text(max_size=20),
        requests=st.lists(st.binary(min_size=8, max_size=8), max_size=64),
    ),
    st.builds(CrashCleared, request=st.binary(max_size=8)),
    st.builds(CrashTrial, request=st.binary(max_size=8)),
    st.builds(
        EvacuationNotice,
        order=st.integers(0, 2**60),
        failure_domains=st.lists(st.text(max_size=20), max_size=16),
    ),
    st.builds(UsageReport, st.lists(st.builds(CustomerUsage, *_TOTALS), max_size=4)),
    st.builds(
        LimitShares,
        st.lists(st.builds(LimitShare, *_TOTALS[:4], st.floats(0, 1e6), st.booleans())),
    ),
)


@given(st.lists(messages, max_size=8), st.lists(st.integers(1, 40), min_size=1, max_size=20))
def test_a_stream_split_anywhere_gives_the_same_messages(sent, cuts):
    stream = b"".join(encode_frame(message) for message in sent)
    reader = FrameReader()
    received = []
    position = 0
    while position < len(stream):
        size = cuts[position % len(cuts)]
        received += reader.feed(stream[position : position + size])
        position += size
    assert received == sent


@given(st.binary(max_size=200))
def test_random_bytes_raise_nothing_but_protocol_errors(data):
    try:
        FrameReader().feed(data)
    except ProtocolError:
        return


def test_a_frame_over_the_limit_is_rejected_before_its_body_arrives():
    with pytest.raises(ProtocolError, match="out of bounds"):
        FrameReader().feed(b"\xff\xff\xff\xff\x01")


def test_an_unsupported_version_is_rejected():
    with pytest.raises(ProtocolError, match="version 9"):
        FrameReader().feed(b"\x00\x00\x00\x05\x09")


def test_encoding_a_message_over_the_limit_is_rejected():
    request = Request(1, "POST", b"/", [], b"x" * (1 << 20), 100.0)
    with pytest.raises(ProtocolError, match="over the frame limit"):
        encode_frame(request)


def test_deeply_nested_frame_is_a_protocol_error():
    # The decoder's error for deep nesting is not one of its own.
    body = b"\x91" * 5000 + b"\xc0"
    frame = FRAME_HEADER.pack(len(body) + 1, PROTOCOL_VERSION) + body
    with pytest.raises(ProtocolError):
        FrameReader().feed(frame)
    unknown_field = b"\x93\x05\x01" + body
    frame = FRAME_HEADER.pack(len(unknown_field) + 1, PROTOCOL_VERSION) + unknown_field
    with pytest.raises(ProtocolError):
        FrameReader().feed(frame)
