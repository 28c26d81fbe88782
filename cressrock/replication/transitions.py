"""How the set of a shard's copies may change: pure functions from the set that stands to the next.

Each raises its epoch by one, and is proposed to the council against the very decree that it was made from
(compare and set), so that of two changes made from one set only one comes to stand.

Why nothing acknowledged is lost.  A write is acknowledged once every copy that writes (`Sync.writes`) of one
set has it.  The next set's copies that are *in* were in before, or were *joining*: and a joining copy comes
in only with a proof that, under this very epoch, the first copy refused all writes of older sets and all
that it then held was taken over.  So a copy that is *in* has every acknowledged write, and any of them may
be the next first one (PacificA's argument; Kafka's rule for its in-sync replicas is the same).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from cressrock.errors.replication import OnlyReplicaError, TransitionNotAllowedError
from cressrock.replication.in_sync_set import AcceptedLoss, InSyncSet, Replica, ReplicaState


@dataclass(frozen=True, slots=True)
class CatchUpProof:
    """That a joining copy has everything: `epoch` is the one under which the first copy's list was read."""

    zone: str
    epoch: int
    store_id: str


def initial_set(first: str, store_ids: dict[str, str], known: Sequence[int] = ()) -> InSyncSet:
    """Return the first set: the first copy alone is in, the others owe everything.

    `lives` names the store of each copy; `known` the epochs that the copies told.  Raises NotAllowed where a
    node has known a set before: which copy has all then only an operator may say.
    """
    if any(known):
        raise TransitionNotAllowedError(f"a copy knows the set {max(known)}, though none stands")
    copies = [
        Replica(zone, ReplicaState.IN_SYNC if zone == first else ReplicaState.OUT_OF_SYNC, life)
        for zone, life in store_ids.items()
    ]
    return InSyncSet(1, first, tuple(sorted(copies, key=lambda c: c.zone)))


def _changed(old: InSyncSet, zone: str, new: Replica, first: str | None = None) -> InSyncSet:
    copies = tuple(new if c.zone == zone else c for c in old.replicas)
    reign = old.epoch + 1 if first is not None else old.primary_since_epoch
    return InSyncSet(old.epoch + 1, first or old.primary, copies, old.accepted_losses, reign)


def _known(old: InSyncSet, zone: str) -> Replica:
    found = old.replica(zone)
    if found is None:
        raise TransitionNotAllowedError(f"the set {old.epoch} has no copy in {zone!r}")
    return found


def _owed(old: InSyncSet, copy: Replica) -> Replica:
    # What it had all of: the epoch in which it was last in; a joining copy still lacks what it lacked.
    since = old.epoch if copy.state is ReplicaState.IN_SYNC else copy.complete_epoch
    return msgspec.structs.replace(
        copy, state=ReplicaState.OUT_OF_SYNC, complete_epoch=since, evictions=copy.evictions + 1
    )


def evict(old: InSyncSet, zone: str) -> InSyncSet:
    """Put a copy out that cannot follow; only then may a write be acknowledged without it.

    Raises NotAllowed for the first copy (see `first_lost`) and for one that is out already.
    """
    copy = _known(old, zone)
    if zone == old.primary or copy.state is ReplicaState.OUT_OF_SYNC:
        raise TransitionNotAllowedError(f"{zone!r} cannot be put out of the set {old.epoch}")
    return _changed(old, zone, _owed(old, copy))


def replace_primary(old: InSyncSet, zone: str, order: Sequence[str] = ()) -> InSyncSet:
    """Let the next copy that is in become the first one, and put the lost one out.

    `order` names zones in order of preference.  Raises OnlyCopy where no other is in; NotAllowed.
    """
    copy = _known(old, zone)
    if zone != old.primary:
        raise TransitionNotAllowedError(f"{zone!r} is not the first copy of the set {old.epoch}")
    others = [z for z in old.read_zones if z != zone]
    if not others:
        raise OnlyReplicaError(f"{zone!r} has the only copy with every acknowledged write (set {old.epoch})")
    rank = {name: index for index, name in enumerate(order)}
    following = min(others, key=lambda z: (rank.get(z, len(rank)), z))
    return _changed(old, zone, _owed(old, copy), first=following)


def begin_joining(old: InSyncSet, zone: str, life: str) -> InSyncSet:
    """Let an owed copy have part in every write from now on; it is not read.  Raises NotAllowed.

    A store other than the one that was put out may lack anything: it owes everything from the beginning.
    """
    copy = _known(old, zone)
    if copy.state is not ReplicaState.OUT_OF_SYNC:
        raise TransitionNotAllowedError(f"{zone!r} is not owed in the set {old.epoch}")
    since = copy.complete_epoch if copy.store_id == life else 0
    return _changed(
        old,
        zone,
        msgspec.structs.replace(copy, state=ReplicaState.JOINING, store_id=life, complete_epoch=since),
    )


def readmit(old: InSyncSet, proof: CatchUpProof) -> InSyncSet:
    """Take a joining copy in.  Raises NotAllowed unless the proof was made under this very epoch."""
    copy = _known(old, proof.zone)
    if copy.state is not ReplicaState.JOINING or proof.epoch != old.epoch or proof.store_id != copy.store_id:
        raise TransitionNotAllowedError(
            f"{proof.zone!r} has no proof under the set {old.epoch} that it has everything"
        )
    return _changed(
        old, proof.zone, msgspec.structs.replace(copy, state=ReplicaState.IN_SYNC, complete_epoch=0)
    )


def forget_evictions(old: InSyncSet, zone: str) -> InSyncSet:
    """Forget how often a copy was put out.  Raises NotAllowed."""
    copy = _known(old, zone)
    return _changed(old, zone, msgspec.structs.replace(copy, evictions=0))


def force_primary(old: InSyncSet, zone: str, life: str) -> InSyncSet:
    """Let an operator make an owed copy the first and only one, with the loss named in the set.

    What was acknowledged since it was put out and lies only with the others may be lost; they owe, from now
    on, everything.  Raises NotAllowed for a copy that is in: no loss is needed then.
    """
    copy = _known(old, zone)
    if copy.state is ReplicaState.IN_SYNC:
        raise TransitionNotAllowedError(
            f"{zone!r} is in the set {old.epoch}: its first copy can move without a loss"
        )
    since = copy.complete_epoch if copy.store_id == life else 0
    copies = tuple(
        Replica(c.zone, ReplicaState.IN_SYNC, life, 0, c.evictions)
        if c.zone == zone
        else Replica(c.zone, ReplicaState.OUT_OF_SYNC, c.store_id, 0, c.evictions)
        for c in old.replicas
    )
    lost = (*old.accepted_losses, AcceptedLoss(old.primary, since, old.epoch))[-8:]
    return InSyncSet(old.epoch + 1, zone, copies, lost, old.epoch + 1)


def rejoin_delay_ms(times: int, least_ms: float, most_ms: float) -> float:
    """Return how long a copy stays out after being put out so often: doubled each time, bounded."""
    return min(most_ms, least_ms * 2.0 ** min(30, max(0, times - 1)))
