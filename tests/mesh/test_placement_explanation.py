"""``ragwortctl where`` against whole nodes."""

import asyncio
import json

from fake_store import FakeStore
from helper import wait_until
from mesh_cluster import HOST, find_free_ports, make_configuration, make_route, run_scenario
from ragwort_common import FailureDomain
from ragwort_control.main import run_command

ROUTES = {
    "a": make_route("s"),
    "b": make_route("s", "/b/", allowedRegions=["r2"]),
    "split": {
        **make_route("s", "/split/"),
        "service": None,
        "split": [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}],
    },
}


def ask(capsys, path, *flags, tenants=None, prepare=None):
    """Ask the first of two nodes; return the exit status and the output of the command."""
    answers = []

    async def scenario(cluster):
        first, second = cluster.members
        content = make_configuration(1, ROUTES)
        await cluster.store.put("config", "main", {**content, "tenants": tenants or {}})
        await wait_until(lambda: first.node._configuration.current is not None)
        await cluster.wait_until_linked()
        if prepare is not None:
            prepare(first.node)
        (port,) = find_free_ports(1)
        address = f"127.0.0.1:{port}"
        await first.node._metrics_server.listen(address)
        words = ["where", *flags, address, HOST, path]
        answers.append(await asyncio.to_thread(run_command, words, FakeStore().open, asyncio.sleep))
        assert not first.application.requests and not second.application.requests

    run_scenario(scenario, ("s", "s"))
    return answers[0], capsys.readouterr().out


def test_the_chosen_server_and_the_others_are_shown_and_no_call_is_sent(capsys):
    status, printed = ask(capsys, "/a/x", "--json")
    reply = json.loads(printed)["reply"]
    (placement,) = reply["placements"]
    assert (status, reply["refusal"], reply["route"], reply["version"]) == (0, "", "a", 1)
    assert placement["chosen"] in ("n1", "n2") and placement["reason"] == "in-time"
    assert {found["node"]: found["state"] for found in placement["candidates"]} == {
        "n1": "eligible",
        "n2": "eligible",
    }


def test_servers_that_may_not_get_the_call_are_shown_with_the_reason(capsys):
    def evacuate(node):
        node._evacuations.failure_domains = frozenset({FailureDomain("d2")})

    _, printed = ask(capsys, "/a/x", prepare=evacuate)
    assert "would go to n1" in printed and "evacuated" in printed
    _, printed = ask(capsys, "/b/x")
    assert "would be refused: no-home-server" in printed and "home regions r2" in printed


def test_each_service_of_a_split_route_is_shown_with_its_fraction(capsys):
    _, printed = ask(capsys, "/split/x")
    assert "service s, 75% of the calls: would go to" in printed
    assert "service t, 25% of the calls: would be refused: no-server" in printed


def test_a_call_that_is_refused_before_a_server_is_chosen_is_shown_with_the_reason(capsys):
    tenants = {"acme": {"apiKeys": ["k-1"]}}
    assert "refused: no-route" in ask(capsys, "/none")[1]
    assert "refused by route a: unknown-key" in ask(capsys, "/a/x", tenants=tenants)[1]
    assert "would go to" in ask(capsys, "/a/x", "--customer=acme", tenants=tenants)[1]


def test_a_node_that_cannot_be_asked_is_a_failure_with_its_address(capsys):
    (port,) = find_free_ports(1)
    words = ["where", f"127.0.0.1:{port}", HOST, "/a/x"]
    assert run_command(words, FakeStore().open, asyncio.sleep) == 1
    assert f"127.0.0.1:{port} could not be asked" in capsys.readouterr().err
