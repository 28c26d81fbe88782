"""Rollout state that a process keeps across restarts, in one small file that is replaced atomically."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from cressrock.rollout.crash_record import CrashRecord


class PersistedState(Struct, frozen=True):
    """Starts under a candidate, and the last good document.  The file keeps release 1's field names."""

    crash_record: CrashRecord = field(default=CrashRecord(), name="starts")
    good_digest: str = field(default="", name="good")
    good_document: bytes = field(default=b"", name="document")


class PersistedStateFile:
    """The state in memory and on disk; without a path it does not survive the process."""

    def __init__(self, path: str | None, log: Any) -> None:
        """Read the file; if it is missing or unreadable, start with an empty state."""
        self._path = Path(path) if path is not None else None
        self._log = log
        self.state = self._read()

    def _read(self) -> PersistedState:
        if self._path is None:
            return PersistedState()
        try:
            return msgspec.msgpack.decode(self._path.read_bytes(), type=PersistedState)
        except FileNotFoundError:
            return PersistedState()
        except (OSError, msgspec.DecodeError) as error:
            # Fall back to the settings' own rules.  Restarting the crash count only delays a local rollback.
            self._log.warning("rollout.kept_state_unreadable", path=str(self._path), error=str(error))
            return PersistedState()

    def set_good(self, digest: str, document: bytes) -> None:
        """Store the last good document."""
        self._write(msgspec.structs.replace(self.state, good_digest=digest, good_document=document))

    def set_crash_record(self, record: CrashRecord) -> None:
        """Store the record of starts."""
        self._write(msgspec.structs.replace(self.state, crash_record=record))

    def set_running(self, running: bool) -> None:
        """Store whether a run under the candidate is in progress."""
        record = self.state.crash_record
        if record.running != running:
            self.set_crash_record(msgspec.structs.replace(record, running=running))

    def set_rollback(self, reason: str) -> None:
        """Store why this process rolled back, and that its run under the candidate has ended."""
        record = self.state.crash_record
        if record.rollback_reason != reason:
            self.set_crash_record(msgspec.structs.replace(record, rollback_reason=reason, running=False))

    def _write(self, state: PersistedState) -> None:
        self.state = state
        if self._path is None:
            return
        temporary = self._path.with_name(self._path.name + ".part")
        try:
            with open(temporary, "wb") as file:
                file.write(msgspec.msgpack.encode(state))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self._path)
        except OSError as error:
            # The new state applies until a restart, which reads the older one.
            self._log.error("rollout.kept_state_not_written", path=str(self._path), error=str(error))
