"""What edges' words come to, by zone spoken of: from the words themselves, or from collectors' sums.  Pure.

A verdict asks a `View`.  `Told` counts words, as a process does that hears all of them; `Summed` reads the
rows that collectors made by the very same counting (`Sums`), one for each place of tellers and zone spoken
of.  Rows of different places add up, since an origin is in one place; of one place there is one row
(`collect.collector.Merged`).

What counts only if it was tried after a step of the way back began is counted apart, by a collector's own
mark of that step: a row names the state and part that it was counted under, and under another nothing of it
counts.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Protocol

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.zones import ZonesError
from cressrock.zones.evidence import PREFIX, All, Heard, Origin, Word
from cressrock.zones.terms import VERSION, State, Verdict, Zones, take


@dataclass(frozen=True, slots=True)
class Who:
    """A member of the fleet as the verdict needs it: alive is what the leader's own view holds for sure."""

    origin: Origin
    place: str
    alive: bool
    edge: bool


@dataclass(slots=True)
class Tally:
    """Who says what of one zone.  Counts of witnesses, by place."""

    bad: dict[str, int] = field(default_factory=dict)
    good: dict[str, int] = field(default_factory=dict)
    half: dict[str, int] = field(default_factory=dict)
    slow: int = 0
    suspect: int = 0
    failed: dict[str, int] = field(default_factory=dict)  # attempts, by place
    tried: dict[str, int] = field(default_factory=dict)

    def total(self) -> tuple[int, int]:
        """Return how many say that it is away, and how many reach it."""
        return sum(self.bad.values()), sum(self.good.values())


@dataclass(slots=True)
class Mark:
    """What a leader remembers of one zone."""

    number_state: tuple[int, int] = (-1, -1)  # state and part that stood when the times below began
    since: float = 0.0
    beats: dict[Origin, int] = field(default_factory=dict)  # of each teller when they began
    accused: tuple[str, float] = ("", 0.0)  # of what, and since when without a break
    faded: float = 0.0  # since when the zone has stayed


def suspect(words: Mapping[str, Heard], fresh_ms: float) -> bool:
    """Whether a teller's own network may be what is bad: it reaches nothing well, or misses most."""
    recent = [h.said.word for h in words.values() if h.age_ms <= fresh_ms and h.said.word]
    wrong = sum(word >= Word.HALF for word in recent)
    return wrong > 0 and (wrong == len(recent) or 2 * wrong > len(recent))


def count(
    of: Zones, found: Tally, place: str, heard: Heard | None, suspected: bool, since: int | None
) -> None:
    """Count one teller's fresh word; whether it reached the zone only if it did so of late.

    With `since`, only on attempts after this beat, and by how the last one ended: of a zone that is given up
    there are only a few tries, and a bad word would outlive several that arrived.
    """
    if heard is None or heard.age_ms > of.fresh_ms or heard.said.word == Word.SILENT:
        return
    if since is None and heard.said.word != Word.BAD and heard.age_ms > of.recent_ms:
        return
    if since is not None and heard.beat <= since:
        return
    if suspected:
        found.suspect += 1
        return
    said = heard.said
    found.failed[place] = found.failed.get(place, 0) + said.failed
    found.tried[place] = found.tried.get(place, 0) + said.failed + said.reached
    if said.word == Word.BAD if since is None else said.run < 0:
        found.bad[place] = found.bad.get(place, 0) + 1
    elif since is None and said.word == Word.HALF:
        found.half[place] = found.half.get(place, 0) + 1
    elif said.run > 0:  # a good word whose last attempt failed contradicts nobody
        found.good[place] = found.good.get(place, 0) + 1
        found.slow += said.word == Word.SLOW


class View(Protocol):
    """What a verdict asks of the evidence."""

    def tally(self, zone: str, since: Mark | None) -> Tally:
        """Count who says what of a zone; with a mark, of what was tried after it alone."""

    def asking(self, zone: str) -> int:
        """Return how many tellers of other places have clients that ask for a zone first."""

    def load(self, zone: str) -> float:
        """Return the zone's own work as its edges told it, units a second."""

    def want(self, zone: str, places: Collection[str]) -> float:
        """Return what clients ask of a zone first, of edges in these places (none: in all)."""

    def unheard(self) -> frozenset[str]:
        """Return the places whose edges' words are not here, though such edges are alive."""


class Told:
    """The view of a process that hears all words."""

    def __init__(
        self, of: Zones, who: Mapping[Origin, Who], words: Mapping[Origin, Mapping[str, Heard]]
    ) -> None:
        """`who`: the living members; words of others do not count."""
        self.of, self.who = of, who
        self.words = {origin: mine for origin, mine in words.items() if origin in who}
        self.suspects = {o for o, mine in self.words.items() if suspect(mine, of.fresh_ms)}

    def tally(self, zone: str, since: Mark | None) -> Tally:
        """Count who says what of a zone."""
        found = Tally()
        for origin, mine in self.words.items():
            beat = since.beats.get(origin, -1) if since is not None else None
            count(self.of, found, self.who[origin].place, mine.get(zone), origin in self.suspects, beat)
        return found

    def asking(self, zone: str) -> int:
        """Return how many tellers elsewhere ask for a zone first."""
        return sum(
            zone in mine and mine[zone].said.want > 0
            for origin, mine in self.words.items()
            if not (self.who[origin].edge and self.who[origin].place == zone)
        )

    def load(self, zone: str) -> float:
        """Return the zone's own work."""
        return sum(mine[zone].said.units for mine in self.words.values() if zone in mine)

    def want(self, zone: str, places: Collection[str]) -> float:
        """Return what clients ask of a zone first."""
        return sum(
            mine[zone].said.want
            for origin, mine in self.words.items()
            if zone in mine and (not places or self.who[origin].place in places)
        )

    def unheard(self) -> frozenset[str]:
        """Return none: what is not heard here is not heard by anybody."""
        return frozenset()


# --- sums


Small = Annotated[int, Meta(ge=0, le=2**40)]
Units = Annotated[float, Meta(ge=0, le=1e15)]
Counts = Annotated[list[Small], Meta(min_length=7, max_length=7)]  # bad good half slow suspect failed tried


class Row(Struct, frozen=True, array_like=True):
    """What the edges of one place say of one zone.

    `accusers`: tellers whose fresh word is slow or worse.  `asking`: those whose clients ask for it first.
    `later`: of attempts since the zone has been in `state` with `part` by decree.
    """

    counts: Counts
    accusers: Small
    asking: Small
    units: Units
    want: Units
    state: Annotated[int, Meta(ge=0, le=255)]
    part: Annotated[int, Meta(ge=0, le=64)]
    later: Counts


class Down(Struct, frozen=True, array_like=True):
    """What comes down to every edge: the zones' own work, units a second."""

    loads: Annotated[dict[Annotated[str, Meta(max_length=64)], Units], Meta(max_length=64)]


_encode = msgspec.msgpack.Encoder().encode
_row = msgspec.msgpack.Decoder(Row)
_down = msgspec.msgpack.Decoder(Down)


def read_row(data: bytes) -> Row:
    """Read a row.  Raises ZonesMalformed, ZonesVersion."""
    return take(_row, data, "a sum about zones")


def read_loads(data: bytes) -> dict[str, float]:
    """Read what came down.  Raises ZonesMalformed, ZonesVersion."""
    return take(_down, data, "the zones' work").loads


def _counts(tally: Tally, place: str) -> list[int]:
    return [
        tally.bad.get(place, 0),
        tally.good.get(place, 0),
        tally.half.get(place, 0),
        tally.slow,
        tally.suspect,
        tally.failed.get(place, 0),
        tally.tried.get(place, 0),
    ]


def _add(tally: Tally, place: str, counts: list[int]) -> None:
    bad, good, half, slow, suspects, failed, tried = counts
    for table, number in ((tally.bad, bad), (tally.good, good), (tally.half, half)):
        if number:
            table[place] = table.get(place, 0) + number
    if bad or good or half or tried:
        tally.failed[place] = tally.failed.get(place, 0) + failed
        tally.tried[place] = tally.tried.get(place, 0) + tried
    tally.slow += slow
    tally.suspect += suspects


class Sums:
    """A collector's sums of what edges say (`collect.collector.Fold`)."""

    def __init__(self, settings: Zones) -> None:
        """Begin with nothing heard."""
        self.settings = settings
        self.all = All(settings, max_origins=1 << 20)  # whom the collector knows bounds it
        self.marks: dict[str, Mark] = {}
        self.refused = 0

    def take(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry that was put at a time of this clock; of others' keys nothing."""
        return key.startswith(PREFIX) and self.all.take(origin, key, value, at_ms)

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""
        self.all.forget(origin)

    def stands(self, verdict: Verdict | None, now_ms: float) -> None:
        """Take what stands by decree: what is tried from now on counts for the next step."""
        stands = verdict or Verdict()
        for zone in self.settings.zones:
            entry = stands.of(zone)
            mark = self.marks.setdefault(zone, Mark())
            if mark.number_state != (entry.state, entry.part):
                mark.number_state, mark.since = (entry.state, entry.part), now_ms
                mark.beats = self.all.beats()

    def parts(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return a row for each zone that the edges of one place speak of, by key."""
        of, words = self.settings, self.all.words(now_ms, origins)
        about: dict[str, list[tuple[Origin, Heard, bool]]] = {}
        for origin, mine in words.items():
            suspected = suspect(mine, of.fresh_ms)
            for name, heard in mine.items():
                about.setdefault(name, []).append((origin, heard, suspected))
        found = {}
        for name, heards in sorted(about.items()):
            mark = self.marks.setdefault(name, Mark())
            plain, later = Tally(), Tally()
            accusers = asking = 0
            units = want = 0.0
            for origin, heard, suspected in heards:
                count(of, plain, zone, heard, suspected, None)
                count(of, later, zone, heard, suspected, mark.beats.get(origin, -1))
                accusers += heard.said.word >= Word.SLOW and heard.told_ms <= of.fresh_ms
                if heard.told_ms <= 3 * of.calm_ms:
                    asking += heard.said.want > 0
                    units += heard.said.units
                    want += heard.said.want
            state, part = mark.number_state
            row = Row(
                _counts(plain, zone),
                accusers,
                asking,
                round(units, 3),
                round(want, 3),
                max(0, state),
                max(0, part),
                _counts(later, zone),
            )
            found[PREFIX + name] = bytes((VERSION,)) + _encode(row)
        return found

    def down(self, rows: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether anybody accuses a zone, and the zones' own work for all.  `rows`: by place, key."""
        read = list(rows_of(self.settings, rows).values())
        loads: dict[str, float] = {}
        for mine in read:
            for zone, row in mine.items():
                loads[zone] = loads.get(zone, 0.0) + row.units
        accused = any(row.accusers for mine in read for row in mine.values())
        stirred = any(mark.number_state[0] > State.NEAR for mark in self.marks.values())
        told = {zone: float(f"{units:.3g}") for zone, units in sorted(loads.items())}
        return accused or stirred, bytes((VERSION,)) + _encode(Down(told))


def rows_of(of: Zones, parts: Mapping[str, Mapping[str, bytes]]) -> dict[str, dict[str, Row]]:
    """Return the rows by place and zone spoken of; what cannot be read counts as not said."""
    found: dict[str, dict[str, Row]] = {}
    for place, mine in parts.items():
        rows = found.setdefault(place, {})
        for key, value in mine.items():
            zone = key.removeprefix(PREFIX)
            if not key.startswith(PREFIX) or zone not in of.zones:
                continue
            try:
                rows[zone] = read_row(value)
            except ZonesError:
                continue
    return found


class Summed:
    """The view of a seat that has collectors' sums."""

    def __init__(
        self,
        of: Zones,
        who: Iterable[Who],
        parts: Mapping[str, Mapping[str, bytes]],
        tellers: Mapping[str, int],
    ) -> None:
        """`parts`: rows' bytes by place and key; `tellers`: how many of a place are in its sums."""
        self.of = of
        self.rows = rows_of(of, parts)
        there: dict[str, int] = {}
        for one in who:
            if one.alive and one.edge:
                there[one.place] = there.get(one.place, 0) + 1
        # Half: fewer may be a new collector that its tellers are only coming to.
        self._unheard = frozenset(p for p, n in there.items() if 2 * tellers.get(p, 0) < n)

    def tally(self, zone: str, since: Mark | None) -> Tally:
        """Count who says what of a zone."""
        found = Tally()
        for place, mine in sorted(self.rows.items()):
            row = mine.get(zone)
            if row is None:
                continue
            if since is None:
                _add(found, place, row.counts)
            elif (row.state, row.part) == since.number_state:
                _add(found, place, row.later)
        return found

    def asking(self, zone: str) -> int:
        """Return how many tellers elsewhere ask for a zone first."""
        return sum(mine[zone].asking for place, mine in self.rows.items() if zone in mine and place != zone)

    def load(self, zone: str) -> float:
        """Return the zone's own work."""
        return sum(mine[zone].units for mine in self.rows.values() if zone in mine)

    def want(self, zone: str, places: Collection[str]) -> float:
        """Return what clients ask of a zone first."""
        return sum(
            mine[zone].want for p, mine in self.rows.items() if zone in mine and (not places or p in places)
        )

    def unheard(self) -> frozenset[str]:
        """Return the places of which no sums, or sums of too few, are here."""
        return self._unheard
