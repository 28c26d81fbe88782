"""State that all processes hold alike, whatever the order, loss or repetition of what they send one another.

Each origin (name, process incarnation) is the only writer of its own entries, and each of its writes takes
its next version: so the higher version of a key is the newer one, without any clock.  docs/spread.md has the
reasons; the parts are `entry_table`, `local_writer`, `broadcasts`, `reconciliation`, `merge` and `removals`.
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
    """One process's replica of what all processes wrote.

    Own writes raise EntryTooLargeError or OriginFullError.  All else is O(log n) or O(what is handed over).
    """

    def __init__(
        self, name: str, process_incarnation: int, settings: GossipStoreSettings, rng: random.Random
    ) -> None:
        """`process_incarnation` is greater than every earlier one of this name, or merging is not sound."""
        self.local: Origin = (name, process_incarnation)
        self.settings = settings
        self.table = EntryTable(self.local, settings)
        self.broadcasts = ChangeBroadcasts(self.table)
        self.reconciliation = Reconciliation(self.table, rng)
        self._writer = LocalWriter(self.table, self.broadcasts)
        self.merger = StateMerger(self.table, self._writer, self.broadcasts, self.reconciliation)

    # --- own writes

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry; the same value again is no change."""
        entry_key = EntryKey(EntryKind.VALUE, key)
        current = self.table.own.entries.get(entry_key)
        if current is None or current.payload != value:
            self._writer.write(entry_key, value)

    def remove(self, key: str) -> None:
        """Remove an own entry, if there is one."""
        self._writer.erase(EntryKey(EntryKind.VALUE, key))

    def increment(self, key: str, by: int = 1) -> None:
        """Let an own counter grow.  Raises ValueError for a negative step."""
        if by < 0:
            raise ValueError(f"a counter only grows: {by}")
        if by:
            entry_key = EntryKey(EntryKind.COUNTER, key)
            current = self.table.own.entries.get(entry_key)
            before = current.payload if current is not None and isinstance(current.payload, int) else 0
            self._writer.write(entry_key, before + by)

    def add_item(self, key: str, item: str, value: bytes) -> None:
        """Put an item into a map: a new dot each time, which no removal so far has seen."""
        self._writer.write(EntryKey(EntryKind.ITEM, key, item), value)

    def discard_item(self, key: str, item: str) -> None:
        """Remove an item as it is seen here, whoever added it; adds that are not seen here survive.

        Where OriginFullError is raised, the adds of some origins may be removed already: ask again.
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
        """Return the value that one origin has put under the key; unlike `values` it looks at nobody else."""
        state = self.table.states.get(origin)
        entry = state.entries.get(EntryKey(EntryKind.VALUE, key)) if state is not None else None
        return entry.payload if entry is not None and isinstance(entry.payload, bytes) else None

    def origins(self, key: str) -> list[Origin]:
        """Return who has put a value under the key, sorted."""
        return sorted(origin for _, origin in self.table.readable(EntryKind.VALUE, key))

    def counters(self, key: str) -> dict[Origin, int]:
        """Return each origin's own counter."""
        entry_key = EntryKey(EntryKind.COUNTER, key)
        counters: dict[Origin, int] = {}
        for _, origin in self.table.readable(EntryKind.COUNTER, key):
            payload = self.table.states[origin].entries[entry_key].payload
            if isinstance(payload, int):
                counters[origin] = payload
        return counters

    def counter_total(self, key: str) -> int:
        """Return the sum over the origins that are held.

        An origin that is dropped takes its part along: the total falls.  Who needs growth alone keeps
        `counters` from one look to the next and adds up the steps of each origin.
        """
        return sum(self.counters(key).values())

    def items(self, key: str) -> dict[str, dict[Origin, bytes]]:
        """Return the map: of each item what each origin that has added it (and not lost it) gave."""
        items: dict[str, dict[Origin, bytes]] = {}
        for item, origin in self.table.readable(EntryKind.ITEM, key):
            entry = self.table.states[origin].entries[EntryKey(EntryKind.ITEM, key, item)]
            removed = self.table.removals.is_removed(ItemRef(origin, key, item), entry.version)
            if not removed and isinstance(entry.payload, bytes):
                items.setdefault(item, {})[origin] = entry.payload
        return items

    def drain_changes(self) -> list[Change]:
        """Return what others changed since the last call; EVERYTHING_CHANGED where it was too much."""
        return self.table.changes.drain()

    def known_version(self, origin: Origin) -> int:
        """Return up to which version everything of an origin is here; 0 of one that is not held."""
        state = self.table.states.get(origin)
        return state.known if state is not None else 0

    def size_bytes(self) -> int:
        """Return the bytes held, as reckoned: texts, values and an overhead for each entry."""
        return self.table.total_bytes

    def snapshot(self) -> Snapshot:
        """Return of each origin its known version, floor and entries (version, payload), for inspection."""
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
        """What came from others and was not taken."""
        return self.merger.rejected

    @property
    def completed_sweeps(self) -> int:
        """How many sweeps came to their end."""
        return self.merger.completed_sweeps

    # --- what is sent

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return the newest changes in a message of at most max_bytes, the least sent first; b"" if none."""
        return self.broadcasts.encode(max_bytes)

    def max_transmissions(self) -> int:
        """Return how often this process passes one change on."""
        return self.broadcasts.max_transmissions()

    def digest(self, max_bytes: int) -> bytes:
        """Return what is known of the next origins, in their order, and the range that this covers.

        While nothing is missing it is at most `idle_digest_bytes`; at least 320, so that one origin of the
        longest name always fits.
        """
        return self.reconciliation.digest(max_bytes)

    def delta(self, digest: bytes, max_bytes: int) -> bytes:
        """Return what the digest's sender lacks within its range, of at most max_bytes; b"" if nothing.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        return next(iter(self.deltas(digest, max_bytes, 1)), b"")

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return the same in up to `count` messages: who lags catches up faster, in calm none is sent.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        return self.reconciliation.deltas(digest, max_bytes, count)

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return a message of everything after the cursor, and the next cursor (None: that was all)."""
        return self.reconciliation.full_state(after, max_bytes)

    # --- what is received

    def merge(self, data: bytes) -> None:
        """Take in recent changes, a delta or a part of everything.

        Raises MalformedGossipError or UnsupportedGossipFormatError; then nothing of it was taken.  What a
        bound forbids is left out and counted in `rejected`; the origin's known version stays before it, so
        that it is sent again.
        """
        self.merger.merge(data)

    def retain_origins(self, origins: Collection[Origin]) -> None:
        """Say which processes there are: from now on no other is taken, and other origins are dropped.

        Of a name only the newest process counts; one that was heard of before `origins` names it stays.
        """
        self.merger.retain(origins)


def full_state_parts(store: GossipStore, max_bytes: int) -> Iterator[bytes]:
    """Yield everything a store holds in messages, as the full exchange sends it."""
    cursor: Cursor | None = None
    while True:
        data, following = store.full_state(cursor, max_bytes)
        if data:
            yield data
        if following is None or following == cursor:
            return
        cursor = following
