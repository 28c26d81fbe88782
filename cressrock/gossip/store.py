"""Replicated state that converges on all processes even if messages are reordered, lost or repeated.

Each origin (name, process incarnation) is the only writer of its own entries, and each write is assigned the
origin's next version.  The higher version of a key is therefore the newer one, and no clock is needed.  The
design is explained in docs/spread.md; the parts are `entry_table`, `local_writer`, `broadcasts`,
`reconciliation`, `merge` and `removals`.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator

from cressrock.gossip.broadcasts import ChangeBroadcasts
from cressrock.gossip.change_log import Change
from cressrock.gossip.entry_table import EntryTable
from cressrock.gossip.local_writer import LocalWriter
from cressrock.gossip.merge import RejectionCounts, StateMerger
from cressrock.gossip.messages import EntryKey, EntryKind, Origin, Payload
from cressrock.gossip.reconciliation import Cursor, EncodedMessage, Reconciliation
from cressrock.gossip.removals import ItemRef
from cressrock.gossip.settings import GossipStoreSettings

Snapshot = dict[Origin, tuple[int, int, dict[EntryKey, tuple[int, Payload]]]]


class GossipStore:
    """One process's replica of the entries written by all processes.

    Own writes raise EntryTooLargeError or OriginFullError.  All other calls take O(log n) time, or time
    proportional to the data they take or return.
    """

    def __init__(
        self, name: str, process_incarnation: int, settings: GossipStoreSettings, rng: random.Random
    ) -> None:
        """Create an empty replica.

        `process_incarnation` must be greater than every earlier one of this name.  Otherwise merging is not
        correct: other replicas reject the entries as old, or mix those of two processes.
        """
        self.local: Origin = (name, process_incarnation)
        self.settings = settings
        self.table = EntryTable(self.local, settings)
        self.broadcasts = ChangeBroadcasts(self.table)
        self.reconciliation = Reconciliation(self.table, rng)
        self._writer = LocalWriter(self.table, self.broadcasts)
        self.merger = StateMerger(self.table, self._writer, self.broadcasts, self.reconciliation)

    # --- own writes

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry; setting the current value again writes nothing."""
        entry_key = EntryKey(EntryKind.VALUE, key)
        current = self.table.own.entries.get(entry_key)
        if current is None or current.payload != value:
            self._writer.write(entry_key, value)

    def remove(self, key: str) -> None:
        """Replace an own entry by a tombstone; no effect if there is none."""
        self._writer.erase(EntryKey(EntryKind.VALUE, key))

    def increment(self, key: str, by: int = 1) -> None:
        """Increase an own counter.  Raises ValueError for a negative step."""
        if by < 0:
            raise ValueError(f"cannot increment a counter by {by}: the step must not be negative")
        if by:
            entry_key = EntryKey(EntryKind.COUNTER, key)
            current = self.table.own.entries.get(entry_key)
            before = current.payload if current is not None and isinstance(current.payload, int) else 0
            self._writer.write(entry_key, before + by)

    def add_item(self, key: str, item: str, value: bytes) -> None:
        """Add an item to a map.  Each call creates a new dot, which no earlier removal covers."""
        self._writer.write(EntryKey(EntryKind.ITEM, key, item), value)

    def discard_item(self, key: str, item: str) -> None:
        """Remove the adds of an item that this replica has received, from any origin; other adds are kept.

        If OriginFullError is raised, the adds of some origins may already be removed; call again to continue.
        """
        item_key = EntryKey(EntryKind.ITEM, key, item)
        seen = [origin for name, origin in self.table.readable(EntryKind.ITEM, key) if name == item]
        for origin in seen:
            version = self.table.states[origin].entries[item_key].version
            if origin == self.local:
                self._writer.erase(item_key)
            elif not self.table.removals.is_removed(ItemRef(origin, key, item), version):
                self._writer.write(EntryKey(EntryKind.REMOVAL, key, item, *origin), version)

    # --- reading

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the value that each origin has put under the key."""
        entry_key = EntryKey(EntryKind.VALUE, key)
        values: dict[Origin, bytes] = {}
        for _, origin in self.table.readable(EntryKind.VALUE, key):
            payload = self.table.states[origin].entries[entry_key].payload
            if isinstance(payload, bytes):
                values[origin] = payload
        return values

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return the value that one origin has put under the key, or None; does not scan other origins."""
        state = self.table.states.get(origin)
        entry = state.entries.get(EntryKey(EntryKind.VALUE, key)) if state is not None else None
        return entry.payload if entry is not None and isinstance(entry.payload, bytes) else None

    def origins(self, key: str) -> list[Origin]:
        """Return the sorted origins that have a value under the key."""
        return sorted(origin for _, origin in self.table.readable(EntryKind.VALUE, key))

    def counters(self, key: str) -> dict[Origin, int]:
        """Return each origin's counter under the key."""
        entry_key = EntryKey(EntryKind.COUNTER, key)
        counters: dict[Origin, int] = {}
        for _, origin in self.table.readable(EntryKind.COUNTER, key):
            payload = self.table.states[origin].entries[entry_key].payload
            if isinstance(payload, int):
                counters[origin] = payload
        return counters

    def counter_total(self, key: str) -> int:
        """Return the sum of the counters of all origins held.

        The total falls when an origin is dropped.  Callers that need a total that never falls keep the last
        result of `counters` and add up the increases of each origin.
        """
        return sum(self.counters(key).values())

    def items(self, key: str) -> dict[str, dict[Origin, bytes]]:
        """Return the map: for each item, the value from each origin whose add has not been removed."""
        items: dict[str, dict[Origin, bytes]] = {}
        for item, origin in self.table.readable(EntryKind.ITEM, key):
            entry = self.table.states[origin].entries[EntryKey(EntryKind.ITEM, key, item)]
            removed = self.table.removals.is_removed(ItemRef(origin, key, item), entry.version)
            if not removed and isinstance(entry.payload, bytes):
                items.setdefault(item, {})[origin] = entry.payload
        return items

    def drain_changes(self) -> list[Change]:
        """Return the keys changed by merges since the last call; EVERYTHING_CHANGED alone on overflow."""
        return self.table.changes.drain()

    def known_version(self, origin: Origin) -> int:
        """Return the version up to which an origin is completely known; 0 if the origin is not held."""
        state = self.table.states.get(origin)
        return state.known if state is not None else 0

    def size_bytes(self) -> int:
        """Return the estimated memory in bytes: texts, values and a fixed overhead for each entry."""
        return self.table.total_bytes

    def snapshot(self) -> Snapshot:
        """Return each origin's known version, floor and entries (version, payload), for inspection."""
        return {
            origin: (
                state.known,
                state.floor,
                {key: (entry.version, entry.payload) for key, entry in state.entries.items()},
            )
            for origin, state in self.table.states.items()
        }

    @property
    def rejected(self) -> RejectionCounts:
        """Counts of rejected sections and entries, by reason."""
        return self.merger.rejected

    @property
    def completed_sweeps(self) -> int:
        """Number of completed sweeps."""
        return self.merger.completed_sweeps

    # --- outgoing messages

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return the recent changes sent least often, in at most `max_bytes`; b"" if none fits."""
        return self.broadcasts.encode(max_bytes)

    def max_transmissions(self) -> int:
        """Return how many times this process sends one change."""
        return self.broadcasts.max_transmissions()

    def digest(self, max_bytes: int) -> bytes:
        """Return an encoded digest of the known versions of the next origins, and the range they cover.

        While nothing is missing, its size is limited to `idle_digest_bytes`, but never below 320, so that one
        origin with the longest name always fits.
        """
        return self.reconciliation.digest(max_bytes)

    def delta(self, digest: bytes, max_bytes: int) -> bytes:
        """Return what the digest's sender lacks within its range, in at most `max_bytes`; b"" if nothing.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        return next(iter(self.deltas(digest, max_bytes, 1)), b"")

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return what the digest's sender lacks in up to `count` messages, none if it lacks nothing.

        Several messages per digest let a lagging process catch up in fewer rounds.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        return self.reconciliation.deltas(digest, max_bytes, count)

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return a message of the full state after the cursor, and the next cursor (None at the end)."""
        return self.reconciliation.full_state(after, max_bytes)

    # --- incoming messages

    def merge(self, data: bytes) -> None:
        """Merge recent changes, a delta or a part of the full state.

        Raises MalformedGossipError or UnsupportedGossipFormatError; then nothing was merged.  An entry that
        exceeds a limit is skipped and counted in `rejected`; the origin's known version stays below it, so
        that it is sent again.
        """
        self.merger.merge(data)

    def retain_origins(self, origins: Collection[Origin]) -> None:
        """Drop all origins but these, and reject processes with other names from now on.

        Only the newest process of each name is kept, even if it was received here before `origins` lists it.
        """
        self.merger.retain(origins)


def full_state_parts(store: GossipStore, max_bytes: int) -> Iterator[bytes]:
    """Yield the messages of a store's full state, as a full exchange sends them."""
    cursor: Cursor | None = None
    while True:
        data, following = store.full_state(cursor, max_bytes)
        if data:
            yield data
        if following is None or following == cursor:
            return
        cursor = following
