"""The set of one shard's replicas, as a replicated decision holds it.  Pure.

The model is PacificA's (Lin, Yang, Zhang, Zhou, *PacificA: Replication in Log-Based Distributed Storage
Systems*, MSR-TR-2008-25): a set of replicas under a number that grows with each change, decided apart from
the data's way; one replica, the primary, orders writes.  What differs: edges carry the writes to the replicas
(nodes do not speak with each other), and order is kept by version for each path instead of by a log.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Annotated

import msgspec

from cressrock.errors.replication import InvalidSetError, UnknownSetVersionError

FORMAT_VERSION = 1  # of a decision's value, its first byte
MAX_REPLICAS = 8  # of one shard; each one more is one more write for every write
MAX_ACCEPTED_LOSSES = 8  # that a set remembers

Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Zone = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
StoreId = Annotated[str, msgspec.Meta(max_length=64)]


class ReplicaState(StrEnum):
    """What a replica is in its set."""

    IN_SYNC = "in"  # has every acknowledged write; may be read
    JOINING = "joining"  # takes part in every write, still lacks older ones; is not read
    OUT_OF_SYNC = "owed"  # evicted: lacks what was written since


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One replica: `complete_epoch` is the last epoch of which it had all (0: none)."""

    zone: Zone
    state: ReplicaState
    store_id: StoreId = ""
    complete_epoch: Counter = 0
    evictions: Counter = 0  # how often it was evicted, for the delay of joining again


class AcceptedLoss(msgspec.Struct, frozen=True, array_like=True):
    """What an operator accepted: acknowledged writes after `complete_epoch` only at `zone` may be lost."""

    zone: Zone
    complete_epoch: Counter
    epoch: Counter


class InSyncSet(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of one shard: the decision `sync/VOLUME/SHARD`.  `epoch` grows with each change."""

    epoch: Annotated[int, msgspec.Meta(ge=1, le=2**62)]
    primary: Zone
    replicas: Annotated[tuple[Replica, ...], msgspec.Meta(min_length=1, max_length=MAX_REPLICAS)]
    accepted_losses: Annotated[tuple[AcceptedLoss, ...], msgspec.Meta(max_length=MAX_ACCEPTED_LOSSES)] = ()
    primary_since_epoch: Counter = 1

    def replica(self, zone: str) -> Replica | None:
        """Return a zone's replica."""
        return next((replica for replica in self.replicas if replica.zone == zone), None)

    def zones_in(self, *states: ReplicaState) -> tuple[str, ...]:
        """Return the zones whose replicas are in one of these states, in the set's order."""
        return tuple(replica.zone for replica in self.replicas if replica.state in states)

    @property
    def write_zones(self) -> tuple[str, ...]:
        """The zones that must have a write before it is acknowledged, the primary's first."""
        taking_writes = self.zones_in(ReplicaState.IN_SYNC, ReplicaState.JOINING)
        return (self.primary, *(zone for zone in taking_writes if zone != self.primary))

    @property
    def read_zones(self) -> tuple[str, ...]:
        """The zones that may be read."""
        return self.zones_in(ReplicaState.IN_SYNC)


def set_topic(volume: str, shard: int) -> str:
    """Return the topic under which the set of a shard (its index in the volume) is decided."""
    return f"sync/{volume}/{shard}"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(InSyncSet)


def encode_set(in_sync_set: InSyncSet) -> bytes:
    """Return a set as a decision's value: the format's version, then MessagePack."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(in_sync_set)


def decode_set(data: bytes) -> InSyncSet:
    """Read a decision's value; fields that a newer program appended are ignored.

    Raises InvalidSetError, UnknownSetVersionError.
    """
    if data and data[0] > FORMAT_VERSION:
        raise UnknownSetVersionError(f"a set of copies of version {data[0]}")
    if not data or data[0] != FORMAT_VERSION:
        raise InvalidSetError("no set of copies")
    try:
        in_sync_set = _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidSetError(f"no set of copies: {error}") from None
    zones = [replica.zone for replica in in_sync_set.replicas]
    if len(set(zones)) != len(zones) or in_sync_set.primary not in in_sync_set.read_zones:
        raise InvalidSetError(
            f"a set whose first copy {in_sync_set.primary!r} is not in it, or with a zone twice"
        )
    return in_sync_set


def by_distance(zones: Iterable[str], own: str, regions: Mapping[str, str]) -> tuple[str, ...]:
    """Order zones from one of them: itself, its region's, the others; among equals by name."""
    region = regions.get(own, "")

    def distance(zone: str) -> tuple[bool, bool, str]:
        return zone != own, regions.get(zone, "") != region or not region, zone

    return tuple(sorted(zones, key=distance))
