"""Computes the failover decision from all edges' evidence.  Pure; run by the consensus leader.

- Limit on evacuation.  At least `least_left` of the total capacity stays in service, whatever the evidence
  says.  The traffic that evacuated zones may send to the others is part of the decision (`spare_capacity`),
  so that the remaining zones are not overloaded however much is lost.
- Temporarily missing evidence.  When a collector fails, the reports of edges that still reach an accused zone
  are missing until the next collector has them, a few seconds later.  Until then no zone is evacuated.

A leader's memory holds only timestamps and per-sender intervals.  A new leader starts with an empty memory
and the current decision: decided states stay in force, and every timer restarts, so that a transition can be
delayed by a change of leader but never comes early.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cressrock.failover.assessment import AliveEdges
from cressrock.failover.decision import FailoverDecision, ZoneDecision, ZoneState
from cressrock.failover.settings import FULL_SHARE, FailoverSettings
from cressrock.failover.transitions import Evaluation, ZoneHistory, ZoneTransition
from cressrock.failover.witnesses import EvidenceView, WitnessCounts, ZoneMember

DRIFT_FRACTION = 0.25  # relative change of spare capacity or demand that calls for a new decision
MIN_DRIFT_INTERVAL_MS = 3000.0  # minimum time between the last decision and one caused by drift alone
ROUNDING_TOLERANCE = 1e-9
NEVER_MS = -1e18


@dataclass(slots=True)
class EvaluationMemory:
    """The leader's state between evaluations."""

    histories: dict[str, ZoneHistory] = field(default_factory=dict)
    decided_at_ms: float = NEVER_MS
    # Counts of the last evaluation, for the status.
    witnesses: dict[str, WitnessCounts] = field(default_factory=dict)
    # By zone: since when its edges' reports are missing.
    unreported_since_ms: dict[str, float] = field(default_factory=dict)

    def record_decision(self, now_ms: float) -> None:
        """Record the time of a proposal, whether or not it is accepted."""
        self.decided_at_ms = now_ms

    def record_unreported(self, zones: frozenset[str], now_ms: float) -> None:
        """Record since when the reports of these zones' edges have been missing; forget all other zones."""
        self.unreported_since_ms = {
            zone: self.unreported_since_ms.get(zone, now_ms) for zone in sorted(zones)
        }

    def history_of(self, current: ZoneDecision, view: EvidenceView, now_ms: float) -> ZoneHistory:
        """Return a zone's history, restarted if the decided state or share has changed."""
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
    """Return the decision that should replace `current`, or None if no change is needed.

    `current` is None if nothing has been decided yet.  `members` is the leader's own membership view; all
    times are from the leader's clock.  The caller proposes the result conditional on the version of
    `current`; if another decision was made first, the next evaluation starts from that one.
    """
    current = current or FailoverDecision()
    alive = [member for member in members if member.alive]
    zones_without_live_members = {member.zone for member in members} - {member.zone for member in alive}
    memory.record_unreported(view.unreported_zones(), now_ms)
    # Reports missing for longer than evidence is valid are no longer waited for.
    incomplete = any(
        now_ms - since_ms <= settings.fresh_ms for since_ms in memory.unreported_since_ms.values()
    )
    evaluation = Evaluation(settings, view, AliveEdges(alive), now_ms, incomplete)
    entries: dict[str, ZoneDecision] = {}
    memory.witnesses = {}
    for zone in sorted(settings.zones):
        entry = current.for_zone(zone)
        history = memory.history_of(entry, view, now_ms)
        transition = ZoneTransition(evaluation, entry, history, zone in zones_without_live_members)
        memory.witnesses[zone] = transition.counts
        entries[zone] = transition.next_decision()
    _limit_evacuations(settings, current, entries)
    result = _with_spare_capacity(settings, view, entries)
    may_follow_drift = now_ms - memory.decided_at_ms >= MIN_DRIFT_INTERVAL_MS and not incomplete
    if result.zones != current.zones or (may_follow_drift and _has_drifted(result, current)):
        return result
    return None


def _limit_evacuations(
    settings: FailoverSettings, current: FailoverDecision, entries: dict[str, ZoneDecision]
) -> None:
    """Undo transitions that would leave less than `least_left`; existing evacuations take precedence."""
    before = {zone: _withdrawn_capacity(settings, current.for_zone(zone)) for zone in entries}
    after = {zone: _withdrawn_capacity(settings, entry) for zone, entry in entries.items()}
    remaining = total = sum(zone.capacity for zone in settings.zones.values())
    for zone in sorted(entries, key=lambda zone: (before[zone] < after[zone], zone)):
        if remaining - after[zone] < settings.least_left * total - ROUNDING_TOLERANCE:
            entries[zone] = current.for_zone(zone)
            remaining -= before[zone]
        else:
            remaining -= after[zone]


def _withdrawn_capacity(settings: FailoverSettings, entry: ZoneDecision) -> float:
    """Return the capacity (units per second) that a decision takes out of service in its zone."""
    if entry.blind_zones or entry.state == ZoneState.RECOVERING:
        return 0.0  # most of the zone serves traffic or will soon
    return settings.zones[entry.zone].capacity * (1 - entry.share / FULL_SHARE)


def _with_spare_capacity(
    settings: FailoverSettings, view: EvidenceView, entries: Mapping[str, ZoneDecision]
) -> FailoverDecision:
    """Return the decision with unrestricted zones' spare capacity and the demand that must go elsewhere."""
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


def _has_drifted(new: FailoverDecision, old: FailoverDecision) -> bool:
    """Whether spare capacity or demand changed enough to justify a new decision."""
    if new.spare_capacity.keys() != old.spare_capacity.keys():
        return bool(new.zones)
    pairs = [(new.evacuated_demand, old.evacuated_demand)]
    pairs += [(value, old.spare_capacity[zone]) for zone, value in new.spare_capacity.items()]
    return any(
        abs(after - before) > DRIFT_FRACTION * max(after, before, ROUNDING_TOLERANCE)
        for after, before in pairs
    )
