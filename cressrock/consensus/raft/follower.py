"""A seat's part as follower: entries and snapshots of a leader.  Pure."""

from __future__ import annotations

from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.core import RaftCore, Role
from cressrock.consensus.raft.log import Snapshot
from cressrock.errors.consensus import InvalidMessageError, LogDivergedError


class Following(RaftCore):
    """What a follower does with what its leader sends."""

    __slots__ = ()

    def _heard(self, sender: str) -> None:
        if self.state is Role.LEADER or self.leader not in ("", sender):
            raise LogDivergedError(f"{sender} leads term {self.term}, and so does {self.leader}")
        self._become_follower(self.term, sender)
        self.leader_heard_at_ms = self.now_ms

    def _on_append(self, sender: str, message: m.AppendEntries) -> None:
        self._heard(sender)
        previous, previous_term, entries = message.previous_index, message.previous_term, message.entries
        if not self._well_formed(message):
            self.drop_counts["malformed"] += 1
            return
        last = previous + len(entries)
        if previous < self.log.snapshot_index:  # what our snapshot covers is committed, hence the same
            entries = entries[self.log.snapshot_index - previous :]
            previous, previous_term = self.log.snapshot_index, self.log.snapshot_term
            last = max(last, previous)
        have = self.log.term_at(previous)
        if have != previous_term:
            if have is not None and previous <= self.commit:
                raise LogDivergedError(f"{sender} has term {previous_term} at the committed entry {previous}")
            self._refuse(sender, message, previous, have)
            return
        for entry in entries:
            have = self.log.term_at(entry.index)
            if have == entry.term:
                continue
            if have is not None:
                self._truncate(sender, entry.index)
            self.log.append(entry)
        self.commit = max(self.commit, min(message.commit, last))
        self._send(
            sender,
            m.AppendEntriesReply(
                generation=self.generation,
                term=self.term,
                accepted=True,
                match=last,
                round=message.round,
            ),
        )

    def _well_formed(self, message: m.AppendEntries) -> bool:
        """Whether the entries follow one another, their terms grow up to ours, and seats are seats."""
        term = message.previous_term
        for index, entry in enumerate(message.entries, message.previous_index + 1):
            if entry.index != index or not term <= entry.term <= self.term:
                return False
            term = entry.term
            if entry.kind == "seats":
                try:
                    m.decode_voters(entry.data)
                except InvalidMessageError:
                    return False
        return True

    def _refuse(self, sender: str, message: m.AppendEntries, previous: int, have: int | None) -> None:
        conflict = self.log.last_index + 1 if have is None else self.log.first_index_of_term(have, previous)
        self._send(
            sender,
            m.AppendEntriesReply(
                generation=self.generation,
                term=self.term,
                accepted=False,
                previous_index=message.previous_index,
                conflict_term=have or 0,
                conflict_index=conflict,
                round=message.round,
            ),
        )

    def _truncate(self, sender: str, start: int) -> None:
        if start <= self.commit:
            raise LogDivergedError(f"{sender} asks to change the committed entry {start}")
        self.log.truncate(start)
        if start <= self.stable_index:
            self.stable_index = start - 1
            self.truncated_from = start if self.truncated_from is None else min(self.truncated_from, start)

    def _on_snapshot(self, sender: str, message: m.InstallSnapshot) -> None:
        self._heard(sender)
        seats = message.seats
        if not seats or len(set(seats)) != len(seats) or message.index_term > self.term:
            self.drop_counts["malformed"] += 1
            return
        done = message.index <= self.commit
        if not done:
            of = (sender, self.term, message.index, message.index_term, message.size)
            if (
                message.size > self.settings.max_snapshot_bytes
                or message.offset + len(message.data) > message.size
            ):
                self.drop_counts["snapshot_size"] += 1
                return
            if self.snapshot_transfer != of:
                self.snapshot_transfer, self.snapshot_buffer = of, bytearray()
            if message.offset == len(self.snapshot_buffer):
                self.snapshot_buffer += message.data
            done = len(self.snapshot_buffer) == message.size
            if done:
                self._install(
                    Snapshot(message.index, message.index_term, message.seats, bytes(self.snapshot_buffer))
                )
        self._send(
            sender,
            m.InstallSnapshotReply(
                generation=self.generation,
                term=self.term,
                index=message.index,
                offset=len(self.snapshot_buffer),
                done=done,
                round=message.round,
            ),
        )
        if done:
            self.snapshot_transfer, self.snapshot_buffer = (), bytearray()

    def _install(self, snapshot: Snapshot) -> None:
        had = self.log.last_index
        if self.log.start_after(snapshot):
            self.stable_index = max(self.stable_index, snapshot.index)
        else:
            self.stable_index = snapshot.index
            if had > snapshot.index:
                start = snapshot.index + 1
                self.truncated_from = (
                    start if self.truncated_from is None else min(self.truncated_from, start)
                )
        self.commit = self.applied = snapshot.index
        self.snapshot = self.unpersisted_snapshot = snapshot
        self.restore_pending = True
