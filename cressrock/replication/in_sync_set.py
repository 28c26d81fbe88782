"""The in-sync set of one shard's replicas, stored as the value of a consensus decision.  No I/O.

The model is PacificA's (Lin, Yang, Zhang, Zhou, *PacificA: Replication in Log-Based Distributed Storage
Systems*, MSR-TR-2008-25): a replica set is numbered by an epoch that grows with each change and is decided
outside the data path; one replica, the primary, orders writes.  Two things differ: edges send the writes to
the replicas (nodes do not communicate with each other), and writes are ordered by a version for each path
instead of by a log.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Annotated

import msgspec

from cressrock.errors.replication import InvalidSetError, UnknownSetVersionError

FORMAT_VERSION = 1  # first byte of a decision's value
MAX_REPLICAS = 8  # of one shard; each additional replica adds one node write to every client write
MAX_ACCEPTED_LOSSES = 8  # kept in a set, newest last

Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Zone = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
StoreId = Annotated[str, msgspec.Meta(max_length=64)]


class ReplicaState(StrEnum):
    """State of a replica within its set."""

    IN_SYNC = "in"  # has every acknowledged write; may be read
    JOINING = "joining"  # receives every new write but still lacks older ones; must not be read
    OUT_OF_SYNC = "owed"  # evicted, or never in sync: lacks newer writes


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One replica.  `complete_epoch` is the last epoch of which it had every write (0: none)."""

    zone: Zone
    state: ReplicaState
    store_id: StoreId = ""
    complete_epoch: Counter = 0
    evictions: Counter = 0  # number of evictions; determines the delay before it joins again


class AcceptedLoss(msgspec.Struct, frozen=True, array_like=True):
    """A data loss that an operator accepted by forcing a primary in place of the one in `zone`.

    Writes acknowledged after `complete_epoch`, up to and including `epoch` (that of the replaced set), may be
    lost if the forced primary lacks them.
    """

    zone: Zone
    complete_epoch: Counter
    epoch: Counter


class InSyncSet(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of one shard: value of the decision `sync/VOLUME/SHARD`.  Each change raises `epoch`."""

    epoch: Annotated[int, msgspec.Meta(ge=1, le=2**62)]
    primary: Zone
    replicas: Annotated[tuple[Replica, ...], msgspec.Meta(min_length=1, max_length=MAX_REPLICAS)]
    accepted_losses: Annotated[tuple[AcceptedLoss, ...], msgspec.Meta(max_length=MAX_ACCEPTED_LOSSES)] = ()
    primary_since_epoch: Counter = 1

    def replica(self, zone: str) -> Replica | None:
        """Return a zone's replica, None if the set has none there."""
        return next((replica for replica in self.replicas if replica.zone == zone), None)

    def zones_in(self, *states: ReplicaState) -> tuple[str, ...]:
        """Return the zones whose replicas are in one of these states, in the order of `replicas`."""
        return tuple(replica.zone for replica in self.replicas if replica.state in states)

    @property
    def write_zones(self) -> tuple[str, ...]:
        """The zones that must store a write before it is acknowledged, the primary's first."""
        taking_writes = self.zones_in(ReplicaState.IN_SYNC, ReplicaState.JOINING)
        return (self.primary, *(zone for zone in taking_writes if zone != self.primary))

    @property
    def read_zones(self) -> tuple[str, ...]:
        """The zones whose replicas may serve reads."""
        return self.zones_in(ReplicaState.IN_SYNC)


def set_topic(volume: str, shard: int) -> str:
    """Return the decision topic of a shard's set; `shard` is its index in the volume."""
    return f"sync/{volume}/{shard}"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(InSyncSet)


def encode_set(in_sync_set: InSyncSet) -> bytes:
    """Encode a set as a decision's value: the format version byte, then MessagePack."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(in_sync_set)


def decode_set(data: bytes) -> InSyncSet:
    """Decode a decision's value; fields appended by a newer release are ignored.

    Raises InvalidSetError, UnknownSetVersionError.
    """
    if data and data[0] > FORMAT_VERSION:
        raise UnknownSetVersionError(
            f"in-sync set has format version {data[0]}, which this release does not support"
        )
    if not data or data[0] != FORMAT_VERSION:
        raise InvalidSetError("not an encoded in-sync set: empty, or wrong format version")
    try:
        in_sync_set = _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidSetError(f"in-sync set cannot be decoded: {error}") from None
    zones = [replica.zone for replica in in_sync_set.replicas]
    if len(set(zones)) != len(zones) or in_sync_set.primary not in in_sync_set.read_zones:
        raise InvalidSetError(
            f"in-sync set names a zone twice, or its primary {in_sync_set.primary!r} is not in sync"
        )
    return in_sync_set


def by_distance(zones: Iterable[str], own: str, regions: Mapping[str, str]) -> tuple[str, ...]:
    """Sort zones by distance from `own`: itself, others of its region, the rest; ties by name."""
    region = regions.get(own, "")

    def distance(zone: str) -> tuple[bool, bool, str]:
        return zone != own, regions.get(zone, "") != region or not region, zone

    return tuple(sorted(zones, key=distance))
