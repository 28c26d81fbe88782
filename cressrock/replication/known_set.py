"""A shard's in-sync set as known from this process's cache of decisions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct, field

from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decisions import Expired
from cressrock.errors.replication import InvalidSetError, UnknownSetVersionError
from cressrock.replication.in_sync_set import InSyncSet, decode_set, set_topic


@dataclass(frozen=True, slots=True)
class ReplicaPlacement:
    """Where a volume's replicas are: for each zone its node shards, parallel to `shards`."""

    shards: tuple[int, ...]
    zones: Mapping[str, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class ReplicatedShard:
    """One shard of a volume; `index` is its position in the volume's list of shards."""

    volume: str
    index: int
    placement: ReplicaPlacement

    @property
    def topic(self) -> str:
        """The topic of the decisions on its set."""
        return set_topic(self.volume, self.index)

    def node_shard(self, zone: str) -> int:
        """Return the node shard that holds a zone's replica."""
        return self.placement.zones[zone][self.index]


@dataclass(frozen=True, slots=True)
class KnownSet:
    """A shard's set (None if unknown), its decision's version, and whether that decision is unexpired."""

    in_sync_set: InSyncSet | None
    version: int = 0
    is_current: bool = False


class SetReport(Struct):
    """A set as reported by the admin ports."""

    epoch: int
    primary: str = field(name="first")
    is_current: bool = field(name="counts")
    replicas: dict[str, str] = field(name="copies")  # states by zone
    accepted_losses: list[list[str | int]] = field(name="lost")


def known_set(cache: DecisionCache, topic: str) -> KnownSet:
    """Return a topic's set from the cache of decisions; it is not current if the decision has expired."""
    cached = cache.get(topic)
    decision = cached.decision if isinstance(cached, Expired) else cached
    if decision is None:
        return KnownSet(None)
    try:
        return KnownSet(decode_set(decision.value), decision.version, not isinstance(cached, Expired))
    except (InvalidSetError, UnknownSetVersionError):
        # Written by another release, or corrupt: treated as unknown, so that nothing is written under it.
        return KnownSet(None)


def report_set(known: KnownSet) -> SetReport | None:
    """Return a set as plain values for an admin port, None where the set is unknown."""
    in_sync_set = known.in_sync_set
    if in_sync_set is None:
        return None
    return SetReport(
        in_sync_set.epoch,
        in_sync_set.primary,
        known.is_current,
        {replica.zone: replica.state.value for replica in in_sync_set.replicas},
        [[loss.zone, loss.complete_epoch, loss.epoch] for loss in in_sync_set.accepted_losses],
    )


def report_sets(
    cache: DecisionCache, placements: Mapping[str, ReplicaPlacement]
) -> dict[str, SetReport | None]:
    """Return the reports of all volumes' sets by topic."""
    topics = [
        set_topic(volume, index)
        for volume, placement in placements.items()
        for index in range(len(placement.shards))
    ]
    return {topic: report_set(known_set(cache, topic)) for topic in topics}
