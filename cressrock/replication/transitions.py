"""How the set of a shard's replicas may change: pure functions from the set that stands to the next.

Each raises its epoch by one, and is proposed to the council against the very decision that it was made from
(compare and set), so that of two changes made from one set only one comes to stand.

Why nothing acknowledged is lost.  A write is acknowledged once every replica that takes writes
(`InSyncSet.write_zones`) of one set has it.  The next set's replicas that are *in sync* were so before, or
were *joining*: and a joining replica is readmitted only with a proof that, under this very epoch, the primary
rejected all writes of older sets and all that it then held was taken over.  So a replica that is *in sync*
has every acknowledged write, and any of them may be the next primary (PacificA's argument; Kafka's rule for
its in-sync replicas is the same).
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
    """That a joining replica has everything: `epoch` is the one under which the primary's list was read."""

    zone: str
    epoch: int
    store_id: str


def initial_set(primary: str, store_ids: Mapping[str, str], known_epochs: Sequence[int] = ()) -> InSyncSet:
    """Return the first set: the primary alone is in sync, the others lack everything.

    `store_ids` names the store of each zone's replica; `known_epochs` those that the nodes know.  Raises
    TransitionNotAllowedError where a node has known a set before: which replica has all then only an operator
    may say.
    """
    if any(known_epochs):
        raise TransitionNotAllowedError(f"a copy knows the set {max(known_epochs)}, though none stands")
    replicas = [
        Replica(zone, ReplicaState.IN_SYNC if zone == primary else ReplicaState.OUT_OF_SYNC, store_id)
        for zone, store_id in store_ids.items()
    ]
    return InSyncSet(1, primary, tuple(sorted(replicas, key=lambda replica: replica.zone)))


def _changed(old: InSyncSet, new: Replica, primary: str | None = None) -> InSyncSet:
    """Return the next set, with a replica in place of its zone's former one."""
    replicas = tuple(new if replica.zone == new.zone else replica for replica in old.replicas)
    epoch = old.epoch + 1
    since = epoch if primary is not None else old.primary_since_epoch
    return InSyncSet(epoch, primary or old.primary, replicas, old.accepted_losses, since)


def _replica(old: InSyncSet, zone: str) -> Replica:
    replica = old.replica(zone)
    if replica is None:
        raise TransitionNotAllowedError(f"the set {old.epoch} has no copy in {zone!r}")
    return replica


def _evicted(old: InSyncSet, replica: Replica) -> Replica:
    # What it had all of: the epoch in which it was last in sync; a joining one still lacks what it lacked.
    complete = old.epoch if replica.state is ReplicaState.IN_SYNC else replica.complete_epoch
    return msgspec.structs.replace(
        replica, state=ReplicaState.OUT_OF_SYNC, complete_epoch=complete, evictions=replica.evictions + 1
    )


def evict(old: InSyncSet, zone: str) -> InSyncSet:
    """Evict a replica that cannot follow; only then may a write be acknowledged without it.

    Raises TransitionNotAllowedError for the primary (see `replace_primary`) and for one that is out already.
    """
    replica = _replica(old, zone)
    if zone == old.primary or replica.state is ReplicaState.OUT_OF_SYNC:
        raise TransitionNotAllowedError(f"{zone!r} cannot be put out of the set {old.epoch}")
    return _changed(old, _evicted(old, replica))


def replace_primary(old: InSyncSet, zone: str, order: Sequence[str] = ()) -> InSyncSet:
    """Let the next replica that is in sync become the primary, and evict the lost one.

    `order` names zones in order of preference.  Raises OnlyReplicaError where no other is in sync, and
    TransitionNotAllowedError where `zone` is not the primary's.
    """
    replica = _replica(old, zone)
    if zone != old.primary:
        raise TransitionNotAllowedError(f"{zone!r} is not the first copy of the set {old.epoch}")
    others = [other for other in old.read_zones if other != zone]
    if not others:
        raise OnlyReplicaError(f"{zone!r} has the only copy with every acknowledged write (set {old.epoch})")
    rank = {name: index for index, name in enumerate(order)}
    primary = min(others, key=lambda other: (rank.get(other, len(rank)), other))
    return _changed(old, _evicted(old, replica), primary)


def begin_joining(old: InSyncSet, zone: str, store_id: str) -> InSyncSet:
    """Let an evicted replica take part in every write from now on; it is not read.

    A store other than the one that was evicted may lack anything: it lacks everything from the beginning.
    Raises TransitionNotAllowedError for a replica that is not evicted.
    """
    replica = _replica(old, zone)
    if replica.state is not ReplicaState.OUT_OF_SYNC:
        raise TransitionNotAllowedError(f"{zone!r} is not owed in the set {old.epoch}")
    complete = replica.complete_epoch if replica.store_id == store_id else 0
    joining = msgspec.structs.replace(
        replica, state=ReplicaState.JOINING, store_id=store_id, complete_epoch=complete
    )
    return _changed(old, joining)


def readmit(old: InSyncSet, proof: CatchUpProof) -> InSyncSet:
    """Take a joining replica in.

    Raises TransitionNotAllowedError unless the proof was made under this very epoch.
    """
    replica = _replica(old, proof.zone)
    is_joining = replica.state is ReplicaState.JOINING
    if not is_joining or proof.epoch != old.epoch or proof.store_id != replica.store_id:
        raise TransitionNotAllowedError(
            f"{proof.zone!r} has no proof under the set {old.epoch} that it has everything"
        )
    return _changed(old, msgspec.structs.replace(replica, state=ReplicaState.IN_SYNC, complete_epoch=0))


def forget_evictions(old: InSyncSet, zone: str) -> InSyncSet:
    """Forget how often a replica was evicted.  Raises TransitionNotAllowedError where there is none."""
    return _changed(old, msgspec.structs.replace(_replica(old, zone), evictions=0))


def force_primary(old: InSyncSet, zone: str, store_id: str) -> InSyncSet:
    """Let an operator make an evicted replica the primary and only one, with the loss named in the set.

    What was acknowledged since it was evicted and lies only with the others may be lost; they lack, from now
    on, everything.  Raises TransitionNotAllowedError for a replica that is in sync: no loss is needed then.
    """
    replica = _replica(old, zone)
    if replica.state is ReplicaState.IN_SYNC:
        raise TransitionNotAllowedError(
            f"{zone!r} is in the set {old.epoch}: its first copy can move without a loss"
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
    """Return how long a replica stays out after being evicted so often: doubled each time, bounded."""
    return min(max_ms, min_ms * 2.0 ** min(30, max(0, evictions - 1)))
