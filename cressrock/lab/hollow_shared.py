"""Members and spread whose state about others all processes of a simulation share while it is equal.

A process at 4,800 holds a record and a spread's state of each of the others: 23 million of each in one
simulation.  Nearly all of them are equal.  So one object of each value is held for all, and a process that
would change it copies it first.  Nothing else differs: the same calls draw the same random numbers and make
the same bytes, which `tests/test_hollow.py` shows by one seed's whole trace, with sharing and without.

Shared are: members' records, descriptions and names; the spread's states of other origins by their whole
value, and its index of them.  Not shared are: what a process has of itself, its lists and tables (one pointer
for each other), rumours, probes and timers.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from cressrock.gossip.entry_table import IndexKey, ItemOrigin
from cressrock.gossip.local_writer import LocalWriter
from cressrock.gossip.merge import StateMerger
from cressrock.gossip.messages import Origin, OriginSection
from cressrock.gossip.origin_state import OriginState
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.membership.member_table import MemberRecord, MemberTable
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberState
from cressrock.membership.selection import RandomPool


def copied(record: MemberRecord) -> MemberRecord:
    """Return a record of one's own."""
    return MemberRecord(
        record.name, record.process_incarnation, record.incarnation, record.state, record.info,
        record.state_since_ms, record.suspected_at_ms, record.next_last_ping_ms, record.accuser,
        set(record.accusers), record.confirmed,
    )  # fmt: skip


class SharedMemberTable(MemberTable):
    """A table whose records are those of `common` until they differ: whoever changes one copies it first."""

    def __init__(self, rng: random.Random, common: dict[str, MemberRecord]) -> None:
        """`common` is the same for all processes; it is never changed here."""
        super().__init__(rng)
        self.common = common

    def writable(self, record: MemberRecord) -> MemberRecord:
        """Return the record to change: a copy of a common one."""
        if record is not self.common.get(record.name):
            return record
        own = self.records[record.name] = copied(record)
        return own


def acquaint(all_of: Sequence[Membership], now_ms: float, *, share: bool, only: int | None = None) -> None:
    """Let members know one another as after long calm; with `share` by the records of their `common`.

    What probes come first is drawn by each one's own source.  `only` the first so many know the others.
    """
    records = {
        members.local.name: MemberRecord(
            members.local.name, members.local.process_incarnation, 0, MemberState.ALIVE,
            members.state.local.info, now_ms,
        )
        for members in all_of
    }  # fmt: skip
    names = list(records)
    if share:
        for members in all_of:
            if isinstance(members.state.table, SharedMemberTable):
                members.state.table.common.update(records)
    checksum = None
    for at, members in enumerate(all_of[:only]):
        others = names[:at] + names[at + 1 :]
        held = dict(records)
        del held[members.local.name]
        table = members.state.table
        table.records = held if share else {name: copied(record) for name, record in held.items()}
        table.live = RandomPool(others)
        table.beliefs_version += 1
        table.probe_order.restart(others)
        members.record_exchange_result(now_ms, True)
        # All hold the same view, so the checksum over it is the same; at 4,800 it takes some ms for each.
        if checksum is None:
            checksum = members.checksum.value()
        members.checksum.adopt(checksum)


Pool = dict[tuple[Any, ...], OriginState]


def _copied(state: OriginState) -> OriginState:
    return OriginState(
        state.known, state.floor, state.size_bytes, state.last, state.ordered, dict(state.entries),
        list(state.ahead), state.sweep, state.tombstones,
    )  # fmt: skip


class SharedMerger(StateMerger):
    """Merges into states of other origins that are those of `pool`, by value."""

    def __init__(self, store: GossipStore, writer: LocalWriter, pool: Pool) -> None:
        """`pool` is the same for all processes; what is in it is never changed."""
        super().__init__(store.table, writer, store.broadcasts, store.reconciliation)
        self.pool = pool

    def merge_section(self, origin: Origin, state: OriginState, section: OriginSection, kind: int) -> None:
        """Merge into a copy, and share that again."""
        if state.sweep is None and section.floor <= state.floor and section.last_version <= state.known:
            return  # changes nothing: not worth a copy
        mine = self._table.states[origin] = _copied(state)
        super().merge_section(origin, mine, section, kind)
        if mine.sweep is None:
            self._table.states[origin] = pooled(self.pool, origin, mine)

    def drop(self, origin: Origin) -> None:
        """Forget a copy."""
        state = self._table.states.get(origin)
        if state is not None and origin != self._table.local:
            self._table.states[origin] = _copied(state)
        super().drop(origin)


class SharedSpread(GossipStore):
    """A store whose states of other origins are those of `pool`, by value."""

    def __init__(
        self,
        name: str,
        process_incarnation: int,
        settings: GossipStoreSettings,
        source: random.Random,
        pool: Pool,
    ) -> None:
        """`pool` is the same for all processes; what is in it is never changed."""
        super().__init__(name, process_incarnation, settings, source)
        self.merger = SharedMerger(self, self._writer, pool)


def pooled(pool: Pool, origin: Origin, state: OriginState) -> OriginState:
    """Return the pool's state of this value; a state under a sweep has none."""
    entries = tuple((key, entry.version) for key, entry in state.entries.items())
    key = (origin, state.known, state.floor, state.last, state.ordered, tuple(state.ahead), entries)
    return pool.setdefault(key, state)


def fill(spreads: Sequence[GossipStore], pool: Pool, *, share: bool, only: int | None = None) -> None:
    """Let each spread hold what all have written so far, as after long calm; nothing waits to be told.

    With `only` the first so many do.
    """
    states = {spread.local: pooled(pool, spread.local, _copied(spread.table.own)) for spread in spreads}
    order = sorted(states)
    index: dict[IndexKey, dict[ItemOrigin, None]] = {}
    for spread in spreads:
        for key in spread.table.own.entries:
            index.setdefault((key.kind, key.key), {})[(key.item, spread.local)] = None
    total = sum(state.size_bytes for state in states.values())
    for spread in spreads[:only]:
        held = dict(states) if share else {origin: _copied(state) for origin, state in states.items()}
        table = spread.table
        held[spread.local] = table.own
        table.states, table.order, table.newest = held, list(order), dict(order)
        table.index = {key: dict(places) for key, places in index.items()}
        table.total_bytes, spread.merger.takes_unknown = total, False
        spread.broadcasts.clear()
        spread.drain_changes()
        spread.reconciliation.restart()
