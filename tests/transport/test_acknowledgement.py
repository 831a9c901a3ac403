import struct

import pytest
from ragwort_transport._acknowledgement import is_acknowledging


class FakeTransport:
    """A transport whose socket reports a given ``tcp_info``."""

    def __init__(self, retransmits, unacked):
        self.info = struct.pack("=8B24I", 1, 0, retransmits, *[0] * 9, unacked, *[0] * 19)

    def get_extra_info(self, name):
        return self

    def getsockopt(self, level, option, size):
        return self.info[:size]


@pytest.mark.parametrize(
    ("retransmits", "unacked", "acknowledging"), [(1, 1, False), (0, 1, True), (0, 0, True)]
)
def test_a_peer_is_gone_if_sending_again_had_no_effect(retransmits, unacked, acknowledging):
    assert is_acknowledging(FakeTransport(retransmits, unacked)) is acknowledging
