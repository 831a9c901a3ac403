"""A store that comes back from an older copy."""

import pytest
from helper import wait_until
from mesh_cluster import make_configuration, make_route, run_scenario


async def configure(cluster, version):
    await cluster.store.put("config", "main", make_configuration(version, {"a": make_route("s")}))


async def start_domain(cluster, count):
    await configure(cluster, 1)
    for _ in range(count):
        await cluster.add("s", domain="d")
    await cluster.wait_until_linked()
    await wait_until(lambda: list_watchers(cluster))


def get_versions(cluster):
    return {member.node._configuration.current.version for member in cluster.members}


def list_watchers(cluster):
    return [member for member in cluster.members if member.node._peer_sync.watch_enabled.is_set()]


def list_published(cluster):
    return {name for kind, name in cluster.store.objects if kind == "nodes"}


def test_configuration_is_followed_after_revisions_are_given_out_again():
    async def scenario(cluster):
        await start_domain(cluster, 4)
        copy = cluster.store.copy_objects()
        for version in range(2, 8):
            await configure(cluster, version)
        await wait_until(lambda: get_versions(cluster) == {7})
        await cluster.store.restore(copy)
        await configure(cluster, 8)
        try:
            await wait_until(lambda: get_versions(cluster) == {8}, 6.0)
        except TimeoutError:
            pytest.fail("a configuration was taken for an older one")

    run_scenario(scenario, ())


def test_older_configuration_of_a_restored_store_is_not_activated():
    async def scenario(cluster):
        await start_domain(cluster, 3)
        copy = cluster.store.copy_objects()
        await configure(cluster, 2)
        await wait_until(lambda: get_versions(cluster) == {2})
        await cluster.store.restore(copy)
        await wait_until(lambda: all(m.node._store.era == 2 for m in list_watchers(cluster)))
        assert get_versions(cluster) == {2}
        await configure(cluster, 2)
        await configure(cluster, 3)
        await wait_until(lambda: get_versions(cluster) == {3})

    run_scenario(scenario, ())


def test_records_that_a_restored_store_has_lost_are_published_again():
    async def scenario(cluster):
        await configure(cluster, 1)
        copy = cluster.store.copy_objects()
        for _ in range(4):
            await cluster.add("s", domain="d")
        await cluster.wait_until_linked()
        await wait_until(lambda: list_watchers(cluster))
        names = {member.settings.node for member in cluster.members}
        await cluster.store.restore(copy)
        await wait_until(lambda: list_published(cluster) == names)
        # A node that starts now finds all others in the store.
        await cluster.add("s", domain="d")
        await cluster.wait_until_linked()

    run_scenario(scenario, ())
