"""The decisions about zones that count for one edge: decoded, and whether they still hold.  Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors.failover import FailoverError
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision, WriteMove, ZoneDecision, ZoneState
from cressrock.failover.settings import FULL_SHARE


class FollowedDecision:
    """What is decided of zones and writes, as an edge in one zone follows it."""

    def __init__(self, here: str, zones: Collection[str]) -> None:
        """`here`: the edge's own zone; `zones`: those that it knows, entries of others are passed over."""
        self.here, self.zones = here, zones
        self.current = FailoverDecision()
        self.holds = False  # whether a decision counts; without one `current` is empty
        self.entries: Mapping[str, ZoneDecision] = {}
        self.write_move: WriteMove | None = None
        self.unreadable = 0  # decisions that this program cannot read; they count as none
        self._last_unreadable = 0  # version of the last one

    def apply(self, stored: Decision | Expired | None) -> bool:
        """Take the failover decision that stands; returns whether anything changed."""
        current, holds = FailoverDecision(), False
        if isinstance(stored, Decision):
            try:
                current, holds = decision.decode(stored.value), True
            except FailoverError:  # a newer program's
                self.unreadable += stored.version != self._last_unreadable
                self._last_unreadable = stored.version
        if current == self.current and holds == self.holds:
            return False
        self.current, self.holds = current, holds
        self.entries = {entry.zone: entry for entry in current.zones if entry.zone in self.zones}
        return True

    def apply_write_move(self, stored: Decision | Expired | None) -> None:
        """Take a move of writes.  It stands until another: that it expires does not bring writes back."""
        latest = stored.decision if isinstance(stored, Expired) else stored
        try:
            self.write_move = decision.decode_write_move(latest.value) if latest is not None else None
        except FailoverError:
            self.write_move = None  # a newer program's: this one cannot say where writes go

    def share(self, zone: str) -> int:
        """Return the share of a zone's traffic that this edge may send there by decision."""
        entry = self.entries.get(zone)
        return entry.share_from(self.here) if entry is not None else FULL_SHARE

    def restricts(self, zone: str) -> bool:
        """Whether a decision holds this edge back from a zone."""
        return self.share(zone) < FULL_SHARE

    def keeps_serving(self, zone: str) -> bool:
        """Whether a zone is restricted by decision, but up and warm."""
        entry = self.entries.get(zone)
        return entry is not None and entry.state in (ZoneState.DEGRADED, ZoneState.SLOW)

    def any_trouble(self) -> bool:
        """Whether a zone is in any state but LOCAL, so that evidence is wanted from all."""
        return any(entry.state != ZoneState.LOCAL for entry in self.entries.values())
