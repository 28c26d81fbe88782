"""What is held of one origin: its entries, and which of its versions are known."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cressrock.gossip.messages import EntryKey, Payload


@dataclass(slots=True)
class Entry:
    """What an origin wrote under a key with one of its versions; `cost` is in bytes, as reckoned."""

    version: int
    payload: Payload
    cost: int


class VersionRange(NamedTuple):
    """The versions in (after, upto]."""

    after: int
    upto: int


KeyedEntry = tuple[EntryKey, Entry]
"""An entry behind what it is entries by."""


@dataclass(slots=True)
class Sweep:
    """An origin told anew from version 0, as what it removed below its floor is forgotten."""

    floor: int
    upto: int = 0
    named: set[EntryKey] = field(default_factory=set)


@dataclass(slots=True)
class OriginState:
    """One origin's entries and known versions.

    Everything up to `known` is here or was replaced by something later; `ahead` is known beyond a gap; what
    was removed at or below `floor` is forgotten.
    """

    known: int = 0
    floor: int = 0
    size_bytes: int = 0
    last: int = 0  # the version that stands last in `entries`
    ordered: bool = True
    entries: dict[EntryKey, Entry] = field(default_factory=dict)
    ahead: list[VersionRange] = field(default_factory=list)  # sorted, apart
    sweep: Sweep | None = None
    tombstones: int = 0  # entries that are removed

    def add_known(self, after: int, upto: int, max_ranges: int) -> None:
        """Take in that everything in (after, upto] is here or was replaced."""
        if upto <= self.known or upto <= after:
            return
        if after <= self.known and not self.ahead:
            self.known = upto
            return
        ranges: list[VersionRange] = []
        for low, high in sorted([*self.ahead, (after, upto)]):
            if ranges and low <= ranges[-1].upto:
                ranges[-1] = VersionRange(ranges[-1].after, max(high, ranges[-1].upto))
            else:
                ranges.append(VersionRange(low, high))
        while ranges and ranges[0].after <= self.known:
            self.known = max(self.known, ranges.pop(0).upto)
        self.ahead = ranges[:max_ranges]

    def replaced_before(self, versions: list[int]) -> list[int]:
        """Return how many versions right before each of these (sorted) were replaced by later ones."""
        self._sort()
        counts = dict.fromkeys(versions, 0)
        following = 0
        for key in reversed(self.entries):
            version = self.entries[key].version
            if following:
                counts[following] = max(0, following - 1 - max(version, self.floor))
            following = version if version in counts and version <= self.known else 0
            if version < versions[0]:
                break
        else:
            if following:
                counts[following] = max(0, following - 1 - self.floor)
        return [counts[version] for version in versions]

    def entries_after(self, version: int) -> list[KeyedEntry]:
        """Return the entries after a version and up to `known`, in the order of their versions."""
        self._sort()
        entries: list[KeyedEntry] = []
        for key in reversed(self.entries):
            entry = self.entries[key]
            if entry.version <= version:
                break
            if entry.version <= self.known:
                entries.append((key, entry))
        entries.reverse()
        return entries

    def _sort(self) -> None:
        if not self.ordered:
            self.entries = dict(sorted(self.entries.items(), key=lambda pair: pair[1].version))
            self.ordered = True
