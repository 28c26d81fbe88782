"""The consensus leader's role: evaluates all processes' counts and proposes the next decision."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cressrock.consensus.decisions import Decision
from cressrock.errors.consensus import ConsensusError
from cressrock.rollout.counts import FleetCounts
from cressrock.rollout.interfaces import ClusterRuntime
from cressrock.rollout.lifecycle import ROLLOUT_TOPIC, RolloutState, encode
from cressrock.rollout.pacing import LeaderFindings, StagePacer
from cressrock.rollout.participation import Participation
from cressrock.rollout.status import fleet_statistics
from cressrock.rollout.summaries import FleetSummary
from cressrock.rollout.verdict import Accusation, accusations, accusations_from_counts


class RolloutLeader:
    """Proposes a rollout's next step while this process's consensus replica leads."""

    def __init__(
        self,
        runtime: ClusterRuntime,
        class_names: list[str],
        lease_ms: float,
        clock: Callable[[], float],
        log: Any,
    ) -> None:
        """`lease_ms` is the lease given to the decisions it proposes."""
        self._runtime, self._class_names, self._lease_ms = runtime, class_names, lease_ms
        self._clock, self._log = clock, log
        self._pacer = StagePacer()

    def forget(self) -> None:
        """Reset the stage's timer, for example when the candidate changes."""
        self._pacer.forget()

    async def step(
        self, version: int, state: RolloutState | None, participation: Participation | None
    ) -> None:
        """Propose the next step, if one is due; `version` is that of the decision holding `state`."""
        runtime = self._runtime
        # Also done by followers, so that a new leader already has the most complete summaries.
        view = participation.view(runtime.evidence.collector, self._clock()) if participation else None
        if not runtime.is_leader or runtime.consensus is None:
            self._pacer.forget()
            return
        is_current = isinstance(runtime.decision_cache.get(ROLLOUT_TOPIC), Decision)
        if not is_current or state is None or view is None or participation is None or not state.running:
            return
        current_accusations = self._accusations(view, participation)
        if current_accusations is None:
            return
        participation.accusations = current_accusations
        findings = LeaderFindings(
            view.candidate_trials(state.stage),
            current_accusations[0].describe(self._class_names) if current_accusations else "",
            view.rollback_count(),
            fleet_statistics(view),
        )
        proposed_state = self._pacer.next_state(self._clock(), version, state, participation.plan, findings)
        if proposed_state is not None:
            await self._propose(version, proposed_state)

    def _accusations(
        self, view: FleetCounts | FleetSummary, participation: Participation
    ) -> list[Accusation] | None:
        """Return the candidate's regressions; None if the test must not be evaluated now."""
        classes = len(self._class_names)
        if isinstance(view, FleetCounts):
            return accusations_from_counts(view, participation.plan, classes)
        collector = self._runtime.evidence.collector
        if collector is None or collector.incomplete_zones(self._clock()):
            return None  # a zone's counts are missing; the test needs all zones
        return accusations(view, participation.plan, classes)

    async def _propose(self, version: int, state: RolloutState) -> None:
        consensus = self._runtime.consensus
        assert consensus is not None
        try:
            await consensus.decide(ROLLOUT_TOPIC, encode(state), self._lease_ms, if_version=version)
        except ConsensusError as error:
            # No quorum, or another leader was first.  The next poll sees the newer decision and tries again.
            self._log.info("rollout.step_not_decided", **error.fields())
            return
        self._log.info(
            "rollout.step_decided",
            digest=state.digest,
            status=state.status.value,
            stage=state.stage,
            reason=state.reason,
        )
