"""A process's decisions, with a record of the versions it has seen on disk."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decisions import MAX_TOPICS, Decision, Expired, decode_decision
from cressrock.consensus.store_file import flush_directory
from cressrock.errors.consensus import InvalidDecisionError, StoreTooNewError


class DecisionCache:
    """A DecisionReader that saves its state to disk before it notifies listeners of a decision.

    Each new version costs one small write and flush on the caller's task, which is acceptable because
    decisions are rare.
    """

    def __init__(
        self, path: str | Path | None, clock: Callable[[], float], *, max_topics: int = MAX_TOPICS
    ) -> None:
        """Load the saved state from `path`; without a path nothing is saved.

        A corrupt file is ignored, and `corrupt_reason` says why.  Raises StoreTooNewError if a newer
        program wrote the file.
        """
        self.path = Path(path) if path else None
        self.clock = clock
        self.corrupt_reason = ""
        self.unsaved_reason = ""  # why the last write failed; "" if the file is up to date
        self.listeners: list[Callable[[Decision], None]] = []
        stored = b""
        if self.path is not None:
            try:
                stored = self.path.read_bytes()
            except FileNotFoundError:
                pass  # nothing has been saved yet
        try:
            self.reader = DecisionReader(stored, max_topics=max_topics)
        except StoreTooNewError:
            raise
        except InvalidDecisionError as error:
            # Only the protection against older decisions is lost, until the next renewal restores it.
            self.corrupt_reason = str(error)
            self.reader = DecisionReader(max_topics=max_topics)

    def receive(self, decision: Decision) -> bool:
        """Process a decision from any source; return whether it is new.

        A new version is saved before the listeners are notified.  Renewals are saved with the next version:
        a process that restarts with an older renewal only honours a decision for one more lease.  If the
        write fails, the decision still takes effect (no rule depends on the file), and `unsaved_reason` is
        set until a write succeeds.
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
        """Process a decision as replicas encode it.  Raises InvalidDecisionError, StoreTooNewError."""
        return self.receive(decode_decision(data))

    def get(self, topic: str) -> Decision | Expired | None:
        """Return the topic's decision at the current time; see DecisionReader.get."""
        return self.reader.get(topic, self.clock())

    def save(self) -> None:
        """Write the reader's state to disk atomically.  Raises OSError."""
        if self.path is None:
            return
        part = self.path.with_name(self.path.name + ".part")
        with open(part, "wb") as file:
            file.write(self.reader.to_bytes())
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self.path)
        flush_directory(self.path.parent)
