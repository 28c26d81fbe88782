"""How a follower handles entries and snapshots received from the leader."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.consensus.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    decode_voters,
)
from cressrock.consensus.raft.persistent_state import Snapshot
from cressrock.consensus.raft.state import ReplicaState
from cressrock.errors.consensus import InvalidMessageError, LogDivergedError


@dataclass(frozen=True, slots=True)
class SnapshotTransfer:
    """Identifies the snapshot, its leader and term that the chunks received so far belong to."""

    leader: str
    term: int
    index: int
    index_term: int
    size: int


class Follower:
    """Applies the leader's messages to the log of a replica."""

    __slots__ = ("_replica", "_transfer", "_buffer")

    def __init__(self, replica: ReplicaState) -> None:
        """Start with no snapshot transfer in progress."""
        self._replica = replica
        self._transfer: SnapshotTransfer | None = None
        self._buffer = bytearray()

    # --- entries

    def on_append(self, sender: str, message: AppendEntries) -> None:
        """Append the leader's entries, or reply where the logs conflict.

        Raises LogDivergedError if the leader's log conflicts with a committed entry.
        """
        replica = self._replica
        log = replica.log
        if not self._is_well_formed(message):
            replica.drop_counts["malformed"] += 1
            return
        previous_index, previous_term = message.previous_index, message.previous_term
        entries = message.entries
        last_index = previous_index + len(entries)
        if (
            previous_index < log.snapshot_index
        ):  # entries covered by our snapshot are committed and thus identical
            entries = entries[log.snapshot_index - previous_index :]
            previous_index, previous_term = log.snapshot_index, log.snapshot_term
            last_index = max(last_index, previous_index)
        own_term = log.term_at(previous_index)
        if own_term != previous_term:
            if own_term is not None and previous_index <= replica.commit:
                raise LogDivergedError(
                    f"{sender} has term {previous_term} for the committed entry {previous_index}"
                )
            self._report_conflict(sender, message, previous_index, own_term)
            return
        for entry in entries:
            own_term = log.term_at(entry.index)
            if own_term == entry.term:
                continue
            if own_term is not None:
                self._truncate(sender, entry.index)
            log.append(entry)
        replica.commit = max(replica.commit, min(message.commit, last_index))
        replica.send(sender, AppendEntriesReply(
            generation=replica.generation, term=replica.term, accepted=True, match=last_index,
            round=message.round,
        ))  # fmt: skip

    def _is_well_formed(self, message: AppendEntries) -> bool:
        """Whether the entries are valid.

        Their indexes are consecutive, their terms do not decrease nor exceed ours, and voters can be decoded.
        """
        term = message.previous_term
        for index, entry in enumerate(message.entries, message.previous_index + 1):
            if entry.index != index or not term <= entry.term <= self._replica.term:
                return False
            term = entry.term
            if entry.kind == "seats":
                try:
                    decode_voters(entry.data)
                except InvalidMessageError:
                    return False
        return True

    def _report_conflict(
        self, sender: str, message: AppendEntries, previous_index: int, own_term: int | None
    ) -> None:
        replica = self._replica
        if own_term is None:
            conflict_index = replica.log.last_index + 1
        else:
            conflict_index = replica.log.first_index_of_term(own_term, previous_index)
        replica.send(sender, AppendEntriesReply(
            generation=replica.generation, term=replica.term, accepted=False,
            previous_index=message.previous_index, conflict_term=own_term or 0,
            conflict_index=conflict_index, round=message.round,
        ))  # fmt: skip

    def _truncate(self, sender: str, start: int) -> None:
        replica = self._replica
        if start <= replica.commit:
            raise LogDivergedError(f"{sender} would overwrite the committed entry {start}")
        replica.log.truncate(start)
        if start <= replica.stable_index:
            replica.stable_index = start - 1
            replica.record_truncation(start)

    # --- snapshots

    def on_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Collect the chunks of a snapshot and install it once it is complete."""
        replica = self._replica
        voters = message.voters
        if not voters or len(set(voters)) != len(voters) or message.index_term > replica.term:
            replica.drop_counts["malformed"] += 1
            return
        done = message.index <= replica.commit
        if not done:
            max_bytes = replica.settings.max_snapshot_bytes
            if message.size > max_bytes or message.offset + len(message.data) > message.size:
                replica.drop_counts["snapshot_size"] += 1
                return
            done = self._collect(sender, message)
        replica.send(sender, InstallSnapshotReply(
            generation=replica.generation, term=replica.term, index=message.index, offset=len(self._buffer),
            done=done, round=message.round,
        ))  # fmt: skip
        if done:
            self._transfer, self._buffer = None, bytearray()

    def _collect(self, sender: str, message: InstallSnapshot) -> bool:
        """Add a chunk; return whether this completed the snapshot, which is then installed."""
        transfer = SnapshotTransfer(
            sender, self._replica.term, message.index, message.index_term, message.size
        )
        if self._transfer != transfer:
            self._transfer, self._buffer = transfer, bytearray()
        if message.offset == len(self._buffer):
            self._buffer += message.data
        if len(self._buffer) != message.size:
            return False
        self._install(Snapshot(message.index, message.index_term, message.voters, bytes(self._buffer)))
        return True

    def _install(self, snapshot: Snapshot) -> None:
        replica = self._replica
        previous_last_index = replica.log.last_index
        if replica.log.start_after(snapshot):
            replica.stable_index = max(replica.stable_index, snapshot.index)
        else:
            replica.stable_index = snapshot.index
            if previous_last_index > snapshot.index:
                replica.record_truncation(snapshot.index + 1)
        replica.commit = replica.applied = snapshot.index
        replica.snapshot = replica.unpersisted_snapshot = snapshot
        replica.restore_pending = True

    def clone(self, replica: ReplicaState) -> Follower:
        """Return an independent copy that uses `replica`, a copy of the state."""
        other = Follower(replica)
        other._transfer, other._buffer = self._transfer, bytearray(self._buffer)
        return other

    def key(self) -> tuple[object, ...]:
        """Return the state that determines its behaviour, timing aside, for the model checker's hash."""
        return bytes(self._buffer), self._transfer
