"""This process's own writes: each is assigned the next version, within the limits of the settings."""

from __future__ import annotations

from cressrock.errors.gossip import EntryTooLargeError, OriginFullError
from cressrock.gossip.broadcasts import ChangeBroadcasts
from cressrock.gossip.entry_table import EntryTable
from cressrock.gossip.messages import EntryKey, Payload


class LocalWriter:
    """Writes own entries and queues them for broadcast."""

    def __init__(self, table: EntryTable, broadcasts: ChangeBroadcasts) -> None:
        """Write to `table` and announce each write through `broadcasts`."""
        self._table = table
        self._broadcasts = broadcasts

    def write(self, key: EntryKey, payload: Payload) -> None:
        """Store an own entry under the next version and queue it for broadcast.

        Discards the oldest tombstones when there are more than twice `retained_tombstones`.
        Raises EntryTooLargeError or OriginFullError; then nothing was changed.
        """
        table, own = self._table, self._table.own
        if not key.key or table.is_too_large(key, payload):
            raise EntryTooLargeError(
                f"entry {key.key[:40]!r} {key.item[:40]!r}: the key is empty, or the key, item or value"
                " exceeds the configured size"
            )
        self._ensure_capacity(key, payload)
        own.known += 1
        table.set_entry(table.local, own, key, own.known, payload)
        self._broadcasts.add(table.local, key)
        retained = table.settings.retained_tombstones
        if own.tombstones > 2 * retained:
            versions = [entry.version for _, entry in own.entries_after(0) if entry.payload is None]
            table.raise_floor(table.local, own, versions[-retained - 1])

    def _ensure_capacity(self, key: EntryKey, payload: Payload) -> None:
        """Discard all own tombstones if the entry does not fit otherwise; lagging replicas then need a sweep.

        Raises OriginFullError if the entry does not fit even then.
        """
        table, own = self._table, self._table.own
        previous = own.entries.get(key)
        added_bytes = table.estimate_bytes(key, payload) - (previous.estimated_bytes if previous else 0)
        max_bytes = table.settings.max_origin_bytes
        if payload is None or own.size_bytes + added_bytes <= max_bytes:
            return
        tombstone_bytes = sum(
            e.estimated_bytes for k, e in own.entries.items() if e.payload is None and k != key
        )
        if own.size_bytes + added_bytes - tombstone_bytes > max_bytes:
            raise OriginFullError(
                f"own entries use {own.size_bytes} bytes, and {added_bytes} more are needed"
                f" for {key.key[:40]!r}; the limit is {max_bytes} bytes"
            )
        table.raise_floor(table.local, own, own.known)

    def erase(self, key: EntryKey) -> None:
        """Replace an own entry by a tombstone; no effect if there is none."""
        entry = self._table.own.entries.get(key)
        if entry is not None and entry.payload is not None:
            self.write(key, None)

    def remove_obsolete_entries(self) -> None:
        """Remove own entries that merges made obsolete: items that others removed, and completed removals."""
        table = self._table
        table.removing_obsolete = True
        while table.obsolete_entries:
            key, version = table.obsolete_entries.pop()
            entry = table.own.entries.get(key)
            if entry is not None and entry.version == version:
                self.erase(key)
        table.removing_obsolete = False
