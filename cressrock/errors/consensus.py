"""Errors of the consensus group: its replicas, their messages and stores, and its decisions."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class NotLeaderError(CressrockError):
    """This replica is not the leader, or can no longer be sure of it; `leader_hint` names a likely one."""

    code: ClassVar[str] = "council-not-leader"
    remedy: ClassVar[str] = "ask the seat that is named; with none named, see if a majority of seats runs"

    def __init__(self, text: str, leader_hint: str = "") -> None:
        """`leader_hint` is the name of the replica believed to be the leader, "" if none is known."""
        super().__init__(text)
        self.leader_hint = leader_hint


class ConsensusBusyError(CressrockError):
    """The group's limit of undecided proposals is reached, or a proposal is too large."""

    code: ClassVar[str] = "council-busy"
    remedy: ClassVar[str] = "ask again later; if it lasts, look for seats that are cut off or have slow disks"


class MembershipChangeRefusedError(CressrockError):
    """A membership change was not started: another is in progress, or the new replica lacks log entries."""

    code: ClassVar[str] = "council-seats-refused"
    remedy: ClassVar[str] = "wait for the change under way, start the new seat, and ask again"


class InvalidMessageError(CressrockError):
    """A message between replicas was malformed, had an unknown version or came from another cluster."""

    code: ClassVar[str] = "council-message-refused"
    remedy: ClassVar[str] = "look for a process of another version or cluster at the address of a seat"

    def __init__(self, text: str, reason: str = "malformed") -> None:
        """`reason` is the label of a counter: malformed, version, cluster or size."""
        super().__init__(text)
        self.reason = reason


class LogDivergedError(CressrockError):
    """A leader tried to overwrite a committed entry of a replica: two groups use the same name."""

    code: ClassVar[str] = "council-diverged"
    remedy: ClassVar[str] = (
        "stop this seat; its store is of another council (a store that was copied, lost or forced anew): "
        "clear it and let it join as a new seat under a new name"
    )


class ConsensusError(CressrockError):
    """An operation of the consensus group failed; the subtypes say why."""

    code = "council"
    remedy = "look at the status of each seat on its admin port"


class StoreError(ConsensusError):
    """A replica's store cannot be used; the replica does not participate."""

    code = "council-store"
    remedy = "keep the file as it is, and look at the disk and at the log lines before this one"


class StoreCorruptError(StoreError):
    """A replica's store is corrupt: a wrong checksum, an index without its entry, or a damaged database."""

    code = "council-store-torn"
    remedy = (
        "the other seats go on; put the file aside, look at the disk, and start this seat once with "
        "start = 'join': it joins as a new seat and fetches everything from the others"
    )


class StoreTooOldError(StoreError):
    """A replica's store has an old format that this version of the program no longer reads."""

    code = "council-store-older"
    remedy = "start this seat with the version before this one, or put the file aside and join as a new seat"


class StoreTooNewError(StoreError):
    """A replica's store, or a command in its log, was written by a newer version of the program."""

    code = "council-store-newer"
    remedy = "start this seat with the newer version; never downgrade a seat over a store that was upgraded"


class ForeignStoreError(StoreError):
    """The store belongs to another cluster, another replica or another program."""

    code = "council-store-foreign"
    remedy = "correct the path, cluster or seat's name in the settings; never rename a store to make it fit"


class StoreMissingError(StoreError):
    """The store of a replica that is a known member of its group is missing."""

    code = "council-store-lost"
    remedy = (
        "if the disk can still be mounted, mount it and start again; else start this seat once with "
        "start = 'join': it joins as a new seat, its former self is put out of the council"
    )


class StoreFullError(StoreError):
    """The disk of a replica is full: it could not persist data, so it stepped down and stopped responding."""

    code = "council-store-full"
    remedy = "make room on the seat's disk, then start the seat again; the other seats go on meanwhile"


class StoreLockedError(StoreError):
    """Another process has this store open and holds its lock."""

    code = "council-store-busy"
    remedy = "one process for a seat: end the other one, or correct the path"


class ReplicaRemovedError(ConsensusError):
    """This replica was removed from its group by a decision and no longer takes part."""

    code = "council-seat-removed"
    remedy = "if it is to sit again, put its store aside and start it once with start = 'join'"


class InvalidReplicaSetError(ConsensusError):
    """The replicas in the settings cannot form a group, or the requested change of them is not possible."""

    code = "council-seats-wrong"
    remedy = "name 3 or 5 seats, each once with its address, this one among them; change one at a time"


class PeerRejectedError(ConsensusError):
    """A connection to a peer was rejected: its cluster, generation, group or version differs."""

    code = "council-peer-parted"
    remedy = "compare cluster, seats and program versions of both; after a recovery, the old seats join anew"


class NoQuorumError(ConsensusError):
    """No majority of the replicas answered in time; the request may or may not still be decided."""

    code = "council-no-quorum"
    remedy = (
        "nothing moves until a majority of seats is up and sees one another; with a majority lost for good, "
        "see the way out in docs/council.md"
    )

    def __init__(self, text: str, waited_ms: float = 0, outcome_unknown: bool = True) -> None:
        """`waited_ms` is how long the caller waited; `outcome_unknown` is whether it may still be decided."""
        super().__init__(text)
        self.waited_ms = waited_ms
        self.outcome_unknown = outcome_unknown


class DecisionConflictError(ConsensusError):
    """A decision was conditional on a version that is not the current one."""

    code = "council-conflict"
    remedy = "none needed: whoever asked reads what stands and decides again"

    def __init__(self, text: str, version: int = 0) -> None:
        """`version` is the current version, 0 if there is none."""
        super().__init__(text)
        self.version = version


class DecisionTooLargeError(ConsensusError):
    """A decision exceeds the group's size limit, or there are too many topics."""

    code = "council-too-large"
    remedy = "raise the council's limits with a quorum up, or drop topics that are over"


class RequestForgottenError(ConsensusError):
    """A decision was retried so late that the group no longer knows whether it was applied."""

    code = "council-forgotten"
    remedy = "none needed: whoever asked reads what stands and decides again"


class InvalidDecisionError(ConsensusError):
    """A decision, command or snapshot of the consensus group could not be decoded."""

    code = "council-bad-bytes"
    remedy = "look for a foreign or damaged sender; with a newer version's bytes, upgrade this process"
