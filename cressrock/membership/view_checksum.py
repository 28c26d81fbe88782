"""A checksum of the live members, with which two processes detect that their views differ."""

from __future__ import annotations

import zlib

from cressrock.membership.state import MembershipState

UNSETTLED = 0  # sent while updates are still spreading, when views legitimately differ


class ViewChecksum:
    """The checksum of this process's view, cached until a live member changes.

    Broadcasts miss a fraction of about e^-transmissions of the pairs; once no updates are queued, differing
    checksums reveal those.
    """

    def __init__(self, state: MembershipState) -> None:
        """Start without a cached checksum."""
        self._state = state
        self._cached_checksum = UNSETTLED
        self._cached_version = -1

    def value(self) -> int:
        """Return the checksum, or UNSETTLED while updates are queued."""
        if self._state.queue:
            return UNSETTLED
        table = self._state.table
        if self._cached_version != table.beliefs_version:
            self.adopt(self._compute())
        return self._cached_checksum

    def adopt(self, checksum: int) -> None:
        """Cache a checksum of the current view that was computed elsewhere (simulations share it)."""
        self._cached_checksum = checksum
        self._cached_version = self._state.table.beliefs_version

    def _compute(self) -> int:
        identity, table = self._state.local.identity, self._state.table
        lines = [f"{identity.name} {identity.process_incarnation} 0"]
        for name in table.live.names:
            record = table.records[name]
            lines.append(f"{name} {record.process_incarnation} {record.state:d}")
        return zlib.crc32("\n".join(sorted(lines)).encode()) | 1
