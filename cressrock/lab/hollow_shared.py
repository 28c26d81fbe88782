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

from cressrock.gossip import store as s
from cressrock.gossip.store import GossipStore, GossipStoreSettings, Origin
from cressrock.membership.membership import Identity, Membership, MembershipSettings, _Record
from cressrock.membership.packets import MemberState, MemberUpdate


def copied(record: _Record) -> _Record:
    """Return a record of one's own."""
    return _Record(
        record.name,
        record.life,
        record.incarnation,
        record.state,
        record.about,
        record.since,
        record.suspected,
        record.called,
        record.by,
        set(record.accusers),
        record.full,
    )


class SharedMembers(Membership):
    """Members whose records are those of `common` until they differ."""

    def __init__(
        self,
        me: Identity,
        settings: MembershipSettings,
        seeds: tuple[str, ...],
        source: random.Random,
        now_ms: float,
        common: dict[str, _Record],
    ) -> None:
        """`common` is the same table for all processes; it is never changed here."""
        super().__init__(me, settings, seeds, source, now_ms)
        self.common = common

    def _own(self, name: str) -> None:
        held = self._records.get(name)
        if held is not None and held is self.common.get(name):
            self._records[name] = copied(held)

    def _take(
        self, now: float, claim: MemberUpdate, sender: str, exchange: bool = False
    ) -> MemberUpdate | None:
        held = self._records.get(claim.name)
        if held is not None and held is self.common.get(claim.name):
            if (
                claim.state is MemberState.ALIVE is held.state
                and claim.process_incarnation == held.life
                and claim.incarnation == held.incarnation
                and (claim.info is None or claim.info == held.about)
            ):
                return None  # changes nothing: not worth a copy
            self._records[claim.name] = copied(held)
        return super()._take(now, claim, sender, exchange)

    def _due_resolve(self, now: float, key: str | int) -> None:
        probe = self._probes.get(int(key))
        if probe is not None:
            self._own(probe.name)
        super()._due_resolve(now, key)


def acquaint(all_of: Sequence[Membership], now_ms: float, *, share: bool, only: int | None = None) -> None:
    """Let members know one another as after long calm; with `share` by the records of their `common`.

    What probes come first is drawn by each one's own source.  `only` the first so many know the others.
    """
    records = {
        members.local.name: _Record(
            members.local.name,
            members.local.process_incarnation,
            0,
            MemberState.ALIVE,
            members._about,
            now_ms,
        )
        for members in all_of
    }
    names = list(records)
    if share:
        for members in all_of:
            if isinstance(members, SharedMembers):
                members.common.update(records)
    summed = None
    for at, members in enumerate(all_of[:only]):
        others = names[:at] + names[at + 1 :]
        held = dict(records)
        del held[members.local.name]
        members._records = held if share else {name: copied(record) for name, record in held.items()}
        members._live.names = others
        members._live.place = {name: place for place, name in enumerate(others)}
        members._round = list(others)
        members.rng.shuffle(members._round)
        members.joined = True
        members._exchanged = now_ms
        # All hold the same view, so the sum over it is the same; at 4,800 it takes some ms for each.
        if summed is None:
            members._summed = None
            summed = members._sum()
        members._summed = summed


Pool = dict[tuple[Any, ...], s._State]


def _copied(state: s._State) -> s._State:
    return s._State(
        state.known,
        state.floor,
        state.bytes,
        state.last,
        state.ordered,
        dict(state.entries),
        list(state.ahead),
        state.sweep,
        state.removed,
    )


class SharedSpread(GossipStore):
    """A spread whose states of other origins are those of `pool`, by value."""

    def __init__(
        self, name: str, life: int, settings: GossipStoreSettings, source: random.Random, pool: Pool
    ) -> None:
        """`pool` is the same for all processes; what is in it is never changed."""
        super().__init__(name, life, settings, source)
        self.pool = pool

    def _piece(self, origin: Origin, state: s._State, piece: s._Piece, what: int) -> None:
        if (
            state.sweep is None
            and piece.floor <= state.floor
            and (piece.upto or _last_of(piece)) <= state.known
        ):
            return  # changes nothing: not worth a copy
        mine = self._states[origin] = _copied(state)
        super()._piece(origin, mine, piece, what)
        if mine.sweep is None:
            self._states[origin] = pooled(self.pool, origin, mine)

    def _drop(self, origin: Origin) -> None:
        state = self._states.get(origin)
        if state is not None and origin != self.local:
            self._states[origin] = _copied(state)
        super()._drop(origin)


def _last_of(piece: s._Piece) -> int:
    """Return the last version that a rumour's piece names."""
    return piece.entries[-1].version if piece.entries else 0


def pooled(pool: Pool, origin: Origin, state: s._State) -> s._State:
    """Return the pool's state of this value; a state under a sweep has none."""
    entries = tuple((slot, entry.version) for slot, entry in state.entries.items())
    key = (origin, state.known, state.floor, state.last, state.ordered, tuple(state.ahead), entries)
    return pool.setdefault(key, state)


def fill(spreads: Sequence[GossipStore], pool: Pool, *, share: bool, only: int | None = None) -> None:
    """Let each spread hold what all have written so far, as after long calm; nothing waits to be told.

    With `only` the first so many do.
    """
    states = {spread.local: pooled(pool, spread.local, _copied(spread._mine)) for spread in spreads}
    order = sorted(states)
    lives = dict(order)
    live: dict[tuple[int, str], dict[tuple[str, Origin], None]] = {}
    for spread in spreads:
        for slot in spread._mine.entries:
            live.setdefault((slot[0], slot[1]), {})[(slot[2], spread.local)] = None
    total = sum(state.bytes for state in states.values())
    for spread in spreads[:only]:
        held = dict(states) if share else {origin: _copied(state) for origin, state in states.items()}
        held[spread.local] = spread._mine
        spread._states, spread._order, spread._lives = held, list(order), dict(lives)
        spread._live = {key: dict(places) for key, places in live.items()}
        spread._bytes, spread._strict = total, True
        spread._rumours, spread._told, spread._changes = [{}], {}, {}
        spread._fed, spread._lagging, spread._turn = False, 0, None
