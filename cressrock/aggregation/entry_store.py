"""The newest entry of each key of each origin, as a collector holds them.  Pure.

Order, loss and repetition change nothing.  Nothing is kept of incarnations that the members do not hold
alive.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cressrock.aggregation.members import MemberInfo, MemberTable
from cressrock.aggregation.messages import MAX_ENTRIES_PER_ORIGIN, ReportEntry
from cressrock.aggregation.summarizer import Summarizer

GOSSIP_VERSION = 0  # of entries that came by gossip: any that is reported here is newer


@dataclass(slots=True)
class StoredEntry:
    """An entry's newest version."""

    version: int
    value: bytes | None
    published_at_ms: float  # as far as is known on this clock
    handed_version: int = -1  # newest that was handed over and acknowledged

    @property
    def needs_handover(self) -> bool:
        """Whether another collector of its zone does not have it yet."""
        return self.version != GOSSIP_VERSION and self.handed_version < self.version


@dataclass(slots=True)
class StoredOrigin:
    """One origin's entries."""

    incarnation: int
    zone: str
    last_seen_ms: float
    entries: dict[str, StoredEntry] = field(default_factory=dict)
    reports_here: bool = False  # by itself; else another collector handed its entries over

    def uses_collectors(self) -> bool:
        """Whether it reports to collectors, and not by gossip."""
        return any(entry.version and entry.value is not None for entry in self.entries.values())

    def was_reported(self) -> bool:
        """Whether any of its entries, or of its removals, came by a report."""
        return any(entry.version for entry in self.entries.values())


class EntryStore:
    """All origins' entries; the summarizer receives what is new."""

    def __init__(self, summarizer: Summarizer) -> None:
        """Begin with none."""
        self.summarizer = summarizer
        self.origins: dict[str, StoredOrigin] = {}
        self._by_zone: dict[str, set[str]] = {}

    def zones(self) -> list[str]:
        """Return the zones of which entries are held."""
        return sorted(zone for zone, names in self._by_zone.items() if names)

    def names_in(self, zone: str) -> set[str]:
        """Return the names of a zone's origins."""
        return self._by_zone[zone]

    def origins_in(self, zone: str) -> Iterator[StoredOrigin]:
        """Return a zone's origins."""
        return (self.origins[name] for name in self._by_zone[zone])

    def retain(self, members: MemberTable) -> None:
        """Forget origins that are not alive in their incarnation and zone."""
        for name, origin in list(self.origins.items()):
            member = members.alive(name, origin.incarnation)
            if member is None or member.zone != origin.zone:
                self.forget(name)

    def forget(self, name: str) -> None:
        """Forget an origin."""
        origin = self.origins.pop(name)
        self._by_zone[origin.zone].discard(name)
        self.summarizer.forget((name, origin.incarnation))

    def hear(self, member: MemberInfo, at_ms: float) -> StoredOrigin:
        """Return a member's origin, heard of at this time."""
        origin = self.origins.get(member.name)
        if origin is None or origin.incarnation != member.incarnation or origin.zone != member.zone:
            if origin is not None:
                self.forget(member.name)
            origin = self.origins[member.name] = StoredOrigin(member.incarnation, member.zone, at_ms)
            self._by_zone.setdefault(member.zone, set()).add(member.name)
        origin.last_seen_ms = max(origin.last_seen_ms, at_ms)
        return origin

    def receive(self, member: MemberInfo, entry: ReportEntry, now_ms: float) -> bool:
        """Keep a member's entry if it is the newest; returns whether it was."""
        at_ms = now_ms - entry.age_ms
        entries = self.hear(member, at_ms).entries
        stored = entries.get(entry.key)
        # The same version received by two ways is as old as the older of both says.
        if stored is not None and (stored.version, -stored.published_at_ms) >= (entry.version, -at_ms):
            return False
        if stored is None and len(entries) >= MAX_ENTRIES_PER_ORIGIN:
            return False
        entries[entry.key] = StoredEntry(entry.version, entry.value, at_ms)
        origin = (member.name, member.incarnation)
        self.summarizer.receive(origin, entry.key, entry.value, at_ms)
        return True

    def receive_gossip(self, member: MemberInfo, key: str, value: bytes | None, now_ms: float) -> None:
        """Keep an entry that came by gossip, of a member that does not report to collectors."""
        known = self.origins.get(member.name)
        if known is not None and known.incarnation == member.incarnation and known.uses_collectors():
            return  # what is left of it in the gossip store may be old
        entries = self.hear(member, now_ms).entries
        stored = entries.get(key)
        if stored is not None and stored.value == value:
            return
        if stored is None and len(entries) >= MAX_ENTRIES_PER_ORIGIN:
            return
        entries[key] = StoredEntry(GOSSIP_VERSION, value, now_ms)
        self.summarizer.receive((member.name, member.incarnation), key, value, now_ms)

    def clear(self) -> None:
        """Forget everything."""
        for name in list(self.origins):
            self.forget(name)
