"""What a process keeps of rollouts over restarts: one small file that is replaced as a whole."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from cressrock.rollout.crash_record import CrashRecord


class PersistedState(Struct, frozen=True):
    """Starts under a candidate, and the last good document; the file has the first release's names."""

    crash_record: CrashRecord = field(default=CrashRecord(), name="starts")
    good_digest: str = field(default="", name="good")
    good_document: bytes = field(default=b"", name="document")


class PersistedStateFile:
    """The state in memory and on disk; without a path it is lost with the process."""

    def __init__(self, path: str | None, log: Any) -> None:
        """Read the file, if there is one."""
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
            # The settings' own rules serve, and a count of starts that begins anew only tries longer.
            self._log.warning("rollout.kept_state_unreadable", path=str(self._path), error=str(error))
            return PersistedState()

    def set_good(self, digest: str, document: bytes) -> None:
        """Keep the last good document."""
        self._write(msgspec.structs.replace(self.state, good_digest=digest, good_document=document))

    def set_crash_record(self, record: CrashRecord) -> None:
        """Keep the record of starts."""
        self._write(msgspec.structs.replace(self.state, crash_record=record))

    def set_running(self, running: bool) -> None:
        """Keep whether a run under the candidate is under way."""
        record = self.state.crash_record
        if record.running != running:
            self.set_crash_record(msgspec.structs.replace(record, running=running))

    def set_rollback(self, reason: str) -> None:
        """Keep why this process rolled back; its run under the candidate is over."""
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
            # In memory the new state counts; after a restart the older one does.
            self._log.error("rollout.kept_state_not_written", path=str(self._path), error=str(error))
