"""Publishes this process's counts and rollback, and merges what other processes publish by gossip."""

from __future__ import annotations

from itertools import product
from typing import Any

from cressrock.errors.rollout import RolloutError
from cressrock.gossip.messages import Origin
from cressrock.rollout.evidence import (
    ROLLBACK_KEY,
    LocalRollback,
    counts_key,
    encode,
    is_evidence_key,
)
from cressrock.rollout.interfaces import ClusterRuntime
from cressrock.rollout.participation import Participation
from cressrock.rollout.plan import MAX_STAGES


class EvidenceExchange:
    """Connects one process's participation in a rollout to gossip and the evidence channel."""

    def __init__(self, runtime: ClusterRuntime, class_count: int, log: Any) -> None:
        """`class_count` is the number of classes in the settings."""
        self._runtime, self._class_count, self._log = runtime, class_count, log
        self.rejected = 0  # entries that could not be decoded

    def publish_counts(self, participation: Participation) -> None:
        """Publish the counts that changed since the last call."""
        for key, value in participation.local.drain_changes():
            self._publish(participation, key, value)

    def publish_rollback(self, participation: Participation) -> None:
        """Publish that this process rolled back locally."""
        report = LocalRollback(bytes.fromhex(participation.digest), participation.rollback_reason)
        self._publish(participation, ROLLBACK_KEY, encode(report))

    def _publish(self, participation: Participation, key: str, value: bytes) -> None:
        self._runtime.evidence.publish(key, value)
        self._merge(participation, self._runtime.gossip.local, key, value)

    def withdraw(self, participation: Participation | None) -> None:
        """Remove the entries published for a former candidate; None: only a rollback report."""
        for key in participation.local.keys() if participation is not None else ():
            self._runtime.evidence.publish(key, None)
        self._runtime.evidence.publish(ROLLBACK_KEY, None)

    def on_gossip_change(self, participation: Participation | None, origin: Origin, key: str) -> None:
        """Merge an entry that changed in gossip; with an empty `key`, merge all entries again."""
        if participation is None or participation.fleet is None:
            return
        if not key:
            self.merge_all(participation)
        if not is_evidence_key(key):
            return
        value = self._runtime.gossip.value_of(key, origin)
        self._runtime.evidence.receive_gossip(origin, key, value)
        if value is not None:
            self._merge(participation, origin, key, value)

    def merge_all(self, participation: Participation) -> None:
        """Merge all counts and rollback reports in the gossip store."""
        class_stages = product(range(self._class_count), range(MAX_STAGES))
        for key in [ROLLBACK_KEY, *(counts_key(*class_stage) for class_stage in class_stages)]:
            for origin, value in self._runtime.gossip.values(key).items():
                self._runtime.evidence.receive_gossip(origin, key, value)
                self._merge(participation, origin, key, value)

    def _merge(self, participation: Participation, origin: Origin, key: str, value: bytes) -> None:
        if participation.fleet is None:
            return
        try:
            participation.fleet.merge(origin, key, value)
        except RolloutError as error:
            # Corrupt, or written by another release.  Ignoring it can only delay a verdict.
            self.rejected += 1
            if self.rejected == 1:
                self._log.warning("rollout.entry_rejected", origin=origin[0], **error.fields())
