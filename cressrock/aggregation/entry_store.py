"""A collector's store of the newest entry per origin and key.

The result does not depend on reordering, loss or repetition of older versions.  Only incarnations that the
membership holds alive are kept.  The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cressrock.aggregation.members import MemberInfo, MemberTable
from cressrock.aggregation.messages import MAX_ENTRIES_PER_ORIGIN, ReportEntry
from cressrock.aggregation.summarizer import Summarizer

GOSSIP_VERSION = 0  # of entries received by gossip; any reported version is higher


@dataclass(slots=True)
class StoredEntry:
    """The newest version of an entry."""

    version: int
    value: bytes | None
    published_at_ms: float  # estimated on this process's clock from the reported age
    handed_version: int = -1  # newest version whose handover was acknowledged

    @property
    def needs_handover(self) -> bool:
        """Whether this reported version is not yet acknowledged by its zone's collector."""
        return self.version != GOSSIP_VERSION and self.handed_version < self.version


@dataclass(slots=True)
class StoredOrigin:
    """The entries of one origin, by key, and when it was last seen."""

    incarnation: int
    zone: str
    last_seen_ms: float
    entries: dict[str, StoredEntry] = field(default_factory=dict)
    reports_here: bool = False  # False: known only by gossip or from another collector

    def uses_collectors(self) -> bool:
        """Whether any current entry was reported to a collector and not received by gossip."""
        return any(entry.version and entry.value is not None for entry in self.entries.values())

    def was_reported(self) -> bool:
        """Whether any entry or removal was reported to a collector."""
        return any(entry.version for entry in self.entries.values())


class EntryStore:
    """Stores the entries of all origins and passes new ones to the summarizer."""

    def __init__(self, summarizer: Summarizer) -> None:
        """Start empty; `summarizer` receives every stored entry and every dropped origin."""
        self.summarizer = summarizer
        self.origins: dict[str, StoredOrigin] = {}
        self._names_by_zone: dict[str, set[str]] = {}

    def zones(self) -> list[str]:
        """Return the zones that have origins here, sorted."""
        return sorted(zone for zone, names in self._names_by_zone.items() if names)

    def names_in(self, zone: str) -> set[str]:
        """Return the names of a zone's origins.  Raises KeyError for a zone never seen."""
        return self._names_by_zone[zone]

    def origins_in(self, zone: str) -> Iterator[StoredOrigin]:
        """Iterate over a zone's origins.  Raises KeyError for a zone never seen."""
        return (self.origins[name] for name in self._names_by_zone[zone])

    def retain(self, members: MemberTable) -> None:
        """Drop origins that are no longer alive in the same incarnation and zone."""
        for name, origin in list(self.origins.items()):
            member = members.alive(name, origin.incarnation)
            if member is None or member.zone != origin.zone:
                self.forget(name)

    def forget(self, name: str) -> None:
        """Drop an origin, here and in the summarizer.  Raises KeyError if it is unknown."""
        origin = self.origins.pop(name)
        self._names_by_zone[origin.zone].discard(name)
        self.summarizer.forget((name, origin.incarnation))

    def touch_origin(self, member: MemberInfo, at_ms: float) -> StoredOrigin:
        """Return a member's origin, seen at `at_ms`; replace one that restarted or changed its zone."""
        origin = self.origins.get(member.name)
        if origin is None or origin.incarnation != member.incarnation or origin.zone != member.zone:
            if origin is not None:
                self.forget(member.name)
            origin = self.origins[member.name] = StoredOrigin(member.incarnation, member.zone, at_ms)
            self._names_by_zone.setdefault(member.zone, set()).add(member.name)
        origin.last_seen_ms = max(origin.last_seen_ms, at_ms)
        return origin

    def receive(self, member: MemberInfo, entry: ReportEntry, now_ms: float) -> bool:
        """Store a member's entry if it is newer and there is room; return whether it was stored."""
        at_ms = now_ms - entry.age_ms
        entries = self.touch_origin(member, at_ms).entries
        stored = entries.get(entry.key)
        # If the same version arrives by two paths, the greater age is kept.
        if stored is not None and (stored.version, -stored.published_at_ms) >= (entry.version, -at_ms):
            return False
        if stored is None and len(entries) >= MAX_ENTRIES_PER_ORIGIN:
            return False
        entries[entry.key] = StoredEntry(entry.version, entry.value, at_ms)
        origin = (member.name, member.incarnation)
        self.summarizer.receive(origin, entry.key, entry.value, at_ms)
        return True

    def receive_gossip(self, member: MemberInfo, key: str, value: bytes | None, now_ms: float) -> None:
        """Store an entry received by gossip unless the member reports to collectors."""
        origin = self.origins.get(member.name)
        if origin is not None and origin.incarnation == member.incarnation and origin.uses_collectors():
            return  # its remaining gossip entries may be outdated
        entries = self.touch_origin(member, now_ms).entries
        stored = entries.get(key)
        if stored is not None and stored.value == value:
            return
        if stored is None and len(entries) >= MAX_ENTRIES_PER_ORIGIN:
            return
        entries[key] = StoredEntry(GOSSIP_VERSION, value, now_ms)
        self.summarizer.receive((member.name, member.incarnation), key, value, now_ms)

    def clear(self) -> None:
        """Drop all origins, here and in the summarizer."""
        for name in list(self.origins):
            self.forget(name)
