"""This process's own writes: each takes its next version, within the settings' bounds."""

from __future__ import annotations

from cressrock.errors.gossip import EntryTooLargeError, OriginFullError
from cressrock.gossip.broadcasts import ChangeBroadcasts
from cressrock.gossip.entry_table import EntryTable
from cressrock.gossip.messages import EntryKey, Payload


class LocalWriter:
    """Writes own entries and queues them for broadcast."""

    def __init__(self, table: EntryTable, broadcasts: ChangeBroadcasts) -> None:
        """Write into `table`."""
        self._table = table
        self._broadcasts = broadcasts

    def write(self, key: EntryKey, payload: Payload) -> None:
        """Give an own entry the next version.  Raises EntryTooLargeError or OriginFullError."""
        table, own = self._table, self._table.own
        if not key.key or table.is_too_large(key, payload):
            raise EntryTooLargeError(f"entry {key.key[:40]!r} {key.item[:40]!r}: empty, or past the settings")
        self._ensure_capacity(key, payload)
        own.known += 1
        table.set_entry(table.local, own, key, own.known, payload)
        self._broadcasts.add(table.local, key)
        retained = table.settings.retained_tombstones
        if own.tombstones > 2 * retained:
            versions = [entry.version for _, entry in own.entries_after(0) if entry.payload is None]
            table.raise_floor(table.local, own, versions[-retained - 1])

    def _ensure_capacity(self, key: EntryKey, payload: Payload) -> None:
        """Forget removals where an entry does not fit, at the price of a sweep for whoever is late."""
        table, own = self._table, self._table.own
        previous = own.entries.get(key)
        added = table.cost(key, payload) - (previous.cost if previous else 0)
        max_bytes = table.settings.max_origin_bytes
        if payload is None or own.size_bytes + added <= max_bytes:
            return
        forgettable = sum(e.cost for k, e in own.entries.items() if e.payload is None and k != key)
        if own.size_bytes + added - forgettable > max_bytes:
            raise OriginFullError(
                f"{own.size_bytes} bytes of own entries, {added} more for {key.key[:40]!r};"
                f" at most {max_bytes}"
            )
        table.raise_floor(table.local, own, own.known)

    def erase(self, key: EntryKey) -> None:
        """Remove an own entry, if there is one."""
        entry = self._table.own.entries.get(key)
        if entry is not None and entry.payload is not None:
            self.write(key, None)

    def settle(self) -> None:
        """Remove own entries that merges made obsolete: items that others removed, removals that are done."""
        table = self._table
        table.settling = True
        while table.follow_ups:
            key, version = table.follow_ups.pop()
            entry = table.own.entries.get(key)
            if entry is not None and entry.version == version:
                self.erase(key)
        table.settling = False
