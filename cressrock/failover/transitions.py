"""Computes one zone's next decision from its current decision and its assessment.  Pure.

    LOCAL --> EVACUATED, PARTITIONED --> RECOVERING --> LOCAL
    LOCAL <-> DEGRADED, SLOW

Guards:

- Late evidence.  A report is valid for `fresh_ms`, a zone must be found unreachable for `confirm_ms` without
  interruption, and after each recovery step only later attempts count.
- Flapping.  Each loss doubles the rest time before recovery begins, up to `most_losses` losses; one loss is
  forgotten after every `fade_ms` without a new one.  The count is part of the decision, so that a new leader
  has it too.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cressrock.failover.assessment import AliveEdges, Assessment, Finding, assess, required_witnesses
from cressrock.failover.decision import ZoneDecision, ZoneState
from cressrock.failover.settings import FULL_SHARE, FailoverSettings
from cressrock.failover.witnesses import EvidenceView, WitnessCounts, ZoneMark

RELAPSE_FRACTION = 0.5  # of fresh witnesses: if so many cannot reach a recovering zone, its recovery ends
MIN_RELAPSE_WITNESSES = 2
MIN_RESTORED_WITNESSES = 2  # edges of each blind zone that must reach the partitioned zone again
MIN_SLOW_SHARE_64THS = FULL_SHARE // 8  # minimum share of a slow zone, in 64ths


@dataclass(slots=True)
class ZoneHistory:
    """The leader's memory of one zone: timestamps and intervals, nothing that is part of the decision."""

    mark: ZoneMark = field(default_factory=ZoneMark)
    finding: Finding = Finding.NONE
    finding_since_ms: float = 0.0  # uninterrupted
    loss_timer_start_ms: float = 0.0  # when the state began or a loss was last forgotten

    def restart(self, now_ms: float) -> None:
        """Restart all timers because another state or share was decided."""
        self.finding, self.finding_since_ms, self.loss_timer_start_ms = Finding.NONE, now_ms, now_ms

    def record_finding(self, finding: Finding, now_ms: float) -> None:
        """Record a finding; its start time changes only if it differs from the last one."""
        if finding is not self.finding:
            self.finding, self.finding_since_ms = finding, now_ms


@dataclass(frozen=True, slots=True)
class Evaluation:
    """Inputs of one evaluation that are common to all zones.

    `incomplete`: reports that might contradict a loss are temporarily missing.
    """

    settings: FailoverSettings
    view: EvidenceView
    edges: AliveEdges
    now_ms: float
    incomplete: bool


class ZoneTransition:
    """The evaluation of one zone; `next_decision` returns its result."""

    def __init__(
        self, evaluation: Evaluation, current: ZoneDecision, history: ZoneHistory, all_processes_dead: bool
    ) -> None:
        """`all_processes_dead`: none of the zone's own processes is alive in the leader's view."""
        self.evaluation, self.current, self.history = evaluation, current, history
        self.settings = evaluation.settings
        self.counts = self._count_witnesses()
        self.assessment = self._assess(all_processes_dead)
        history.record_finding(self.assessment.finding, evaluation.now_ms)
        self.time_in_state_ms = evaluation.now_ms - history.mark.since_ms

    def _count_witnesses(self) -> WitnessCounts:
        # A recovering or evacuated zone gets few reads, so older evidence would outweigh the attempts made
        # since the current state began; only the latter count.
        probing = self.current.state in (ZoneState.RECOVERING, ZoneState.EVACUATED)
        mark = self.history.mark if probing else None
        return self.evaluation.view.count_witnesses(self.current.zone, mark)

    def _assess(self, all_processes_dead: bool) -> Assessment:
        return assess(
            self.settings, self.current.zone, self.counts, self.evaluation.edges, all_processes_dead
        )

    def next_decision(self) -> ZoneDecision:
        """Return the zone's next decision; the current object itself if nothing changes."""
        match self.current.state:
            case ZoneState.EVACUATED:
                return self._from_evacuated()
            case ZoneState.RECOVERING:
                return self._from_recovering()
        if self._has_lasted(Finding.UNREACHABLE, self.settings.confirm_ms):
            # A partition has already been counted as a loss.
            return self._transition_to(
                ZoneState.EVACUATED, 0, lost=self.current.state != ZoneState.PARTITIONED
            )
        if self.current.state == ZoneState.PARTITIONED:
            return self._from_partitioned()
        return self._from_serving()

    # --- by state

    def _from_evacuated(self) -> ZoneDecision:
        if self._rest_elapsed() and self._is_reachable_again():
            return self._transition_to(ZoneState.RECOVERING, self.settings.recovery_shares()[0])
        return self.current

    def _from_recovering(self) -> ZoneDecision:
        current = self.current
        if self._has_relapsed():
            state = ZoneState.PARTITIONED if current.blind_zones else ZoneState.EVACUATED
            return self._transition_to(state, 0, lost=True, blind_zones=current.blind_zones)
        if self.time_in_state_ms < self.settings.step_ms or not self._is_reachable_again():
            return current
        if current.share * 2 >= FULL_SHARE:
            return self._transition_to(ZoneState.LOCAL, FULL_SHARE)
        return self._transition_to(ZoneState.RECOVERING, current.share * 2, blind_zones=current.blind_zones)

    def _from_partitioned(self) -> ZoneDecision:
        blind_zones = self.current.blind_zones
        counts = self.evaluation.view.count_witnesses(self.current.zone, self.history.mark)
        reachable_from_all = all(
            self._is_reachable_from(counts, edge_zone)
            for edge_zone in blind_zones
            if self.evaluation.edges.count_in_zones(edge_zone)
        )
        if self._rest_elapsed() and reachable_from_all:
            share = self.settings.recovery_shares()[0]
            return self._transition_to(ZoneState.RECOVERING, share, blind_zones=blind_zones)
        return self.current

    def _from_serving(self) -> ZoneDecision:
        """Return the next decision of a LOCAL, DEGRADED or SLOW zone."""
        settings, current = self.settings, self.current
        if self._has_lasted(Finding.PARTITIONED, settings.split_ms):
            blind_zones = list(self.assessment.blind_zones)
            return self._transition_to(ZoneState.PARTITIONED, 0, lost=True, blind_zones=blind_zones)
        if self._has_lasted(Finding.DEGRADED, settings.step_ms) and current.share > FULL_SHARE // 2:
            return self._transition_to(ZoneState.DEGRADED, FULL_SHARE // 2)
        if (
            self._has_lasted(Finding.SLOW, settings.split_ms)
            and current.share > MIN_SLOW_SHARE_64THS
            and self.time_in_state_ms >= settings.step_ms
        ):
            # The zone still serves and may recover under less load, so its share is halved at each step.
            return self._transition_to(ZoneState.SLOW, current.share // 2)
        if current.state in (ZoneState.DEGRADED, ZoneState.SLOW):
            return self._with_doubled_share()
        if current.losses and self.evaluation.now_ms - self.history.loss_timer_start_ms >= settings.fade_ms:
            self.history.loss_timer_start_ms = self.evaluation.now_ms
            return msgspec.structs.replace(current, losses=current.losses - 1)
        return current

    def _with_doubled_share(self) -> ZoneDecision:
        """Return a degraded or slow zone's decision, with twice the share after `step_ms` of good health."""
        step_ms = self.settings.step_ms
        is_healthy = self._has_lasted(Finding.NONE, step_ms) and self.time_in_state_ms >= step_ms
        if not is_healthy or self.counts.total_reachable < self._required_witnesses():
            return self.current
        share = min(FULL_SHARE, self.current.share * 2)
        state = ZoneState(self.current.state) if share < FULL_SHARE else ZoneState.LOCAL
        return self._transition_to(state, share)

    # --- conditions

    def _has_lasted(self, finding: Finding, duration_ms: float) -> bool:
        """Whether the finding has lasted this long; incomplete evidence counts as a duration of 0."""
        if self.assessment.finding is not finding:
            return False
        evaluation = self.evaluation
        lasted_ms = 0.0 if evaluation.incomplete else evaluation.now_ms - self.history.finding_since_ms
        return lasted_ms >= duration_ms

    def _rest_elapsed(self) -> bool:
        """Whether the rest time, which doubles with each loss after the first, has elapsed."""
        doublings = min(max(0, self.current.losses - 1), self.settings.most_losses)
        return self.time_in_state_ms >= self.settings.rest_ms * 2.0**doublings

    def _required_witnesses(self) -> int:
        return required_witnesses(self.settings, self.evaluation.edges.total)

    def _is_reachable_again(self) -> bool:
        """Whether enough witnesses reach the zone and only a small fraction do not."""
        reachable, unreachable = self.counts.total_reachable, self.counts.total_unreachable
        return reachable >= self._required_witnesses() and unreachable <= reachable * (
            1 - self.settings.bad_share
        )

    def _has_relapsed(self) -> bool:
        unreachable = self.counts.total_unreachable
        witnesses = unreachable + self.counts.total_reachable
        return (
            unreachable >= MIN_RELAPSE_WITNESSES
            and unreachable >= RELAPSE_FRACTION * witnesses
            and not self.evaluation.incomplete
        )

    def _is_reachable_from(self, counts: WitnessCounts, edge_zone: str) -> bool:
        reachable = counts.reachable.get(edge_zone, 0)
        unreachable = counts.unreachable.get(edge_zone, 0)
        return (
            reachable >= MIN_RESTORED_WITNESSES and unreachable <= (1 - self.settings.bad_share) * reachable
        )

    # --- the result

    def _transition_to(
        self, state: ZoneState, share: int, *, lost: bool = False, blind_zones: list[str] | None = None
    ) -> ZoneDecision:
        current = self.current
        losses = min(current.losses + 1, self.settings.most_losses) if lost else current.losses
        edges = self._count_sharing_edges()
        return ZoneDecision(current.zone, state, share, losses, edges, list(blind_zones or ()))

    def _count_sharing_edges(self) -> int:
        """Return how many edges divide the share; for a partitioned zone, only those in its blind zones."""
        edges, current = self.evaluation.edges, self.current
        if current.blind_zones:
            return max(1, edges.count_in_zones(*current.blind_zones))
        return edges.count_in_zones(current.zone) + self.evaluation.view.remote_requesters(current.zone)
