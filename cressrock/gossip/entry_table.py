"""The entries of all origins with their indexes, and the own entries that a change makes obsolete."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection
from typing import NamedTuple

from cressrock.gossip.change_log import ChangeLog
from cressrock.gossip.messages import EntryKey, EntryKind, Origin, Payload
from cressrock.gossip.origin_state import Entry, OriginState
from cressrock.gossip.removals import ItemRef, ItemRemovals
from cressrock.gossip.settings import GossipStoreSettings

# Bound once: an enum attribute lookup for every entry would cost as much as the rest of the work.
_VALUE, _COUNTER, _ITEM, _REMOVAL = EntryKind


class ObsoleteEntry(NamedTuple):
    """An own entry that a merge made obsolete; it is removed if it still has this version."""

    key: EntryKey
    version: int


IndexKey = tuple[int, str]
"""The kind and the key of entries, by which readers look them up."""

ItemOrigin = tuple[str, Origin]
"""The item and the origin of a readable entry; the item is empty for values and counters."""


class EntryTable:
    """Holds the state of each origin, the sorted origins, an index of readable entries, and item removals."""

    def __init__(self, local: Origin, settings: GossipStoreSettings) -> None:
        """Start with an empty state for `local`, this process's own origin."""
        self.local = local
        self.settings = settings
        self.own = OriginState()
        self.states: dict[Origin, OriginState] = {local: self.own}
        self.order: list[Origin] = [local]
        # Newest process incarnation of each name that is held here or retained.
        self.newest: dict[str, int] = {local[0]: local[1]}
        self.total_bytes = 0
        self.index: dict[IndexKey, dict[ItemOrigin, None]] = {}  # the inner dict is an ordered set
        self.removals = ItemRemovals()
        self.changes = ChangeLog(settings.max_change_notices)
        self.obsolete_entries: list[ObsoleteEntry] = []
        # True while own writes result from a merge; the local reader is then notified of them.
        self.removing_obsolete = False

    # --- origins

    def add_origin(self, origin: Origin) -> OriginState:
        """Add an origin with an empty state, as the newest process of its name; returns the state."""
        self.newest[origin[0]] = origin[1]
        state = self.states[origin] = OriginState()
        insort(self.order, origin)
        return state

    def remove_origin(self, origin: Origin) -> None:
        """Remove an origin; its entries must have been removed by `delete_entry` before."""
        del self.states[origin]
        del self.order[bisect_left(self.order, origin)]

    def item_entry(self, ref: ItemRef) -> Entry | None:
        """Return the entry of a map item, or None if it is absent or a tombstone of its origin."""
        state = self.states.get(ref.origin)
        entry = state.entries.get(EntryKey(EntryKind.ITEM, ref.key, ref.item)) if state else None
        return entry if entry is not None and entry.payload is not None else None

    def readable(self, kind: EntryKind, key: str) -> Collection[ItemOrigin]:
        """Return the item and origin of all readable entries under a key, in the order of arrival."""
        return self.index.get((kind, key), {})

    # --- entries

    def estimate_bytes(self, key: EntryKey, payload: Payload) -> int:
        """Return the estimated memory of an entry in bytes."""
        size = len(payload) if isinstance(payload, bytes) else 0
        return self.settings.entry_overhead_bytes + len(key.key) + len(key.item) + len(key.name) + size

    def is_too_large(self, key: EntryKey, payload: Payload) -> bool:
        """Return whether the key, item or value exceeds the limits of the settings."""
        max_bytes = self.settings.max_key_bytes
        if len(key.key.encode()) > max_bytes or len(key.item.encode()) > max_bytes:
            return True
        return isinstance(payload, bytes) and len(payload) > self.settings.max_value_bytes

    def set_entry(
        self, origin: Origin, state: OriginState, key: EntryKey, version: int, payload: Payload
    ) -> None:
        """Store an entry in place of the previous one with the same key, and update sizes and indexes."""
        previous = state.entries.pop(key, None)
        entry = Entry(version, payload, self.estimate_bytes(key, payload))
        added_bytes = entry.estimated_bytes - (previous.estimated_bytes if previous else 0)
        state.size_bytes += added_bytes
        self.total_bytes += added_bytes
        state.tombstones += (payload is None) - (previous is not None and previous.payload is None)
        if version < state.last:
            state.ordered = False
        else:
            state.last = version
        state.entries[key] = entry
        self._on_entry_changed(origin, key, previous, entry)

    def delete_entry(self, origin: Origin, state: OriginState, key: EntryKey) -> None:
        """Delete an entry without leaving a tombstone."""
        entry = state.entries.pop(key)
        state.size_bytes -= entry.estimated_bytes
        self.total_bytes -= entry.estimated_bytes
        state.tombstones -= entry.payload is None
        if entry.payload is not None:
            self._on_entry_changed(origin, key, entry, None)

    def raise_floor(self, origin: Origin, state: OriginState, floor: int) -> None:
        """Set the floor and delete the tombstones at or below it."""
        state.floor = floor
        if state.tombstones:
            for key, entry in list(state.entries.items()):
                if entry.payload is None and entry.version <= floor:
                    self.delete_entry(origin, state, key)

    # --- indexes and obsolete own entries

    def _on_entry_changed(
        self, origin: Origin, key: EntryKey, previous: Entry | None, entry: Entry | None
    ) -> None:
        kind = key.kind
        if kind == _REMOVAL:
            self._on_removal_changed(origin, key, previous, entry)
        elif kind in (_VALUE, _COUNTER, _ITEM):
            live_entry = entry if entry is not None and entry.payload is not None else None
            self._update_index(origin, key, is_present=live_entry is not None)
            if origin != self.local or self.removing_obsolete:
                self.changes.record(origin, key.key)
            if kind == _ITEM:
                self._on_item_changed(origin, key, live_entry)

    def _update_index(self, origin: Origin, key: EntryKey, *, is_present: bool) -> None:
        index_key = (key.kind, key.key)
        item_origins = self.index.get(index_key)
        if is_present:
            if item_origins is None:
                item_origins = self.index[index_key] = {}
            item_origins[(key.item, origin)] = None
        elif item_origins is not None:
            item_origins.pop((key.item, origin), None)
            if not item_origins:
                del self.index[index_key]

    def _on_item_changed(self, origin: Origin, key: EntryKey, live_entry: Entry | None) -> None:
        """Mark the own removal of an item as obsolete once the item is gone or newer than the removal."""
        self.removals.clear_hidden(
            ItemRef(origin, key.key, key.item), live_entry.version if live_entry else None
        )
        removal_key = EntryKey(EntryKind.REMOVAL, key.key, key.item, *origin)
        removal = self.own.entries.get(removal_key)
        if removal is not None and isinstance(removal.payload, int):
            if live_entry is None or live_entry.version > removal.payload:
                self.obsolete_entries.append(ObsoleteEntry(removal_key, removal.version))

    def _on_removal_changed(
        self, remover: Origin, key: EntryKey, previous: Entry | None, entry: Entry | None
    ) -> None:
        target = (key.name, key.process_incarnation)
        ref = ItemRef(target, key.key, key.item)
        if remover != self.local:
            self.changes.record(target, key.key)
        item = self.item_entry(ref)
        if entry is not None and isinstance(entry.payload, int):
            self.removals.record(ref, remover, entry.payload)
            if target == self.local and item is not None and item.version <= entry.payload:
                item_key = EntryKey(EntryKind.ITEM, key.key, key.item)
                self.obsolete_entries.append(ObsoleteEntry(item_key, item.version))
            return
        self.removals.withdraw(ref, remover)
        if previous is not None and isinstance(previous.payload, int) and target != self.local:
            if item is not None and item.version <= previous.payload:
                self.removals.hide(ref, previous.payload)
