"""When a leader takes the next step: by time, answers, accusations and rollbacks.  Pure.

Times are the leader's own.  A stage's minimum duration counts from when *this* leader first saw the stage's
decision, so a new leader begins it anew: a stage may last longer for that, never shorter.
"""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.rollout.lifecycle import RolloutState, RolloutStatus, advance, end_rollout
from cressrock.rollout.plan import RolloutPlan


@dataclass(frozen=True, slots=True)
class LeaderFindings:
    """What a leader knows of the present stage."""

    candidate_trials: int  # answered under the candidate, in the present stage
    accusation: str = ""  # why the candidate is to be halted; "" while nothing accuses it
    rollback_count: int = 0  # processes that rolled back by themselves
    statistics: dict[str, float] | None = None


class StagePacer:
    """The leader's memory of time: which decision it saw, and since when.

    A leader that loses its lead calls `forget`.
    """

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._version: int | None = None  # of the decision
        self._seen_at_ms = 0.0

    def forget(self) -> None:
        """Forget what was seen: the stage's time begins anew with the next call."""
        self._version = None

    def next_state(
        self, now_ms: float, version: int, state: RolloutState, plan: RolloutPlan, findings: LeaderFindings
    ) -> RolloutState | None:
        """Return the value that should follow the decision of this version, or None: it stands."""
        if not state.running:
            self.forget()
            return None
        if version != self._version:
            self._version, self._seen_at_ms = version, now_ms
        statistics = findings.statistics or {}
        if findings.accusation:
            return end_rollout(state, RolloutStatus.HALTED, findings.accusation, statistics)
        if findings.rollback_count >= plan.thresholds.rollbacks_to_halt:
            reason = f"{findings.rollback_count} processes went back alone"
            return end_rollout(state, RolloutStatus.HALTED, reason, statistics)
        stage, elapsed_ms = plan.stages[state.stage], now_ms - self._seen_at_ms
        if elapsed_ms >= stage.min_duration_ms and findings.candidate_trials >= stage.min_answers:
            return advance(state, plan, statistics)
        if elapsed_ms >= plan.thresholds.stage_timeout_ms:
            reason = f"stage {state.stage}: {findings.candidate_trials} answers"
            return end_rollout(state, RolloutStatus.EXPIRED, reason, statistics)
        return None
