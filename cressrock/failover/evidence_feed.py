"""All edges' reports as they come by gossip, for one process."""

from __future__ import annotations

from collections.abc import Callable

from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.reports import MAX_CHUNKS, REPORT_KEY_PREFIX, Origin
from cressrock.failover.runtime import Runtime
from cressrock.failover.settings import FailoverSettings
from cressrock.failover.witnesses import ZoneMember
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

SUMMARY_NAME = "zones"  # under which collectors' summaries and broadcasts are found


class EvidenceFeed:
    """`evidence` is what the gossip store holds, and what of it still counts."""

    def __init__(self, settings: FailoverSettings, runtime: Runtime, clock: Callable[[], float]) -> None:
        """Listen to the gossip store of `runtime`; `clock` gives monotonic ms."""
        self.runtime, self.clock = runtime, clock
        self.evidence = FleetEvidence(settings)
        self._view: tuple[Member, ...] | None = None
        self._members: list[ZoneMember] = []
        self._alive: set[Origin] = set()
        runtime.on_gossip_change.append(self.on_gossip_change)

    def on_gossip_change(self, origin: Origin, key: str) -> None:
        """Take a changed entry; an empty key says that anything may have changed."""
        now_ms = self.clock()
        if key:
            if key.startswith(REPORT_KEY_PREFIX):
                # Of this origin alone: looking at everybody for each change is n squared in all.
                self._receive(origin, key, self.runtime.gossip.value_of(key, origin), now_ms)
            return
        for chunk_key in (f"{REPORT_KEY_PREFIX}{index}" for index in range(MAX_CHUNKS)):
            for sender, value in self.runtime.gossip.values(chunk_key).items():
                self._receive(sender, chunk_key, value, now_ms)

    def _receive(self, origin: Origin, key: str, value: bytes | None, now_ms: float) -> None:
        self.evidence.receive(origin, key, value, now_ms)
        self.runtime.evidence.receive_gossip(origin, key, value)

    def update_members(self) -> list[ZoneMember]:
        """Return the members, and forget the reports of those who are not surely alive."""
        view = self.runtime.members()
        if view is not self._view:  # of thousands this is not made anew at each look
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
