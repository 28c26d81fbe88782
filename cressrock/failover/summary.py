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

from cressrock.errors.failover import FailoverError
from cressrock.failover.decision import (
    VERSION,
    FailoverDecision,
    FailoverSettings,
    ZoneState,
    decode_versioned,
)
from cressrock.failover.evidence import REPORT_KEY_PREFIX, FleetEvidence, Origin, ReceivedReport, ZoneHealth


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """A member of the fleet as the verdict needs it: alive is what the leader's own view holds for sure."""

    origin: Origin
    zone: str
    alive: bool
    is_edge: bool


@dataclass(slots=True)
class WitnessCounts:
    """Who says what of one zone.  Counts of witnesses, by place."""

    unreachable: dict[str, int] = field(default_factory=dict)
    reachable: dict[str, int] = field(default_factory=dict)
    degraded: dict[str, int] = field(default_factory=dict)
    slow: int = 0
    suspects: int = 0
    failed_attempts: dict[str, int] = field(default_factory=dict)  # attempts, by place
    attempts: dict[str, int] = field(default_factory=dict)

    def unreachable_and_reachable(self) -> tuple[int, int]:
        """Return how many say that it is away, and how many reach it."""
        return sum(self.unreachable.values()), sum(self.reachable.values())


@dataclass(slots=True)
class ZoneMark:
    """What a leader remembers of one zone."""

    state_and_share: tuple[int, int] = (-1, -1)  # state and part that stood when the times below began
    since_ms: float = 0.0
    intervals: dict[Origin, int] = field(default_factory=dict)  # of each teller when they began
    accused: tuple[str, float] = ("", 0.0)  # of what, and since when without a break
    faded: float = 0.0  # since when the zone has stayed


def suspect(words: Mapping[str, ReceivedReport], fresh_ms: float) -> bool:
    """Whether a teller's own network may be what is bad: it reaches nothing well, or misses most."""
    recent = [h.report.health for h in words.values() if h.age_ms <= fresh_ms and h.report.health]
    wrong = sum(word >= ZoneHealth.DEGRADED for word in recent)
    return wrong > 0 and (wrong == len(recent) or 2 * wrong > len(recent))


def count(
    of: FailoverSettings,
    found: WitnessCounts,
    place: str,
    heard: ReceivedReport | None,
    suspected: bool,
    since: int | None,
) -> None:
    """Count one teller's fresh word; whether it reached the zone only if it did so of late.

    With `since`, only on attempts after this beat, and by how the last one ended: of a zone that is given up
    there are only a few tries, and a bad word would outlive several that arrived.
    """
    if heard is None or heard.age_ms > of.fresh_ms or heard.report.health == ZoneHealth.UNKNOWN:
        return
    if since is None and heard.report.health != ZoneHealth.UNREACHABLE and heard.age_ms > of.recent_ms:
        return
    if since is not None and heard.interval <= since:
        return
    if suspected:
        found.suspects += 1
        return
    said = heard.report
    found.failed_attempts[place] = found.failed_attempts.get(place, 0) + said.failed
    found.attempts[place] = found.attempts.get(place, 0) + said.failed + said.reached
    if said.health == ZoneHealth.UNREACHABLE if since is None else said.streak < 0:
        found.unreachable[place] = found.unreachable.get(place, 0) + 1
    elif since is None and said.health == ZoneHealth.DEGRADED:
        found.degraded[place] = found.degraded.get(place, 0) + 1
    elif said.streak > 0:  # a good word whose last attempt failed contradicts nobody
        found.reachable[place] = found.reachable.get(place, 0) + 1
        found.slow += said.health == ZoneHealth.SLOW


class EvidenceView(Protocol):
    """What a verdict asks of the evidence."""

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count who says what of a zone; with a mark, of what was tried after it alone."""

    def remote_requesters(self, zone: str) -> int:
        """Return how many tellers of other places have clients that ask for a zone first."""

    def load(self, zone: str) -> float:
        """Return the zone's own work as its edges told it, units a second."""

    def demand(self, zone: str, places: Collection[str]) -> float:
        """Return what clients ask of a zone first, of edges in these places (none: in all)."""

    def unheard_zones(self) -> frozenset[str]:
        """Return the places whose edges' words are not here, though such edges are alive."""


class ReportView:
    """The view of a process that hears all words."""

    def __init__(
        self,
        of: FailoverSettings,
        who: Mapping[Origin, ZoneMember],
        words: Mapping[Origin, Mapping[str, ReceivedReport]],
    ) -> None:
        """`who`: the living members; words of others do not count."""
        self.of, self.who = of, who
        self.words = {origin: mine for origin, mine in words.items() if origin in who}
        self.suspects = {o for o, mine in self.words.items() if suspect(mine, of.fresh_ms)}

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count who says what of a zone."""
        found = WitnessCounts()
        for origin, mine in self.words.items():
            beat = since.intervals.get(origin, -1) if since is not None else None
            count(self.of, found, self.who[origin].zone, mine.get(zone), origin in self.suspects, beat)
        return found

    def remote_requesters(self, zone: str) -> int:
        """Return how many tellers elsewhere ask for a zone first."""
        return sum(
            zone in mine and mine[zone].report.demand > 0
            for origin, mine in self.words.items()
            if not (self.who[origin].is_edge and self.who[origin].zone == zone)
        )

    def load(self, zone: str) -> float:
        """Return the zone's own work."""
        return sum(mine[zone].report.load for mine in self.words.values() if zone in mine)

    def demand(self, zone: str, places: Collection[str]) -> float:
        """Return what clients ask of a zone first."""
        return sum(
            mine[zone].report.demand
            for origin, mine in self.words.items()
            if zone in mine and (not places or self.who[origin].zone in places)
        )

    def unheard_zones(self) -> frozenset[str]:
        """Return none: what is not heard here is not heard by anybody."""
        return frozenset()


# --- sums


Small = Annotated[int, Meta(ge=0, le=2**40)]
Units = Annotated[float, Meta(ge=0, le=1e15)]
Counts = Annotated[list[Small], Meta(min_length=7, max_length=7)]  # bad good half slow suspect failed tried


class SummaryRow(Struct, frozen=True, array_like=True):
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


class ZoneLoads(Struct, frozen=True, array_like=True):
    """What comes down to every edge: the zones' own work, units a second."""

    loads: Annotated[dict[Annotated[str, Meta(max_length=64)], Units], Meta(max_length=64)]


_encode = msgspec.msgpack.Encoder().encode
_row = msgspec.msgpack.Decoder(SummaryRow)
_down = msgspec.msgpack.Decoder(ZoneLoads)


def decode_summary_row(data: bytes) -> SummaryRow:
    """Read a row.  Raises ZonesMalformed, ZonesVersion."""
    return decode_versioned(_row, data, "a sum about zones")


def decode_zone_loads(data: bytes) -> dict[str, float]:
    """Read what came down.  Raises ZonesMalformed, ZonesVersion."""
    return decode_versioned(_down, data, "the zones' work").loads


def _counts(tally: WitnessCounts, place: str) -> list[int]:
    return [
        tally.unreachable.get(place, 0),
        tally.reachable.get(place, 0),
        tally.degraded.get(place, 0),
        tally.slow,
        tally.suspects,
        tally.failed_attempts.get(place, 0),
        tally.attempts.get(place, 0),
    ]


def _add(tally: WitnessCounts, place: str, counts: list[int]) -> None:
    bad, good, half, slow, suspects, failed, tried = counts
    for table, number in ((tally.unreachable, bad), (tally.reachable, good), (tally.degraded, half)):
        if number:
            table[place] = table.get(place, 0) + number
    if bad or good or half or tried:
        tally.failed_attempts[place] = tally.failed_attempts.get(place, 0) + failed
        tally.attempts[place] = tally.attempts.get(place, 0) + tried
    tally.slow += slow
    tally.suspects += suspects


class ReportSummarizer:
    """A collector's sums of what edges say (`collect.collector.Fold`)."""

    def __init__(self, settings: FailoverSettings) -> None:
        """Begin with nothing heard."""
        self.settings = settings
        self.evidence = FleetEvidence(settings, max_origins=1 << 20)  # whom the collector knows bounds it
        self.marks: dict[str, ZoneMark] = {}
        self.refused = 0

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry that was put at a time of this clock; of others' keys nothing."""
        return key.startswith(REPORT_KEY_PREFIX) and self.evidence.receive(origin, key, value, at_ms)

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""
        self.evidence.forget(origin)

    def apply_decision(self, verdict: FailoverDecision | None, now_ms: float) -> None:
        """Take what stands by decree: what is tried from now on counts for the next step."""
        stands = verdict or FailoverDecision()
        for zone in self.settings.zones:
            entry = stands.for_zone(zone)
            mark = self.marks.setdefault(zone, ZoneMark())
            if mark.state_and_share != (entry.state, entry.share):
                mark.state_and_share, mark.since_ms = (entry.state, entry.share), now_ms
                mark.intervals = self.evidence.latest_intervals()

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return a row for each zone that the edges of one place speak of, by key."""
        of, words = self.settings, self.evidence.reports(now_ms, origins)
        about: dict[str, list[tuple[Origin, ReceivedReport, bool]]] = {}
        for origin, mine in words.items():
            suspected = suspect(mine, of.fresh_ms)
            for name, heard in mine.items():
                about.setdefault(name, []).append((origin, heard, suspected))
        found = {}
        for name, heards in sorted(about.items()):
            mark = self.marks.setdefault(name, ZoneMark())
            plain, later = WitnessCounts(), WitnessCounts()
            accusers = asking = 0
            units = want = 0.0
            for origin, heard, suspected in heards:
                count(of, plain, zone, heard, suspected, None)
                count(of, later, zone, heard, suspected, mark.intervals.get(origin, -1))
                accusers += heard.report.health >= ZoneHealth.SLOW and heard.silent_ms <= of.fresh_ms
                if heard.silent_ms <= 3 * of.calm_ms:
                    asking += heard.report.demand > 0
                    units += heard.report.load
                    want += heard.report.demand
            state, part = mark.state_and_share
            row = SummaryRow(
                _counts(plain, zone),
                accusers,
                asking,
                round(units, 3),
                round(want, 3),
                max(0, state),
                max(0, part),
                _counts(later, zone),
            )
            found[REPORT_KEY_PREFIX + name] = bytes((VERSION,)) + _encode(row)
        return found

    def broadcast(self, rows: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether anybody accuses a zone, and the zones' own work for all.  `rows`: by place, key."""
        read = list(decode_summary_rows(self.settings, rows).values())
        loads: dict[str, float] = {}
        for mine in read:
            for zone, row in mine.items():
                loads[zone] = loads.get(zone, 0.0) + row.units
        accused = any(row.accusers for mine in read for row in mine.values())
        stirred = any(mark.state_and_share[0] > ZoneState.LOCAL for mark in self.marks.values())
        told = {zone: float(f"{units:.3g}") for zone, units in sorted(loads.items())}
        return accused or stirred, bytes((VERSION,)) + _encode(ZoneLoads(told))


def decode_summary_rows(
    of: FailoverSettings, parts: Mapping[str, Mapping[str, bytes]]
) -> dict[str, dict[str, SummaryRow]]:
    """Return the rows by place and zone spoken of; what cannot be read counts as not said."""
    found: dict[str, dict[str, SummaryRow]] = {}
    for place, mine in parts.items():
        rows = found.setdefault(place, {})
        for key, value in mine.items():
            zone = key.removeprefix(REPORT_KEY_PREFIX)
            if not key.startswith(REPORT_KEY_PREFIX) or zone not in of.zones:
                continue
            try:
                rows[zone] = decode_summary_row(value)
            except FailoverError:
                continue
    return found


class SummaryView:
    """The view of a seat that has collectors' sums."""

    def __init__(
        self,
        of: FailoverSettings,
        who: Iterable[ZoneMember],
        parts: Mapping[str, Mapping[str, bytes]],
        tellers: Mapping[str, int],
    ) -> None:
        """`parts`: rows' bytes by place and key; `tellers`: how many of a place are in its sums."""
        self.of = of
        self.rows = decode_summary_rows(of, parts)
        there: dict[str, int] = {}
        for one in who:
            if one.alive and one.is_edge:
                there[one.zone] = there.get(one.zone, 0) + 1
        # Half: fewer may be a new collector that its tellers are only coming to.
        self._unheard = frozenset(p for p, n in there.items() if 2 * tellers.get(p, 0) < n)

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count who says what of a zone."""
        found = WitnessCounts()
        for place, mine in sorted(self.rows.items()):
            row = mine.get(zone)
            if row is None:
                continue
            if since is None:
                _add(found, place, row.counts)
            elif (row.state, row.part) == since.state_and_share:
                _add(found, place, row.later)
        return found

    def remote_requesters(self, zone: str) -> int:
        """Return how many tellers elsewhere ask for a zone first."""
        return sum(mine[zone].asking for place, mine in self.rows.items() if zone in mine and place != zone)

    def load(self, zone: str) -> float:
        """Return the zone's own work."""
        return sum(mine[zone].units for mine in self.rows.values() if zone in mine)

    def demand(self, zone: str, places: Collection[str]) -> float:
        """Return what clients ask of a zone first."""
        return sum(
            mine[zone].want for p, mine in self.rows.items() if zone in mine and (not places or p in places)
        )

    def unheard_zones(self) -> frozenset[str]:
        """Return the places of which no sums, or sums of too few, are here."""
        return self._unheard
