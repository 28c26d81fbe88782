"""Routes one edge's reads: to their home zone, or to other zones within safe rate limits.  Pure.

An edge considers the decision in force (`FollowedDecision`), its own evidence about each zone, and the
settings.  If the decision and its own evidence differ, the lower share applies.

- *Home zone.*  A zone takes a share of its traffic.  While it recovers, each read is admitted at random by
  the share, and a rate limit applies as well: share x `bears` x capacity, divided by the number of edges in
  the decision.  So all edges together stay below what cold nodes can serve, whatever clients ask for.
- *Other zones*, in tiers (same region, then other regions).  With a decision, an edge may use its part of the
  decided spare capacity: its own reported demand divided by the total.  Without one, it may use the fraction
  `alone` of the capacity that the zones' last known own load (by default that of the settings) leaves free,
  divided by the number of edges in as many zones as this edge cannot reach; so the remaining zones are not
  overloaded, however many are lost.  Failed, rejected and slow attempts reduce each rate.  Reads with a
  reserve may use a whole rate; others leave the fraction `reserve` of it.
- *Trial reads.*  An evacuated or unreachable zone gets an occasional read without a reserve, `tries` per
  second over all edges.
- *Without consensus.*  The last decision expires.  Each edge then continues from the last share by its own
  trial reads.  It starts after a random delay of up to `step_ms`, and each step takes `step_ms` plus a random
  time of up to `step_ms`, so that edges do not step simultaneously.

A read that no rate limit admits is shed, with the time after which there may be capacity.
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

# After an interval in which more than this fraction of attempts failed, were rejected or were slow, a spill
# rate is multiplied by RATE_DECREASE_FACTOR; after any other, its factor grows by RATE_INCREASE_STEP.
OVERLOAD_FRACTION = 0.1
RATE_DECREASE_FACTOR, RATE_INCREASE_STEP, MIN_RATE_FACTOR = 0.75, 1 / 16, 1 / 16
SPILL_BURST_MS = 2000.0  # a spill rate's burst allowance: clients of one edge do not arrive evenly
SPILLED_DECAY_FACTOR = 0.8  # per interval, of spilled units: reads that were never sent do not end
MAX_IDLE_TRIAL_INTERVALS = 3  # without an attempt; then the evidence on an unreachable zone is dropped
MIN_RETRY_AFTER_MS = 1.0
OWN_TIER, REGION_TIER, REMOTE_TIER = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Route:
    """Send the read to this zone.  Tier 0: the home zone; 1: same region; 2: another region."""

    zone: str
    tier: int


@dataclass(frozen=True, slots=True)
class Shed:
    """Shed the read because no capacity is left within the safe limits; it may be retried after this time."""

    retry_after_ms: float
    reason: str  # no-copy, no-room, unreached


@dataclass(slots=True)
class _ZoneTraffic:
    """This edge's traffic to one zone, and its limits."""

    tier: int
    recovery: TokenBucket  # limits the zone's own traffic while it recovers
    spill: TokenBucket  # limits other zones' traffic
    rate_factor: float = 1.0  # factor on the spill rate, from MIN_RATE_FACTOR to 1
    conclusive_attempts: int = 0  # ended in this interval
    overloaded_attempts: int = 0  # of these, the failed, rejected and slow ones
    spilled_units: float = 0.0  # sent there for other zones, not yet ended
    local_share: int = FULL_SHARE  # by this edge's own evidence, where no decision restricts the zone
    next_trial_ms: float = 0.0
    next_step_ms: float = 0.0

    def adjust_rate_factor(self) -> None:
        """Adjust the factor on the spill rate by the past interval's answers, and start the next interval."""
        if (
            self.conclusive_attempts
            and self.overloaded_attempts > OVERLOAD_FRACTION * self.conclusive_attempts
        ):
            self.rate_factor = max(MIN_RATE_FACTOR, self.rate_factor * RATE_DECREASE_FACTOR)
        else:
            self.rate_factor = min(1.0, self.rate_factor + RATE_INCREASE_STEP)
        self.conclusive_attempts = self.overloaded_attempts = 0
        self.spilled_units *= SPILLED_DECAY_FACTOR


@dataclass(slots=True)
class _Read:
    """One read to be routed; `retry_delays_ms`: when each rate limit that rejected it may admit it."""

    units: float
    reserved: bool
    now_ms: float
    retry_delays_ms: list[float] = field(default_factory=list)


class ZoneRouter:
    """Routes one edge's reads by `route`; `record_attempt` updates the `evidence`, which the edge reports."""

    def __init__(
        self,
        own_zone: str,
        regions: Mapping[str, str],
        settings: FailoverSettings,
        now_ms: float,
        source: random.Random | None = None,
    ) -> None:
        """`own_zone`: this edge's zone; `regions`: zone -> region; `source`: default is seeded with 0."""
        self.own_zone, self.settings = own_zone, settings
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
        self.decisions = FollowedDecision(own_zone, self.zones.keys())
        self._loads: Mapping[str, float] = {}
        self._interval = self.evidence.interval
        self._demand_at_decision = 0.0  # this edge's reported demand for restricted zones at the decision
        self._edges_per_zone = max(1.0, settings.edges / max(1, len(settings.zones)))

    def _tier(self, zone: str, regions: Mapping[str, str]) -> int:
        if zone == self.own_zone:
            return OWN_TIER
        return REGION_TIER if regions[zone] == regions.get(self.own_zone, "") else REMOTE_TIER

    # --- decisions

    def apply_decision(self, topic: str, stored: Decision | Expired | None, now_ms: float) -> None:
        """Apply a topic's current decision; topics other than those of failover are ignored."""
        if topic == decision.WRITE_MOVE_TOPIC:
            self.decisions.apply_write_move(stored)
        elif topic == decision.TOPIC:
            previous_shares = {zone: self.decisions.share(zone) for zone in self.decisions.entries}
            if self.decisions.apply(stored):
                self._apply_shares(previous_shares, now_ms)

    def _apply_shares(self, previous_shares: Mapping[str, int], now_ms: float) -> None:
        """Adapt to a changed decision; `previous_shares`: the shares (64ths) by the previous one."""
        decisions = self.decisions
        for zone, traffic in self.zones.items():
            previous_share = previous_shares.get(zone)
            if previous_share is not None and previous_share < FULL_SHARE and not decisions.is_in_force:
                # The decision expired: continue from its share, each edge after its own random delay.
                traffic.local_share = previous_share
                traffic.next_step_ms = now_ms + self._draw_ms(self.settings.step_ms)
                traffic.next_trial_ms = now_ms + self._draw_ms(self._trial_interval_ms(zone))
            if zone not in decisions.entries:
                continue
            share = decisions.share(zone)
            if share == 0 and (previous_share is None or previous_share > 0):
                traffic.next_trial_ms = now_ms + self._draw_ms(self._trial_interval_ms(zone))
            if share > 0 and previous_share == 0:
                self.evidence.reset_zone(zone)  # the zone is being restored by decision
            if previous_share != share:
                traffic.recovery = TokenBucket(now_ms)  # each step starts with an empty bucket
            if share < FULL_SHARE:
                traffic.local_share = FULL_SHARE  # the decision replaces this edge's own restriction
        # An estimate of the demand that the leader had received from this edge; demand that grows later gets
        # no larger part of the spare capacity until the next decision.
        self._demand_at_decision = sum(
            self.evidence.reported_demand(zone) for zone in decisions.entries if decisions.restricts(zone)
        )

    def update_zone_loads(self, loads: Mapping[str, float]) -> None:
        """Set the zones' own loads in units per second, over all edges; without one, `usual` is assumed."""
        self._loads = loads

    @property
    def unreadable_decisions(self) -> int:
        """Return how many decisions could not be decoded; each is treated as no decision."""
        return self.decisions.unreadable_count

    def _draw_ms(self, max_ms: float) -> float:
        return self.source.random() * max_ms

    # --- routing

    def route(
        self, zones: Sequence[str], units: float, reserved: bool, now_ms: float, home: str = ""
    ) -> Route | Shed:
        """Return the zone for a read, or that it is shed.

        `zones` are those whose replica is in sync.  `home` is the nearest zone that holds a replica by the
        settings, in sync or not (empty: this edge's own zone); a read to it is not spilled.
        """
        self._advance(now_ms)
        home = home or self.own_zone
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
                # The zone is slow or degraded but serves: better than shedding what the others cannot take.
                return self._count("near", Route(home, OWN_TIER))
        if not read.retry_delays_ms:
            return self._shed(self.settings.stay_ms, "unreached")
        return self._shed(max(MIN_RETRY_AFTER_MS, min(read.retry_delays_ms)), "no-room")

    def _count(self, kind: str, route: Route) -> Route:
        self.counts[kind] += 1
        return route

    def _shed(self, retry_after_ms: float, reason: str) -> Shed:
        self.counts["refused"] += 1
        return Shed(retry_after_ms, reason)

    def _health(self, zone: str) -> ZoneHealth:
        return self.evidence.health(zone)

    def _admit_home(self, zone: str, read: _Read) -> bool:
        """Whether a read may go to its home zone, which takes only a share of its traffic."""
        share = self._open_share(zone)
        if share <= 0:
            return self._admit_trial(zone, read)
        if self.source.random() * FULL_SHARE >= share:
            return False
        if self.decisions.keeps_serving(zone):
            return True  # the zone is up and warm, so no ramp is needed
        entry = self.decisions.entries.get(zone)
        edges = max(1.0, float(entry.edges)) if entry is not None else self._edges_per_zone
        rate = self.settings.zones[zone].capacity * self.settings.bears * share / FULL_SHARE / edges
        wait_ms = self.zones[zone].recovery.take(rate, read.units, read.now_ms)
        if wait_ms > 0:
            read.retry_delays_ms.append(wait_ms)
        return wait_ms == 0

    def _open_share(self, zone: str) -> int:
        """Return the share (64ths) of a zone's traffic that is open: the lower of decided and local."""
        share = min(self.decisions.share(zone), self.zones[zone].local_share)
        return 0 if self._health(zone) is ZoneHealth.UNREACHABLE else share

    def _choose_other(self, others: Sequence[str], read: _Read) -> str | None:
        """Return the nearest zone with spill capacity (in a tier, the fullest bucket) or due for a trial."""
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
                continue  # a restricted zone takes no traffic of others
            rate = self._spill_rate(zone) * traffic.rate_factor
            if rate <= 0:
                continue
            shortfall = traffic.spill.shortfall(rate, read.units, reserve, read.now_ms)
            if shortfall > TOLERANCE:
                read.retry_delays_ms.append(shortfall / rate * 1000)
            elif best is None or traffic.spill.available > self.zones[best].spill.available:
                best = zone
        if best is not None:
            self.zones[best].spill.available -= read.units
        return best

    def _admit_trial(self, zone: str, read: _Read) -> bool:
        """Whether a read becomes the next trial read to an unreachable or evacuated zone."""
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
        """Return this edge's spill rate to a zone in units per second, before the factor for its answers."""
        settings, current = self.settings, self.decisions.current
        if current.evacuated_demand > 0 and self._demand_at_decision > 0 and zone in current.spare_capacity:
            share = min(1.0, self._demand_at_decision / current.evacuated_demand)
            return current.spare_capacity[zone] * share
        capacity = settings.zones[zone].capacity
        load = self._loads.get(zone, 0.0) or settings.usual * capacity
        lost = max(1, sum(self._health(name) is ZoneHealth.UNREACHABLE for name in self.zones))
        spare = max(0.0, settings.bears * capacity - load)
        return settings.alone * spare / (lost * self._edges_per_zone)

    # --- results of attempts

    def record_attempt(
        self, zone: str, units: float, outcome: Outcome, now_ms: float, latency_ms: float = 0.0
    ) -> None:
        """Record the outcome of an attempt in a zone."""
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
            traffic.conclusive_attempts += 1
            traffic.overloaded_attempts += result is not AttemptEvidence.REACHED or outcome is Outcome.FULL
        if self._health(zone) is ZoneHealth.UNREACHABLE and traffic.local_share:
            traffic.local_share = 0
            traffic.next_trial_ms = now_ms + self._draw_ms(self._trial_interval_ms(zone))
            traffic.next_step_ms = now_ms + self._draw_ms(self.settings.step_ms)

    def _advance(self, now_ms: float) -> None:
        """Start the intervals that have begun by now; adjust rates and local recovery if there are any."""
        self.evidence.advance(now_ms)
        if self.evidence.interval == self._interval:  # compared, since reporting advances it too
            return
        self._interval = self.evidence.interval
        for zone, traffic in self.zones.items():
            traffic.adjust_rate_factor()
            if traffic.local_share < FULL_SHARE:
                self._recover_locally(zone, traffic, now_ms)

    def _recover_locally(self, zone: str, traffic: _ZoneTraffic, now_ms: float) -> None:
        """Take a local recovery step in a zone that no decision restricts."""
        if self.decisions.restricts(zone):
            traffic.local_share = FULL_SHARE  # the decision takes precedence
            return
        shares = self.settings.recovery_shares()
        if self._health(zone) is ZoneHealth.UNREACHABLE:
            # Without demand for the zone there are no trial reads; evidence this old is no longer meaningful.
            idle_ms = max(self.settings.fresh_ms, MAX_IDLE_TRIAL_INTERVALS * self._trial_interval_ms(zone))
            if self.evidence.idle_ms(zone) > idle_ms:
                self.evidence.reset_zone(zone)
                traffic.local_share = shares[0] if zone == self.own_zone else FULL_SHARE
            return
        if now_ms < traffic.next_step_ms:
            return
        if traffic.local_share == 0 and self._health(zone) is not ZoneHealth.HEALTHY:
            return  # no trial read has succeeded yet
        traffic.local_share = next((share for share in shares if share > traffic.local_share), FULL_SHARE)
        traffic.next_step_ms = now_ms + self.settings.step_ms * (1 + self.source.random())

    # --- status

    def wants_evidence(self) -> bool:
        """Whether a decision lists a zone as not LOCAL, so that all edges report more often."""
        return self.decisions.has_impaired_zone()

    def status(self) -> Mapping[str, object]:
        """Return this edge's routing state for the admin port."""
        move = self.decisions.write_move
        return {
            "here": self.own_zone,
            "decreed": {
                entry.zone: {
                    "state": decision.outer_name(entry.state),
                    "part": entry.share / FULL_SHARE,
                    "losses": entry.losses,
                    "blind": list(entry.blind_zones),
                }
                for entry in self.decisions.entries.values()
            },
            "lives": self.decisions.is_in_force,
            "words": {zone: outer_name(self._health(zone)) for zone in self.zones},
            "parts": {zone: self._open_share(zone) / FULL_SHARE for zone in self.zones},
            "ease": {zone: round(traffic.rate_factor, 3) for zone, traffic in self.zones.items()},
            "counts": dict(self.counts),
            "move": move and [move.source, move.target, move.max_loss_ms],
            "unread": self.decisions.unreadable_count,
        }
