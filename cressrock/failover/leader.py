"""Failover on planners: while a process's consensus replica leads, it proposes failover decisions."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import anyio

from cressrock.aggregation.channel import EventLog
from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors import CressrockError
from cressrock.errors.consensus import DecisionConflictError, NoQuorumError
from cressrock.errors.failover import FailoverError
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision
from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.evidence_feed import SUMMARY_NAME, EvidenceFeed
from cressrock.failover.runtime import Consensus, Runtime
from cressrock.failover.settings import FailoverSettings
from cressrock.failover.summarizer import ReportSummarizer
from cressrock.failover.summary import SummaryView
from cressrock.failover.witnesses import EvidenceView, ReportView, ZoneMember

NO_VERSION = -1


class FailoverLeader:
    """Evaluates evidence on a planner, and registers the summarizer for processes that are collectors."""

    def __init__(
        self,
        settings: FailoverSettings,
        runtime: Runtime,
        lease_ms: float,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """`lease_ms`: how long a decision is valid without renewal; `clock` returns monotonic ms."""
        self.settings, self.runtime, self.lease_ms, self.clock, self.log = (
            settings,
            runtime,
            lease_ms,
            clock,
            log,
        )
        self.feed = EvidenceFeed(settings, runtime, clock)
        self.summarizer = ReportSummarizer(settings)
        runtime.evidence.summarizers.add(SUMMARY_NAME, self.summarizer)
        self.memory = EvaluationMemory()
        self.by_summaries = False  # whether the last evaluation used collectors' summaries
        self.decided = 0
        self.error_counts: dict[str, int] = {}  # by error code
        self._version = NO_VERSION
        self._current: FailoverDecision | None = None

    async def run(self) -> None:
        """Evaluate every `look_ms` while this process's replica leads, until cancelled."""
        while True:
            await anyio.sleep(self.settings.look_ms / 1000)
            self._update_current()
            self.feed.update_members()
            consensus = self.runtime.consensus
            if consensus is None or not self.runtime.is_leader:
                continue
            try:
                # Read by consensus: a former leader's last decision may not have reached the local cache yet.
                await consensus.read(decision.TOPIC)
                self.memory = EvaluationMemory()
                await self._lead(consensus)
            except CressrockError as error:
                self._count_error(error)

    async def _lead(self, consensus: Consensus) -> None:
        while self.runtime.is_leader:
            members = self.feed.update_members()
            stored = self._update_current()
            now_ms = self.clock()
            current = decision.decode(stored.value) if stored is not None else None
            desired = self._evaluate(members, current, now_ms)
            if desired is not None:
                version = stored.version if stored is not None else 0
                await self._decide(consensus, desired, version, now_ms)
            await anyio.sleep(self.settings.look_ms / 1000)

    def _update_current(self) -> Decision | None:
        """Return the latest decision, expired or not, and pass it to the summarizer."""
        stored = self.runtime.decision_cache.get(decision.TOPIC)
        if isinstance(stored, Expired):
            stored = stored.decision
        if stored is None or stored.version != self._version:
            self._version = stored.version if stored is not None else NO_VERSION
            try:
                self._current = decision.decode(stored.value) if stored is not None else None
            except FailoverError:
                self._current = None  # e.g. written by a newer version; the edges count and report it
        self.summarizer.apply_decision(self._current, self.clock())
        return stored

    def _evaluate(
        self, members: Sequence[ZoneMember], current: FailoverDecision | None, now_ms: float
    ) -> FailoverDecision | None:
        """Evaluate collectors' summaries if any process reports to collectors, otherwise all reports."""
        collector = self.runtime.evidence.collector
        by_summaries = collector is not None and collector.is_active()
        if by_summaries != self.by_summaries:
            # The recorded intervals of one view are meaningless in the other.  Starting with an empty memory
            # can delay a transition but not cause one too early.
            self.by_summaries, self.memory = by_summaries, EvaluationMemory()
        view: EvidenceView
        if collector is None or not by_summaries:
            view = ReportView(self.settings, members, self.feed.evidence, now_ms)
        else:
            summaries = collector.summaries.current(now_ms)
            sums = {zone: received.summary.sums for zone, received in summaries.items()}
            senders = {zone: received.summary.senders for zone, received in summaries.items()}
            view = SummaryView(self.settings, members, sums, senders)
        return evaluate(self.settings, members, view, current, now_ms, self.memory)

    async def _decide(
        self, consensus: Consensus, desired: FailoverDecision, version: int, now_ms: float
    ) -> None:
        self.memory.record_decision(now_ms)
        value = decision.encode(desired)
        try:
            decided = await consensus.decide(decision.TOPIC, value, self.lease_ms, if_version=version)
        except (DecisionConflictError, NoQuorumError) as error:
            self._count_error(error)
            if isinstance(error, DecisionConflictError):
                await consensus.read(decision.TOPIC)
            return
        self.decided += 1
        self.log.warning(
            "failover.decided",
            version=decided.version,
            evacuated_demand_units_per_s=desired.evacuated_demand,
            spare_capacity_units_per_s=desired.spare_capacity,
            zones={
                entry.zone: [
                    decision.outer_name(entry.state).upper(), entry.share, entry.losses, entry.blind_zones,
                ]
                for entry in desired.zones
            },
        )  # fmt: skip

    def _count_error(self, error: CressrockError) -> None:
        is_first = error.code not in self.error_counts
        self.error_counts[error.code] = self.error_counts.get(error.code, 0) + 1
        if is_first:
            self.log.warning("failover.not_decided", **error.fields())

    def status(self) -> Mapping[str, object]:
        """Return the leader's state and evidence for the admin port."""
        witnesses = {
            zone: {
                "bad": dict(counts.unreachable),
                "good": dict(counts.reachable),
                "half": dict(counts.degraded),
                "slow": counts.slow,
                "suspect": counts.suspects,
            }
            for zone, counts in self.memory.witnesses.items()
        }
        return {
            "leads": self.runtime.is_leader,
            "summed": self.by_summaries,
            "decided": self.decided,
            "problems": dict(self.error_counts),
            "tallies": witnesses,
            **self.feed.evidence.status(),
        }
