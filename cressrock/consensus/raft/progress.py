"""What a leader knows of each other seat, and the figures of a seat.  Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from cressrock.consensus.raft.log import Snapshot

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times in milliseconds and bounds of one seat; the same at all seats of a council.

    `election_ms` must be well above `heartbeat_ms` plus the slowest round trip and disk write between seats:
    below it, leaders lose their seat on a calm day; above it, only a leader's death costs more time.
    """

    election_ms: float = 1000.0  # drawn anew in [election, 2 election) each time
    heartbeat_ms: float = 150.0  # several a term, so that one lost datagram or slow write topples nobody
    leader_stickiness_ms: float | None = (
        None  # so long after a leader's word nobody else is voted for; None: election_ms
    )
    leader_lease_ms: float | None = (
        None  # so long after its quorum's last word a leader leads; None: election_ms
    )
    pre_vote: bool = True
    max_append_entries: int = 256  # entries in one Append
    max_append_bytes: int = 256 * 1024  # bytes of entries' data in one Append (one entry always fits)
    max_entry_bytes: int = 64 * 1024  # bytes of one proposal
    max_inflight_appends: int = 32  # Appends with entries on their way to one seat
    max_uncommitted_bytes: int = 4 * 1024 * 1024  # bytes proposed and not committed; more is refused as busy
    max_apply_entries: int = 1024  # committed entries in one Ready
    snapshot_chunk_bytes: int = 64 * 1024  # bytes of a snapshot in one message
    max_snapshot_bytes: int = 64 * 1024 * 1024  # a larger one is not taken in
    max_outbox_messages: int = (
        1024  # messages waiting for the disk; beyond it the oldest are lost, as on a wire
    )
    max_pending_reads: int = 1024  # reads waiting for their round
    max_learners: int = 4  # seats to be, which a leader teaches beside the seats
    max_learner_lag: int = 64  # entries that a new seat may lack when it is put among the seats
    learner_timeout_elections: float = 10.0  # a learner silent for so many election_ms is taught no more

    def __post_init__(self) -> None:
        """Refuse figures that cannot work (ValueError)."""
        if not 0 < self.heartbeat_ms <= self.election_ms / 2:
            raise ValueError("heartbeat_ms must be above 0 and at most half of election_ms")
        if (
            min(
                self.max_append_entries,
                self.max_inflight_appends,
                self.snapshot_chunk_bytes,
                self.max_outbox_messages,
                self.max_apply_entries,
            )
            < 1
        ):
            raise ValueError("a bound below one")

    @property
    def effective_stickiness_ms(self) -> float:
        """How long a leader's word keeps others from being voted for."""
        return self.election_ms if self.leader_stickiness_ms is None else self.leader_stickiness_ms

    @property
    def effective_lease_ms(self) -> float:
        """How long a quorum's word lets a leader lead."""
        return self.election_ms if self.leader_lease_ms is None else self.leader_lease_ms


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A read that is confirmed: whoever has applied everything up to `index` may answer it."""

    token: int | str
    index: int


@dataclass(slots=True)
class Progress:
    """A leader's view of one seat or learner.

    `probe`: one Append at a time until the logs are known to meet; `stream`: entries follow one another
    without waiting, at most `max_inflight` messages; `snapshot`: pieces, one at a time.
    """

    match_index: int = 0  # its log agrees with ours up to here
    next_index: int = 1  # the next entry to send
    state: str = "probe"
    probe_sent: bool = False  # probe: an Append is on its way
    inflight_last_indexes: deque[int] = field(
        default_factory=deque
    )  # stream: last indexes of Appends on their way
    sent_commit: int = 0  # the commit it was told
    acked_round: int = 0  # the latest heartbeat round it answered
    acked_at_ms: float = NEVER  # when the latest round it answered was begun, on our clock
    tracked_since_ms: float = NEVER  # when we began to look after it
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent_at_ms: float = NEVER  # when the last piece was sent
    removal_index: int = 0  # the entry that puts it out; it is let go when it knows that this is committed

    def clone(self) -> Progress:
        """Return one of its own with the same content."""
        return Progress(
            self.match_index,
            self.next_index,
            self.state,
            self.probe_sent,
            deque(self.inflight_last_indexes),
            self.sent_commit,
            self.acked_round,
            self.acked_at_ms,
            self.tracked_since_ms,
            self.snapshot,
            self.snapshot_offset,
            self.chunk_sent_at_ms,
            self.removal_index,
        )

    def key(self) -> tuple[object, ...]:
        """Return what matters of it when clocks do not."""
        snapshot = self.snapshot.index if self.snapshot else 0
        return (
            self.match_index,
            self.next_index,
            self.state,
            self.probe_sent,
            tuple(self.inflight_last_indexes),
            self.sent_commit,
            self.acked_round,
            snapshot,
            self.snapshot_offset,
            self.removal_index,
        )

    def probe(self, next_index: int) -> None:
        """Go back to one message at a time, from `next_index`."""
        self.state, self.next_index, self.probe_sent, self.snapshot = "probe", next_index, False, None
        self.inflight_last_indexes.clear()

    def matched(self, index: int) -> bool:
        """Its log agrees up to `index`; return whether that is news."""
        news = index > self.match_index
        if news:
            self.match_index = index
            while self.inflight_last_indexes and self.inflight_last_indexes[0] <= index:
                self.inflight_last_indexes.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)
        return news


def quorum_value(values: Iterable[float]) -> float:
    """Return the largest value that more than half of `values` reach."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
