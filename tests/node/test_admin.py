"""Tests of the administration API over a real port: its replies and its authorization."""

import asyncio
import random
from types import SimpleNamespace

import aiohttp
import pytest
from ragwort_common import (
    CallId,
    Counters,
    FailureDomain,
    Incarnation,
    Member,
    NodeId,
    Region,
    Revision,
    ServiceName,
)
from ragwort_node._admin import NO_TOKEN_SET, TOKEN_WRONG, AdminCallbacks, build_admin
from ragwort_node._call_reader import EntryLimits
from ragwort_node._entry import build_entry
from ragwort_node._http import start_http
from ragwort_node._rules import RulesInForce
from ragwort_node._rules_types import CurrentRules
from ragwort_node._services import Services
from ragwort_node._settings import LimitSettings
from ragwort_node._status import StatusSources, read_peers, read_rules, read_state
from ragwort_node._tracing import Tracer
from ragwort_policy import (
    Arrival,
    ChoiceSettings,
    MembershipSettings,
    RevisionId,
    create_membership,
    make_budget,
)
from ragwort_protocol import LoadReport, Profile
from ragwort_store import RulesDocument

TEXT = b"tracking GET /** idempotent  # hanbit: lookups\n"
LIMITS = LimitSettings(
    header_bytes=1, body_bytes=2, answer_bytes=3, connect_timeout_ms=4, drain_timeout_ms=5
)


def make_status(rules):
    profile = Profile(
        ServiceName("tracking"), Region("gyeonggi"), FailureDomain("siheung"), "l:1", "e:2", "c:3"
    )
    budgets = make_budget(1000, 0.0), make_budget(100, 0.0)
    membership = create_membership(
        MembershipSettings(), NodeId("n1"), profile, Incarnation(1), *budgets, 0.0
    )
    running = [Arrival(CallId(n), Member("hanbit"), 3, False, 1.0) for n in (1, 2)]
    waiting = [Arrival(CallId(3), Member("indice"), 1, True, 1.0)]
    gate = SimpleNamespace(
        leaving=False,
        make_report=lambda: LoadReport(2, 8, 1, 500),
        list_calls=lambda: (running, waiting),
    )
    counters = Counters()
    services = Services(FailureDomain("siheung"), Region("gyeonggi"), ChoiceSettings())
    services.update(ServiceName("tracking"), [], 0.0)
    return StatusSources(
        membership=membership,
        gate=gate,
        pool=SimpleNamespace(count_links=lambda: 4),
        counters=counters,
        clock=lambda: 0.0,
        get_revision=lambda: Revision(rules.revision_id.revision if rules else 0),
        is_ready=lambda: rules is not None,
        get_rules=lambda: rules,
        collect=lambda: counters.add("collected"),
        services=services,
        limits=LIMITS,
    )


def make_rules():
    document = RulesDocument(Revision(7), "kim", "2026-01-01T00:00:00Z", "1", TEXT)
    return CurrentRules(RevisionId(Revision(7), 1), document, b"")


def run_admin(scenario, rules=None, token="secret"):
    """Serve the API; ``scenario`` gets the session and the list of set_drain() arguments."""
    status, drains = make_status(rules), []
    callbacks = AdminCallbacks(
        lambda: read_state(status),
        lambda: read_rules(status),
        lambda: read_peers(status),
        status.is_ready,
        drains.append,
    )

    async def run():
        server = await start_http(build_admin(callbacks, token), "127.0.0.1:0", 1000)
        async with aiohttp.ClientSession(f"http://127.0.0.1:{server.port}") as session:
            await scenario(session, drains)
        await server.stop()

    asyncio.run(run())


async def fetch(session, path, method="GET", authorization=None):
    headers = {"Authorization": authorization} if authorization is not None else {}
    async with session.request(method, path, headers=headers) as response:
        return response.status, await response.json()


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
@pytest.mark.parametrize("given", [None, "", "Bearer", "Bearer ", "Bearer secre", "Basic secret"])
@pytest.mark.parametrize(
    ("token", "message"), [("secret", TOKEN_WRONG), (None, NO_TOKEN_SET), ("", NO_TOKEN_SET)]
)
def test_without_a_valid_token_nothing_changes_and_the_reply_says_why(
    method, given, token, message
):
    async def scenario(session, drains):
        assert await fetch(session, "/v1/drain", method, given) == (403, {"message": message})
        assert drains == []

    run_admin(scenario, token=token)


def test_with_the_token_a_drain_starts_and_ends():
    async def scenario(session, drains):
        for method, draining in (("PUT", True), ("DELETE", False)):
            reply = await fetch(session, "/v1/drain", method, "Bearer secret")
            assert reply == (200, {"draining": draining})
        async with session.get("/v1/drain") as response:
            assert response.status == 405
        assert drains == [True, False]

    run_admin(scenario)


def test_without_rules_a_node_is_healthy_and_not_ready():
    async def scenario(session, drains):
        assert await fetch(session, "/healthz") == (200, {"healthy": True})
        assert await fetch(session, "/readyz") == (503, {"ready": False})
        assert (await fetch(session, "/v1/rules"))[0] == 503
        assert (await fetch(session, "/v1/state"))[1]["configuration"] == {"revision": 0}

    run_admin(scenario)


def test_the_state_has_members_limits_budgets_and_configuration():
    async def scenario(session, drains):
        assert await fetch(session, "/readyz") == (200, {"ready": True})
        _, state = await fetch(session, "/v1/state")
        assert state["members"] == {
            "hanbit": {"share": 3, "running": 2, "waiting": 0},
            "indice": {"share": 1, "running": 0, "waiting": 1},
        }
        assert state["limits"] == LIMITS.model_dump()
        assert state["budgets"]["region"]["burst_bytes"] == 35.0
        assert set(state["budgets"]["services"]) == {"tracking"}
        assert state["configuration"]["author"] == "kim"
        assert state["counters"] == {"collected": 1}
        _, rules = await fetch(session, "/v1/rules")
        assert (rules["revision"], rules["author"], rules["text"]) == (7, "kim", TEXT.decode())
        _, listed = await fetch(session, "/v1/peers")
        assert [(peer["node"], peer["state"]) for peer in listed["peers"]] == [("n1", "alive")]

    run_admin(scenario, make_rules())


def test_the_entry_does_not_serve_the_administration_api():
    async def run():
        counters = Counters()
        entry = build_entry(
            RulesInForce(lambda *call: None),
            None,
            EntryLimits(2000, 1000),
            counters,
            asyncio.get_running_loop().time,
            Tracer(0.0, random.Random(1), counters),
        )
        server = await start_http(entry, "127.0.0.1:0", 1000)
        async with aiohttp.ClientSession(f"http://127.0.0.1:{server.port}") as session:
            for path in ("/healthz", "/readyz", "/v1/state", "/v1/rules", "/v1/peers"):
                assert (await fetch(session, path))[0] == 404
            assert (await fetch(session, "/v1/drain", "PUT", "Bearer secret"))[0] == 404
        await server.stop()

    asyncio.run(run())
