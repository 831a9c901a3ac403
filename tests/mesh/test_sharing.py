"""Two nodes of a failure domain watch the store, and the others get its content from them."""

import asyncio

from helper import wait_until
from mesh_cluster import make_configuration, make_route, run_scenario
from ragwort_protocol import Document


async def start_domain(cluster, count=5, routes=1):
    """Start nodes in one failure domain, and wait until its watchers are chosen."""
    await configure(cluster, 1, routes)
    for _ in range(count):
        await cluster.add("s", domain="d")
    await cluster.wait_until_linked()
    await wait_until(lambda: len(list_watchers(cluster)) == 2)
    await asyncio.sleep(0.3)


async def configure(cluster, version, routes=1):
    table = {f"a{number}": make_route("s", f"/a{number}/") for number in range(routes)}
    await cluster.store.put("config", "main", make_configuration(version, table))


def list_watchers(cluster):
    return [member for member in cluster.members if member.node._peer_sync.watch_enabled.is_set()]


def list_others(cluster):
    return [
        member for member in cluster.members if not member.node._peer_sync.watch_enabled.is_set()
    ]


def get_versions(cluster):
    return {member.node._configuration.current.version for member in cluster.members}


def test_change_reaches_every_node_with_one_store_call_per_watcher():
    async def scenario(cluster):
        await start_domain(cluster)
        before = len(cluster.store.calls)
        await configure(cluster, 2)
        await wait_until(lambda: get_versions(cluster) == {2})
        await asyncio.sleep(0.4)
        calls = [path for _, path in cluster.store.calls[before:]]
        assert len(calls) <= 2

    run_scenario(scenario, ())


def test_long_configuration_is_sent_compressed():
    async def scenario(cluster):
        await start_domain(cluster)
        sent = []
        for member in list_watchers(cluster):
            for _, link in member.node._peers.list_links():
                link.send = record(link.send, sent)
        await configure(cluster, 2, routes=2000)
        await wait_until(lambda: get_versions(cluster) == {2})
        documents = [message for message in sent if isinstance(message, Document)]
        assert documents
        content = cluster.members[0].node._configuration.content
        assert all(len(document.content) < len(content) / 5 for document in documents)

    def record(send, sent):
        def keep(message):
            sent.append(message)
            return send(message)

        return keep

    run_scenario(scenario, ())


def test_watchers_rejected_by_the_store_are_replaced_until_it_serves_them():
    async def scenario(cluster):
        await start_domain(cluster)
        first = list_watchers(cluster)
        for member in first:
            member.node._peer_sync.announce_store_status(False)
        await wait_until(lambda: len(list_watchers(cluster)) == 4)
        for member in first:
            member.node._peer_sync.announce_store_status(True)
        await wait_until(lambda: list_watchers(cluster) == first)

    run_scenario(scenario, ())


def test_stopped_watcher_is_replaced():
    async def scenario(cluster):
        await start_domain(cluster)
        gone = list_watchers(cluster)[0]
        cluster.members.remove(gone)
        gone.node._peers.close()
        for task in gone.node._tasks:
            task.cancel()
        await wait_until(lambda: len(list_watchers(cluster)) == 2)
        await configure(cluster, 2)
        await wait_until(lambda: get_versions(cluster) == {2})

    run_scenario(scenario, ())


def test_node_reads_the_store_if_no_peer_sends_the_document():
    async def scenario(cluster):
        await start_domain(cluster)
        for member in cluster.members:
            member.node._peer_sync._send_document = lambda link, revision: None
        await configure(cluster, 2)
        await wait_until(lambda: get_versions(cluster) == {2}, 2.5)

    run_scenario(scenario, ())


def test_node_republishes_its_lost_record_within_two_seconds():
    async def scenario(cluster):
        await start_domain(cluster)
        lost = list_others(cluster)[0]
        await cluster.store.remove("nodes", lost.settings.node)
        await wait_until(lambda: ("nodes", lost.settings.node) in cluster.store.objects, 2.0)
        others = [member for member in cluster.members if member is not lost]
        assert all(lost.settings.node in m.node._directory._list_valid() for m in others)

    run_scenario(scenario, ())


def test_nodes_starting_together_link_without_watching():
    async def scenario(cluster):
        await configure(cluster, 1)
        await asyncio.gather(*(cluster.add("s", domain="d") for _ in range(6)))
        await cluster.wait_until_linked()

    run_scenario(scenario, ())


def test_later_node_is_discovered_through_its_link():
    async def scenario(cluster):
        await start_domain(cluster, 3)
        late = await cluster.add("s", domain="d")
        await cluster.wait_until_linked()
        for member in list_others(cluster):
            if member is not late:
                assert late.settings.node in member.node._directory._list_valid()

    run_scenario(scenario, ())


def test_corrupt_document_is_ignored():
    async def scenario(cluster):
        await start_domain(cluster, 2)
        node = cluster.members[0].node
        link = node._peers.list_links()[0][1]
        node._peer_sync.receive(link, Document(99, b"not compressed", compressed=True))
        assert node._configuration.current.version == 1

    run_scenario(scenario, ())
