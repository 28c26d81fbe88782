"""What a replica hands to its caller: a batch to persist, send and apply in that order."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.consensus.raft.messages import LogEntry, RaftMessage
from cressrock.consensus.raft.persistent_state import HardState, Snapshot

ReadToken = int | str


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A confirmed read: whoever has applied everything up to `index` may answer it."""

    token: ReadToken
    index: int


@dataclass(frozen=True, slots=True)
class Ready:
    """A batch of what a caller owes, in this order.

    1. Persist, in one transaction: `hard_state`; `snapshot` (and drop entries up to its index); drop entries
       from `truncate_from` on; append `entries`.  If that fails the node is to be thrown away, with the
       batch, and made anew from what the store has: nothing of the batch was sent.
    2. Send `messages`.  Losing, repeating or reordering them is allowed.
    3. If `restore_snapshot`: replace the state machine by `snapshot`.  Apply `committed`, answer
       `confirmed_reads`, tell those who asked for `lost_reads` to ask again.
    4. `RaftNode.advance(ready)`.
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
        """Whether anything is to be written."""
        return bool(self.hard_state or self.snapshot or self.entries or self.truncate_from is not None)
