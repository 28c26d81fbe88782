"""Errors of the consensus: of its replicas, their messages, their stores, and of decisions."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class NotLeaderError(CressrockError):
    """This replica does not lead its group, or cannot be sure of it any more; `leader_hint` names who may."""

    code: ClassVar[str] = "council-not-leader"
    remedy: ClassVar[str] = "ask the seat that is named; with none named, see if a majority of seats runs"

    def __init__(self, text: str, leader_hint: str = "") -> None:
        """`leader_hint` is the name of the replica that is taken for the leader, "" if none is known."""
        super().__init__(text)
        self.leader_hint = leader_hint


class ConsensusBusyError(CressrockError):
    """The group has as much undecided as it may hold, or a proposal is larger than it may be."""

    code: ClassVar[str] = "council-busy"
    remedy: ClassVar[str] = "ask again later; if it lasts, look for seats that are cut off or have slow disks"


class MembershipChangeRefusedError(CressrockError):
    """A change of replicas was not begun: another is under way, or the new one does not have the log yet."""

    code: ClassVar[str] = "council-seats-refused"
    remedy: ClassVar[str] = "wait for the change under way, start the new seat, and ask again"


class InvalidMessageError(CressrockError):
    """A message between replicas was malformed, of an unknown version, or of another cluster."""

    code: ClassVar[str] = "council-message-refused"
    remedy: ClassVar[str] = "look for a process of another version or cluster at the address of a seat"

    def __init__(self, text: str, reason: str = "malformed") -> None:
        """`reason` is one word that a counter carries: malformed, version, cluster, size."""
        super().__init__(text)
        self.reason = reason


class LogDivergedError(CressrockError):
    """A leader asks a replica to change an entry that is committed: two groups share one name."""

    code: ClassVar[str] = "council-diverged"
    remedy: ClassVar[str] = (
        "stop this seat; its store is of another council (a store that was copied, lost or forced anew): "
        "clear it and let it join as a new seat under a new name"
    )


class ConsensusError(CressrockError):
    """Something of the consensus failed; the types below say what."""

    code = "council"
    remedy = "look at the status of each seat on its admin port"


class StoreError(ConsensusError):
    """A replica's store cannot be used; the replica takes no part."""

    code = "council-store"
    remedy = "keep the file as it is, and look at the disk and at the log lines before this one"


class StoreCorruptError(StoreError):
    """A replica's store is damaged: a checksum, an index without its entry, or the database itself."""

    code = "council-store-torn"
    remedy = (
        "the other seats go on; put the file aside, look at the disk, and start this seat once with "
        "start = 'join': it joins as a new seat and fetches everything from the others"
    )


class StoreTooOldError(StoreError):
    """A replica's store was written by an older program in a format that this one no longer reads."""

    code = "council-store-older"
    remedy = "start this seat with the version before this one, or put the file aside and join as a new seat"


class StoreTooNewError(StoreError):
    """A replica's store, or a command in its log, was written by a newer program than this one."""

    code = "council-store-newer"
    remedy = "start this seat with the newer version; never downgrade a seat over a store that was upgraded"


class ForeignStoreError(StoreError):
    """The store belongs to another cluster, another replica or another program."""

    code = "council-store-foreign"
    remedy = "correct the path, cluster or seat's name in the settings; never rename a store to make it fit"


class StoreMissingError(StoreError):
    """The group exists and knows this replica, but its store is not there."""

    code = "council-store-lost"
    remedy = (
        "if the disk can still be mounted, mount it and start again; else start this seat once with "
        "start = 'join': it joins as a new seat, its former self is put out of the council"
    )


class StoreFullError(StoreError):
    """The disk of a replica is full: what it was to keep is not kept, so it stepped down and is silent."""

    code = "council-store-full"
    remedy = "make room on the seat's disk, then start the seat again; the other seats go on meanwhile"


class StoreLockedError(StoreError):
    """Another process has this store open."""

    code = "council-store-busy"
    remedy = "one process for a seat: end the other one, or correct the path"


class ReplicaRemovedError(ConsensusError):
    """This replica was removed from its group by decision; it takes no part any more."""

    code = "council-seat-removed"
    remedy = "if it is to sit again, put its store aside and start it once with start = 'join'"


class InvalidReplicaSetError(ConsensusError):
    """The replicas in the settings cannot form a group, or cannot be changed like this."""

    code = "council-seats-wrong"
    remedy = "name 3 or 5 seats, each once with its address, this one among them; change one at a time"


class PeerRejectedError(ConsensusError):
    """A peer was rejected: another cluster, generation, group or version."""

    code = "council-peer-parted"
    remedy = "compare cluster, seats and program versions of both; after a recovery, the old seats join anew"


class NoQuorumError(ConsensusError):
    """No majority of the replicas answered in time; what was asked may or may not still be decided."""

    code = "council-no-quorum"
    remedy = (
        "nothing moves until a majority of seats is up and sees one another; with a majority lost for good, "
        "see the way out in docs/council.md"
    )

    def __init__(self, text: str, waited_ms: float = 0, outcome_unknown: bool = True) -> None:
        """`waited_ms` is how long was asked; `outcome_unknown`: it may still be decided."""
        super().__init__(text)
        self.waited_ms = waited_ms
        self.outcome_unknown = outcome_unknown


class DecisionConflictError(ConsensusError):
    """A decision that was to follow a certain version did not: another one is current."""

    code = "council-conflict"
    remedy = "none needed: whoever asked reads what stands and decides again"

    def __init__(self, text: str, version: int = 0) -> None:
        """`version` is the current one; 0 where there is none."""
        super().__init__(text)
        self.version = version


class DecisionTooLargeError(ConsensusError):
    """A decision is larger than the group keeps, or there are too many topics."""

    code = "council-too-large"
    remedy = "raise the council's limits with a quorum up, or drop topics that are over"


class RequestForgottenError(ConsensusError):
    """A decision was asked again so late that the group no longer knows whether it was applied."""

    code = "council-forgotten"
    remedy = "none needed: whoever asked reads what stands and decides again"


class InvalidDecisionError(ConsensusError):
    """Bytes that should be a decision, a command or a snapshot of the consensus are not."""

    code = "council-bad-bytes"
    remedy = "look for a foreign or damaged sender; with a newer version's bytes, upgrade this process"
