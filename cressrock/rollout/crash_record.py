"""How often a process was started under a candidate without an orderly end before.  Pure.

A candidate that kills the process at once is thereby found by the process itself, without any evidence.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

FORMAT_VERSION = 1
MAX_TIMES = 16


class CrashRecord(Struct, frozen=True, forbid_unknown_fields=False):
    """What a process keeps on disk of a candidate.  The names in the file are the first release's."""

    version: int = FORMAT_VERSION
    digest: str = ""
    running: bool = field(default=False, name="open")  # the last run under it has not ended in order
    # When starts found a run without an orderly end, wall clock.
    restarted_at_ms: Annotated[list[float], Meta(max_length=MAX_TIMES)] = field(
        default_factory=list, name="times"
    )
    rollback_reason: str = field(default="", name="back")  # "" while this process has not rolled back


def record_start(
    record: CrashRecord, digest: str, wall_ms: float, *, max_starts: int, window_ms: float
) -> CrashRecord:
    """Return the record as a run begins under a candidate, with a reason to roll back after many crashes.

    To be on disk *before* the candidate decides anything: what it kills at once would else never be counted.
    """
    if record.digest != digest:
        return CrashRecord(digest=digest, running=True)
    times = [at_ms for at_ms in record.restarted_at_ms if wall_ms - window_ms <= at_ms <= wall_ms]
    if record.running:
        times = [*times, wall_ms][-MAX_TIMES:]
    reason = record.rollback_reason
    if not reason and len(times) >= max_starts:
        reason = f"stopped {len(times)} times under it"
    return CrashRecord(digest=digest, running=not reason, restarted_at_ms=times, rollback_reason=reason)
