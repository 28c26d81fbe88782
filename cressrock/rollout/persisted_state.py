"""Rollout state that a process keeps across restarts, in one small file that is replaced atomically."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from cressrock.rollout.crash_record import CrashRecord
from cressrock.state_file import StateFiles


class PersistedState(Struct, frozen=True):
    """Starts under a candidate, and the last good document.  The file keeps release 1's field names."""

    crash_record: CrashRecord = field(default=CrashRecord(), name="starts")
    good_digest: str = field(default="", name="good")
    good_document: bytes = field(default=b"", name="document")


class PersistedStateFile:
    """The state in memory and on disk; without a path it does not survive the process."""

    def __init__(self, path: str | None, log: Any, state_files: StateFiles | None = None) -> None:
        """Read the file; if it is missing or unreadable, start with an empty state.

        The file is one of `state_files`, by default of some that are written at once.
        """
        self._path = Path(path) if path is not None else None
        self._log = log
        self._file = (state_files or StateFiles()).open(self._path, self._on_written)
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

    def set_crash_record(self, record: CrashRecord, on_durable: Callable[[], None] | None = None) -> None:
        """Store the record of starts; see `StateFile.write` for `on_durable`."""
        self._write(msgspec.structs.replace(self.state, crash_record=record), on_durable)

    def set_not_running(self) -> None:
        """Store that no run under the candidate is in progress."""
        record = self.state.crash_record
        if record.running:
            self.set_crash_record(msgspec.structs.replace(record, running=False))

    async def wait_written(self) -> None:
        """Wait until the newest state has been written, or could not be."""
        await self._file.wait_idle()

    def set_rollback(self, reason: str) -> None:
        """Store why this process rolled back, and that its run under the candidate has ended."""
        record = self.state.crash_record
        if record.rollback_reason != reason:
            self.set_crash_record(msgspec.structs.replace(record, rollback_reason=reason, running=False))

    def _write(self, state: PersistedState, on_durable: Callable[[], None] | None = None) -> None:
        self.state = state
        self._file.write(msgspec.msgpack.encode(state), on_durable)

    def _on_written(self, error: str) -> None:
        if error:
            # The new state applies until a restart, which reads the older one.
            self._log.error("rollout.kept_state_not_written", path=str(self._path), error=error)
