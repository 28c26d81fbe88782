"""Handing entries over to the collector that collects their zone now.  Pure.

By anti-entropy: entry by entry, until all are acknowledged; then the origins are forgotten here.  So with
any order, loss and repetition, once it is quiet one collector holds the newest of all entries, and the other
none.
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

MAX_BATCHES = 16  # datagrams of a zone's handover at a tick
MAX_UNACKNOWLEDGED = 4 * MAX_BATCHES  # batches; more were not answered, and are handed over again


class HandoverTracker:
    """What is handed over, and what of it is acknowledged."""

    def __init__(self, store: EntryStore) -> None:
        """Hand over what is in `store`."""
        self.store = store
        self._unacknowledged: dict[int, list[HeldEntry]] = {}

    def batches(self, zone: str, now_ms: float) -> list[list[HeldEntry]]:
        """Return a zone's entries that have to be handed over, in batches that fit a datagram each."""
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
                held = HeldEntry(name, origin.incarnation, _as_reported(key, stored, now_ms))
                size = encoded_size(held)
                if batch and size > free_bytes:
                    batches.append(batch)
                    batch, free_bytes = [], MAX_PAYLOAD_BYTES - HEADER_BYTES
                free_bytes -= size
                batch.append(held)
        return [*batches, batch] if batch else batches

    def sent(self, number: int, batch: list[HeldEntry]) -> None:
        """Remember a batch until it is acknowledged."""
        self._unacknowledged[number] = batch

    def acknowledge(self, number: int) -> None:
        """Learn that the other collector holds a batch."""
        for held in self._unacknowledged.pop(number, ()):
            origin = self.store.origins.get(held.name)
            if origin is None or origin.incarnation != held.incarnation:
                continue
            stored = origin.entries.get(held.entry.key)
            if stored is not None:
                stored.handed_version = max(stored.handed_version, held.entry.version)

    def forget_handed(self, zone: str) -> None:
        """Forget the origins of a zone of which nothing is left to be handed over."""
        for name in sorted(self.store.names_in(zone)):
            if self.store.origins[name].was_reported():
                self.store.forget(name)

    def clear(self) -> None:
        """Forget what was sent."""
        self._unacknowledged.clear()


def _as_reported(key: str, stored: StoredEntry, now_ms: float) -> ReportEntry:
    age_ms = round(max(0.0, now_ms - stored.published_at_ms))
    return ReportEntry(key, stored.version, stored.value, age_ms)
