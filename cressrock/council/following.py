"""A seat's part as follower: entries and snapshots of a leader.  Pure."""

from __future__ import annotations

from cressrock.council import messages as m
from cressrock.council.core import Core, Role
from cressrock.council.log import Snapshot
from cressrock.errors.council import CouncilDiverged, MessageRefused


class Following(Core):
    """What a follower does with what its leader sends."""

    __slots__ = ()

    def _heard(self, sender: str) -> None:
        if self.state is Role.LEADER or self.leader not in ("", sender):
            raise CouncilDiverged(f"{sender} leads term {self.term}, and so does {self.leader}")
        self._become_follower(self.term, sender)
        self.heard_ms = self.now

    def _on_append(self, sender: str, message: m.Append) -> None:
        self._heard(sender)
        previous, previous_term, entries = message.previous_index, message.previous_term, message.entries
        if not self._well_formed(message):
            self.counts["malformed"] += 1
            return
        last = previous + len(entries)
        if previous < self.log.base:  # what our snapshot covers is committed, hence the same
            entries = entries[self.log.base - previous :]
            previous, previous_term = self.log.base, self.log.base_term
            last = max(last, previous)
        have = self.log.term_at(previous)
        if have != previous_term:
            if have is not None and previous <= self.commit:
                raise CouncilDiverged(f"{sender} has term {previous_term} at the committed entry {previous}")
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
            m.AppendReply(
                generation=self.generation,
                term=self.term,
                accepted=True,
                match=last,
                round=message.round,
            ),
        )

    def _well_formed(self, message: m.Append) -> bool:
        """Whether the entries follow one another, their terms grow up to ours, and seats are seats."""
        term = message.previous_term
        for index, entry in enumerate(message.entries, message.previous_index + 1):
            if entry.index != index or not term <= entry.term <= self.term:
                return False
            term = entry.term
            if entry.kind == "seats":
                try:
                    m.unpack_seats(entry.data)
                except MessageRefused:
                    return False
        return True

    def _refuse(self, sender: str, message: m.Append, previous: int, have: int | None) -> None:
        conflict = self.log.last + 1 if have is None else self.log.first_of_term(have, previous)
        self._send(
            sender,
            m.AppendReply(
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
            raise CouncilDiverged(f"{sender} asks to change the committed entry {start}")
        self.log.truncate(start)
        if start <= self.stable:
            self.stable = start - 1
            self.truncated = start if self.truncated is None else min(self.truncated, start)

    def _on_snapshot(self, sender: str, message: m.InstallSnapshot) -> None:
        self._heard(sender)
        seats = message.seats
        if not seats or len(set(seats)) != len(seats) or message.index_term > self.term:
            self.counts["malformed"] += 1
            return
        done = message.index <= self.commit
        if not done:
            of = (sender, self.term, message.index, message.index_term, message.size)
            if message.size > self.timing.max_snapshot or message.offset + len(message.data) > message.size:
                self.counts["snapshot_size"] += 1
                return
            if self.piece_of != of:
                self.piece_of, self.piece = of, bytearray()
            if message.offset == len(self.piece):
                self.piece += message.data
            done = len(self.piece) == message.size
            if done:
                self._install(Snapshot(message.index, message.index_term, message.seats, bytes(self.piece)))
        self._send(
            sender,
            m.InstallSnapshotReply(
                generation=self.generation,
                term=self.term,
                index=message.index,
                offset=len(self.piece),
                done=done,
                round=message.round,
            ),
        )
        if done:
            self.piece_of, self.piece = (), bytearray()

    def _install(self, snapshot: Snapshot) -> None:
        had = self.log.last
        if self.log.rebase(snapshot):
            self.stable = max(self.stable, snapshot.index)
        else:
            self.stable = snapshot.index
            if had > snapshot.index:
                start = snapshot.index + 1
                self.truncated = start if self.truncated is None else min(self.truncated, start)
        self.commit = self.applied = snapshot.index
        self.snapshot = self.new_snapshot = snapshot
        self.restore = True
