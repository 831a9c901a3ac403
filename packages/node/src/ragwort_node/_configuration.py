"""Maintains the rules in force on this node: fetches new revisions and notifies peers of them.

One task owns the state; it receives every input as a message through its inbox queue.
"""

import asyncio
import logging
import random
from collections import Counter

from ragwort_common import NodeId, Revision
from ragwort_policy import (
    UNKNOWN_DIGEST,
    PlacedPeer,
    RevisionId,
    RevisionState,
    RevisionStatus,
    adopt_revision,
    choose_notice_targets,
    choose_source,
    compare_revision,
    digest_document,
    drop_source,
    is_watcher,
    record_source,
    refuse_revision,
)
from ragwort_protocol import RevisionNotice
from ragwort_store import RULES_PATH, ObjectStore, decode_rules_document

from ragwort_node._initial_rules import fetch_newer
from ragwort_node._rules_messages import (
    FetchEnded,
    PeersAsked,
    PlatformRead,
    RepeatDue,
    RevisionReported,
    RulesMessage,
)
from ragwort_node._rules_types import (
    ConfigurationCallbacks,
    ConfigurationEvent,
    ConfigurationSettings,
    CurrentRules,
)
from ragwort_node._rules_watch import watch_rules

log = logging.getLogger(__name__)


class ConfigurationTask:
    """Owns the rules in force; ``run`` is the task, the other methods may be called at any time.

    Attributes
    ----------
    counts
        Number of times that each ``ConfigurationEvent`` happened.
    current
        The rules in force, or None before the first.
    """

    def __init__(
        self,
        own: PlacedPeer,
        store: ObjectStore,
        callbacks: ConfigurationCallbacks,
        rng: random.Random,
        settings: ConfigurationSettings = ConfigurationSettings(),  # noqa: B008
    ) -> None:
        self.counts: Counter[ConfigurationEvent] = Counter()
        self.current: CurrentRules | None = None
        self._own = own
        self._store = store
        self._callbacks = callbacks
        self._rng = rng
        self._settings = settings
        self._state = RevisionState()
        self._inbox: asyncio.Queue[RulesMessage] = asyncio.Queue()
        self._fetching = False
        self._older_version: int | None = None
        self._initial: list[CurrentRules] | None = []
        self._reported_forks: set[RevisionId] = set()

    def receive_notice(self, peer: NodeId, notice: RevisionNotice) -> None:
        """Queue a peer's notice of a revision."""
        revision_id = RevisionId(Revision(notice.revision), notice.digest)
        self._inbox.put_nowait(RevisionReported(peer, revision_id))

    def receive_revision(self, peer: NodeId, revision: Revision) -> None:
        """Queue a revision number from a peer's gossip, if it is newer than the one in force."""
        if revision > self._state.in_force.revision:
            self._inbox.put_nowait(RevisionReported(peer, RevisionId(revision, UNKNOWN_DIGEST)))

    async def run(self) -> None:
        """Process messages and watch the platform until cancelled."""
        async with asyncio.TaskGroup() as group:
            watching = watch_rules(
                self._store,
                self._is_watcher,
                self._inbox.put_nowait,
                self._rng,
                self._settings.watch,
            )
            group.create_task(watching)
            while True:
                self._handle(await self._inbox.get(), group)

    def _is_watcher(self) -> bool:
        # A node without rules reads the platform itself, since its peers may have none either.
        if self.current is None and not self._initial:
            return True
        peers = self._callbacks.list_peers()
        return is_watcher(self._own, peers, self._settings.watchers_per_domain)

    def _handle(self, message: RulesMessage, group: asyncio.TaskGroup) -> None:
        match message:
            case RevisionReported(peer, revision_id):
                self._report_fork(record_source(self._state, peer, revision_id), revision_id)
            case FetchEnded(peer, data):
                self._fetching = False
                self._handle_fetched(peer, data, group)
            case PeersAsked(newer):
                self._adopt_initial(newer, group)
            case RepeatDue(revision_id):
                if self._state.in_force == revision_id:
                    self._send_notices(revision_id, crosses_regions=False)
            case PlatformRead(data, version):
                self._handle_platform_read(data, version, group)
        self._start_fetch(group)

    def _handle_fetched(self, peer: NodeId, data: bytes | None, group: asyncio.TaskGroup) -> None:
        drop_source(self._state, peer)
        if data is None:
            self.counts[ConfigurationEvent.FETCH_FAILED] += 1
            return
        self.counts[ConfigurationEvent.FETCHED] += 1
        self._process_document(data, group, is_from_platform=False)

    def _handle_platform_read(
        self, data: bytes | None, version: int, group: asyncio.TaskGroup
    ) -> None:
        status = RevisionStatus.OLDER
        if data is not None:
            status = self._process_document(data, group, is_from_platform=True)
        if status is not RevisionStatus.OLDER or self.current is None:
            self._older_version = None
            return
        self.counts[ConfigurationEvent.PLATFORM_OLDER] += 1
        self._older_version = version
        group.create_task(self._write_back(version))

    def _process_document(
        self, data: bytes, group: asyncio.TaskGroup, is_from_platform: bool
    ) -> RevisionStatus | None:
        """Bring a document into force if it is newer and valid; None when it is malformed."""
        decoded = decode_rules_document(data)
        if decoded.is_error():
            self.counts[ConfigurationEvent.MALFORMED] += 1
            log.error("a stored rules document is malformed: %s", decoded.error.message)
            return None
        document = decoded.ok
        revision_id = RevisionId(document.revision, digest_document(data))
        status = compare_revision(self._state, revision_id)
        self._report_fork(status, revision_id)
        if status is RevisionStatus.NEWER:
            rules = CurrentRules(revision_id, document, data)
            if self._initial is None:
                self._adopt_document(rules, is_from_platform)
            else:
                self._hold_initial(self._initial, rules, group)
        return status

    def _hold_initial(
        self, initial: list[CurrentRules], rules: CurrentRules, group: asyncio.TaskGroup
    ) -> None:
        initial.append(rules)
        if len(initial) == 1:
            group.create_task(self._ask_peers(rules.revision_id.revision))

    def _adopt_initial(self, newer: list[bytes], group: asyncio.TaskGroup) -> None:
        for data in newer:
            self._process_document(data, group, is_from_platform=False)
        held, self._initial = self._initial or [], None
        for rules in sorted(held, key=lambda rules: rules.revision_id, reverse=True):
            if compare_revision(self._state, rules.revision_id) is RevisionStatus.NEWER:
                self._adopt_document(rules, is_from_platform=False)

    def _adopt_document(self, rules: CurrentRules, is_from_platform: bool) -> None:
        if not self._callbacks.accept(rules.document):
            refuse_revision(self._state, rules.revision_id)
            self.counts[ConfigurationEvent.REFUSED] += 1
            log.error(
                "rules revision %d is broken and stays out of force", rules.revision_id.revision
            )
            return
        adopt_revision(self._state, rules.revision_id)
        self.current = rules
        self.counts[ConfigurationEvent.ADOPTED] += 1
        log.info(
            "rules revision %d by %s in force", rules.revision_id.revision, rules.document.author
        )
        self._callbacks.publish(rules.document)
        self._send_notices(rules.revision_id, is_from_platform)
        delay_s = self._settings.notice_repeat_ms / 1000
        repeat = RepeatDue(rules.revision_id)
        asyncio.get_running_loop().call_later(delay_s, self._inbox.put_nowait, repeat)

    def _send_notices(self, revision_id: RevisionId, crosses_regions: bool) -> None:
        notice = RevisionNotice(revision_id.revision, revision_id.digest)
        targets = choose_notice_targets(
            self._own,
            self._callbacks.list_peers(),
            self._rng,
            self._settings.notice_fanout,
            crosses_regions,
        )
        for peer in targets:
            self._callbacks.send_notice(peer, notice)
        self.counts[ConfigurationEvent.NOTICE_SENT] += len(targets)

    def _report_fork(self, status: RevisionStatus, revision_id: RevisionId) -> None:
        if status is not RevisionStatus.FORKED:
            return
        self.counts[ConfigurationEvent.FORKED] += 1
        if revision_id not in self._reported_forks:
            self._reported_forks = {revision_id}
            log.error("rules revision %d exists with another content", revision_id.revision)

    def _start_fetch(self, group: asyncio.TaskGroup) -> None:
        source = choose_source(self._state)
        if source is None or self._fetching:
            return
        self._fetching = True
        peer, revision_id = source
        group.create_task(self._fetch(peer, revision_id.revision))

    async def _ask_peers(self, revision: Revision) -> None:
        newer = await fetch_newer(
            self._own.node_id,
            revision,
            self._callbacks.list_peers,
            self._callbacks.has_peer_list,
            self._fetch_in_time,
            self._rng,
            self._settings.settle_ms / 1000,
        )
        self._inbox.put_nowait(PeersAsked(newer))

    async def _fetch(self, peer: NodeId, at_least: Revision) -> None:
        data = await self._fetch_in_time(peer, at_least)
        self._inbox.put_nowait(FetchEnded(peer, data))

    async def _fetch_in_time(self, peer: NodeId, at_least: Revision) -> bytes | None:
        try:
            async with asyncio.timeout(self._settings.fetch_timeout_ms / 1000):
                return await self._callbacks.fetch_document(peer, at_least)
        except TimeoutError:
            log.debug("timed out fetching rules from peer %s", peer)
            return None

    async def _write_back(self, version: int) -> None:
        """Write the rules in force back to a platform that was restored from an older copy."""
        # Usually the read only raced with a peer's notice, or another watcher writes first. A later
        # read during the delay then shows it.
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * self._settings.write_back_ms / 1000)
        rules = self.current
        if self._older_version != version or rules is None:
            return
        if version:
            written = await self._store.update(RULES_PATH, rules.data, version)
        else:
            written = await self._store.create(RULES_PATH, rules.data)
        if written.is_ok():
            self.counts[ConfigurationEvent.WRITTEN_BACK] += 1
            log.warning(
                "the platform had older rules; wrote revision %d", rules.revision_id.revision
            )
