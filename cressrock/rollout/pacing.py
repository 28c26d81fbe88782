"""When the leader takes the next step, by time, answers, regressions and local rollbacks.  Pure.

Times are on the leader's clock.  A stage's minimum duration counts from when *this* leader first saw the
stage's decision.  A new leader restarts it, so a stage may last longer than configured but never shorter.
"""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.rollout.lifecycle import RolloutState, RolloutStatus, advance, end_rollout
from cressrock.rollout.plan import RolloutPlan


@dataclass(frozen=True, slots=True)
class LeaderFindings:
    """What the leader knows about the current stage."""

    candidate_trials: int  # answered under the candidate in the current stage
    accusation: str = ""  # why the candidate must be halted; "" if no regression was found
    rollback_count: int = 0  # processes that rolled back locally
    statistics: dict[str, float] | None = None


class StagePacer:
    """Tracks which decision the leader saw last, and since when.

    A leader that loses leadership calls `forget`.
    """

    def __init__(self) -> None:
        """Start without a decision seen."""
        self._version: int | None = None  # of the decision
        self._seen_at_ms = 0.0

    def forget(self) -> None:
        """Reset the stage's timer: it restarts at the next call of `next_state`."""
        self._version = None

    def next_state(
        self, now_ms: float, version: int, state: RolloutState, plan: RolloutPlan, findings: LeaderFindings
    ) -> RolloutState | None:
        """Return the state to propose after the decision of this version; None if nothing is to change."""
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
