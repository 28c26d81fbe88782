"""What the replication's state machines ask for, and what comes of it.  Pure.

Each machine is a generator: it yields an action, is sent what came of it, and returns the outcome.  It reads
no clock; times in which something is to be done are for whoever runs it.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from cressrock.replication.headers import PRIMARY_ROLE, Rejection
from cressrock.replication.in_sync_set import InSyncSet, ReplicaState
from cressrock.replication.records import Record, Version


class OperationKind(Enum):
    """What to do at a replica."""

    CLIENT = "client"  # what the client asked for, conditions and all
    APPLY = "apply"  # apply a record: payload or none, under its version
    INSPECT = "look"  # return the record of a path


@dataclass(frozen=True, slots=True)
class ReplicaOperation:
    """One operation at one replica, under a set's epoch.  `payload` is a handle of whoever runs it."""

    zone: str
    role: str
    epoch: int
    store_id: str
    kind: OperationKind
    record: Record | None = None  # to apply, or to inspect
    payload: Any = None


@dataclass(frozen=True, slots=True)
class ReplicaResult:
    """What came of an operation.  `reply` is the node's answer, in the runner's own form; None: denied.

    `unreachable`: there is reason to think that the replica cannot be reached, beyond a turn that did not
    come in time.  `failed`: the node answered that it could not (5xx).
    """

    reply: Any = None
    may_have_run: bool = False
    unreachable: bool = False
    failed: bool = False
    rejection: Rejection | None = None
    epoch: int = 0  # the node's
    record: Record | None = None
    denial: Any = None  # the runner's own answer to the client, if nothing came of the attempts


@dataclass(frozen=True, slots=True)
class PerformOperations:
    """Have operations done side by side; answered by as many `ReplicaResult`."""

    operations: tuple[ReplicaOperation, ...]


@dataclass(frozen=True, slots=True)
class FetchRecord:
    """Have a record's payload read from a replica; answered by (Record, payload) or None."""

    operation: ReplicaOperation


@dataclass(frozen=True, slots=True)
class EvictReplicas:
    """Have replicas evicted from the set by decision; answered by the set that then stands, or None."""

    zones: tuple[str, ...]
    in_sync_set: InSyncSet


@dataclass(frozen=True, slots=True)
class RefreshSet:
    """Get a set of at least this epoch; answered by it, or None if none came in time."""

    min_epoch: int


@dataclass(frozen=True, slots=True)
class MarkCommitted:
    """Note that all replicas have a version: they are told with what goes to them anyway.  No answer."""

    in_sync_set: InSyncSet
    version: Version


Action = PerformOperations | FetchRecord | EvictReplicas | RefreshSet | MarkCommitted


class Disposition(Enum):
    """How a request ended."""

    ANSWER = "answer"  # the node's answer, in `result`
    REJECTED = "refused"  # nothing ran: a retry is harmless
    FAILED = "failed"  # may have run


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """What to answer.  `reason` is for logs: a word or two."""

    disposition: Disposition
    result: ReplicaResult | None = None
    reason: str = ""


def answer(result: ReplicaResult) -> OperationOutcome:
    """Return that the node's answer is the client's."""
    return OperationOutcome(Disposition.ANSWER, result)


def reject(reason: str, result: ReplicaResult | None = None) -> OperationOutcome:
    """Return that nothing ran."""
    return OperationOutcome(Disposition.REJECTED, result, reason)


def fail(reason: str, result: ReplicaResult) -> OperationOutcome:
    """Return that something may have run."""
    return OperationOutcome(Disposition.FAILED, result, reason)


def unanswered(reason: str, result: ReplicaResult) -> OperationOutcome:
    """Return what a replica's missing answer means: rejected only if nothing can have run."""
    return fail(reason, result) if result.may_have_run else reject(reason, result)


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """What the machines heed; a test switches one off to see that it is needed."""

    evict_before_ack: bool = True  # acknowledge without a replica only after the decision that evicts it
    settle_reads: bool = True  # an uncommitted record is brought to all replicas before it is answered


RequestSteps = Generator[Action, Any, OperationOutcome]
DEFAULT_SAFETY_RULES = SafetyRules()


def operation_at(
    in_sync_set: InSyncSet, zone: str, kind: OperationKind, record: Record | None = None, payload: Any = None
) -> ReplicaOperation:
    """Return an operation at a replica, as a set says of it."""
    replica = in_sync_set.replica(zone)
    state = replica.state if replica is not None else ReplicaState.OUT_OF_SYNC
    role = PRIMARY_ROLE if zone == in_sync_set.primary else str(state)
    store_id = replica.store_id if replica is not None else ""
    return ReplicaOperation(zone, role, in_sync_set.epoch, store_id, kind, record, payload)
