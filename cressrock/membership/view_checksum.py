"""A checksum over the live members as believed, by which two processes find that their views differ."""

from __future__ import annotations

import zlib

from cressrock.membership.state import MembershipState

UNSETTLED = 0  # sent while updates are still on their way, when views differ without a fault


class ViewChecksum:
    """The checksum of this process's view, kept until a belief changes.

    Updates reach all but about e^-transmissions of the pairs; in calm, checksums that differ find the rest.
    """

    def __init__(self, state: MembershipState) -> None:
        """Compute nothing yet."""
        self._state = state
        self._cached = UNSETTLED
        self._cached_version = -1

    def value(self) -> int:
        """Return the checksum, UNSETTLED while updates wait to be sent."""
        if self._state.queue:
            return UNSETTLED
        table = self._state.table
        if self._cached_version != table.beliefs_version:
            self.adopt(self._compute())
        return self._cached

    def adopt(self, checksum: int) -> None:
        """Take a checksum of the present beliefs that was computed elsewhere (simulations share it)."""
        self._cached = checksum
        self._cached_version = self._state.table.beliefs_version

    def _compute(self) -> int:
        identity, table = self._state.local.identity, self._state.table
        lines = [f"{identity.name} {identity.process_incarnation} 0"]
        for name in table.live.names:
            record = table.records[name]
            lines.append(f"{name} {record.process_incarnation} {record.state:d}")
        return zlib.crc32("\n".join(sorted(lines)).encode()) | 1
