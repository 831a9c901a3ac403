import json
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager

import grpc
import pytest
from fake_store import FakeStore, Fault
from ragwort_control.main import run_command
from ragwort_protocol.control import (
    ControlServicer,
    GetStatusReply,
    Peer,
    SetDrainReply,
    add_ControlServicer_to_server,
)
from ragwort_store import RULES_PATH, Announcement, RulesDocument, encode_announcement
from ragwort_store import encode_rules_document as encode

TOKEN = "s3cret"
FLAGS = ["--platform=http://fake", "--timeout-ms=20000"]


class Node(ControlServicer):
    def __init__(self, name, revision):
        self.name = name
        self.revision = revision
        self.draining = False
        self.peers = []
        self.server = grpc.server(ThreadPoolExecutor(1))
        add_ControlServicer_to_server(self, self.server)
        self.address = f"127.0.0.1:{self.server.add_insecure_port('127.0.0.1:0')}"
        self.server.start()

    def describe(self):
        return Peer(
            node_id=self.name,
            service="drums",
            failure_domain="siheung",
            state="alive",
            control_address=self.address,
            revision=self.revision,
        )

    def GetStatus(self, request, context):  # noqa: N802
        peers = [peer.describe() for peer in self.peers]
        reply = GetStatusReply(ready=True, draining=self.draining, limit=13, peers=peers)
        getattr(reply, "self").CopyFrom(self.describe())  # noqa: B009
        return reply

    def SetDrain(self, request, context):  # noqa: N802
        if request.token != TOKEN:
            return SetDrainReply(refusal="the token is wrong")
        self.draining = request.draining
        return SetDrainReply()


class Fleet:
    """Two nodes that reply, one of them with an old revision, and one that is unreachable."""

    def __init__(self):
        self.store = FakeStore()
        self.nodes = [Node("drums-1", 2), Node("drums-2", 1)]
        self.nodes[0].peers = [self.nodes[1]]
        for node in self.nodes:
            self.announce(node.name, node.address)
        self.announce("drums-3", "127.0.0.1:9")
        self.store.put(RULES_PATH, encode(RulesDocument(2, "kim", "today", "id", b"")))

    def announce(self, name, address):
        said = Announcement(name, "drums", "gyeonggi", "siheung", "", "", address, 1)
        self.store.put(f"nodes/{name}", encode_announcement(said))

    @asynccontextmanager
    async def open(self, url, timeout_ms):
        yield self.store

    def run(self, capsys, *words):
        status = run_command([*words, *FLAGS], self.open, None)
        return status, *capsys.readouterr()


@pytest.fixture
def fleet():
    made = Fleet()
    yield made
    for node in made.nodes:
        node.server.stop(None)


def test_status_shows_revisions_and_which_nodes_could_not_be_queried(fleet, capsys):
    status, out, err = fleet.run(capsys, "status")
    assert status == 3
    assert "3 nodes: 1 run revision 2; 1 run revision 1; 1 could not be queried" in out
    assert "1 (behind)" in out
    assert "could not query drums-3: no connection to 127.0.0.1:9" in err
    status, out, _ = fleet.run(capsys, "status", "--json")
    found = json.loads(out)
    assert found["current_revision"] == 2
    assert [(row["revision"], bool(row["error"])) for row in found["nodes"]] == [
        (2, False),
        (1, False),
        (0, True),
    ]


def test_status_queries_a_nodes_peers_when_the_platform_is_down(fleet, capsys, monkeypatch):
    # A proxy set in the operator's shell must not be used to reach nodes.
    monkeypatch.setenv("http_proxy", "http://127.0.0.1:9")
    fleet.store.faults.extend([Fault.UNAVAILABLE])
    status, _, err = fleet.run(capsys, "status")
    assert status == 1
    assert "give --node=HOST:PORT" in err
    status, out, _ = fleet.run(capsys, "status", f"--node={fleet.nodes[0].address}")
    assert status == 0
    assert "2 nodes: 1 run revision 2; 1 run revision 1" in out


def test_a_reply_from_a_different_node_at_an_address_is_an_error(fleet, capsys):
    fleet.announce("drums-3", fleet.nodes[0].address)
    fleet.store.put("nodes/odd", b"{")
    status, _, err = fleet.run(capsys, "status")
    assert status == 3
    assert "could not query drums-3: node drums-1 replied at this address" in err
    assert "could not read the announcement nodes/odd" in err


def test_drain_and_undrain_reach_the_node_by_name_and_by_address(fleet, capsys, tmp_path):
    token = tmp_path / "token"
    token.write_text(f"{TOKEN}\n")
    flag = f"--token-file={token}"
    assert fleet.run(capsys, "drain", "drums-1", flag)[:2] == (0, "node drums-1 drains\n")
    assert fleet.nodes[0].draining
    assert "draining" in fleet.run(capsys, "status")[1]
    assert fleet.run(capsys, "undrain", fleet.nodes[0].address, flag)[0] == 0
    assert not fleet.nodes[0].draining
    status, _, err = fleet.run(capsys, "drain", "drums-3", flag)
    assert (status, "did not confirm: no connection" in err) == (1, True)
    status, _, err = fleet.run(capsys, "drain", "drums-9", flag)
    assert (status, "'drums-9' is not announced" in err) == (2, True)
    token.write_text("guess")
    status, _, err = fleet.run(capsys, "drain", "drums-1", flag)
    assert (status, err) == (1, "node drums-1 refused: the token is wrong\n")
    token.write_bytes(b"\xff")
    assert fleet.run(capsys, "drain", "drums-1", flag)[0] == 2


def test_a_request_that_may_have_arrived_exits_as_uncertain(fleet, capsys, tmp_path):
    token = tmp_path / "token"
    token.write_text(TOKEN)
    fleet.nodes[0].SetDrain = None
    fleet.nodes[0].server.stop(None)
    broken = ControlServicer()
    fleet.nodes[0].server = grpc.server(ThreadPoolExecutor(1))
    add_ControlServicer_to_server(broken, fleet.nodes[0].server)
    fleet.nodes[0].server.add_insecure_port(fleet.nodes[0].address)
    fleet.nodes[0].server.start()
    status, _, err = fleet.run(capsys, "drain", "drums-1", f"--token-file={token}")
    assert (status, "did not confirm: unimplemented" in err) == (3, True)
