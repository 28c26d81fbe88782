"""The entries of all origins with their indexes, and what a changed entry asks of this process."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection
from typing import NamedTuple

from cressrock.gossip.change_log import ChangeLog
from cressrock.gossip.messages import EntryKey, EntryKind, Origin, Payload
from cressrock.gossip.origin_state import Entry, OriginState
from cressrock.gossip.removals import ItemRef, ItemRemovals
from cressrock.gossip.settings import GossipStoreSettings

# Looked up once: on the path of every entry an enumeration's attributes cost as much as the work.
_VALUE, _COUNTER, _ITEM, _REMOVAL = EntryKind


class FollowUp(NamedTuple):
    """An own entry to remove, if it still has this version: what was merged made it unnecessary."""

    key: EntryKey
    version: int


IndexKey = tuple[int, str]
"""What readers look up: the kind and the key of entries."""

ItemOrigin = tuple[str, Origin]
"""Who has a readable entry under a key, and of which item; the item is empty for values and counters."""


class EntryTable:
    """States by origin, their sorted order, the readable entries by key, and the removals of items."""

    def __init__(self, local: Origin, settings: GossipStoreSettings) -> None:
        """Hold an empty state of this process."""
        self.local = local
        self.settings = settings
        self.own = OriginState()
        self.states: dict[Origin, OriginState] = {local: self.own}
        self.order: list[Origin] = [local]
        self.newest: dict[str, int] = {
            local[0]: local[1]
        }  # process incarnation of each name held or retained
        self.total_bytes = 0
        self.index: dict[IndexKey, dict[ItemOrigin, None]] = {}  # ordered sets
        self.removals = ItemRemovals()
        self.changes = ChangeLog(settings.max_change_notices)
        self.follow_ups: list[FollowUp] = []
        self.settling = False  # own writes now follow from what was merged, so the local reader is told

    # --- origins

    def add_origin(self, origin: Origin) -> OriginState:
        """Begin to hold an origin."""
        self.newest[origin[0]] = origin[1]
        state = self.states[origin] = OriginState()
        insort(self.order, origin)
        return state

    def remove_origin(self, origin: Origin) -> None:
        """Hold an origin, whose entries were forgotten, no longer."""
        del self.states[origin]
        del self.order[bisect_left(self.order, origin)]

    def item_entry(self, ref: ItemRef) -> Entry | None:
        """Return the entry of an origin's item that is not removed by its origin."""
        state = self.states.get(ref.origin)
        entry = state.entries.get(EntryKey(EntryKind.ITEM, ref.key, ref.item)) if state else None
        return entry if entry is not None and entry.payload is not None else None

    def readable(self, kind: EntryKind, key: str) -> Collection[ItemOrigin]:
        """Return the item and origin of all readable entries under a key, in the order of their coming."""
        return self.index.get((kind, key), {})

    # --- entries

    def cost(self, key: EntryKey, payload: Payload) -> int:
        """Return the bytes that an entry is reckoned to cost."""
        size = len(payload) if isinstance(payload, bytes) else 0
        return self.settings.entry_overhead_bytes + len(key.key) + len(key.item) + len(key.name) + size

    def is_too_large(self, key: EntryKey, payload: Payload) -> bool:
        """Whether a key, an item or a value passes the settings."""
        max_bytes = self.settings.max_key_bytes
        if len(key.key.encode()) > max_bytes or len(key.item.encode()) > max_bytes:
            return True
        return isinstance(payload, bytes) and len(payload) > self.settings.max_value_bytes

    def set_entry(
        self, origin: Origin, state: OriginState, key: EntryKey, version: int, payload: Payload
    ) -> None:
        """Put an entry in the place of an older one."""
        previous = state.entries.pop(key, None)
        entry = Entry(version, payload, self.cost(key, payload))
        added = entry.cost - (previous.cost if previous else 0)
        state.size_bytes += added
        self.total_bytes += added
        state.tombstones += (payload is None) - (previous is not None and previous.payload is None)
        if version < state.last:
            state.ordered = False
        else:
            state.last = version
        state.entries[key] = entry
        self._entry_changed(origin, key, previous, entry)

    def forget_entry(self, origin: Origin, state: OriginState, key: EntryKey) -> None:
        """Remove an entry without a trace."""
        entry = state.entries.pop(key)
        state.size_bytes -= entry.cost
        self.total_bytes -= entry.cost
        state.tombstones -= entry.payload is None
        if entry.payload is not None:
            self._entry_changed(origin, key, entry, None)

    def raise_floor(self, origin: Origin, state: OriginState, floor: int) -> None:
        """Forget what was removed at or below a version."""
        state.floor = floor
        if state.tombstones:
            for key, entry in list(state.entries.items()):
                if entry.payload is None and entry.version <= floor:
                    self.forget_entry(origin, state, key)

    # --- indexes, and what follows from a change

    def _entry_changed(
        self, origin: Origin, key: EntryKey, previous: Entry | None, entry: Entry | None
    ) -> None:
        kind = key.kind
        if kind == _REMOVAL:
            self._removal_changed(origin, key, previous, entry)
        elif kind in (_VALUE, _COUNTER, _ITEM):
            alive = entry if entry is not None and entry.payload is not None else None
            self._update_index(origin, key, present=alive is not None)
            if origin != self.local or self.settling:
                self.changes.record(origin, key.key)
            if kind == _ITEM:
                self._item_changed(origin, key, alive)

    def _update_index(self, origin: Origin, key: EntryKey, *, present: bool) -> None:
        index_key = (key.kind, key.key)
        places = self.index.get(index_key)
        if present:
            if places is None:
                places = self.index[index_key] = {}
            places[(key.item, origin)] = None
        elif places is not None:
            places.pop((key.item, origin), None)
            if not places:
                del self.index[index_key]

    def _item_changed(self, origin: Origin, key: EntryKey, alive: Entry | None) -> None:
        """Where an item is gone or newer than its removal, the removal has done its work."""
        self.removals.reveal(ItemRef(origin, key.key, key.item), alive.version if alive else None)
        removal_key = EntryKey(EntryKind.REMOVAL, key.key, key.item, *origin)
        removal = self.own.entries.get(removal_key)
        if removal is not None and isinstance(removal.payload, int):
            if alive is None or alive.version > removal.payload:
                self.follow_ups.append(FollowUp(removal_key, removal.version))

    def _removal_changed(
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
                self.follow_ups.append(FollowUp(item_key, item.version))
            return
        self.removals.withdraw(ref, remover)
        if previous is not None and isinstance(previous.payload, int) and target != self.local:
            if item is not None and item.version <= previous.payload:
                self.removals.hide(ref, previous.payload)
