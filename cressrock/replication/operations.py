"""Actions and results of replication's state machines.  No I/O.

Each state machine is a generator: it yields an action, receives the action's result through `send`, and
returns the outcome.  It reads no clock; its driver enforces time limits.
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
    """Kind of operation at a replica."""

    CLIENT = "client"  # the client's own request, including its conditional headers
    APPLY = "apply"  # apply a record under its version, with its payload if it has one
    INSPECT = "look"  # return the record of a path


@dataclass(frozen=True, slots=True)
class ReplicaOperation:
    """One operation at one replica, under a set's epoch.  `payload` is opaque to the state machines."""

    zone: str
    role: str
    epoch: int
    store_id: str
    kind: OperationKind
    record: Record | None = None  # to apply, or to inspect
    payload: Any = None


@dataclass(frozen=True, slots=True)
class ReplicaResult:
    """Result of an operation.  `reply` is the node's response as the driver represents it; None: denied.

    `unreachable`: attempts indicate that the replica cannot be reached, as opposed to an operation that was
    not scheduled in time.  `failed`: the node responded with an error (5xx), or its response could not be
    decoded or does not support replicas.
    """

    reply: Any = None
    may_have_run: bool = False
    unreachable: bool = False
    failed: bool = False
    rejection: Rejection | None = None
    epoch: int = 0  # newest that the node knows
    record: Record | None = None
    denial: Any = None  # the driver's own answer to the client, if no attempt got a response


@dataclass(frozen=True, slots=True)
class PerformOperations:
    """Perform operations concurrently; the result is a list of `ReplicaResult` in the same order."""

    operations: tuple[ReplicaOperation, ...]


@dataclass(frozen=True, slots=True)
class FetchRecord:
    """Read a record and its payload from a replica; the result is (Record, payload), or None on failure."""

    operation: ReplicaOperation


@dataclass(frozen=True, slots=True)
class EvictReplicas:
    """Evict replicas by a consensus decision; the result is the set decided then, or None on failure."""

    zones: tuple[str, ...]
    in_sync_set: InSyncSet


@dataclass(frozen=True, slots=True)
class RefreshSet:
    """Obtain a set of at least this epoch; the result is the set, or None on timeout."""

    min_epoch: int


@dataclass(frozen=True, slots=True)
class MarkCommitted:
    """Record that all replicas have a version; nodes are notified with later operations.  No result."""

    in_sync_set: InSyncSet
    version: Version


Action = PerformOperations | FetchRecord | EvictReplicas | RefreshSet | MarkCommitted


class Disposition(Enum):
    """How a client's request ended."""

    ANSWER = "answer"  # the node's response, in `result`
    REJECTED = "refused"  # nothing was executed: safe to retry
    FAILED = "failed"  # may have been executed


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """Outcome of a client's request.  `reason` is a word or two for logs."""

    disposition: Disposition
    result: ReplicaResult | None = None
    reason: str = ""


def answer(result: ReplicaResult) -> OperationOutcome:
    """Return the outcome that passes the node's response on to the client."""
    return OperationOutcome(Disposition.ANSWER, result)


def reject(reason: str, result: ReplicaResult | None = None) -> OperationOutcome:
    """Return the outcome of a request of which nothing was executed."""
    return OperationOutcome(Disposition.REJECTED, result, reason)


def fail(reason: str, result: ReplicaResult) -> OperationOutcome:
    """Return the outcome of a request that may have been executed."""
    return OperationOutcome(Disposition.FAILED, result, reason)


def reject_or_fail(reason: str, result: ReplicaResult) -> OperationOutcome:
    """Return the outcome when a replica did not respond: rejected only if nothing can have been executed."""
    return fail(reason, result) if result.may_have_run else reject(reason, result)


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """Safety rules of the state machines; tests disable one at a time to show that it is needed."""

    evict_before_ack: bool = True  # acknowledge without a replica only after the decision that evicts it
    settle_reads: bool = True  # bring an uncommitted record to all replicas before a read returns it


RequestSteps = Generator[Action, Any, OperationOutcome]
DEFAULT_SAFETY_RULES = SafetyRules()


def operation_at(
    in_sync_set: InSyncSet, zone: str, kind: OperationKind, record: Record | None = None, payload: Any = None
) -> ReplicaOperation:
    """Return an operation at a zone's replica, with the role, epoch and store id given by the set."""
    replica = in_sync_set.replica(zone)
    state = replica.state if replica is not None else ReplicaState.OUT_OF_SYNC
    role = PRIMARY_ROLE if zone == in_sync_set.primary else str(state)
    store_id = replica.store_id if replica is not None else ""
    return ReplicaOperation(zone, role, in_sync_set.epoch, store_id, kind, record, payload)
