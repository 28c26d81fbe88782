"""The permitted changes of a shard's in-sync set: pure functions from the current set to the next.

Each change raises the epoch by one and is proposed to the council by compare-and-set against the decision it
was derived from, so that of two changes derived from one set at most one is decided.

Why no acknowledged write is lost: a write is acknowledged once every replica of one set that takes writes
(`InSyncSet.write_zones`) has it.  A replica that is *in sync* in the next set was in sync before, or was
*joining*; and a joining replica is readmitted only with a proof that, under the current epoch, the primary
rejected all writes of older sets and everything it then held was copied.  So every replica that is *in sync*
has every acknowledged write, and any of them may be the next primary (PacificA's argument; Kafka's rule for
in-sync replicas is the same).  The exception is `force_primary`, by which an operator accepts a loss.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from cressrock.errors.replication import OnlyReplicaError, TransitionNotAllowedError
from cressrock.replication.in_sync_set import (
    MAX_ACCEPTED_LOSSES,
    AcceptedLoss,
    InSyncSet,
    Replica,
    ReplicaState,
)


@dataclass(frozen=True, slots=True)
class CatchUpProof:
    """Proof that a joining replica is complete: the primary's list was copied to it under `epoch`."""

    zone: str
    epoch: int
    store_id: str


def initial_set(primary: str, store_ids: Mapping[str, str], known_epochs: Sequence[int] = ()) -> InSyncSet:
    """Return the first set: only the primary is in sync, the others lack everything.

    `store_ids` gives the store id of each zone's replica, `known_epochs` the epochs that the nodes know.
    Raises TransitionNotAllowedError if a node knows an earlier set: then only an operator can tell which
    replica is complete.
    """
    if any(known_epochs):
        raise TransitionNotAllowedError(
            f"a replica already knows epoch {max(known_epochs)}, but no set is decided: not creating one"
        )
    replicas = [
        Replica(zone, ReplicaState.IN_SYNC if zone == primary else ReplicaState.OUT_OF_SYNC, store_id)
        for zone, store_id in store_ids.items()
    ]
    return InSyncSet(1, primary, tuple(sorted(replicas, key=lambda replica: replica.zone)))


def _with_replica(old: InSyncSet, new: Replica, primary: str | None = None) -> InSyncSet:
    """Return the next set, with `new` in place of its zone's replica, and the primary if one is given."""
    replicas = tuple(new if replica.zone == new.zone else replica for replica in old.replicas)
    epoch = old.epoch + 1
    since = epoch if primary is not None else old.primary_since_epoch
    return InSyncSet(epoch, primary or old.primary, replicas, old.accepted_losses, since)


def _require_replica(old: InSyncSet, zone: str) -> Replica:
    replica = old.replica(zone)
    if replica is None:
        raise TransitionNotAllowedError(
            f"the in-sync set of epoch {old.epoch} has no replica in zone {zone!r}"
        )
    return replica


def _as_evicted(old: InSyncSet, replica: Replica) -> Replica:
    # An in-sync replica has every write up to this epoch; a joining one is complete only as far as before.
    complete = old.epoch if replica.state is ReplicaState.IN_SYNC else replica.complete_epoch
    return msgspec.structs.replace(
        replica, state=ReplicaState.OUT_OF_SYNC, complete_epoch=complete, evictions=replica.evictions + 1
    )


def evict(old: InSyncSet, zone: str) -> InSyncSet:
    """Evict a replica that misses writes; only then may a write be acknowledged without it.

    Raises TransitionNotAllowedError for the primary (see `replace_primary`) and replicas already out of sync.
    """
    replica = _require_replica(old, zone)
    if zone == old.primary or replica.state is ReplicaState.OUT_OF_SYNC:
        raise TransitionNotAllowedError(
            f"zone {zone!r} cannot be evicted in epoch {old.epoch}: it is the primary's or out of sync"
        )
    return _with_replica(old, _as_evicted(old, replica))


def replace_primary(old: InSyncSet, zone: str, order: Sequence[str] = ()) -> InSyncSet:
    """Make another in-sync replica the primary, and evict the lost one in `zone`.

    `order` lists zones in order of preference.  Raises OnlyReplicaError if no other replica is in sync, and
    TransitionNotAllowedError if `zone` is not the primary's.
    """
    replica = _require_replica(old, zone)
    if zone != old.primary:
        raise TransitionNotAllowedError(
            f"zone {zone!r} does not have the primary of the in-sync set of epoch {old.epoch}"
        )
    others = [other for other in old.read_zones if other != zone]
    if not others:
        raise OnlyReplicaError(
            f"zone {zone!r} has the only in-sync replica (epoch {old.epoch}); it cannot be replaced"
        )
    rank = {name: index for index, name in enumerate(order)}
    primary = min(others, key=lambda other: (rank.get(other, len(rank)), other))
    return _with_replica(old, _as_evicted(old, replica), primary)


def begin_joining(old: InSyncSet, zone: str, store_id: str) -> InSyncSet:
    """Let a replica that is out of sync receive every write from now on; it is not read yet.

    If its store is not the one that was evicted, it may lack any record and counts as empty.  Raises
    TransitionNotAllowedError for a replica that is not out of sync.
    """
    replica = _require_replica(old, zone)
    if replica.state is not ReplicaState.OUT_OF_SYNC:
        raise TransitionNotAllowedError(
            f"the replica in zone {zone!r} is not out of sync in epoch {old.epoch}, so it cannot join"
        )
    complete = replica.complete_epoch if replica.store_id == store_id else 0
    joining = msgspec.structs.replace(
        replica, state=ReplicaState.JOINING, store_id=store_id, complete_epoch=complete
    )
    return _with_replica(old, joining)


def readmit(old: InSyncSet, proof: CatchUpProof) -> InSyncSet:
    """Make a joining replica in sync.

    Raises TransitionNotAllowedError unless it is joining and the proof is for this epoch and its store.
    """
    replica = _require_replica(old, proof.zone)
    is_joining = replica.state is ReplicaState.JOINING
    if not is_joining or proof.epoch != old.epoch or proof.store_id != replica.store_id:
        raise TransitionNotAllowedError(
            f"the replica in zone {proof.zone!r} has no proof for epoch {old.epoch} that it is complete"
        )
    return _with_replica(old, msgspec.structs.replace(replica, state=ReplicaState.IN_SYNC, complete_epoch=0))


def reset_evictions(old: InSyncSet, zone: str) -> InSyncSet:
    """Reset a replica's number of evictions.  Raises TransitionNotAllowedError if `zone` has no replica."""
    return _with_replica(old, msgspec.structs.replace(_require_replica(old, zone), evictions=0))


def force_primary(old: InSyncSet, zone: str, store_id: str) -> InSyncSet:
    """Make a replica that is not in sync the primary on an operator's order, and record the loss in the set.

    Writes acknowledged since it was last in sync, which only other replicas have, may be lost.  It becomes
    the only in-sync replica; the others count as empty.  Raises TransitionNotAllowedError for a replica that
    is in sync: it can become the primary without a loss.
    """
    replica = _require_replica(old, zone)
    if replica.state is ReplicaState.IN_SYNC:
        raise TransitionNotAllowedError(
            f"zone {zone!r} is in sync in epoch {old.epoch}: it can become the primary without a loss"
        )
    complete = replica.complete_epoch if replica.store_id == store_id else 0
    replicas = tuple(
        Replica(zone, ReplicaState.IN_SYNC, store_id, 0, other.evictions)
        if other.zone == zone
        else Replica(other.zone, ReplicaState.OUT_OF_SYNC, other.store_id, 0, other.evictions)
        for other in old.replicas
    )
    losses = (*old.accepted_losses, AcceptedLoss(old.primary, complete, old.epoch))[-MAX_ACCEPTED_LOSSES:]
    return InSyncSet(old.epoch + 1, zone, replicas, losses, old.epoch + 1)


def rejoin_delay_ms(evictions: int, min_ms: float, max_ms: float) -> float:
    """Return the delay before an evicted replica joins again: doubles with each eviction, up to `max_ms`."""
    return min(max_ms, min_ms * 2.0 ** min(30, max(0, evictions - 1)))
