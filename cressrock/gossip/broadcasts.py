"""The newest changes on their way: each is passed on a bounded number of times (Demers et al. 1987)."""

from __future__ import annotations

import math
from typing import NamedTuple

from cressrock.gossip.entry_table import EntryTable
from cressrock.gossip.messages import (
    EncodedEntry,
    EncodedSection,
    EntryKey,
    MessageKind,
    Origin,
    encode,
    encode_changes,
    encode_entry,
    raw_entries,
)

MESSAGE_BYTES = 8  # of a message, beside its sections
ENTRY_BYTES = 3  # of an entry, beside its own bytes
LIST_HEADS_BYTES = 6  # of a section's two lists
MAX_MISSES = 4  # entries that do not fit: then the message is nearly full, and no more are tried


_Pending = tuple[Origin, EntryKey]


class _Queued(NamedTuple):
    transmissions: int
    pending: _Pending


class ChangeBroadcasts:
    """Changes by how often they were passed on, the least sent first."""

    def __init__(self, table: EntryTable) -> None:
        """Begin with none."""
        self._table = table
        self._transmissions: dict[_Pending, int] = {}
        self._levels: list[dict[_Pending, None]] = [{}]

    def __len__(self) -> int:
        """Return how many changes wait."""
        return len(self._transmissions)

    @property
    def has_unsent(self) -> bool:
        """Whether a change waits that was never sent."""
        return bool(self._levels[0])

    def clear(self) -> None:
        """Drop all."""
        self._transmissions, self._levels = {}, [{}]

    def add(self, origin: Origin, key: EntryKey) -> None:
        """Begin to pass on a change; where too many wait, the most sent gives way."""
        pending = (origin, key)
        level = self._transmissions.pop(pending, None)
        if level is not None:
            del self._levels[level][pending]
        elif len(self._transmissions) >= self._table.settings.max_pending_changes:
            level = max(i for i, waiting in enumerate(self._levels) if waiting)
            oldest = next(iter(self._levels[level]))
            del self._levels[level][oldest], self._transmissions[oldest]
        self._levels[0][pending] = None
        self._transmissions[pending] = 0

    def max_transmissions(self) -> int:
        """Return how often this process passes one change on."""
        members = len(self._table.newest)
        return max(1, math.ceil(self._table.settings.retransmit_factor * math.log2(members + 1)))

    def encode(self, max_bytes: int) -> bytes:
        """Return the least sent changes in a message of at most max_bytes; b"" if none."""
        by_origin = self._select(max_bytes - MESSAGE_BYTES)
        if not by_origin:
            return b""
        sections: list[EncodedSection] = []
        for origin, entries in by_origin.items():
            entries.sort()
            state = self._table.states[origin]
            # Without this, a key written again and again leaves gaps that no broadcast could ever close.
            replaced = state.replaced_before([version for version, _ in entries])
            sections.append(EncodedSection(*origin, 0, 0, state.floor, False, raw_entries(entries), replaced))
        return encode_changes(MessageKind.RECENT, sections)

    def _select(self, max_bytes: int) -> dict[Origin, list[EncodedEntry]]:
        """Choose what fits, count its transmission, and drop what is gone or was sent often enough."""
        max_transmissions = self.max_transmissions()
        remaining = max_bytes
        by_origin: dict[Origin, list[EncodedEntry]] = {}
        sent: list[_Queued] = []
        stale: list[_Queued] = []
        misses = 0
        for level, waiting in enumerate(self._levels):
            for pending in waiting:
                origin, key = pending
                state = self._table.states.get(origin)
                entry = state.entries.get(key) if state else None
                if entry is None or level >= max_transmissions:
                    stale.append(_Queued(level, pending))
                    continue
                data = encode_entry(key, entry.version, entry.payload)
                size = len(data) + ENTRY_BYTES + (0 if origin in by_origin else self._section_bytes(origin))
                if size > remaining:
                    misses += 1
                    if misses >= MAX_MISSES:
                        break
                    continue
                remaining -= size
                by_origin.setdefault(origin, []).append((entry.version, data))
                sent.append(_Queued(level, pending))
            if misses >= MAX_MISSES:
                break
        self._drop(stale)
        self._count_transmissions(sent, max_transmissions)
        return by_origin

    def _section_bytes(self, origin: Origin) -> int:
        floor = self._table.states[origin].floor
        return len(encode((*origin, 0, 0, floor, False))) + LIST_HEADS_BYTES

    def _drop(self, stale: list[_Queued]) -> None:
        for level, pending in stale:
            del self._levels[level][pending], self._transmissions[pending]

    def _count_transmissions(self, sent: list[_Queued], max_transmissions: int) -> None:
        for level, pending in sent:
            del self._levels[level][pending]
            if level + 1 >= max_transmissions:
                del self._transmissions[pending]
                continue
            while len(self._levels) <= level + 1:
                self._levels.append({})
            self._levels[level + 1][pending] = None
            self._transmissions[pending] = level + 1
