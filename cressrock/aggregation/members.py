"""A collector's view of the membership: senders, collectors and recipients of summaries.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cressrock.aggregation.ranking import CollectorId, Origin, rank_collectors


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """One member.  `alive`: not even suspect; `is_present`: alive or suspect."""

    name: str
    incarnation: int
    zone: str
    alive: bool
    is_present: bool
    sends_reports: bool  # edges do
    is_collector: bool  # announces the capability


class MemberTable:
    """The present members and the collector of each zone, as one collector sees them."""

    def __init__(self, own_id: Origin) -> None:
        """Start without members; `own_id`: name and incarnation of this process."""
        self.own_id = own_id
        self.collectors: tuple[CollectorId, ...] = ()
        self.summary_recipients: tuple[str, ...] = ()
        self.senders_by_zone: dict[str, set[str]] = {}
        self._present: dict[str, MemberInfo] = {}
        self._owners: dict[str, CollectorId] = {}

    def update(self, members: Iterable[MemberInfo], replicas: Iterable[str]) -> None:
        """Replace the members; `replicas`: names of the consensus replicas, which receive summaries."""
        self._present = {member.name: member for member in members if member.is_present}
        present = self._present.values()
        self.collectors = tuple(
            sorted((member.name, member.incarnation) for member in present if member.is_collector)
        )
        # Collectors need summaries too: what they broadcast to their senders covers all zones.
        recipients = {name for name, _ in self.collectors}
        recipients |= {name for name in replicas if name in self._present}
        self.summary_recipients = tuple(sorted(recipients - {self.own_id[0]}))
        self.senders_by_zone = {}
        for member in present:
            if member.sends_reports:
                self.senders_by_zone.setdefault(member.zone, set()).add(member.name)
        self._owners.clear()

    def alive(self, name: str, incarnation: int) -> MemberInfo | None:
        """Return the member if it is alive, not suspect, in this incarnation; else None."""
        member = self._present.get(name)
        if member is None or member.incarnation != incarnation or not member.alive:
            return None
        return member

    def owner(self, zone: str) -> CollectorId:
        """Return the first-ranked collector of a zone; this process if no collector is known."""
        owner = self._owners.get(zone)
        if owner is None:
            owner = self._owners[zone] = next(iter(rank_collectors(zone, self.collectors)), self.own_id)
        return owner

    def owned_zones(self) -> list[str]:
        """Return the zones with senders whose collector is this process."""
        return [zone for zone in self.senders_by_zone if self.owner(zone) == self.own_id]
