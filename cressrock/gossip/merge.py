"""Merges received changes: the union of the known versions, and for each key the entry with the highest one.

Merging is therefore associative, commutative and idempotent (delta-state CRDTs: Almeida, Shoker, Baquero
2018).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from cressrock.errors.gossip import OriginFullError
from cressrock.gossip.broadcasts import ChangeBroadcasts
from cressrock.gossip.entry_table import EntryTable
from cressrock.gossip.local_writer import LocalWriter
from cressrock.gossip.messages import (
    EntryKey,
    EntryKind,
    EntryMessage,
    MessageKind,
    Origin,
    OriginSection,
    decode_changes,
)
from cressrock.gossip.origin_state import OriginState, Sweep
from cressrock.gossip.reconciliation import Reconciliation
from cressrock.gossip.removals import ItemRef


@dataclass(slots=True)
class RejectionCounts:
    """Number of received sections and entries that were rejected, by reason."""

    unknown: int = 0  # the origin is not among the retained ones
    older: int = 0  # a newer process of the same name has replaced the origin
    own: int = 0  # this process's name, but not written by it: two processes use the same identity
    origins: int = 0  # max_origins reached
    size: int = 0  # a key, item or value exceeds the configured size
    full: int = 0  # the byte limit of the origin or of the store is reached


class StateMerger:
    """Merges messages of changes into the entry table, and drops origins that are not retained."""

    def __init__(
        self,
        table: EntryTable,
        writer: LocalWriter,
        broadcasts: ChangeBroadcasts,
        reconciliation: Reconciliation,
    ) -> None:
        """Accept every origin until `retain` is first called."""
        self.rejected = RejectionCounts()
        self.completed_sweeps = 0
        self.takes_unknown = True
        self._table = table
        self._writer = writer
        self._broadcasts = broadcasts
        self._reconciliation = reconciliation
        self._applied_entry = False

    def merge(self, data: bytes) -> None:
        """Merge a message of changes; what exceeds a limit is counted in `rejected`.

        Raises MalformedGossipError or UnsupportedGossipFormatError; then nothing was merged.
        """
        message = decode_changes(data, self._table.settings.max_message_bytes)
        self._applied_entry = False
        for section in message.sections:
            origin = (section.name, section.process_incarnation)
            state = self._state_for(origin, section)
            if state is not None:
                self.merge_section(origin, state, section, message.kind)
        if self._applied_entry and message.kind == MessageKind.DELTA:
            self._reconciliation.enlarge_digests()
        self._writer.remove_obsolete_entries()

    def _state_for(self, origin: Origin, section: OriginSection) -> OriginState | None:
        """Return the state to merge a section into, or None if the origin is rejected.

        A section of a newer process drops the state of the older process of the same name.
        """
        table = self._table
        name, process_incarnation = origin
        own_name, own_incarnation = table.local
        if name == own_name:
            is_foreign_version = (
                process_incarnation == own_incarnation and section.last_version > table.own.known
            )
            if process_incarnation > own_incarnation or is_foreign_version:
                self.rejected.own += 1
            return None
        state = table.states.get(origin)
        if state is not None:
            return state
        newest = table.newest.get(name)
        if newest is None and not self.takes_unknown:
            self.rejected.unknown += 1
            return None
        if newest is not None and process_incarnation < newest:
            self.rejected.older += 1
            return None
        if newest is not None and process_incarnation > newest:
            self.drop((name, newest))
        if len(table.states) >= table.settings.max_origins:
            self.rejected.origins += 1
            return None
        return table.add_origin(origin)

    # --- one origin's section

    def merge_section(self, origin: Origin, state: OriginState, section: OriginSection, kind: int) -> None:
        """Merge the section of one origin."""
        # A joining process that receives an origin from version 0 need not broadcast it: others have it.
        # A process that already knew the origin rebroadcasts, as the delta's entries may be new to others.
        should_rebroadcast = kind == MessageKind.RECENT or (kind == MessageKind.DELTA and state.known > 0)
        if section.upto:
            self._merge_range(origin, state, section, should_rebroadcast=should_rebroadcast)
        else:
            self._merge_single_entries(origin, state, section, should_rebroadcast=should_rebroadcast)
        self._finish_section(origin, state, section.floor)

    def _merge_single_entries(
        self, origin: Origin, state: OriginState, section: OriginSection, *, should_rebroadcast: bool
    ) -> None:
        max_ranges = self._table.settings.max_ranges_ahead
        replaced = section.replaced or [0] * len(section.entries)
        for entry, replaced_before in zip(section.entries, replaced, strict=True):
            if entry.version > state.known and self._apply_entry(
                origin, state, entry, should_rebroadcast=should_rebroadcast
            ):
                state.add_known(entry.version - 1 - replaced_before, entry.version, max_ranges)

    def _merge_range(
        self, origin: Origin, state: OriginState, section: OriginSection, *, should_rebroadcast: bool
    ) -> None:
        sweep = self._sweep_for(state, section)
        upto = section.upto
        for entry in section.entries:
            if entry.version > state.known and not self._apply_entry(
                origin, state, entry, should_rebroadcast=should_rebroadcast
            ):
                upto = entry.version - 1
                break
            if sweep is not None:
                sweep.seen_keys.add(entry.entry_key())
        # The sender has no tombstones at or below its floor, so there the section does not prove that every
        # version is known.
        state.add_known(max(section.after, section.floor), upto, self._table.settings.max_ranges_ahead)
        if sweep is not None:
            sweep.upto = max(sweep.upto, upto)
            if section.end and upto == section.upto == sweep.upto and upto >= sweep.floor:
                self._finish_sweep(origin, state, sweep)

    def _sweep_for(self, state: OriginState, section: OriginSection) -> Sweep | None:
        """Return the section's sweep, or None; starts one if the state is behind the section's floor."""
        sweep = state.sweep
        if (
            section.floor > state.known
            and section.after == 0
            and (sweep is None or sweep.floor < section.floor)
        ):
            sweep = state.sweep = Sweep(section.floor)
        if sweep is not None and (sweep.floor != section.floor or section.after > sweep.upto):
            return None
        return sweep

    def _finish_sweep(self, origin: Origin, state: OriginState, sweep: Sweep) -> None:
        """Delete the entries that the sweep did not contain.

        They are deleted only at the end, so that no key disappears for readers just because its entry has not
        arrived yet.
        """
        for key, entry in list(state.entries.items()):
            if entry.version <= sweep.floor and key not in sweep.seen_keys:
                self._table.delete_entry(origin, state, key)
        state.sweep = None
        state.add_known(0, sweep.upto, self._table.settings.max_ranges_ahead)
        self.completed_sweeps += 1

    def _finish_section(self, origin: Origin, state: OriginState, floor: int) -> None:
        if state.sweep is not None and state.known >= state.sweep.floor:
            state.sweep = None
        if state.floor < floor <= state.known:
            self._table.raise_floor(origin, state, floor)

    def _apply_entry(
        self, origin: Origin, state: OriginState, message: EntryMessage, *, should_rebroadcast: bool
    ) -> bool:
        """Store an entry if it is newer than the stored one; returns False if a limit rejects it."""
        table, settings = self._table, self._table.settings
        key = message.entry_key()
        current = state.entries.get(key)
        if current is not None and current.version >= message.version:
            return True
        if table.is_too_large(key, message.payload):
            self.rejected.size += 1
            return False
        added_bytes = table.estimate_bytes(key, message.payload) - (current.estimated_bytes if current else 0)
        max_others_bytes = settings.max_total_bytes - settings.max_origin_bytes
        if added_bytes > 0 and (
            state.size_bytes + added_bytes > 2 * settings.max_origin_bytes
            or table.total_bytes - table.own.size_bytes + added_bytes > max_others_bytes
        ):
            self.rejected.full += 1
            return False
        table.set_entry(origin, state, key, message.version, message.payload)
        if should_rebroadcast:
            self._broadcasts.add(origin, key)
        self._applied_entry = True
        return True

    # --- dropping origins

    def retain(self, origins: Collection[Origin]) -> None:
        """Drop all origins except these, and reject other names from now on.

        For each name, the newest process incarnation of those listed and those already seen is kept.
        """
        table = self._table
        newest: dict[str, int] = {}
        for name, process_incarnation in origins:
            newest[name] = max(process_incarnation, newest.get(name, 0), table.newest.get(name, 0))
        newest[table.local[0]] = table.local[1]
        table.newest, self.takes_unknown = newest, False
        for origin in [origin for origin in table.order if newest.get(origin[0]) != origin[1]]:
            self.drop(origin)
        self._writer.remove_obsolete_entries()

    def drop(self, origin: Origin) -> None:
        """Delete an origin and its entries; this process takes over its removals that are still needed."""
        table = self._table
        state = table.states.get(origin)
        if state is None:
            return
        # Deleting its items makes own removals of them obsolete: see EntryTable._on_item_changed.
        removals: list[tuple[EntryKey, int]] = []
        for key, entry in list(state.entries.items()):
            if key.kind == EntryKind.REMOVAL and isinstance(entry.payload, int):
                removals.append((key, entry.payload))
            table.delete_entry(origin, state, key)
        table.remove_origin(origin)
        for key, upto in removals:
            self._adopt_removal(key, upto)

    def _adopt_removal(self, key: EntryKey, upto: int) -> None:
        """Write a dropped origin's removal as an own entry: it may not have reached the item's origin yet."""
        table = self._table
        target = (key.name, key.process_incarnation)
        item = table.item_entry(ItemRef(target, key.key, key.item))
        if item is None or item.version > upto or target == table.local:
            return
        own = table.own.entries.get(key)
        if own is not None and own.payload is not None:
            return
        try:
            self._writer.write(key, upto)
        except OriginFullError:
            self.rejected.full += 1  # only ItemRemovals.hidden keeps the item hidden on this replica
