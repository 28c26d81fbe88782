"""The leader's record of the progress of each other replica, and quorum values over such records."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cressrock.consensus.raft.persistent_state import Snapshot

NEVER_MS = float("-inf")


class ProgressState(Enum):
    """How a leader sends entries to a replica.

    `PROBE`: one AppendEntries at a time until the point where the logs match is known; `STREAM`: entries are
    pipelined without waiting for replies; `SNAPSHOT`: snapshot chunks, one at a time.
    """

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """A leader's view of one voter or learner."""

    match_index: int = 0  # last index known to match the leader's log
    next_index: int = 1  # index of the next entry to send
    state: ProgressState = ProgressState.PROBE
    probe_sent: bool = False  # PROBE: an AppendEntries is in flight
    # STREAM: the last index of each AppendEntries in flight.
    inflight_last_indexes: deque[int] = field(default_factory=deque)
    sent_commit: int = 0  # the last commit index sent
    acked_round: int = 0  # the latest heartbeat round acknowledged
    acked_at_ms: float = NEVER_MS  # start of the latest acknowledged round by the leader's clock
    tracked_since_ms: float = NEVER_MS
    snapshot: Snapshot | None = None  # SNAPSHOT: the snapshot being sent
    snapshot_offset: int = 0
    chunk_sent_at_ms: float = NEVER_MS
    removal_index: int = 0  # index of the entry that removes it; tracked until it knows the commit

    def clone(self) -> Progress:
        """Return a copy that can be changed independently; the snapshot is shared."""
        return Progress(
            self.match_index, self.next_index, self.state, self.probe_sent, deque(self.inflight_last_indexes),
            self.sent_commit, self.acked_round, self.acked_at_ms, self.tracked_since_ms, self.snapshot,
            self.snapshot_offset, self.chunk_sent_at_ms, self.removal_index,
        )  # fmt: skip

    def key(self) -> tuple[object, ...]:
        """Return the state that determines its behaviour, timing aside, for the model checker's hash."""
        snapshot_index = self.snapshot.index if self.snapshot else 0
        return (
            self.match_index, self.next_index, self.state, self.probe_sent, tuple(self.inflight_last_indexes),
            self.sent_commit, self.acked_round, snapshot_index, self.snapshot_offset, self.removal_index,
        )  # fmt: skip

    def probe(self, next_index: int) -> None:
        """Switch to PROBE at `next_index`: one message at a time."""
        self.state, self.next_index = ProgressState.PROBE, next_index
        self.probe_sent, self.snapshot = False, None
        self.inflight_last_indexes.clear()

    def send_snapshot(self, snapshot: Snapshot | None) -> None:
        """Switch to SNAPSHOT: send `snapshot` from its first byte."""
        self.state, self.snapshot, self.snapshot_offset = ProgressState.SNAPSHOT, snapshot, 0
        self.inflight_last_indexes.clear()

    def record_match(self, index: int) -> bool:
        """Record that the log matches up to `index`; return whether this is new information."""
        is_new = index > self.match_index
        if is_new:
            self.match_index = index
            while self.inflight_last_indexes and self.inflight_last_indexes[0] <= index:
                self.inflight_last_indexes.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)
        return is_new

    def may_send_entries(self, last_index: int, max_inflight: int) -> bool:
        """Whether it is in STREAM, lacks entries up to `last_index` and may have more in flight."""
        return (
            self.state is ProgressState.STREAM
            and self.next_index <= last_index
            and len(self.inflight_last_indexes) < max_inflight
        )


def quorum_value(values: Iterable[float]) -> float:
    """Return the largest value that more than half of `values` are at or above."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
