"""From all edges' evidence to what should stand of the zones.  Pure; run by the seat that leads the council.

What is guarded against, and by what:

- One process's bad network.  An edge that reaches no zone well, or calls more than half of those it tried
  bad, is itself suspect and not counted; and one witness is never enough.
- Late evidence.  A word counts only `fresh_ms`, a zone must stand accused for `confirm_ms`, and after each
  step of the way back only what was tried later counts.
- Flapping.  Each loss doubles the rest before the way back begins, up to `most_losses`; one is forgotten
  every `fade_ms` in which the zone stayed.  The count stands in the decree, so a new leader has it too.
- Too much given up.  At least `least_left` of all capacity stays, whatever the evidence; and what those who
  go elsewhere may ask of the rest is told in the decree (`room`), so the rest bears it however much is lost.
- A zone that only some can see.  Words are weighed by the place (zone) of their tellers: where some places
  reach it and others do not, it is *split*: those who cannot go elsewhere, the others stay.

A leader's memory (`Memory`) holds only times and marks.  A new leader begins with an empty one and the
standing decree: whatever was decided stays decided, and each time runs again from its beginning, so that it
can be late but not early.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from cressrock.failover.decision import (
    FULL_SHARE,
    FailoverDecision,
    FailoverSettings,
    ZoneDecision,
    ZoneState,
)
from cressrock.failover.evidence import Origin, ReceivedReport
from cressrock.failover.summary import EvidenceView, ReportView, WitnessCounts, ZoneMark, ZoneMember

DRIFT = 0.25  # room or demand that changed by so much is told anew
ROOM_MS = 3000.0  # and so long after the last decree at the earliest
AWAY = 0.7  # of a place's attempts fail where it cannot reach a zone; of one half away, half do
BACK_BAD = 0.5  # on the way back, this share of bad fresh words ends it


@dataclass(slots=True)
class EvaluationMemory:
    """What a leader remembers from one look to the next."""

    marks: dict[str, ZoneMark] = field(default_factory=dict)
    decided_at_ms: float = -1e18
    witnesses: dict[str, WitnessCounts] = field(default_factory=dict)  # of the last look, for the status
    unheard: dict[str, float] = field(default_factory=dict)  # since when the words of a place are missing


def need(of: FailoverSettings, edges: int) -> int:
    """Return how many witnesses a verdict takes: `witnesses`, of very few edges at least two."""
    return max(2, min(of.witnesses, math.ceil(edges / 2)))


def _assess(
    of: FailoverSettings, zone: str, tally: WitnessCounts, who: Mapping[Origin, ZoneMember], silent: bool
) -> tuple[str, list[str]]:
    """Return what a tally comes to: "", gone, split (with the blind places), half or slow.

    `silent`: none of the zone's own processes is alive in the leader's view, which counts as one witness.
    """
    edges = sum(w.is_edge and w.alive for w in who.values())
    wanted = need(of, edges)
    bad, good = tally.unreachable_and_reachable()
    # Of a place, two thirds have to agree; else somebody's own network is more likely.  A half is also what
    # a word is on its way from good to bad: there must not be more of them than of bad ones.  And of few
    # attempts at a zone that is half away, some edges' all fail; of their place's all together, half do.
    halves = sum(tally.degraded.values())
    blind = sorted(
        p
        for p, n in tally.unreachable.items()
        if n > 0
        and n >= 2 * tally.reachable.get(p, 0)
        and n >= tally.degraded.get(p, 0)
        and tally.failed_attempts[p] >= AWAY * tally.attempts[p]
    )
    seeing = sorted(p for p, n in tally.reachable.items() if p not in blind)
    if bad and not seeing and blind and bad >= halves:
        own = sum(w.is_edge and w.alive and w.zone == zone for w in who.values())
        # In calm only a zone's own edges go there: a loss may have no other witnesses.  Each reaches others
        # (else it is suspect), and their fellows were asked and would have contradicted.
        alone = blind == [zone] and bad >= max(wanted, of.own_share * own) and bad >= 2 * good
        if (bad + silent >= wanted and len(blind) + silent >= 2) or alone:
            return "gone", []
    if seeing and blind:
        # A place with one edge cannot be told from that edge's bad network; it helps itself.
        sure = [p for p in blind if tally.unreachable[p] >= 2]
        if sure and sum(tally.unreachable[p] for p in sure) >= wanted:
            return "split", sure
    told = bad + good + halves
    if halves and halves + bad >= wanted and 2 * (halves + bad) > told:
        return "half", []
    if tally.slow >= wanted and 2 * tally.slow > told:
        return "slow", []
    return "", []


def evaluate_reports(
    of: FailoverSettings,
    members: Sequence[ZoneMember],
    words: Mapping[Origin, Mapping[str, ReceivedReport]],
    beats: Mapping[Origin, int],
    standing: FailoverDecision | None,
    now_ms: float,
    memory: EvaluationMemory,
) -> FailoverDecision | None:
    """Return what should stand by all words, as a process has them that hears everybody: see `weigh`.

    `words` and `beats` are of `All`.
    """
    told = ReportView(of, {w.origin: w for w in members if w.alive}, words)
    return evaluate(of, members, told, beats, standing, now_ms, memory)


def evaluate(
    of: FailoverSettings,
    members: Sequence[ZoneMember],
    view: EvidenceView,
    beats: Mapping[Origin, int],
    standing: FailoverDecision | None,
    now_ms: float,
    memory: EvaluationMemory,
) -> FailoverDecision | None:
    """Return what should stand instead of `standing` (None: nothing does), or None where it may stay.

    `members` is the leader's own view, `view` the evidence; `beats` are of the tellers that are heard here
    (of collectors' sums, none: collectors keep them).  Times are the leader's clock alone.  Whoever decides
    the result does so under the number of `standing`: where another came first, the next look begins from
    that one.
    """
    stands = standing or FailoverDecision()
    who = {w.origin: w for w in members if w.alive}
    living = {w.zone for w in who.values()}
    lost = {w.zone for w in members} - living  # zones of which no process is alive
    missing = view.unheard_zones()
    memory.unheard = {place: memory.unheard.get(place, now_ms) for place in sorted(missing)}
    # Danger: a collector dies, and with it those are not heard who reach a zone that others call away.  Their
    # words come by the next one within seconds; who is not heard for longer counts no more, as ever.
    waits = any(now_ms - since <= of.fresh_ms for since in memory.unheard.values())
    entries: dict[str, ZoneDecision] = {}
    memory.witnesses = {}
    for zone in sorted(of.zones):
        entry = stands.for_zone(zone)
        mark = memory.marks.setdefault(zone, ZoneMark())
        key = (entry.state, entry.share)
        if mark.state_and_share != key:
            mark.state_and_share, mark.since_ms, mark.intervals = key, now_ms, dict(beats)
            mark.accused = ("", now_ms)
            mark.faded = now_ms
        entries[zone] = _one(of, zone, entry, mark, who, view, now_ms, memory, zone in lost, waits)
    _keep_enough(of, stands, entries)
    wanted = [e for e in entries.values() if e.state != ZoneState.LOCAL or e.losses]
    room, want = _room(of, entries, view, stands)
    result = FailoverDecision(wanted, room, want)
    moved = wanted != stands.zones
    drifted = now_ms - memory.decided_at_ms >= ROOM_MS and _drifted(result, stands) and not waits
    if not moved and not drifted:
        return None
    return result


def record_decision(memory: EvaluationMemory, now_ms: float) -> None:
    """Note that a result of `judge` was decided, or is being so."""
    memory.decided_at_ms = now_ms


def _one(
    of: FailoverSettings,
    zone: str,
    entry: ZoneDecision,
    mark: ZoneMark,
    who: Mapping[Origin, ZoneMember],
    view: EvidenceView,
    now: float,
    memory: EvaluationMemory,
    silent: bool,
    waits: bool,
) -> ZoneDecision:
    """Return what should stand of one zone.  `waits`: who might contradict a loss is not heard just now."""
    edges = sum(w.is_edge and w.zone == zone for w in who.values()) + view.remote_requesters(zone)
    if entry.blind_zones:  # only these are held back, and share a part
        edges = max(1, sum(w.is_edge and w.zone in entry.blind_zones for w in who.values()))
    later = entry.state in (ZoneState.RECOVERING, ZoneState.EVACUATED)
    tally = view.count_witnesses(zone, mark if later else None)
    memory.witnesses[zone] = tally
    kind, blind = _assess(of, zone, tally, who, silent)
    if kind != mark.accused[0]:
        mark.accused = (kind, now)
    held = 0.0 if waits else now - mark.accused[1]
    bad, good = tally.unreachable_and_reachable()
    spent = now - mark.since_ms
    patience = 2.0 ** min(max(0, entry.losses - 1), of.most_losses)
    enough = need(of, sum(w.is_edge for w in who.values()))
    losses = min(entry.losses + 1, of.most_losses)

    def new(state: ZoneState, part: int, *, lost: bool = False, blind: Sequence[str] = ()) -> ZoneDecision:
        return ZoneDecision(zone, state, part, losses if lost else entry.losses, edges, list(blind))

    if entry.state == ZoneState.EVACUATED:
        well = good >= enough and bad <= good * (1 - of.bad_share)
        if spent >= of.rest_ms * patience and well:
            return new(ZoneState.RECOVERING, of.parts()[0])
        return entry
    if entry.state == ZoneState.RECOVERING:
        if bad >= 2 and bad >= BACK_BAD * (bad + good) and not waits:
            if entry.blind_zones:
                return new(ZoneState.PARTITIONED, 0, lost=True, blind=entry.blind_zones)
            return new(ZoneState.EVACUATED, 0, lost=True)
        if spent >= of.step_ms and good >= enough and bad <= good * (1 - of.bad_share):
            if entry.share * 2 >= FULL_SHARE:
                return new(ZoneState.LOCAL, FULL_SHARE)
            return new(ZoneState.RECOVERING, entry.share * 2, blind=entry.blind_zones)
        return entry
    if kind == "gone" and held >= of.confirm_ms:
        return new(
            ZoneState.EVACUATED, 0, lost=entry.state != ZoneState.PARTITIONED
        )  # a split was counted as the same loss
    if entry.state == ZoneState.PARTITIONED:
        since = view.count_witnesses(zone, mark)
        cured = all(
            since.reachable.get(p, 0) >= 2
            and since.unreachable.get(p, 0) <= (1 - of.bad_share) * since.reachable[p]
            for p in entry.blind_zones
            if sum(w.is_edge and w.zone == p for w in who.values())
        )
        if spent >= of.rest_ms * patience and cured:
            return new(ZoneState.RECOVERING, of.parts()[0], blind=entry.blind_zones)
        return entry
    if kind == "split" and held >= of.split_ms:
        return new(ZoneState.PARTITIONED, 0, lost=True, blind=blind)
    if kind == "half" and held >= of.step_ms and entry.share > FULL_SHARE // 2:
        return new(ZoneState.DEGRADED, FULL_SHARE // 2)
    if kind == "slow" and held >= of.split_ms and entry.share > FULL_SHARE // 8 and spent >= of.step_ms:
        # It serves, and less work may be all it needs: half of it goes, then half of that.
        return new(ZoneState.SLOW, entry.share // 2)
    if entry.state in (ZoneState.DEGRADED, ZoneState.SLOW):
        if not kind and held >= of.step_ms and spent >= of.step_ms and good >= enough:
            part = min(FULL_SHARE, entry.share * 2)
            return new(ZoneState(entry.state) if part < FULL_SHARE else ZoneState.LOCAL, part)
        return entry
    if entry.losses and now - mark.faded >= of.fade_ms:
        mark.faded = now
        return msgspec.structs.replace(entry, losses=entry.losses - 1)
    return entry


def _keep_enough(of: FailoverSettings, stands: FailoverDecision, entries: dict[str, ZoneDecision]) -> None:
    """Take back what would give up more than may be; what stands already goes first."""
    total = sum(z.capacity for z in of.zones.values())

    def away(entry: ZoneDecision) -> float:
        if entry.blind_zones or entry.state == ZoneState.RECOVERING:
            return 0.0  # most of it serves, or soon does
        return of.zones[entry.zone].capacity * (1 - entry.share / FULL_SHARE)

    left = total
    order = sorted(entries, key=lambda z: (away(stands.for_zone(z)) < away(entries[z]), z))
    for zone in order:
        if left - away(entries[zone]) < of.least_left * total - 1e-9:
            entries[zone] = stands.for_zone(zone)
        left -= away(entries[zone])


def _room(
    of: FailoverSettings, entries: Mapping[str, ZoneDecision], view: EvidenceView, stands: FailoverDecision
) -> tuple[dict[str, float], float]:
    """Return what may be spilled into each whole zone, and what all ask for who have to go elsewhere."""
    hurt = {z for z, e in entries.items() if e.share < FULL_SHARE}
    if not hurt:
        return {}, 0.0
    load = {zone: view.load(zone) for zone in of.zones}
    want = sum(view.demand(zone, entries[zone].blind_zones) for zone in sorted(hurt))
    room = {}
    for zone, figures in of.zones.items():
        if zone in hurt:
            continue
        own = load[zone] if load[zone] > 0 else of.usual * figures.capacity
        room[zone] = round(max(0.0, of.bears * figures.capacity - own), 3)
    return room, round(want, 3)


def _drifted(new: FailoverDecision, old: FailoverDecision) -> bool:
    """Whether room or demand differ enough that it is worth a decree."""
    if new.spare_capacity.keys() != old.spare_capacity.keys():
        return bool(new.zones)
    pairs = [
        (new.evacuated_demand, old.evacuated_demand),
        *((value, old.spare_capacity[zone]) for zone, value in new.spare_capacity.items()),
    ]
    return any(abs(a - b) > DRIFT * max(a, b, 1e-9) for a, b in pairs)
