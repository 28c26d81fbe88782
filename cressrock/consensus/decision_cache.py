"""A process's decisions with their memory on disk."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decisions import MAX_TOPICS, Decision, Expired, decode_decision
from cressrock.consensus.store_file import flush_directory
from cressrock.errors.consensus import InvalidDecisionError, StoreTooNewError


class DecisionCache:
    """A DecisionReader whose memory is on disk before anybody is notified of a decision.

    One small write and flush for each new version, on the caller's own task: decisions are few.
    """

    def __init__(
        self, path: str | Path | None, clock: Callable[[], float], *, max_topics: int = MAX_TOPICS
    ) -> None:
        """Without a path nothing is kept.  A file that cannot be read is ignored: `corrupt_reason` says why.

        Raises StoreTooNewError for a newer program's file.
        """
        self.path = Path(path) if path else None
        self.clock = clock
        self.corrupt_reason = ""
        self.unsaved_reason = ""  # why the last write failed; "" while all is kept
        self.listeners: list[Callable[[Decision], None]] = []
        stored = b""
        if self.path is not None:
            try:
                stored = self.path.read_bytes()
            except FileNotFoundError:
                pass  # the first start of this process
        try:
            self.reader = DecisionReader(stored, max_topics=max_topics)
        except StoreTooNewError:
            raise
        except InvalidDecisionError as error:
            # Only the guard against older decisions is lost, and the next renewal sets it again.
            self.corrupt_reason = str(error)
            self.reader = DecisionReader(max_topics=max_topics)

    def receive(self, decision: Decision) -> bool:
        """Take a decision from wherever it came; return whether it is new.

        A new version is on disk before anybody is notified; renewals are kept with the next version, since a
        process that begins with an older renewal only counts a decision for one more lease.  Where the disk
        takes nothing the decision counts all the same (no rule depends on it) and `unsaved_reason` says so
        until a write succeeds.
        """
        former_version = self.reader.last_version(decision.topic)
        is_new = self.reader.receive(decision, self.clock())
        if is_new and (decision.version > former_version or self.unsaved_reason):
            try:
                self.save()
                self.unsaved_reason = ""
            except OSError as error:
                self.unsaved_reason = str(error)
        if is_new:
            for notify in self.listeners:
                notify(decision)
        return is_new

    def receive_bytes(self, data: bytes) -> bool:
        """Take the bytes that replicas publish.  Raises InvalidDecisionError, StoreTooNewError."""
        return self.receive(decode_decision(data))

    def get(self, topic: str) -> Decision | Expired | None:
        """Return what counts now; see DecisionReader.get."""
        return self.reader.get(topic, self.clock())

    def save(self) -> None:
        """Write what was seen to disk, whole or not at all.  Raises OSError."""
        if self.path is None:
            return
        part = self.path.with_name(self.path.name + ".part")
        with open(part, "wb") as file:
            file.write(self.reader.to_bytes())
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self.path)
        flush_directory(self.path.parent)
