"""Where one edge sends a read: to its own zone, or elsewhere as far as that is surely borne.  Pure.

An edge goes by three things: the decision that counts (`FollowedDecision`), its own evidence of each zone,
and the settings.  Of the decision and its own evidence the more careful one holds.

- *Own zone.*  A zone takes a share of its traffic.  While it recovers, the share is drawn at random for each
  read, and a rate is kept as well: share x capacity over the edges that the decision names.  So the sum over
  all processes stays under what nodes that were down surely bear, whatever clients ask.
- *Elsewhere*, in tiers (same region, other regions): of the spare capacity that is decided, an edge has its
  own share (the demand it reported, over what all reported).  Without a decision: `alone` of what the zones'
  own load leaves as last heard (else by the settings), over the edges of as many zones as this edge does not
  reach; so however many are lost, the rest bears what comes.  Each rate is eased by the answers.  Reads with
  a reserve may take all of a rate, others leave `reserve` of it.
- *Trial reads*: to a zone that is evacuated, now and then one read without a reserve, `tries` a second of all
  edges.
- *Without consensus*: what was decided last expires; each edge goes on from the last share by its own trial
  reads, and begins after a time of its own (drawn, up to `step_ms`), each step as long as a decided one and
  drawn too.

What no rate bears is shed, with the time after which there may be capacity.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cressrock.consensus.decisions import Decision, Expired
from cressrock.failover import decision
from cressrock.failover.followed_decision import FollowedDecision
from cressrock.failover.local_evidence import AttemptEvidence, LocalEvidence, classify_attempt
from cressrock.failover.reports import ZoneHealth, outer_name
from cressrock.failover.settings import FULL_SHARE, FailoverSettings
from cressrock.failover.token_bucket import TOLERANCE, TokenBucket
from cressrock.interface import Outcome

PRESSED_SHARE = 0.1  # of an interval's answers: more rejections or late ones ease the rate off,
EASE_OFF, EASE_UP, MIN_EASE = 0.75, 1 / 16, 1 / 16  # by a fourth; else it comes back by sixteenths
SPILL_BURST_MS = 2000.0  # a spill rate saves up so long: clients of one edge do not come evenly
UNSENT_DECAY = 0.8  # of spilled units an interval: what was never sent ends nowhere
IDLE_TRIALS = 3  # trial intervals without an attempt after which an unreachable zone is tried anew
MIN_RETRY_AFTER_MS = 1.0
OWN_TIER, REGION_TIER, REMOTE_TIER = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Route:
    """Send the read to this zone.  Tier 0: its own; 1: another of the region; 2: another region."""

    zone: str
    tier: int


@dataclass(frozen=True, slots=True)
class Shed:
    """Refuse the read: nothing that is surely borne is left.  A retry after this time is harmless."""

    retry_after_ms: float
    reason: str  # no-copy, no-room, unreached


@dataclass(slots=True)
class _ZoneTraffic:
    """What this edge sends to one zone, and may send."""

    tier: int
    recovery: TokenBucket  # of the zone's own traffic while it recovers
    spill: TokenBucket  # of other zones' traffic
    ease: float = 1.0
    answers: int = 0  # in this interval
    pressed: int = 0  # of these: rejections and late ones
    spilled_units: float = 0.0  # sent there for other zones, and not yet ended
    local_share: int = FULL_SHARE  # by this edge's own evidence, where no decision leads
    next_trial_ms: float = 0.0
    next_step_ms: float = 0.0

    def adjust_ease(self) -> None:
        """Adjust the spill rate by the answers of an interval."""
        if self.answers and self.pressed > PRESSED_SHARE * self.answers:
            self.ease = max(MIN_EASE, self.ease * EASE_OFF)
        else:
            self.ease = min(1.0, self.ease + EASE_UP)
        self.answers = self.pressed = 0
        self.spilled_units *= UNSENT_DECAY


@dataclass(slots=True)
class _Read:
    """One read to be routed, and after what times there may be capacity for it."""

    units: float
    reserved: bool
    now_ms: float
    waits_ms: list[float] = field(default_factory=list)


class ZoneRouter:
    """One edge's routing: `route` decides, `record_attempt` learns; `evidence` is what it reports."""

    def __init__(
        self,
        here: str,
        regions: Mapping[str, str],
        settings: FailoverSettings,
        now_ms: float,
        source: random.Random | None = None,
    ) -> None:
        """`here`: this edge's zone; `regions`: zone -> region; `source` makes the random draws (seeded)."""
        self.here, self.settings = here, settings
        self.source = source or random.Random(0)
        self.evidence = LocalEvidence(settings, now_ms)
        self.counts: dict[str, int] = {"near": 0, "region": 0, "away": 0, "tries": 0, "refused": 0}
        self.zones = {
            zone: _ZoneTraffic(
                self._tier(zone, regions),
                recovery=TokenBucket(now_ms),
                spill=TokenBucket(now_ms, burst_ms=SPILL_BURST_MS),
            )
            for zone in sorted(regions)
            if zone in settings.zones
        }
        self.decisions = FollowedDecision(here, self.zones.keys())
        self._loads: Mapping[str, float] = {}
        self._interval = self.evidence.interval
        self._decided_demand = 0.0  # what this edge had reported of restricted zones when that was decided
        self._edges_per_zone = max(1.0, settings.edges / max(1, len(settings.zones)))

    def _tier(self, zone: str, regions: Mapping[str, str]) -> int:
        if zone == self.here:
            return OWN_TIER
        return REGION_TIER if regions[zone] == regions.get(self.here, "") else REMOTE_TIER

    # --- what is decided

    def apply_decision(self, topic: str, stored: Decision | Expired | None, now_ms: float) -> None:
        """Take what counts for a topic now; topics of others are passed over."""
        if topic == decision.WRITE_MOVE_TOPIC:
            self.decisions.apply_write_move(stored)
        elif topic == decision.TOPIC:
            before = {zone: self.decisions.share(zone) for zone in self.decisions.entries}
            if self.decisions.apply(stored):
                self._follow(before, now_ms)

    def _follow(self, before: Mapping[str, int], now_ms: float) -> None:
        """Adapt to a changed decision; `before`: shares of the one that counted."""
        decisions = self.decisions
        for zone, traffic in self.zones.items():
            old = before.get(zone)
            if old is not None and old < FULL_SHARE and not decisions.holds:
                # What was decided expired: on from there, each edge at a time of its own.
                traffic.local_share = old
                traffic.next_step_ms = now_ms + self._draw_ms(self.settings.step_ms)
                traffic.next_trial_ms = now_ms + self._draw_ms(self._trial_interval_ms(zone))
            if zone not in decisions.entries:
                continue
            share = decisions.share(zone)
            if share == 0 and (old is None or old > 0):
                traffic.next_trial_ms = now_ms + self._draw_ms(self._trial_interval_ms(zone))
            if share > 0 and old == 0:
                self.evidence.reset_zone(zone)  # taken back by decision
            if old != share:
                traffic.recovery = TokenBucket(now_ms)  # nothing saved up: a step begins from nothing
            if share < FULL_SHARE:
                traffic.local_share = FULL_SHARE  # the decision leads, not what this edge did alone
        # What the leader had from this edge, as near as it can be known: later growth waits for a decision.
        self._decided_demand = sum(
            self.evidence.reported_demand(zone) for zone in decisions.entries if decisions.restricts(zone)
        )

    def update_zone_loads(self, loads: Mapping[str, float]) -> None:
        """Take the zones' own loads as all reported them, units a second; without, `usual` counts."""
        self._loads = loads

    @property
    def unreadable_decisions(self) -> int:
        """Return how many decisions this program could not read; they count as none."""
        return self.decisions.unreadable

    def _draw_ms(self, max_ms: float) -> float:
        return self.source.random() * max_ms

    # --- routing

    def route(
        self, zones: Sequence[str], units: float, reserved: bool, now_ms: float, home: str = ""
    ) -> Route | Shed:
        """Return where a read goes.

        `zones` are those whose replica is in sync.  `home` is the nearest zone that holds a replica by the
        settings, in sync or not (unset: this edge's own); going there is no spill.
        """
        self._advance(now_ms)
        home = home or self.here
        self.evidence.record_demand(home, units)
        home_open = home in zones and home in self.zones
        if home_open and self._open_share(home) >= FULL_SHARE:
            self.counts["near"] += 1
            return Route(home, OWN_TIER)
        read = _Read(units, reserved, now_ms)
        if home_open and self._admit_home(home, read):
            return self._count("near", Route(home, OWN_TIER))
        known = [zone for zone in zones if zone in self.zones]
        if not known:
            return self._shed(self.settings.stay_ms, "no-copy")
        others = sorted(
            (zone for zone in known if zone != home), key=lambda zone: (self.zones[zone].tier, zone)
        )
        chosen = self._choose_other(others, read)
        if chosen is not None:
            traffic = self.zones[chosen]
            traffic.spilled_units += units
            tier = max(REGION_TIER, traffic.tier)
            return self._count("region" if tier == REGION_TIER else "away", Route(chosen, tier))
        if home_open and self._health(home) is not ZoneHealth.UNREACHABLE:
            if self.decisions.keeps_serving(home):
                # It is slow or degraded: what the rest does not bear is better here than refused.
                return self._count("near", Route(home, OWN_TIER))
        if not read.waits_ms:
            return self._shed(self.settings.stay_ms, "unreached")
        return self._shed(max(MIN_RETRY_AFTER_MS, min(read.waits_ms)), "no-room")

    def _count(self, kind: str, route: Route) -> Route:
        self.counts[kind] += 1
        return route

    def _shed(self, retry_after_ms: float, reason: str) -> Shed:
        self.counts["refused"] += 1
        return Shed(retry_after_ms, reason)

    def _health(self, zone: str) -> ZoneHealth:
        return self.evidence.health(zone)

    def _admit_home(self, zone: str, read: _Read) -> bool:
        """Whether a read may go to its home zone, which takes a share of its traffic."""
        share = self._open_share(zone)
        if share <= 0:
            return self._admit_trial(zone, read)
        if self.source.random() * FULL_SHARE >= share:
            return False
        if self.decisions.keeps_serving(zone):
            return True  # it is up, and warm: no start to be careful of
        entry = self.decisions.entries.get(zone)
        edges = max(1.0, float(entry.edges)) if entry is not None else self._edges_per_zone
        rate = self.settings.zones[zone].capacity * self.settings.bears * share / FULL_SHARE / edges
        wait_ms = self.zones[zone].recovery.take(rate, read.units, read.now_ms)
        if wait_ms > 0:
            read.waits_ms.append(wait_ms)
        return wait_ms == 0

    def _open_share(self, zone: str) -> int:
        """Return the share of a zone that is open to this edge: the less of the decision's and its own."""
        share = min(self.decisions.share(zone), self.zones[zone].local_share)
        return 0 if self._health(zone) is ZoneHealth.UNREACHABLE else share

    def _choose_other(self, others: Sequence[str], read: _Read) -> str | None:
        """Return the nearest zone with capacity, of one tier the one with most saved up; or one to try."""
        reserve = 0.0 if read.reserved else self.settings.reserve
        best: str | None = None
        for zone in others:
            traffic = self.zones[zone]
            if best is not None and traffic.tier > self.zones[best].tier:
                break
            share = self._open_share(zone)
            if share <= 0 and not self.decisions.restricts(zone) and self._admit_trial(zone, read):
                return zone
            if share < FULL_SHARE:
                continue  # it has enough to do with its own
            rate = self._spill_rate(zone) * traffic.ease
            if rate <= 0:
                continue
            missing = traffic.spill.missing(rate, read.units, reserve, read.now_ms)
            if missing > TOLERANCE:
                read.waits_ms.append(missing / rate * 1000)
            elif best is None or traffic.spill.available > self.zones[best].spill.available:
                best = zone
        if best is not None:
            self.zones[best].spill.available -= read.units
        return best

    def _admit_trial(self, zone: str, read: _Read) -> bool:
        """Whether a read is the next trial of an unreachable or evacuated zone."""
        traffic = self.zones[zone]
        if read.reserved or read.now_ms < traffic.next_trial_ms:
            return False
        traffic.next_trial_ms = read.now_ms + self._trial_interval_ms(zone) * (0.5 + self.source.random())
        self.counts["tries"] += 1
        return True

    def _trial_interval_ms(self, zone: str) -> float:
        entry = self.decisions.entries.get(zone)
        edges = float(entry.edges) if entry is not None and entry.edges else self._edges_per_zone
        return max(self.settings.beat_ms, 1000 * edges / self.settings.tries)

    def _spill_rate(self, zone: str) -> float:
        """Return what this edge may send to a zone for others, units a second, before easing."""
        settings, current = self.settings, self.decisions.current
        if current.evacuated_demand > 0 and self._decided_demand > 0 and zone in current.spare_capacity:
            share = min(1.0, self._decided_demand / current.evacuated_demand)
            return current.spare_capacity[zone] * share
        capacity = settings.zones[zone].capacity
        load = self._loads.get(zone, 0.0) or settings.usual * capacity
        lost = max(1, sum(self._health(name) is ZoneHealth.UNREACHABLE for name in self.zones))
        spare = max(0.0, settings.bears * capacity - load)
        return settings.alone * spare / (lost * self._edges_per_zone)

    # --- what came of it

    def record_attempt(
        self, zone: str, units: float, outcome: Outcome, now_ms: float, latency_ms: float = 0.0
    ) -> None:
        """Learn how an attempt in a zone ended."""
        self._advance(now_ms)
        traffic = self.zones.get(zone)
        if traffic is None:
            self.evidence.unknown_zone_attempts += 1
            return
        result = classify_attempt(outcome, latency_ms, self.settings.slow_ms)
        spilled = min(traffic.spilled_units, units)
        traffic.spilled_units -= spilled
        self.evidence.record_attempt(zone, result, units - spilled)
        if result is not AttemptEvidence.INCONCLUSIVE:
            traffic.answers += 1
            traffic.pressed += result is not AttemptEvidence.REACHED or outcome is Outcome.FULL
        if self._health(zone) is ZoneHealth.UNREACHABLE and traffic.local_share:
            traffic.local_share = 0
            traffic.next_trial_ms = now_ms + self._draw_ms(self._trial_interval_ms(zone))
            traffic.next_step_ms = now_ms + self._draw_ms(self.settings.step_ms)

    def _advance(self, now_ms: float) -> None:
        """Let intervals pass."""
        self.evidence.advance(now_ms)
        if self.evidence.interval == self._interval:  # reporting lets intervals pass as well
            return
        self._interval = self.evidence.interval
        for zone, traffic in self.zones.items():
            traffic.adjust_ease()
            if traffic.local_share < FULL_SHARE:
                self._recover_locally(zone, traffic, now_ms)

    def _recover_locally(self, zone: str, traffic: _ZoneTraffic, now_ms: float) -> None:
        """Take an own step of recovery, where no decision speaks of the zone."""
        if self.decisions.restricts(zone):
            traffic.local_share = FULL_SHARE  # the decision leads
            return
        shares = self.settings.recovery_shares()
        if self._health(zone) is ZoneHealth.UNREACHABLE:
            # Nobody asked for it, so nobody tried: after so long the evidence says nothing of today.
            idle_ms = max(self.settings.fresh_ms, IDLE_TRIALS * self._trial_interval_ms(zone))
            if self.evidence.idle_ms(zone) > idle_ms:
                self.evidence.reset_zone(zone)
                traffic.local_share = shares[0] if zone == self.here else FULL_SHARE
            return
        if now_ms < traffic.next_step_ms:
            return
        if traffic.local_share == 0 and self._health(zone) is not ZoneHealth.HEALTHY:
            return  # nothing has arrived there yet
        traffic.local_share = next((share for share in shares if share > traffic.local_share), FULL_SHARE)
        traffic.next_step_ms = now_ms + self.settings.step_ms * (1 + self.source.random())

    # --- status

    def wants_evidence(self) -> bool:
        """Whether a zone is in trouble by decision, so that evidence is wanted from all."""
        return self.decisions.any_trouble()

    def status(self) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        move = self.decisions.write_move
        return {
            "here": self.here,
            "decreed": {
                entry.zone: {
                    "state": decision.outer_name(entry.state),
                    "part": entry.share / FULL_SHARE,
                    "losses": entry.losses,
                    "blind": list(entry.blind_zones),
                }
                for entry in self.decisions.entries.values()
            },
            "lives": self.decisions.holds,
            "words": {zone: outer_name(self._health(zone)) for zone in self.zones},
            "parts": {zone: self._open_share(zone) / FULL_SHARE for zone in self.zones},
            "ease": {zone: round(traffic.ease, 3) for zone, traffic in self.zones.items()},
            "counts": dict(self.counts),
            "move": move and [move.source, move.target, move.max_loss_ms],
            "unread": self.decisions.unreadable,
        }
