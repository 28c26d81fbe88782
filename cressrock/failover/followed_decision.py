"""The decisions about zones and writes as one edge follows them: decoded, and whether in force.  Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors.failover import FailoverError
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision, WriteMove, ZoneDecision, ZoneState
from cressrock.failover.settings import FULL_SHARE


class FollowedDecision:
    """The current decisions, as seen by an edge in one zone."""

    def __init__(self, own_zone: str, zones: Collection[str]) -> None:
        """`own_zone`: the edge's zone; `zones`: the known zones, entries for others are ignored."""
        self.own_zone, self.zones = own_zone, zones
        self.current = FailoverDecision()
        self.is_in_force = False  # if not, `current` is empty
        self.entries: Mapping[str, ZoneDecision] = {}
        self.write_move: WriteMove | None = None
        self.unreadable_count = 0  # decisions that cannot be decoded; each is treated as no decision
        self._last_unreadable_version = 0

    def apply(self, stored: Decision | Expired | None) -> bool:
        """Apply the current failover decision; returns whether anything changed."""
        current, is_in_force = FailoverDecision(), False
        if isinstance(stored, Decision):
            try:
                current, is_in_force = decision.decode(stored.value), True
            except FailoverError:  # written by a newer version, or malformed
                self.unreadable_count += stored.version != self._last_unreadable_version
                self._last_unreadable_version = stored.version
        if current == self.current and is_in_force == self.is_in_force:
            return False
        self.current, self.is_in_force = current, is_in_force
        self.entries = {entry.zone: entry for entry in current.zones if entry.zone in self.zones}
        return True

    def apply_write_move(self, stored: Decision | Expired | None) -> None:
        """Apply a move of writes.  It stays in force until the next move, even after its lease expires."""
        latest = stored.decision if isinstance(stored, Expired) else stored
        try:
            self.write_move = decision.decode_write_move(latest.value) if latest is not None else None
        except FailoverError:
            self.write_move = None  # undecodable, so the target of writes is unknown

    def share(self, zone: str) -> int:
        """Return the share (64ths) of a zone's traffic that this edge may send there by decision."""
        entry = self.entries.get(zone)
        return entry.share_from(self.own_zone) if entry is not None else FULL_SHARE

    def restricts(self, zone: str) -> bool:
        """Whether a decision limits this edge's traffic to a zone."""
        return self.share(zone) < FULL_SHARE

    def keeps_serving(self, zone: str) -> bool:
        """Whether a zone's share is reduced by decision although it is up and warm."""
        entry = self.entries.get(zone)
        return entry is not None and entry.state in (ZoneState.DEGRADED, ZoneState.SLOW)

    def has_impaired_zone(self) -> bool:
        """Whether any zone is in a state other than LOCAL, so that all edges should report."""
        return any(entry.state != ZoneState.LOCAL for entry in self.entries.values())
