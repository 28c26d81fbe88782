"""Where a read goes: near, or elsewhere as far as that is surely borne; else an honest refusal.  Pure.

An edge has three things to go by: the decree that counts (`terms.Verdict`), its own word of each zone, and
the settings.  Of the decree and its own word the more careful one holds.

- *Near*: a zone has a part from 0 to 1.  On the way back the part is drawn by lots for each read, and
  a rate is kept as well: part x capacity over the edges that the decree names.  So the sum over all
  processes stays under what nodes that were down surely bear, whatever clients ask.
- *Elsewhere*, in tiers (same region, other regions): of the room that the decree tells, an edge has its own
  part (what it told that its clients ask for, over what all told).  Without a decree: `alone` of what the
  zones' own work leaves by what was last heard (else by the settings), over the edges of as many zones as
  this edge does not reach; so however many are lost, the rest bears what comes.  Each rate is eased by the
  answers (a fourth less for a beat with refusals or late answers, a sixteenth more after).  Reads with a
  reserve may take all of a rate, others leave `reserve` of it.
- *Tries*: of a zone that is given up, now and then one read without a reserve, `tries` a second of all
  edges.
- *Without the council*: what was decreed last ends; each edge goes on from the last part by its own tries,
  and begins after a time of its own (drawn, up to `step_ms`), each step as long as a decreed one and drawn
  too.

What no rate bears is refused with the time after which there may be room.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors.failover import FailoverError
from cressrock.failover import decision
from cressrock.failover.decision import (
    FULL_SHARE,
    FailoverDecision,
    FailoverSettings,
    WriteMove,
    ZoneDecision,
    ZoneState,
)
from cressrock.failover.evidence import AttemptResult, LocalEvidence, ZoneHealth, classify_attempt
from cressrock.interface import Outcome

EASE_LESS, EASE_MORE, EASE_LEAST = 0.75, 1 / 16, 1 / 16
PRESSED = 0.1  # of a beat's answers: refused or late ones above this ease the rate
BURST_MS = 2000.0  # a rate in use saves up so long: clients of one edge do not come evenly
FIRST_MS, IDLE_MS = 800.0, 10000.0  # one out of use less: else all edges' savings meet in one instant


@dataclass(frozen=True, slots=True)
class Route:
    """Send it to this zone.  Tier 0: its own; 1: another of the region; 2: another region."""

    zone: str
    tier: int


@dataclass(frozen=True, slots=True)
class Shed:
    """Refuse it: nothing that is surely borne is left.  A retry after this time is harmless."""

    retry_after_ms: float
    reason: str  # no-copy, no-room, unreached


@dataclass(slots=True)
class _Rate:
    """A token bucket whose rate is told at each use.  Units."""

    at: float
    held: float = 0.0
    burst_ms: float = 0.0  # how long it saves up; a unit of work always fits

    def lacks(self, rate: float, units: float, keep: float, now_ms: float) -> float:
        """Fill up; return how many units are lacking so that `keep` of a full bucket is left."""
        idle = now_ms - self.at
        full = max(rate * self.burst_ms / 1000, units / max(1e-9, 1 - keep))
        self.held = min(full, self.held + rate * max(0.0, idle) / 1000)
        if idle >= IDLE_MS:
            self.held = min(self.held, max(units, rate * FIRST_MS / 1000))
        self.at = now_ms
        return units + keep * full - self.held

    def take(self, rate: float, units: float, keep: float, now_ms: float) -> float:
        """Take units if there are; returns 0, or ms until there may be; below 0: there never are."""
        lacking = self.lacks(rate, units, keep, now_ms)
        if rate <= 0:
            return -1.0
        if lacking <= 1e-9:
            self.held -= units
            return 0.0
        return lacking / rate * 1000


@dataclass(slots=True)
class _Zone:
    """What this edge keeps of one zone."""

    tier: int
    near: _Rate
    spill: _Rate
    ease: float = 1.0
    answers: int = 0  # in this beat
    pressed: int = 0
    spilled: float = 0.0  # units sent there that were not its own work, and not yet reckoned
    part: int = FULL_SHARE  # this edge's own part, where it is alone
    next_try: float = 0.0
    step_at: float = 0.0


class ZoneRouter:
    """One edge's choice.  `read` decides; `ended` hears every attempt's outcome; `tell` is in `own`."""

    def __init__(
        self,
        here: str,
        regions: Mapping[str, str],
        settings: FailoverSettings,
        now_ms: float,
        source: random.Random | None = None,
    ) -> None:
        """`regions`: zone -> region; `source` draws the lots (seeded)."""
        self.here, self.settings = here, settings
        self.regions = dict(regions)
        self.source = source or random.Random(0)
        self.evidence = LocalEvidence(settings, now_ms)
        self.decision = FailoverDecision()
        self.decision_holds = False  # whether a decree counts
        self.write_move: WriteMove | None = None
        self._unread = 0  # number of the last one
        self.unreadable_decisions = 0  # decrees that this program cannot read; they count as none
        self.counts: dict[str, int] = {"near": 0, "region": 0, "away": 0, "tries": 0, "refused": 0}
        mine = self.regions.get(here, "")
        self.zones = {
            zone: _Zone(
                0 if zone == here else 1 if region == mine else 2, _Rate(now_ms), _Rate(now_ms, 0.0, BURST_MS)
            )
            for zone, region in sorted(self.regions.items())
            if zone in settings.zones
        }
        self._entries: dict[str, ZoneDecision] = {}
        self._loads: Mapping[str, float] = {}
        self._beat = self.evidence.interval
        self._told = 0.0  # what this edge had told that its clients ask of zones that hold it back
        self._edges_of_a_zone = max(1.0, settings.edges / max(1, len(settings.zones)))

    # --- what is decreed

    def apply_decision(self, topic: str, found: Decision | Expired | None, now_ms: float) -> None:
        """Take what counts for a topic now; other topics than the zones' are passed over."""
        if topic == decision.WRITE_MOVE_TOPIC:
            # A move stands until another: that nobody renews it does not bring writes back.
            decree = found.decision if isinstance(found, Expired) else found
            try:
                self.write_move = decision.decode_write_move(decree.value) if decree is not None else None
            except FailoverError:
                self.write_move = None  # a newer program's: this one cannot say where writes go
            return
        if topic != decision.TOPIC:
            return
        verdict, lives = FailoverDecision(), False
        if isinstance(found, Decision):
            try:
                verdict, lives = decision.decode(found.value), True
            except FailoverError:
                self.unreadable_decisions += found.version != self._unread
                self._unread = found.version
        if verdict == self.decision and lives == self.decision_holds:
            return
        before, self.decision, self.decision_holds = self._entries, verdict, lives
        self._entries = {e.zone: e for e in verdict.zones if e.zone in self.zones}
        for name, zone in self.zones.items():
            was, now = before.get(name), self._entries.get(name)
            if was is not None and not lives and self._part_of(was) < FULL_SHARE:
                # What was decreed ends: on from there, each edge at a time of its own.
                zone.part = self._part_of(was)
                zone.step_at = now_ms + self._drawn(self.settings.step_ms)
                zone.next_try = now_ms + self._drawn(self._try_ms(name))
            if now is None or not lives:
                continue
            if self._part_of(now) == 0 and (was is None or self._part_of(was) > 0):
                zone.next_try = now_ms + self._drawn(self._try_ms(name))
            if self._part_of(now) > 0 and was is not None and self._part_of(was) == 0:
                self.evidence.reset_zone(name)  # taken back in common
            if was is None or self._part_of(was) != self._part_of(now):
                zone.near = _Rate(now_ms)  # nothing saved up: a step begins from nothing
            if self._part_of(now) < FULL_SHARE:
                zone.part = FULL_SHARE  # the decree leads, not what this edge did alone
        # What the leader had from this edge, as near as it can be known: later growth waits for a decree.
        self._told = sum(
            self.evidence.reported_demand(e.zone)
            for e in self._entries.values()
            if self._part_of(e) < FULL_SHARE
        )

    def _covered(self, zone: str) -> bool:
        """Whether a decree that counts holds this edge back from a zone."""
        entry = self._entries.get(zone)
        return self.decision_holds and entry is not None and self._part_of(entry) < FULL_SHARE

    def update_zone_loads(self, loads: Mapping[str, float]) -> None:
        """Take the zones' own work as all told it, units a second; without, the settings' `usual` counts."""
        self._loads = loads

    def _part_of(self, entry: ZoneDecision) -> int:
        if entry.blind_zones and self.here not in entry.blind_zones:
            return FULL_SHARE
        return entry.share

    def _drawn(self, most: float) -> float:
        return self.source.random() * most

    # --- the choice

    def route(
        self, zones: Sequence[str], units: float, reserved: bool, now_ms: float, home: str = ""
    ) -> Route | Shed:
        """Say where a read goes.

        `zones` are those whose copy is in sync.  `home` is the nearest zone that holds a copy by the
        settings, in sync or not (unset: this edge's own); going there is no spill.
        """
        self._turn(now_ms)
        home = home or self.here
        self.evidence.record_demand(home, units)
        waits: list[float] = []
        holds = home in zones and home in self.zones
        if holds and self._near(home, units, reserved, now_ms, waits):
            self.counts["near"] += 1
            return Route(home, 0)
        open_ = [zone for zone in zones if zone in self.zones]
        if not open_:
            self.counts["refused"] += 1
            return Shed(self.settings.stay_ms, "no-copy")
        others = sorted((z for z in open_ if z != home), key=lambda z: (self.zones[z].tier, z))
        found = self._elsewhere(others, units, reserved, now_ms, waits)
        if found is not None:
            zone = self.zones[found]
            zone.spilled += units
            tier = max(1, zone.tier)
            self.counts["region" if tier == 1 else "away"] += 1
            return Route(found, tier)
        if holds and self._serves(home):
            # It is slow, or half of it: what the rest does not bear is better here than refused.
            self.counts["near"] += 1
            return Route(home, 0)
        self.counts["refused"] += 1
        if not waits:
            return Shed(self.settings.stay_ms, "unreached")
        return Shed(max(1.0, min(waits)), "no-room")

    def _near(self, zone: str, units: float, reserved: bool, now: float, waits: list[float]) -> bool:
        """Whether a read may go to its home zone."""
        mine = self.zones[zone]
        entry = self._entries.get(zone)
        part = self._open(zone, entry)
        if part >= FULL_SHARE:
            return True
        if part <= 0:
            if not reserved and now >= mine.next_try:
                self._tried(zone, now)
                return True
            return False
        if self.source.random() * FULL_SHARE >= part:
            return False
        if self.decision_holds and entry is not None and entry.state in (ZoneState.DEGRADED, ZoneState.SLOW):
            return True  # it is up, and warm: no start to be careful of
        edges = (
            max(1.0, float(entry.edges))
            if self.decision_holds and entry is not None
            else self._edges_of_a_zone
        )
        rate = self.settings.zones[zone].capacity * self.settings.bears * part / FULL_SHARE / edges
        wait = mine.near.take(rate, units, 0.0, now)
        if wait > 0:
            waits.append(wait)
        return wait == 0

    def _open(self, zone: str, entry: ZoneDecision | None) -> int:
        """Return the part of a zone that is open to this edge: the less of the decree's and its own."""
        part = self._part_of(entry) if entry is not None and self.decision_holds else FULL_SHARE
        part = min(part, self.zones[zone].part)
        return 0 if self.evidence.health(zone) is ZoneHealth.UNREACHABLE else part

    def _serves(self, zone: str) -> bool:
        entry = self._entries.get(zone)
        if self.evidence.health(zone) is ZoneHealth.UNREACHABLE:
            return False
        return (
            self.decision_holds and entry is not None and entry.state in (ZoneState.DEGRADED, ZoneState.SLOW)
        )

    def _elsewhere(
        self, others: Sequence[str], units: float, reserved: bool, now: float, waits: list[float]
    ) -> str | None:
        """Return the nearest zone with room, of one tier the one with most saved up; or one to try."""
        keep = 0.0 if reserved else self.settings.reserve
        best: tuple[int, float, str] | None = None
        for name in others:
            zone = self.zones[name]
            if best is not None and zone.tier > best[0]:
                break
            open_ = self._open(name, self._entries.get(name))
            if open_ <= 0 and not reserved and now >= zone.next_try and not self._covered(name):
                self._tried(name, now)
                return name
            if open_ < FULL_SHARE:
                continue  # it has enough to do with its own
            rate = self._room(name) * zone.ease
            if rate <= 0:
                continue
            lacking = zone.spill.lacks(rate, units, keep, now)
            if lacking > 1e-9:
                waits.append(lacking / rate * 1000)
            elif best is None or zone.spill.held > best[1]:
                best = (zone.tier, zone.spill.held, name)
        if best is None:
            return None
        self.zones[best[2]].spill.held -= units
        return best[2]

    def _tried(self, zone: str, now: float) -> None:
        self.zones[zone].next_try = now + self._try_ms(zone) * (0.5 + self.source.random())
        self.counts["tries"] += 1

    def _room(self, zone: str) -> float:
        """Return what this edge may spill into a zone, units a second."""
        of = self.settings
        if (
            self.decision_holds
            and self.decision.evacuated_demand > 0
            and zone in self.decision.spare_capacity
        ):
            if self._told > 0:
                return self.decision.spare_capacity[zone] * min(
                    1.0, self._told / self.decision.evacuated_demand
                )
        capacity = of.zones[zone].capacity
        own = self._loads.get(zone, 0.0) or of.usual * capacity
        lost = max(1, sum(self.evidence.health(name) is ZoneHealth.UNREACHABLE for name in self.zones))
        return of.alone * max(0.0, of.bears * capacity - own) / (lost * self._edges_of_a_zone)

    def _try_ms(self, zone: str) -> float:
        entry = self._entries.get(zone)
        edges = float(entry.edges) if entry is not None and entry.edges else self._edges_of_a_zone
        return max(self.settings.beat_ms, 1000 * edges / self.settings.tries)

    # --- what came of it

    def record_sent(self, zone: str, units: float, now_ms: float) -> None:
        """Hear that an attempt left; nothing is reckoned before it ends."""
        self._turn(now_ms)

    def record_attempt(
        self, zone: str, units: float, outcome: Outcome, now_ms: float, latency_ms: float = 0.0
    ) -> None:
        """Hear how an attempt in a zone ended."""
        self._turn(now_ms)
        mine = self.zones.get(zone)
        if mine is None:
            self.evidence.unknown_zone_attempts += 1
            return
        kind = classify_attempt(outcome, latency_ms, self.settings.slow_ms)
        spilled = min(mine.spilled, units)
        mine.spilled -= spilled
        self.evidence.record_attempt(zone, kind, units - spilled)
        if kind is not AttemptResult.INCONCLUSIVE:
            mine.answers += 1
            mine.pressed += kind is not AttemptResult.REACHED or outcome is Outcome.FULL
        if self.evidence.health(zone) is ZoneHealth.UNREACHABLE:
            if mine.part:
                mine.part = 0
                mine.next_try = now_ms + self._drawn(self._try_ms(zone))
                mine.step_at = now_ms + self._drawn(self.settings.step_ms)

    def _turn(self, now_ms: float) -> None:
        """Let beats pass."""
        self.evidence.advance(now_ms)
        if self.evidence.interval == self._beat:  # telling lets beats pass as well
            return
        self._beat = self.evidence.interval
        for name, zone in self.zones.items():
            if zone.answers and zone.pressed > PRESSED * zone.answers:
                zone.ease = max(EASE_LEAST, zone.ease * EASE_LESS)
            else:
                zone.ease = min(1.0, zone.ease + EASE_MORE)
            zone.answers = zone.pressed = 0
            # What was never sent ends nowhere; forgotten too soon, it only makes the room look smaller.
            zone.spilled *= 0.8
            self._alone(name, zone, now_ms)

    def _alone(self, name: str, zone: _Zone, now: float) -> None:
        """Take an own step of the way back; only where no decree speaks of the zone."""
        if zone.part >= FULL_SHARE:
            return
        if self._covered(name):
            zone.part = FULL_SHARE  # the decree leads
            return
        if self.evidence.health(name) is ZoneHealth.UNREACHABLE:
            # Nobody asked for it, so nobody tried: after so long the word says nothing of today.
            if self.evidence.idle_ms(name) > max(self.settings.fresh_ms, 3 * self._try_ms(name)):
                self.evidence.reset_zone(name)
                zone.part = self.settings.parts()[0] if name == self.here else FULL_SHARE
            return
        if now < zone.step_at:
            return
        if zone.part == 0 and self.evidence.health(name) is not ZoneHealth.HEALTHY:
            return  # nothing has arrived there yet
        parts = self.settings.parts()
        zone.part = next((part for part in parts if part > zone.part), FULL_SHARE)
        zone.step_at = now + self.settings.step_ms * (1 + self.source.random())

    def wants_evidence(self) -> bool:
        """Whether the decree says that something is wrong, so that evidence is wanted."""
        return self.decision_holds and any(e.state != ZoneState.LOCAL for e in self._entries.values())

    def status(self) -> dict[str, object]:
        """Return plain values for an admin port."""
        move = self.write_move
        return {
            "here": self.here,
            "decreed": {
                e.zone: {
                    "state": ZoneState(e.state).name.lower()
                    if e.state <= ZoneState.PARTITIONED
                    else str(e.state),
                    "part": e.share / FULL_SHARE,
                    "losses": e.losses,
                    "blind": list(e.blind_zones),
                }
                for e in self._entries.values()
            },
            "lives": self.decision_holds,
            "words": {zone: self.evidence.health(zone).name.lower() for zone in self.zones},
            "parts": {zone: self._open(zone, self._entries.get(zone)) / FULL_SHARE for zone in self.zones},
            "ease": {zone: round(mine.ease, 3) for zone, mine in self.zones.items()},
            "counts": dict(self.counts),
            "move": move and [move.source, move.target, move.max_loss_ms],
            "unread": self.unreadable_decisions,
        }
