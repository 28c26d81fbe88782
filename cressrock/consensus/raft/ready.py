"""The batch that a replica returns to its caller to persist, send and apply, in that order."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.consensus.raft.messages import LogEntry, RaftMessage
from cressrock.consensus.raft.persistent_state import HardState, Snapshot

ReadToken = int | str


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A confirmed read: it may be answered from a state with all entries up to `index` applied."""

    token: ReadToken
    index: int


@dataclass(frozen=True, slots=True)
class Ready:
    """A batch that the caller must process in this order.

    1. Persist, in one transaction: `hard_state`; `snapshot` (and delete entries up to its index); delete
       entries from `truncate_from` on; append `entries`.  If this fails, discard the node and the batch and
       create a new node from the store: nothing of the batch has been sent.
    2. Send `messages`.  They may be lost, duplicated or reordered.
    3. If `restore_snapshot` is set, replace the state machine by `snapshot`.  Apply `committed`, answer
       `confirmed_reads`, and have the requesters of `lost_reads` retry.
    4. Call `RaftNode.advance(ready)`.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore_snapshot: bool = False
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    messages: tuple[tuple[str, RaftMessage], ...] = ()
    committed: tuple[LogEntry, ...] = ()
    confirmed_reads: tuple[ConfirmedRead, ...] = ()
    lost_reads: tuple[ReadToken, ...] = ()

    @property
    def must_persist(self) -> bool:
        """Whether step 1 has anything to write."""
        return bool(self.hard_state or self.snapshot or self.entries or self.truncate_from is not None)
