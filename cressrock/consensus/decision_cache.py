"""A process's decisions, with a record of the versions it has seen on disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decisions import MAX_TOPICS, Decision, Expired, decode_decision
from cressrock.errors.consensus import InvalidDecisionError, StoreTooNewError
from cressrock.state_file import StateFiles


class DecisionCache:
    """A DecisionReader that saves its state to disk with each new version of a decision."""

    def __init__(
        self,
        path: str | Path | None,
        clock: Callable[[], float],
        *,
        max_topics: int = MAX_TOPICS,
        state_files: StateFiles | None = None,
    ) -> None:
        """Load the saved state from `path`; without a path nothing is saved.

        The file is one of `state_files`, by default of some that are written at once.  A corrupt file is
        ignored, and `corrupt_reason` says why.  Raises StoreTooNewError if a newer
        program wrote the file.
        """
        self.path = Path(path) if path else None
        self.clock = clock
        self.corrupt_reason = ""
        self.unsaved_reason = ""  # why the last write failed; "" if the file is up to date
        self._file = (state_files or StateFiles()).open(self.path, self._on_written)
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

        A new version is saved, and the listeners are notified without waiting for the disk.  Renewals are
        saved with the next version: a process that restarts with an older renewal only honours a decision
        for one more lease.  Until the write ends, and if it fails, the decision takes effect all the same:
        no rule depends on the file.  `unsaved_reason` is set after a failed write until one succeeds.
        """
        former_version = self.reader.last_version(decision.topic)
        is_new = self.reader.receive(decision, self.clock())
        if is_new and (decision.version > former_version or self.unsaved_reason):
            self._file.write(self.reader.to_bytes())
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

    def _on_written(self, error: str) -> None:
        self.unsaved_reason = error
