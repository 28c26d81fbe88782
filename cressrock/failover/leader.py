"""The consensus leader's part in failover: while a process's replica leads, evaluations become decisions."""

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
    """A planner's part; also a collector's summaries of reports, where this process is one."""

    def __init__(
        self,
        settings: FailoverSettings,
        runtime: Runtime,
        lease_ms: float,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """`lease_ms`: how long a decision counts without renewal."""
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
        self.by_summaries = False  # whether the last evaluation was of collectors' summaries
        self.decided = 0
        self.problems: dict[str, int] = {}  # by error code
        self._version = NO_VERSION
        self._current: FailoverDecision | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            await anyio.sleep(self.settings.look_ms / 1000)
            self._update_current()
            self.feed.update_members()
            consensus = self.runtime.consensus
            if consensus is None or not self.runtime.is_leader:
                continue
            try:
                # What stands is read by consensus: a former leader's last decision may not be here yet.
                await consensus.read(decision.TOPIC)
                self.memory = EvaluationMemory()
                await self._lead(consensus)
            except CressrockError as error:
                self._count_problem(error)

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
        """Return the decision that stands, whether it still counts or not, and let the summarizer know."""
        stored = self.runtime.decision_cache.get(decision.TOPIC)
        if isinstance(stored, Expired):
            stored = stored.decision
        if stored is None or stored.version != self._version:
            self._version = stored.version if stored is not None else NO_VERSION
            try:
                self._current = decision.decode(stored.value) if stored is not None else None
            except FailoverError:
                self._current = None  # a newer program's; reported where it is to be followed
        self.summarizer.apply_decision(self._current, self.clock())
        return stored

    def _evaluate(
        self, members: Sequence[ZoneMember], current: FailoverDecision | None, now_ms: float
    ) -> FailoverDecision | None:
        """Evaluate collectors' summaries where anybody reports to collectors; else all reports."""
        collector = self.runtime.evidence.collector
        by_summaries = collector is not None and collector.is_active()
        if by_summaries != self.by_summaries:
            # Danger: marks of one way say nothing of the other's; a new memory is late, never early.
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
            self._count_problem(error)
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

    def _count_problem(self, error: CressrockError) -> None:
        first = error.code not in self.problems
        self.problems[error.code] = self.problems.get(error.code, 0) + 1
        if first:
            self.log.warning("failover.not_decided", **error.fields())

    def status(self) -> Mapping[str, object]:
        """Return plain values for an admin port."""
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
            "problems": dict(self.problems),
            "tallies": witnesses,
            **self.feed.evidence.status(),
        }
