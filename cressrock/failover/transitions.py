"""From one zone's standing decision and its assessment to what should stand next.  Pure.

    LOCAL --> EVACUATED, PARTITIONED --> RECOVERING --> LOCAL
    LOCAL <-> DEGRADED, SLOW

What is guarded against, and by what:

- Late evidence.  A report counts only `fresh_ms`, a zone must stand accused for `confirm_ms`, and after each
  recovery step only what was tried later counts.
- Flapping.  Each loss doubles the rest before recovery begins, up to `most_losses`; one is forgotten every
  `fade_ms` in which the zone stayed.  The count stands in the decision, so a new leader has it too.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cressrock.failover.assessment import Assessment, Finding, LivingEdges, assess, required_witnesses
from cressrock.failover.decision import ZoneDecision, ZoneState
from cressrock.failover.settings import FULL_SHARE, FailoverSettings
from cressrock.failover.witnesses import EvidenceView, WitnessCounts, ZoneMark

RELAPSE_SHARE = 0.5  # of a recovering zone's fresh witnesses that cannot reach it: this ends its recovery
MIN_RELAPSE_WITNESSES = 2
MIN_CURED_WITNESSES = 2  # of each blind zone, that reach the zone again
MIN_SLOW_SHARE = FULL_SHARE // 8  # a slow zone keeps at least so much


@dataclass(slots=True)
class ZoneHistory:
    """What a leader remembers of one zone: times and marks, nothing that was decided."""

    mark: ZoneMark = field(default_factory=ZoneMark)
    finding: Finding = Finding.NONE
    finding_since_ms: float = 0.0  # without a break
    stayed_since_ms: float = 0.0  # or since a loss was last forgotten

    def restart(self, now_ms: float) -> None:
        """Begin all times again: another state or share was decided."""
        self.finding, self.finding_since_ms, self.stayed_since_ms = Finding.NONE, now_ms, now_ms

    def note(self, finding: Finding, now_ms: float) -> None:
        """Keep since when the evidence says the same."""
        if finding is not self.finding:
            self.finding, self.finding_since_ms = finding, now_ms


@dataclass(frozen=True, slots=True)
class Evaluation:
    """What one evaluation knows of all zones.

    `incomplete`: reports of those who might contradict a loss are missing for the moment.
    """

    settings: FailoverSettings
    view: EvidenceView
    edges: LivingEdges
    now_ms: float
    incomplete: bool


class ZoneTransition:
    """One zone's evaluation: `next_decision` is what should stand of it."""

    def __init__(
        self, evaluation: Evaluation, current: ZoneDecision, history: ZoneHistory, all_dead: bool
    ) -> None:
        """`all_dead`: none of the zone's own processes is alive in the leader's view."""
        self.evaluation, self.current, self.history = evaluation, current, history
        self.settings = evaluation.settings
        self.counts = self._count_witnesses()
        self.assessment = self._assess(all_dead)
        history.note(self.assessment.finding, evaluation.now_ms)
        self.in_state_ms = evaluation.now_ms - history.mark.since_ms

    def _count_witnesses(self) -> WitnessCounts:
        # Of a zone that gets few or no reads only what was tried since its present state began says anything.
        probing = self.current.state in (ZoneState.RECOVERING, ZoneState.EVACUATED)
        mark = self.history.mark if probing else None
        return self.evaluation.view.count_witnesses(self.current.zone, mark)

    def _assess(self, all_dead: bool) -> Assessment:
        return assess(self.settings, self.current.zone, self.counts, self.evaluation.edges, all_dead)

    def next_decision(self) -> ZoneDecision:
        """Return what should stand of the zone; the current decision itself where nothing changes."""
        match self.current.state:
            case ZoneState.EVACUATED:
                return self._from_evacuated()
            case ZoneState.RECOVERING:
                return self._from_recovering()
        if self._has_lasted(Finding.UNREACHABLE, self.settings.confirm_ms):
            # A partition was counted as the same loss.
            return self._moved(ZoneState.EVACUATED, 0, lost=self.current.state != ZoneState.PARTITIONED)
        if self.current.state == ZoneState.PARTITIONED:
            return self._from_partitioned()
        return self._from_serving()

    # --- by state

    def _from_evacuated(self) -> ZoneDecision:
        if self._rested() and self._reachable_again():
            return self._moved(ZoneState.RECOVERING, self.settings.recovery_shares()[0])
        return self.current

    def _from_recovering(self) -> ZoneDecision:
        current = self.current
        if self._relapsed():
            state = ZoneState.PARTITIONED if current.blind_zones else ZoneState.EVACUATED
            return self._moved(state, 0, lost=True, blind_zones=current.blind_zones)
        if self.in_state_ms < self.settings.step_ms or not self._reachable_again():
            return current
        if current.share * 2 >= FULL_SHARE:
            return self._moved(ZoneState.LOCAL, FULL_SHARE)
        return self._moved(ZoneState.RECOVERING, current.share * 2, blind_zones=current.blind_zones)

    def _from_partitioned(self) -> ZoneDecision:
        blind_zones = self.current.blind_zones
        counts = self.evaluation.view.count_witnesses(self.current.zone, self.history.mark)
        cured = all(
            self._cured(counts, edge_zone)
            for edge_zone in blind_zones
            if self.evaluation.edges.in_zones(edge_zone)
        )
        if self._rested() and cured:
            share = self.settings.recovery_shares()[0]
            return self._moved(ZoneState.RECOVERING, share, blind_zones=blind_zones)
        return self.current

    def _from_serving(self) -> ZoneDecision:
        """Return what follows on a zone that serves its own traffic, whole or by a share."""
        settings, current = self.settings, self.current
        if self._has_lasted(Finding.PARTITIONED, settings.split_ms):
            blind_zones = list(self.assessment.blind_zones)
            return self._moved(ZoneState.PARTITIONED, 0, lost=True, blind_zones=blind_zones)
        if self._has_lasted(Finding.DEGRADED, settings.step_ms) and current.share > FULL_SHARE // 2:
            return self._moved(ZoneState.DEGRADED, FULL_SHARE // 2)
        if (
            self._has_lasted(Finding.SLOW, settings.split_ms)
            and current.share > MIN_SLOW_SHARE
            and self.in_state_ms >= settings.step_ms
        ):
            # It serves, and less load may be all it needs: half of it goes, then half of that.
            return self._moved(ZoneState.SLOW, current.share // 2)
        if current.state in (ZoneState.DEGRADED, ZoneState.SLOW):
            return self._grown()
        if current.losses and self.evaluation.now_ms - self.history.stayed_since_ms >= settings.fade_ms:
            self.history.stayed_since_ms = self.evaluation.now_ms
            return msgspec.structs.replace(current, losses=current.losses - 1)
        return current

    def _grown(self) -> ZoneDecision:
        """Return a degraded or slow zone's decision with twice the share, once it serves well."""
        step_ms = self.settings.step_ms
        well = self._has_lasted(Finding.NONE, step_ms) and self.in_state_ms >= step_ms
        if not well or self.counts.total_reachable < self._required():
            return self.current
        share = min(FULL_SHARE, self.current.share * 2)
        state = ZoneState(self.current.state) if share < FULL_SHARE else ZoneState.LOCAL
        return self._moved(state, share)

    # --- conditions

    def _has_lasted(self, finding: Finding, duration_ms: float) -> bool:
        """Whether the evidence has said this for so long; while it is incomplete, for no time at all."""
        if self.assessment.finding is not finding:
            return False
        evaluation = self.evaluation
        lasted_ms = 0.0 if evaluation.incomplete else evaluation.now_ms - self.history.finding_since_ms
        return lasted_ms >= duration_ms

    def _rested(self) -> bool:
        """Whether the zone has rested long enough, twice as long with each loss."""
        doublings = min(max(0, self.current.losses - 1), self.settings.most_losses)
        return self.in_state_ms >= self.settings.rest_ms * 2.0**doublings

    def _required(self) -> int:
        return required_witnesses(self.settings, self.evaluation.edges.total)

    def _reachable_again(self) -> bool:
        """Whether enough witnesses reach it, and few of them do not."""
        reachable, unreachable = self.counts.total_reachable, self.counts.total_unreachable
        return reachable >= self._required() and unreachable <= reachable * (1 - self.settings.bad_share)

    def _relapsed(self) -> bool:
        unreachable = self.counts.total_unreachable
        witnesses = unreachable + self.counts.total_reachable
        return (
            unreachable >= MIN_RELAPSE_WITNESSES
            and unreachable >= RELAPSE_SHARE * witnesses
            and not self.evaluation.incomplete
        )

    def _cured(self, counts: WitnessCounts, edge_zone: str) -> bool:
        reachable = counts.reachable.get(edge_zone, 0)
        unreachable = counts.unreachable.get(edge_zone, 0)
        return reachable >= MIN_CURED_WITNESSES and unreachable <= (1 - self.settings.bad_share) * reachable

    # --- the result

    def _moved(
        self, state: ZoneState, share: int, *, lost: bool = False, blind_zones: list[str] | None = None
    ) -> ZoneDecision:
        current = self.current
        losses = min(current.losses + 1, self.settings.most_losses) if lost else current.losses
        edges = self._sharing_edges()
        return ZoneDecision(current.zone, state, share, losses, edges, list(blind_zones or ()))

    def _sharing_edges(self) -> int:
        """Return over how many edges a share is divided: of a partitioned zone, the blind ones alone."""
        edges, current = self.evaluation.edges, self.current
        if current.blind_zones:
            return max(1, edges.in_zones(*current.blind_zones))
        return edges.in_zones(current.zone) + self.evaluation.view.remote_requesters(current.zone)
