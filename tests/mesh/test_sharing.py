"""Two nodes of a failure domain watch the store, and the others get its content from them."""

import asyncio

from helper import wait_until
from mesh_world import make_configuration, make_route, play
from ragwort_protocol import Document


async def grow(world, count=5, routes=1):
    """Start nodes in one failure domain, and wait until its watchers are chosen."""
    await configure(world, 1, routes)
    for _ in range(count):
        await world.add("s", domain="d")
    await world.settle()
    await wait_until(lambda: len(list_watchers(world)) == 2)
    await asyncio.sleep(0.3)


async def configure(world, version, routes=1):
    table = {f"a{number}": make_route("s", f"/a{number}/") for number in range(routes)}
    await world.store.put("config", "main", make_configuration(version, table))


def list_watchers(world):
    return [member for member in world.members if member.node._sharing.on_duty.is_set()]


def list_others(world):
    return [member for member in world.members if not member.node._sharing.on_duty.is_set()]


def get_versions(world):
    return {member.node._configuration.current.version for member in world.members}


def test_a_change_costs_the_store_a_call_a_watcher_and_reaches_every_node():
    async def scenario(world):
        await grow(world)
        before = len(world.store.calls)
        await configure(world, 2)
        await wait_until(lambda: get_versions(world) == {2})
        await asyncio.sleep(0.4)
        calls = [path for _, path in world.store.calls[before:]]
        assert len(calls) <= 2

    play(scenario, ())


def test_a_long_configuration_reaches_the_others_compressed():
    async def scenario(world):
        await grow(world)
        sent = []
        for member in list_watchers(world):
            for _, link in member.node._peers.list_links():
                link.send = record(link.send, sent)
        await configure(world, 2, routes=2000)
        await wait_until(lambda: get_versions(world) == {2})
        documents = [message for message in sent if isinstance(message, Document)]
        assert documents
        content = world.members[0].node._configuration.content
        assert all(len(document.content) < len(content) / 5 for document in documents)

    def record(send, sent):
        def keep(message):
            sent.append(message)
            return send(message)

        return keep

    play(scenario, ())


def test_watchers_that_the_store_turns_away_are_relieved_and_come_back():
    async def scenario(world):
        await grow(world)
        first = list_watchers(world)
        for member in first:
            member.node._sharing.note_served(False)
        await wait_until(lambda: len(list_watchers(world)) == 4)
        for member in first:
            member.node._sharing.note_served(True)
        await wait_until(lambda: list_watchers(world) == first)

    play(scenario, ())


def test_a_watcher_that_is_gone_is_replaced():
    async def scenario(world):
        await grow(world)
        gone = list_watchers(world)[0]
        world.members.remove(gone)
        gone.node._peers.close()
        for task in gone.node._tasks:
            task.cancel()
        await wait_until(lambda: len(list_watchers(world)) == 2)
        await configure(world, 2)
        await wait_until(lambda: get_versions(world) == {2})

    play(scenario, ())


def test_a_node_whose_peers_hand_nothing_on_reads_the_store():
    async def scenario(world):
        await grow(world)
        for member in world.members:
            member.node._sharing._hand_on = lambda link, revision: None
        await configure(world, 2)
        await wait_until(lambda: get_versions(world) == {2}, 2.5)

    play(scenario, ())


def test_a_node_whose_record_is_lost_is_told_and_stores_it_again_within_two_seconds():
    async def scenario(world):
        await grow(world)
        lost = list_others(world)[0]
        await world.store.remove("nodes", lost.settings.node)
        await wait_until(lambda: ("nodes", lost.settings.node) in world.store.objects, 2.0)
        others = [member for member in world.members if member is not lost]
        assert all(lost.settings.node in m.node._directory._list_valid() for m in others)

    play(scenario, ())


def test_nodes_that_start_together_find_each_other_without_watching():
    async def scenario(world):
        await configure(world, 1)
        await asyncio.gather(*(world.add("s", domain="d") for _ in range(6)))
        await world.settle()

    play(scenario, ())


def test_a_node_that_comes_later_is_found_by_its_link():
    async def scenario(world):
        await grow(world, 3)
        late = await world.add("s", domain="d")
        await world.settle()
        for member in list_others(world):
            if member is not late:
                assert late.settings.node in member.node._directory._list_valid()

    play(scenario, ())


def test_a_damaged_document_changes_nothing():
    async def scenario(world):
        await grow(world, 2)
        node = world.members[0].node
        link = node._peers.list_links()[0][1]
        node._sharing.receive(link, Document(99, b"not compressed", packed=True))
        assert node._configuration.current.version == 1

    play(scenario, ())
