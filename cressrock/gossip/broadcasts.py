"""Broadcast queue for recent changes: each is sent a bounded number of times (Demers et al. 1987)."""

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

MESSAGE_OVERHEAD_BYTES = 8  # encoding overhead of a message in addition to its sections
ENTRY_FRAMING_BYTES = 3  # encoding overhead of an entry in addition to its own bytes
LIST_HEADERS_BYTES = 6  # list headers of a section's two lists
MAX_SKIPPED_ENTRIES = 4  # entries that do not fit before selection stops: the message is nearly full by then


_PendingKey = tuple[Origin, EntryKey]


class _QueuedChange(NamedTuple):
    transmissions: int
    pending: _PendingKey


class ChangeBroadcasts:
    """Changes waiting to be broadcast, those sent least often first."""

    def __init__(self, table: EntryTable) -> None:
        """Start empty; entries are read from `table` when they are sent."""
        self._table = table
        self._transmissions: dict[_PendingKey, int] = {}
        # Queued changes by the number of times they were sent; the dicts are ordered sets.
        self._by_send_count: list[dict[_PendingKey, None]] = [{}]

    def __len__(self) -> int:
        """Return the number of queued changes."""
        return len(self._transmissions)

    @property
    def has_unsent(self) -> bool:
        """Whether a queued change has not been sent yet."""
        return bool(self._by_send_count[0])

    def clear(self) -> None:
        """Drop all queued changes."""
        self._transmissions, self._by_send_count = {}, [{}]

    def add(self, origin: Origin, key: EntryKey) -> None:
        """Queue a change as unsent; if `max_pending_changes` are queued, drop the one sent most often."""
        pending = (origin, key)
        send_count = self._transmissions.pop(pending, None)
        if send_count is not None:
            del self._by_send_count[send_count][pending]
        elif len(self._transmissions) >= self._table.settings.max_pending_changes:
            send_count = max(i for i, queued in enumerate(self._by_send_count) if queued)
            dropped = next(iter(self._by_send_count[send_count]))
            del self._by_send_count[send_count][dropped], self._transmissions[dropped]
        self._by_send_count[0][pending] = None
        self._transmissions[pending] = 0

    def max_transmissions(self) -> int:
        """Return how many times this process sends one change."""
        members = len(self._table.newest)
        return max(1, math.ceil(self._table.settings.retransmit_factor * math.log2(members + 1)))

    def encode(self, max_bytes: int) -> bytes:
        """Return the changes sent least often in a message of at most `max_bytes`; b"" if none fits."""
        by_origin = self._select(max_bytes - MESSAGE_OVERHEAD_BYTES)
        if not by_origin:
            return b""
        sections: list[EncodedSection] = []
        for origin, entries in by_origin.items():
            entries.sort()
            state = self._table.states[origin]
            # Without these counts, a key that is written repeatedly leaves version gaps that broadcasts
            # could never close.
            replaced = state.replaced_before([version for version, _ in entries])
            sections.append(EncodedSection(*origin, 0, 0, state.floor, False, raw_entries(entries), replaced))
        return encode_changes(MessageKind.RECENT, sections)

    def _select(self, max_bytes: int) -> dict[Origin, list[EncodedEntry]]:
        """Return entries that fit, counting their transmission; drop deleted and sufficiently sent ones."""
        max_transmissions = self.max_transmissions()
        remaining_bytes = max_bytes
        by_origin: dict[Origin, list[EncodedEntry]] = {}
        sent: list[_QueuedChange] = []
        stale: list[_QueuedChange] = []
        skipped = 0
        for send_count, queued in enumerate(self._by_send_count):
            for pending in queued:
                origin, key = pending
                state = self._table.states.get(origin)
                entry = state.entries.get(key) if state else None
                if entry is None or send_count >= max_transmissions:
                    stale.append(_QueuedChange(send_count, pending))
                    continue
                data = encode_entry(key, entry.version, entry.payload)
                size = (
                    len(data)
                    + ENTRY_FRAMING_BYTES
                    + (0 if origin in by_origin else self._section_bytes(origin))
                )
                if size > remaining_bytes:
                    skipped += 1
                    if skipped >= MAX_SKIPPED_ENTRIES:
                        break
                    continue
                remaining_bytes -= size
                by_origin.setdefault(origin, []).append((entry.version, data))
                sent.append(_QueuedChange(send_count, pending))
            if skipped >= MAX_SKIPPED_ENTRIES:
                break
        self._drop(stale)
        self._count_transmissions(sent, max_transmissions)
        return by_origin

    def _section_bytes(self, origin: Origin) -> int:
        floor = self._table.states[origin].floor
        return len(encode((*origin, 0, 0, floor, False))) + LIST_HEADERS_BYTES

    def _drop(self, stale: list[_QueuedChange]) -> None:
        for send_count, pending in stale:
            del self._by_send_count[send_count][pending], self._transmissions[pending]

    def _count_transmissions(self, sent: list[_QueuedChange], max_transmissions: int) -> None:
        for send_count, pending in sent:
            del self._by_send_count[send_count][pending]
            if send_count + 1 >= max_transmissions:
                del self._transmissions[pending]
                continue
            while len(self._by_send_count) <= send_count + 1:
                self._by_send_count.append({})
            self._by_send_count[send_count + 1][pending] = None
            self._transmissions[pending] = send_count + 1
