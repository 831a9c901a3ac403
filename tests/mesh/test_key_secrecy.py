"""A key stays at the entry: whole nodes, keys sent in any form, and servers that fail."""

import logging
import zlib

import aiohttp
from aiohttp import web
from helper import wait_until
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from mesh_cluster import HOST, make_configuration, make_route, run_scenario
from multidict import CIMultiDict
from ragwort_protocol import Document
from ragwort_standins.application import fail, shed
from ragwort_transport import ClientPool, _link


def break_off(request):
    request.transport.abort()
    return web.Response()


KEYS = st.text("abcXYZ019-._~+/=", min_size=12, max_size=40)
FORMS = ("Bearer {}", "bearer  {} ", "{}", "Basic {}", "Bearer {}, Bearer {}", "Bearer {} x")
CALLS = st.lists(
    st.tuples(
        st.sampled_from(("/a/x", "/b/x", "/open/x", "/none/x")),
        st.sampled_from(("GET", "POST")),
        st.lists(st.sampled_from(FORMS), min_size=1, max_size=2),
        st.integers(0, 2),
        st.sampled_from((lambda request: None, fail, shed, break_off)),
    ),
    min_size=8,
    max_size=24,
)


def make_content(version, key, holders):
    routes = {
        "a": make_route("s"),
        "b": make_route("s", "/b/", "non_idempotent"),
        "open": make_route("s", "/open/", authExempt=True),
    }
    tenants = {f"c{number}": {"apiKeys": [key]} for number in range(holders)}
    others = {f"other{number}": {"apiKeys": [f"{key}-{number}"]} for number in range(30)}
    return {**make_configuration(version, routes), "tenants": {**tenants, **others}}


class Capture:
    """Everything that nodes send to each other, to servers and to the store."""

    def __init__(self, monkeypatch):
        self.messages = []
        self.documents = 0
        self.requests = []
        encode, exchange = _link.encode_frame, ClientPool.exchange

        def encode_frame(message):
            self.messages.append(encode(message))
            if isinstance(message, Document):
                self.documents += 1
                content = message.content
                self.messages.append(zlib.decompress(content) if message.compressed else content)
            return encode(message)

        def record_exchange(pool, request, *words, **options):
            self.requests.append(bytes(request))
            return exchange(pool, request, *words, **options)

        monkeypatch.setattr(_link, "encode_frame", encode_frame)
        monkeypatch.setattr(ClientPool, "exchange", record_exchange)


async def send_calls(cluster, keys, calls):
    statuses = []
    for number, (path, method, forms, index, behaviour) in enumerate(calls):
        for member in cluster.members:
            member.application.response_override = behaviour
        headers = CIMultiDict({"Host": HOST, "Ragwortvalve-Attempt-Id": f"c{number}"})
        for form in forms:
            headers.add("Authorization", form.format(keys[index], keys[index]))
        member = cluster.members[number % len(cluster.members)]
        url = f"http://{member.entry}{path}"
        try:
            async with cluster.session.request(method, url, headers=headers) as reply:
                statuses.append(reply.status)
                body = await reply.read()
                assert not any(key.encode() in body for key in keys)
        except aiohttp.ClientError as error:
            raise AssertionError(f"call {number} got no response: {error}") from None
    return statuses


def get_versions(cluster):
    nodes = [member.node for member in cluster.members]
    return {node._configuration.current and node._configuration.current.version for node in nodes}


async def play(cluster, keys, calls, capture):
    """Replace a key, send calls before and after, and offer a version that must not be used."""
    await cluster.store.put("config", "main", make_content(1, keys[0], 1))
    for _ in range(3):
        await cluster.add("s", domain="d")
    await cluster.wait_until_linked()
    # Two nodes of a domain watch the store; the third then gets new versions from a peer.
    await wait_until(
        lambda: sum(m.node._peer_sync.watch_enabled.is_set() for m in cluster.members) == 2
    )
    await send_calls(cluster, keys, calls)
    await cluster.store.put("config", "main", make_content(2, keys[1], 1))
    await wait_until(lambda: get_versions(cluster) == {2} and capture.documents)
    await cluster.store.put("config", "main", make_content(3, keys[2], 2))
    unreadable = b'"event":"configuration-unreadable"'
    await wait_until(lambda: any(unreadable in line for line in list_lines(cluster)))
    await send_calls(cluster, keys, calls)
    for form in FORMS[:2]:
        assert await send_calls(cluster, keys, [("/a/x", "GET", [form], 1, lambda _: None)]) == [
            200
        ]
    assert get_versions(cluster) == {2}


def list_lines(cluster):
    return [line for m in cluster.members for line in list(m.node._telemetry.events._queue.queue)]


# Without shrinking, which would start a cluster for each of hundreds of examples.
@settings(max_examples=4, phases=[Phase.generate])
@given(st.tuples(KEYS, KEYS, KEYS).filter(lambda keys: len({*keys}) == 3), CALLS)
def check_key_secrecy(monkeypatch, caplog, keys, calls):
    async def scenario(cluster):
        with monkeypatch.context() as patches:
            capture = Capture(patches)
            await play(cluster, keys, calls, capture)
        kept = [
            *list_lines(cluster),
            *capture.messages,
            *capture.requests,
            *(member.node._telemetry.render() for member in cluster.members),
            *(member.node._configuration.content for member in cluster.members),
            caplog.text.encode(),
        ]
        assert sum(b'"event":"entry"' in line for line in kept) >= len(calls)
        found = [text for text in kept for key in keys if key.encode() in text]
        assert not found

    run_scenario(scenario, ())


def test_key_reaches_no_log_line_metric_message_or_server(monkeypatch, caplog):
    caplog.set_level(logging.DEBUG)
    check_key_secrecy(monkeypatch, caplog)
