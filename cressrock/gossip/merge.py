"""Merges what others send: the union of the versions known, and of each key the greatest version.

So merging is associative, commutative and idempotent (deltas as states: Almeida, Shoker, Baquero 2018).
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
    """Counts of what came from others and was not taken."""

    unknown: int = 0  # of a process that is not among the retained
    older: int = 0  # of a process that a newer one of its name replaced
    own: int = 0  # in this process's own name, but not written by it: two processes with one identity
    origins: int = 0  # max_origins reached
    size: int = 0  # a key or value larger than the settings
    full: int = 0  # the origin's or the total bytes reached


class StateMerger:
    """Merges messages of changes into a table, and drops origins."""

    def __init__(
        self,
        table: EntryTable,
        writer: LocalWriter,
        broadcasts: ChangeBroadcasts,
        reconciliation: Reconciliation,
    ) -> None:
        """Take every origin until `retain` names those that count."""
        self.rejected = RejectionCounts()
        self.completed_sweeps = 0
        self.takes_unknown = True
        self._table = table
        self._writer = writer
        self._broadcasts = broadcasts
        self._reconciliation = reconciliation
        self._took_entry = False

    def merge(self, data: bytes) -> None:
        """Merge a message.

        Raises MalformedGossipError or UnsupportedGossipFormatError; then nothing of it was taken.
        """
        message = decode_changes(data, self._table.settings.max_message_bytes)
        self._took_entry = False
        for section in message.sections:
            origin = (section.name, section.process_incarnation)
            state = self._state_for(origin, section)
            if state is not None:
                self.merge_section(origin, state, section, message.kind)
        if self._took_entry and message.kind == MessageKind.DELTA:
            self._reconciliation.expect_more()
        self._writer.settle()

    def _state_for(self, origin: Origin, section: OriginSection) -> OriginState | None:
        """Return the state to merge into, or None where this origin is not taken."""
        table = self._table
        name, process_incarnation = origin
        own_name, own_incarnation = table.local
        if name == own_name:
            unwritten = process_incarnation == own_incarnation and section.last_version > table.own.known
            if process_incarnation > own_incarnation or unwritten:
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
        """Merge what one origin wrote."""
        # A joiner that is sent everything has no news for anybody; who was up to date but for this has.
        rebroadcast = kind == MessageKind.RECENT or (kind == MessageKind.DELTA and state.known > 0)
        if section.upto:
            self._merge_range(origin, state, section, rebroadcast=rebroadcast)
        else:
            self._merge_single_entries(origin, state, section, rebroadcast=rebroadcast)
        self._finish_section(origin, state, section.floor)

    def _merge_single_entries(
        self, origin: Origin, state: OriginState, section: OriginSection, *, rebroadcast: bool
    ) -> None:
        max_ranges = self._table.settings.max_ranges_ahead
        replaced = section.replaced or [0] * len(section.entries)
        for entry, replaced_before in zip(section.entries, replaced, strict=True):
            if entry.version > state.known and self._apply_entry(
                origin, state, entry, rebroadcast=rebroadcast
            ):
                state.add_known(entry.version - 1 - replaced_before, entry.version, max_ranges)

    def _merge_range(
        self, origin: Origin, state: OriginState, section: OriginSection, *, rebroadcast: bool
    ) -> None:
        sweep = self._sweep_of(state, section)
        upto = section.upto
        for entry in section.entries:
            if entry.version > state.known and not self._apply_entry(
                origin, state, entry, rebroadcast=rebroadcast
            ):
                upto = entry.version - 1
                break
            if sweep is not None:
                sweep.named.add(entry.entry_key())
        # Below its floor the sender cannot say what went: there a section proves nothing by itself.
        state.add_known(max(section.after, section.floor), upto, self._table.settings.max_ranges_ahead)
        if sweep is not None:
            sweep.upto = max(sweep.upto, upto)
            if section.end and upto == section.upto == sweep.upto and upto >= sweep.floor:
                self._finish_sweep(origin, state, sweep)

    def _sweep_of(self, state: OriginState, section: OriginSection) -> Sweep | None:
        """Return the sweep that a section belongs to; begins one where a state lags behind the floor."""
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
        """Drop what the sweep did not name: only now, so that no reader sees a key vanish for being late."""
        for key, entry in list(state.entries.items()):
            if entry.version <= sweep.floor and key not in sweep.named:
                self._table.forget_entry(origin, state, key)
        state.sweep = None
        state.add_known(0, sweep.upto, self._table.settings.max_ranges_ahead)
        self.completed_sweeps += 1

    def _finish_section(self, origin: Origin, state: OriginState, floor: int) -> None:
        if state.sweep is not None and state.known >= state.sweep.floor:
            state.sweep = None
        if state.floor < floor <= state.known:
            self._table.raise_floor(origin, state, floor)

    def _apply_entry(
        self, origin: Origin, state: OriginState, message: EntryMessage, *, rebroadcast: bool
    ) -> bool:
        """Keep an entry if it is newer than what is held; False if a bound forbids it."""
        table, settings = self._table, self._table.settings
        key = message.entry_key()
        current = state.entries.get(key)
        if current is not None and current.version >= message.version:
            return True
        if table.is_too_large(key, message.payload):
            self.rejected.size += 1
            return False
        added = table.cost(key, message.payload) - (current.cost if current else 0)
        max_others_bytes = settings.max_total_bytes - settings.max_origin_bytes
        if added > 0 and (
            state.size_bytes + added > 2 * settings.max_origin_bytes
            or table.total_bytes - table.own.size_bytes + added > max_others_bytes
        ):
            self.rejected.full += 1
            return False
        table.set_entry(origin, state, key, message.version, message.payload)
        if rebroadcast:
            self._broadcasts.add(origin, key)
        self._took_entry = True
        return True

    # --- dropping origins

    def retain(self, origins: Collection[Origin]) -> None:
        """Drop all origins but these, and take no others from now on."""
        table = self._table
        newest: dict[str, int] = {}
        for name, process_incarnation in origins:
            newest[name] = max(process_incarnation, newest.get(name, 0), table.newest.get(name, 0))
        newest[table.local[0]] = table.local[1]
        table.newest, self.takes_unknown = newest, False
        for origin in [origin for origin in table.order if newest.get(origin[0]) != origin[1]]:
            self.drop(origin)
        self._writer.settle()

    def drop(self, origin: Origin) -> None:
        """Forget an origin, and what was only kept because of it."""
        table = self._table
        state = table.states.get(origin)
        if state is None:
            return
        # Own removals of its items go as the items do: see EntryTable.
        removals: list[tuple[EntryKey, int]] = []
        for key, entry in list(state.entries.items()):
            if key.kind == EntryKind.REMOVAL and isinstance(entry.payload, int):
                removals.append((key, entry.payload))
            table.forget_entry(origin, state, key)
        table.remove_origin(origin)
        for key, upto in removals:
            self._adopt_removal(key, upto)

    def _adopt_removal(self, key: EntryKey, upto: int) -> None:
        """Pass on a removal of a dropped origin: it may not yet have reached the item's origin."""
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
            self.rejected.full += 1  # stays hidden here by the note alone
