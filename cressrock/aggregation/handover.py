"""Hands entries over to the collector now responsible for their zone.

Each entry is sent until it is acknowledged; once all are, the origins are dropped here.  Despite reordering,
loss and repetition, after reports stop one collector holds the newest entries and the others none.  The
module does no I/O.
"""

from __future__ import annotations

from cressrock.aggregation.entry_store import EntryStore, StoredEntry
from cressrock.aggregation.messages import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    HeldEntry,
    ReportEntry,
    encoded_size,
)

MAX_BATCHES = 16  # datagrams per zone and tick
MAX_UNACKNOWLEDGED = 4 * MAX_BATCHES  # batches; above this, pending ones are discarded and sent again


class HandoverTracker:
    """Builds batches of entries and tracks which ones were acknowledged."""

    def __init__(self, store: EntryStore) -> None:
        """Start without pending batches; `store` holds the entries to hand over."""
        self.store = store
        self._unacknowledged: dict[int, list[HeldEntry]] = {}

    def build_batches(self, zone: str, now_ms: float) -> list[list[HeldEntry]]:
        """Return a zone's entries that need a handover, in batches that fit one datagram each."""
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            self._unacknowledged.clear()
        batches: list[list[HeldEntry]] = []
        batch: list[HeldEntry] = []
        free_bytes = MAX_PAYLOAD_BYTES - HEADER_BYTES
        for name in sorted(self.store.names_in(zone)):
            origin = self.store.origins[name]
            for key, stored in sorted(origin.entries.items()):
                if not stored.needs_handover:
                    continue
                if len(batches) >= MAX_BATCHES:
                    return [*batches, batch] if batch else batches
                held = HeldEntry(name, origin.incarnation, _to_report_entry(key, stored, now_ms))
                size = encoded_size(held)
                if batch and size > free_bytes:
                    batches.append(batch)
                    batch, free_bytes = [], MAX_PAYLOAD_BYTES - HEADER_BYTES
                free_bytes -= size
                batch.append(held)
        return [*batches, batch] if batch else batches

    def record_sent(self, number: int, batch: list[HeldEntry]) -> None:
        """Keep a sent batch, by message number, until it is acknowledged."""
        self._unacknowledged[number] = batch

    def acknowledge(self, number: int) -> None:
        """Mark a batch's entries as held by the other collector; ignore unknown numbers."""
        for held in self._unacknowledged.pop(number, ()):
            origin = self.store.origins.get(held.name)
            if origin is None or origin.incarnation != held.incarnation:
                continue
            stored = origin.entries.get(held.entry.key)
            if stored is not None:
                stored.handed_version = max(stored.handed_version, held.entry.version)

    def forget_handed_over(self, zone: str) -> None:
        """Drop a zone's origins with reported entries; call it once no entry needs a handover."""
        for name in sorted(self.store.names_in(zone)):
            if self.store.origins[name].was_reported():
                self.store.forget(name)

    def clear(self) -> None:
        """Discard all pending batches."""
        self._unacknowledged.clear()


def _to_report_entry(key: str, stored: StoredEntry, now_ms: float) -> ReportEntry:
    age_ms = round(max(0.0, now_ms - stored.published_at_ms))
    return ReportEntry(key, stored.version, stored.value, age_ms)
