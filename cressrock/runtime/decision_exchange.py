"""Carries decisions between consensus, gossip and the process's decision cache.

A replica publishes committed decisions as gossip entries; every process caches those it receives.  A decision
that is too large for an entry is published as a reference and read from a replica.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

import anyio

from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decision_gossip import (
    DECISION_PREFIX,
    RENEWAL_PREFIX,
    DecisionPublisher,
    DecisionSubscriber,
)
from cressrock.consensus.decisions import Decision
from cressrock.errors import CressrockError
from cressrock.errors.consensus import InvalidDecisionError, NoQuorumError
from cressrock.gossip.store import GossipStore

GOSSIP_ENTRY_OVERHEAD_BYTES = 32  # of a gossip entry, besides its value


class DecisionReader(Protocol):
    """Reads decisions from the consensus replicas."""

    async def read(self, topic: str) -> Decision | None:
        """Return a topic's current decision, None if it has none.

        Raises NoQuorumError, InvalidDecisionError.
        """


class DecisionExchange:
    """Publishes a replica's decisions, caches received ones, fetches those published by reference."""

    def __init__(self, gossip: GossipStore, cache: DecisionCache, log: Any) -> None:
        """`gossip` carries the decisions; received ones are put into `cache`."""
        self._gossip, self._cache, self._log = gossip, cache, log
        self._subscriber = DecisionSubscriber()
        self._publisher = DecisionPublisher(gossip.settings.max_value_bytes - GOSSIP_ENTRY_OVERHEAD_BYTES)
        self._topics_to_fetch: set[str] = set()
        self._fetch_requested = anyio.Event()
        self.rejected = 0  # gossip entries that could not be decoded

    def publish(self, current: Iterable[Decision], changed: tuple[Decision, ...]) -> None:
        """Publish a replica's decisions as gossip entries, and cache the changed ones in this process."""
        by_topic = {decision.topic: decision for decision in current}
        by_topic |= {decision.topic: decision for decision in changed if decision.topic in by_topic}
        renewal = max((decision.renewal for decision in changed), default=0)
        for decision in changed:
            self._cache_decision(decision)
        for change in self._publisher.publish(by_topic.values(), renewal):
            if change.value is None:
                self._gossip.remove(change.key)
            else:
                self._gossip.put(change.key, change.value)

    @staticmethod
    def is_decision_key(key: str) -> bool:
        """Whether a gossip key is that of a decision or of a renewal."""
        return key.startswith((DECISION_PREFIX, RENEWAL_PREFIX))

    def receive_entry(self, key: str, value: bytes) -> None:
        """Cache the decisions in a gossip entry.

        Entries that cannot be decoded are counted, and the first one is logged.
        """
        try:
            decisions, topics = self._subscriber.receive_entry(key, value)
        except CressrockError as error:
            self.rejected += 1
            if self.rejected == 1:
                self._log.warning("decision.rejected", key=key, **error.fields())
            return
        for decision in decisions:
            self._cache.receive(decision)
        if topics:
            self._topics_to_fetch.update(topics)
            self._fetch_requested.set()

    async def fetch_referenced(self, reader: DecisionReader | None) -> None:
        """Read decisions published by reference from a replica, one at a time, until cancelled."""
        while True:
            await self._fetch_requested.wait()
            self._fetch_requested = anyio.Event()
            while self._topics_to_fetch and reader is not None:
                topic = min(self._topics_to_fetch)
                self._topics_to_fetch.discard(topic)
                try:
                    decision = await reader.read(topic)
                except (NoQuorumError, InvalidDecisionError):
                    continue  # retried at the next reference that any replica publishes
                if decision is not None:
                    self._cache_decision(decision)

    def _cache_decision(self, decision: Decision) -> None:
        for received in self._subscriber.receive_decision(decision):
            self._cache.receive(received)
