"""Feeds all edges' reports from the gossip store into one process's evidence."""

from __future__ import annotations

from collections.abc import Callable

from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.reports import MAX_CHUNKS, REPORT_KEY_PREFIX, Origin
from cressrock.failover.runtime import Runtime
from cressrock.failover.settings import FailoverSettings
from cressrock.failover.witnesses import ZoneMember
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

SUMMARY_NAME = "zones"  # name of the collectors' summaries and broadcasts


class EvidenceFeed:
    """Keeps `evidence` in step with the gossip store and the membership."""

    def __init__(self, settings: FailoverSettings, runtime: Runtime, clock: Callable[[], float]) -> None:
        """Subscribe to gossip changes of `runtime`; `clock` returns monotonic ms."""
        self.runtime, self.clock = runtime, clock
        self.evidence = FleetEvidence(settings)
        self._view: tuple[Member, ...] | None = None
        self._members: list[ZoneMember] = []
        self._alive: set[Origin] = set()
        runtime.on_gossip_change.append(self.on_gossip_change)

    def on_gossip_change(self, origin: Origin, key: str) -> None:
        """Receive a changed entry; with an empty key, receive the reports of all origins."""
        now_ms = self.clock()
        if key:
            if key.startswith(REPORT_KEY_PREFIX):
                # Only this origin: reading all origins at each change would be quadratic in their number.
                self._receive(origin, key, self.runtime.gossip.value_of(key, origin), now_ms)
            return
        for chunk_key in (f"{REPORT_KEY_PREFIX}{index}" for index in range(MAX_CHUNKS)):
            for sender, value in self.runtime.gossip.values(chunk_key).items():
                self._receive(sender, chunk_key, value, now_ms)

    def _receive(self, origin: Origin, key: str, value: bytes | None, now_ms: float) -> None:
        self.evidence.receive(origin, key, value, now_ms)
        self.runtime.evidence.receive_gossip(origin, key, value)

    def update_members(self) -> list[ZoneMember]:
        """Return the members, and drop the reports of those that are not in state ALIVE."""
        view = self.runtime.members()
        if view is not self._view:  # rebuilding the list of thousands of members at each call is expensive
            self._view = view
            self._members = [
                ZoneMember(
                    (member.name, member.process_incarnation),
                    zone=member.zone,
                    alive=member.state is MemberState.ALIVE,
                    is_edge=member.role == "edge",
                )
                for member in view
            ]
            self._alive = {member.origin for member in self._members if member.alive}
        self.evidence.retain(self._alive)
        return self._members
