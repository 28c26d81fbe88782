"""One origin's state on this replica: its entries, and which of its versions are known."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cressrock.gossip.messages import EntryKey, Payload


@dataclass(slots=True)
class Entry:
    """The latest write of an origin under a key; `estimated_bytes` is its estimated memory."""

    version: int
    payload: Payload
    estimated_bytes: int


class VersionRange(NamedTuple):
    """The versions in the half-open interval (after, upto]."""

    after: int
    upto: int


KeyedEntry = tuple[EntryKey, Entry]
"""An entry with its key."""


@dataclass(slots=True)
class Sweep:
    """Progress of a resend of an origin from version 0.

    It is needed when a replica lags behind the origin's floor: the tombstones at or below the floor are gone,
    so entries that the resend does not contain must have been removed.  `upto` is the last version received.
    """

    floor: int
    upto: int = 0
    seen_keys: set[EntryKey] = field(default_factory=set)


@dataclass(slots=True)
class OriginState:
    """One origin's entries and known versions.

    Every version up to `known` is present or was replaced by a later one.  `ahead` lists the ranges known
    beyond a gap.  Tombstones at or below `floor` have been discarded.
    """

    known: int = 0
    floor: int = 0
    size_bytes: int = 0
    last: int = 0  # version of the last item in `entries`
    ordered: bool = True  # whether `entries` is sorted by version
    entries: dict[EntryKey, Entry] = field(default_factory=dict)
    ahead: list[VersionRange] = field(default_factory=list)  # sorted and disjoint
    sweep: Sweep | None = None
    tombstones: int = 0  # number of entries whose payload is None

    def add_known(self, after: int, upto: int, max_ranges: int) -> None:
        """Record that every version in (after, upto] is present or was replaced.

        At most `max_ranges` ranges beyond a gap are kept; the highest are dropped.
        """
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
        """Return, for each of the sorted versions, how many versions directly before it were replaced.

        Versions at or below `floor` do not count; versions above `known` count as 0.
        """
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
        """Return the entries with a version above `version` and up to `known`, sorted by version."""
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
