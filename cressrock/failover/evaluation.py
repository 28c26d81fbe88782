"""From all edges' evidence to the decision that should stand.  Pure; run by the consensus leader.

- Too much evacuated.  At least `least_left` of all capacity stays, whatever the evidence; and what those who
  go elsewhere may ask of the rest is part of the decision (`spare_capacity`), so the rest bears it however
  much is lost.
- Evidence that is missing for a moment.  A collector dies, and with it those are not heard who reach a zone
  that others accuse.  Their reports come by the next collector within seconds; until then nothing is lost.

A leader's memory holds only times and marks.  A new leader begins with an empty one and the standing
decision: whatever was decided stays decided, and each time runs again from its beginning, so that it can be
late but not early.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cressrock.failover.assessment import LivingEdges
from cressrock.failover.decision import FailoverDecision, ZoneDecision, ZoneState
from cressrock.failover.settings import FULL_SHARE, FailoverSettings
from cressrock.failover.transitions import Evaluation, ZoneHistory, ZoneTransition
from cressrock.failover.witnesses import EvidenceView, WitnessCounts, ZoneMember

DRIFT = 0.25  # spare capacity or demand that changed by so much is decided anew,
MIN_DRIFT_INTERVAL_MS = 3000.0  # but only so long after the last decision
ROUNDING = 1e-9
NEVER_MS = -1e18


@dataclass(slots=True)
class EvaluationMemory:
    """What a leader remembers from one evaluation to the next."""

    histories: dict[str, ZoneHistory] = field(default_factory=dict)
    decided_at_ms: float = NEVER_MS
    witnesses: dict[str, WitnessCounts] = field(default_factory=dict)  # of the last one, for the status
    silent_since_ms: dict[str, float] = field(default_factory=dict)  # zones whose edges' reports are missing

    def record_decision(self, now_ms: float) -> None:
        """Note that a result was decided, or is being so."""
        self.decided_at_ms = now_ms

    def note_silent(self, zones: frozenset[str], now_ms: float) -> None:
        """Keep since when the reports of these zones' edges are missing."""
        self.silent_since_ms = {zone: self.silent_since_ms.get(zone, now_ms) for zone in sorted(zones)}

    def history_of(self, current: ZoneDecision, view: EvidenceView, now_ms: float) -> ZoneHistory:
        """Return a zone's history, begun anew where another state or share stands than before."""
        history = self.histories.setdefault(current.zone, ZoneHistory())
        if history.mark.state_and_share != (current.state, current.share):
            history.mark.begin(current.state, current.share, now_ms, view.intervals())
            history.restart(now_ms)
        return history


def evaluate(
    settings: FailoverSettings,
    members: Sequence[ZoneMember],
    view: EvidenceView,
    current: FailoverDecision | None,
    now_ms: float,
    memory: EvaluationMemory,
) -> FailoverDecision | None:
    """Return what should stand instead of `current` (None: nothing does), or None where it may stay.

    `members` is the leader's own view; times are the leader's clock alone.  Whoever decides the result does
    so under the version of `current`: where another came first, the next evaluation begins from that one.
    """
    current = current or FailoverDecision()
    alive = [member for member in members if member.alive]
    dead_zones = {member.zone for member in members} - {member.zone for member in alive}
    memory.note_silent(view.unheard_zones(), now_ms)
    # Who is not heard for longer than evidence counts is not waited for.
    incomplete = any(now_ms - since_ms <= settings.fresh_ms for since_ms in memory.silent_since_ms.values())
    evaluation = Evaluation(settings, view, LivingEdges(alive), now_ms, incomplete)
    entries: dict[str, ZoneDecision] = {}
    memory.witnesses = {}
    for zone in sorted(settings.zones):
        entry = current.for_zone(zone)
        history = memory.history_of(entry, view, now_ms)
        transition = ZoneTransition(evaluation, entry, history, zone in dead_zones)
        memory.witnesses[zone] = transition.counts
        entries[zone] = transition.next_decision()
    _limit_evacuations(settings, current, entries)
    result = _with_capacity(settings, view, entries)
    may_follow_drift = now_ms - memory.decided_at_ms >= MIN_DRIFT_INTERVAL_MS and not incomplete
    if result.zones != current.zones or (may_follow_drift and _drifted(result, current)):
        return result
    return None


def _limit_evacuations(
    settings: FailoverSettings, current: FailoverDecision, entries: dict[str, ZoneDecision]
) -> None:
    """Take back what would evacuate more than may be; what stands already goes first."""
    before = {zone: _withdrawn_capacity(settings, current.for_zone(zone)) for zone in entries}
    after = {zone: _withdrawn_capacity(settings, entry) for zone, entry in entries.items()}
    remaining = total = sum(zone.capacity for zone in settings.zones.values())
    for zone in sorted(entries, key=lambda zone: (before[zone] < after[zone], zone)):
        if remaining - after[zone] < settings.least_left * total - ROUNDING:
            entries[zone] = current.for_zone(zone)
            remaining -= before[zone]
        else:
            remaining -= after[zone]


def _withdrawn_capacity(settings: FailoverSettings, entry: ZoneDecision) -> float:
    """Return how much of a zone's capacity a decision takes out of service."""
    if entry.blind_zones or entry.state == ZoneState.RECOVERING:
        return 0.0  # most of it serves, or soon does
    return settings.zones[entry.zone].capacity * (1 - entry.share / FULL_SHARE)


def _with_capacity(
    settings: FailoverSettings, view: EvidenceView, entries: Mapping[str, ZoneDecision]
) -> FailoverDecision:
    """Return the decision with what each whole zone spares, and the demand that has to go elsewhere."""
    listed = [entry for entry in entries.values() if entry.state != ZoneState.LOCAL or entry.losses]
    reduced = {zone for zone, entry in entries.items() if entry.share < FULL_SHARE}
    if not reduced:
        return FailoverDecision(listed)
    demand = sum(view.demand(zone, entries[zone].blind_zones) for zone in sorted(reduced))
    spare = {}
    for zone, zone_settings in settings.zones.items():
        if zone in reduced:
            continue
        load, capacity = view.load(zone), zone_settings.capacity
        own = load if load > 0 else settings.usual * capacity
        spare[zone] = round(max(0.0, settings.bears * capacity - own), 3)
    return FailoverDecision(listed, spare, round(demand, 3))


def _drifted(new: FailoverDecision, old: FailoverDecision) -> bool:
    """Whether spare capacity or demand differ enough that it is worth a decision."""
    if new.spare_capacity.keys() != old.spare_capacity.keys():
        return bool(new.zones)
    pairs = [(new.evacuated_demand, old.evacuated_demand)]
    pairs += [(value, old.spare_capacity[zone]) for zone, value in new.spare_capacity.items()]
    return any(abs(after - before) > DRIFT * max(after, before, ROUNDING) for after, before in pairs)
