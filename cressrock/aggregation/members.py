"""The members as a collector needs them: who reports, who collects, who hears summaries.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cressrock.aggregation.ranking import CollectorId, Origin, rank_collectors


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member.  `alive`: surely; `is_present`: alive or suspect."""

    name: str
    incarnation: int
    zone: str
    alive: bool
    is_present: bool
    sends_reports: bool  # it has evidence of its own: an edge
    is_collector: bool  # it announces that it collects


class MemberTable:
    """One collector's view of the members."""

    def __init__(self, me: Origin) -> None:
        """Begin with nobody; `me`: this process."""
        self.me = me
        self.collectors: tuple[CollectorId, ...] = ()
        self.summary_recipients: tuple[str, ...] = ()
        self.senders_by_zone: dict[str, set[str]] = {}
        self._present: dict[str, MemberInfo] = {}
        self._owners: dict[str, CollectorId] = {}

    def update(self, members: Iterable[MemberInfo], replicas: Iterable[str]) -> None:
        """Take the members' view; `replicas`: names of the consensus replicas, which hear summaries."""
        self._present = {member.name: member for member in members if member.is_present}
        present = self._present.values()
        self.collectors = tuple(
            sorted((member.name, member.incarnation) for member in present if member.is_collector)
        )
        # Other collectors too: what they broadcast to their senders is of all zones.
        recipients = {name for name, _ in self.collectors}
        recipients |= {name for name in replicas if name in self._present}
        self.summary_recipients = tuple(sorted(recipients - {self.me[0]}))
        self.senders_by_zone = {}
        for member in present:
            if member.sends_reports:
                self.senders_by_zone.setdefault(member.zone, set()).add(member.name)
        self._owners.clear()

    def alive(self, name: str, incarnation: int) -> MemberInfo | None:
        """Return a member in this incarnation, if it is surely alive."""
        member = self._present.get(name)
        if member is None or member.incarnation != incarnation or not member.alive:
            return None
        return member

    def owner(self, zone: str) -> CollectorId:
        """Return who collects a zone, as this process sees it."""
        owner = self._owners.get(zone)
        if owner is None:
            owner = self._owners[zone] = next(iter(rank_collectors(zone, self.collectors)), self.me)
        return owner

    def owned_zones(self) -> list[str]:
        """Return the zones with senders that are collected here."""
        return [zone for zone in self.senders_by_zone if self.owner(zone) == self.me]
