"""What a leader knows of each other replica's log, and the quorum over such values."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cressrock.consensus.raft.persistent_state import Snapshot

NEVER = float("-inf")


class ProgressState(Enum):
    """How a leader sends to a replica.

    `PROBE`: one AppendEntries at a time until the logs are known to meet; `STREAM`: entries follow one
    another without waiting; `SNAPSHOT`: the chunks of a snapshot, one at a time.
    """

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """A leader's view of one voter or learner."""

    match_index: int = 0  # its log agrees with the leader's up to here
    next_index: int = 1  # the next entry to send
    state: ProgressState = ProgressState.PROBE
    probe_sent: bool = False  # PROBE: an AppendEntries is on its way
    # STREAM: the last indexes of the AppendEntries on their way.
    inflight_last_indexes: deque[int] = field(default_factory=deque)
    sent_commit: int = 0  # the commit index that was sent last
    acked_round: int = 0  # the latest heartbeat round it answered
    acked_at_ms: float = NEVER  # when the latest round it answered was begun, on the leader's clock
    tracked_since_ms: float = NEVER
    snapshot: Snapshot | None = None  # SNAPSHOT: what is being sent
    snapshot_offset: int = 0
    chunk_sent_at_ms: float = NEVER
    removal_index: int = 0  # the entry that removes it; it is dropped when it knows that this is committed

    def clone(self) -> Progress:
        """Return an independent copy."""
        return Progress(
            self.match_index, self.next_index, self.state, self.probe_sent, deque(self.inflight_last_indexes),
            self.sent_commit, self.acked_round, self.acked_at_ms, self.tracked_since_ms, self.snapshot,
            self.snapshot_offset, self.chunk_sent_at_ms, self.removal_index,
        )  # fmt: skip

    def key(self) -> tuple[object, ...]:
        """Return what matters of it when clocks do not, for the model checker's hash."""
        snapshot_index = self.snapshot.index if self.snapshot else 0
        return (
            self.match_index, self.next_index, self.state, self.probe_sent, tuple(self.inflight_last_indexes),
            self.sent_commit, self.acked_round, snapshot_index, self.snapshot_offset, self.removal_index,
        )  # fmt: skip

    def probe(self, next_index: int) -> None:
        """Go back to one message at a time, from `next_index`."""
        self.state, self.next_index = ProgressState.PROBE, next_index
        self.probe_sent, self.snapshot = False, None
        self.inflight_last_indexes.clear()

    def send_snapshot(self, snapshot: Snapshot | None) -> None:
        """Go over to sending a snapshot from its beginning."""
        self.state, self.snapshot, self.snapshot_offset = ProgressState.SNAPSHOT, snapshot, 0
        self.inflight_last_indexes.clear()

    def record_match(self, index: int) -> bool:
        """Record that its log agrees up to `index`; return whether that was not known before."""
        is_new = index > self.match_index
        if is_new:
            self.match_index = index
            while self.inflight_last_indexes and self.inflight_last_indexes[0] <= index:
                self.inflight_last_indexes.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)
        return is_new

    def may_send_entries(self, last_index: int, max_inflight: int) -> bool:
        """Whether a streaming replica lacks entries of a log up to `last_index` and may be sent more now."""
        return (
            self.state is ProgressState.STREAM
            and self.next_index <= last_index
            and len(self.inflight_last_indexes) < max_inflight
        )


def quorum_value(values: Iterable[float]) -> float:
    """Return the largest value that more than half of `values` reach."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
