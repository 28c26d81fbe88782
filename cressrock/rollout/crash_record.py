"""Counts unclean restarts of a process under a candidate.  Pure.

This lets a process roll back from a candidate that crashes it before it can publish any counts.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

FORMAT_VERSION = 1
MAX_TIMES = 16


class CrashRecord(Struct, frozen=True, forbid_unknown_fields=False):
    """What a process stores on disk about a candidate.  The file keeps release 1's field names."""

    version: int = FORMAT_VERSION
    digest: str = ""
    # Whether the last run under the candidate is still in progress or has not shut down cleanly.
    running: bool = field(default=False, name="open")
    # Wall clock times of starts after a run that did not shut down cleanly.
    restarted_at_ms: Annotated[list[float], Meta(max_length=MAX_TIMES)] = field(
        default_factory=list, name="times"
    )
    rollback_reason: str = field(default="", name="back")  # "" while this process has not rolled back


def record_start(
    record: CrashRecord, digest: str, wall_ms: float, *, max_starts: int, window_ms: float
) -> CrashRecord:
    """Return the record for a run that begins under a candidate.

    It has a reason to roll back after `max_starts` unclean restarts within `window_ms`.  Write it to disk
    *before* the candidate is used: otherwise an immediate crash would never be counted.
    """
    if record.digest != digest:
        return CrashRecord(digest=digest, running=True)
    restarts_at_ms = [at_ms for at_ms in record.restarted_at_ms if wall_ms - window_ms <= at_ms <= wall_ms]
    if record.running:
        restarts_at_ms = [*restarts_at_ms, wall_ms][-MAX_TIMES:]
    reason = record.rollback_reason
    if not reason and len(restarts_at_ms) >= max_starts:
        reason = f"stopped {len(restarts_at_ms)} times under it"
    return CrashRecord(
        digest=digest, running=not reason, restarted_at_ms=restarts_at_ms, rollback_reason=reason
    )
