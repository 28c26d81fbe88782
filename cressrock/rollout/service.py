"""A process's participation in rollouts: applies decisions, chooses versions, publishes counts, and leads.

This module does the I/O and composition; the policy is in `selection`, `pacing` and `verdict`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic

import anyio
import msgspec

from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors import CressrockError
from cressrock.errors.consensus import ConsensusError
from cressrock.errors.rollout import RolloutError
from cressrock.gossip.messages import Origin
from cressrock.rollout.admin import AdminEndpoint
from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.crash_record import CrashRecord, record_start
from cressrock.rollout.evidence import MAX_REASON_CHARS, RequestOutcome
from cressrock.rollout.evidence_exchange import EvidenceExchange
from cressrock.rollout.interfaces import ClusterRuntime, Exchange, V, VersionTables
from cressrock.rollout.leader import RolloutLeader
from cressrock.rollout.lifecycle import DOCUMENT_TOPICS, ROLLOUT_TOPIC, RolloutState, RolloutStatus, decode
from cressrock.rollout.loaded_versions import LoadedVersions
from cressrock.rollout.participation import Participation
from cressrock.rollout.persisted_state import PersistedStateFile
from cressrock.rollout.read_lease import ReadLease
from cressrock.rollout.selection import eligible_stage
from cressrock.rollout.status import StatusReport, class_reports, fleet_statistics, status_sentence
from cressrock.rollout.summaries import FleetSummary, ZoneSummarizer
from cressrock.rollout.verdict import local_accusation
from cressrock.state_file import StateFiles

MAX_LAST_WRITE_S = 1.0  # how long the end of the process waits for the record of its clean end


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """One process's settings; times in milliseconds."""

    process_name: str
    zone: str
    classes: list[str]  # class names
    lease_ms: float  # of the decisions
    keep_file: str | None = None
    poll_interval_ms: float = 1000.0
    report_interval_ms: float = 2000.0
    max_starts: int = 3
    starts_window_ms: float = 600000.0


@dataclass(frozen=True, slots=True)
class VersionChoice(Generic[V]):
    """The version that decides a request, and the good one, whose classes and objectives count it.

    If `on_complete` is set, the request is a trial: call it once when the request ends, with its class in
    `good`, its outcome and its duration in ms.
    """

    version: V
    good: V
    on_complete: Callable[[int, RequestOutcome, float], None] | None = None


class RolloutService(Generic[V]):
    """Call `run` in a task group, and `choose` for each request when it arrives."""

    def __init__(
        self,
        runtime: ClusterRuntime,
        tables: VersionTables[V],
        settings: ProcessSettings,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        rng: random.Random,
        log: Any,
        on_versions_changed: Callable[[tuple[str, ...]], None],
        planner_has_version: Callable[[str], bool] = lambda digest: True,
        may_lead: bool = False,
        zone_of: Callable[[str], str] = lambda name: "",
        state_files: StateFiles | None = None,
    ) -> None:
        """`on_versions_changed(live digests)` is called after the set of loaded versions changed.

        `planner_has_version(digest)` is whether the planner or edge that decides for this process has it;
        `may_lead` is whether this process has a consensus replica; `zone_of` maps a process to its zone;
        `state_files` writes `keep_file`.
        """
        self._runtime, self._tables, self._settings = runtime, tables, settings
        self._clock, self._wall_ms, self._rng, self._log = clock, wall_ms, rng, log
        self._planner_has_version, self._may_lead, self._zone_of = planner_has_version, may_lead, zone_of
        self._persisted = PersistedStateFile(settings.keep_file, log, state_files)
        self._recorded_digest = ""  # of the candidate whose run is recorded on disk
        self._is_applying = False
        self._versions = LoadedVersions(
            runtime.decision_cache, tables, self._persisted, log, on_versions_changed
        )
        self._evidence = EvidenceExchange(runtime, len(settings.classes), log)
        self._leader = RolloutLeader(runtime, settings.classes, settings.lease_ms, clock, log)
        self._admin = AdminEndpoint(
            runtime, settings.lease_ms, tables.check,
            apply_decision=self._apply_decision, status=self.status, statistics=self._statistics,
        )  # fmt: skip
        self._state: RolloutState | None = None  # the newest received, even if expired
        self._version = 0  # of that state's decision
        self._decoded_version = -1  # of the newest decision that was decoded, or failed to decode
        self._good_digest = self._persisted.state.good_digest  # last known to this process
        self._participation: Participation | None = None
        self._candidate_requests = 0  # decided by the candidate since this process started
        self._read_lease = ReadLease()
        self._decision_changed = anyio.Event()
        self._published_at_ms = 0.0
        self._summarizer = ZoneSummarizer() if may_lead else None
        self._subscribe()
        self._apply_decision()

    def _subscribe(self) -> None:
        runtime = self._runtime
        if self._summarizer is not None:
            runtime.evidence.summarizers.add("rollout", self._summarizer)
        runtime.decision_cache.listeners.append(self._on_decision)
        runtime.on_gossip_change.append(self._on_gossip_change)
        runtime.on_leaving.append(self._on_leaving)

    def choose(self, volume: str) -> VersionChoice[V]:
        """Return the version that decides a request arriving now, until it is answered."""
        state, tables, participation = self._state, self._tables, self._participation
        good = tables.own
        if self._good_digest and self._planner_has_version(self._good_digest):
            good = tables.get(self._good_digest) or tables.own
        if state is None or not state.running or participation is None or participation.rollback_reason:
            return VersionChoice(good, good)
        # Check the lease for each request: it expires without any event.
        if not self._is_current() or not self._planner_has_version(state.digest):
            return VersionChoice(good, good)
        stage = eligible_stage(state, participation.plan, volume, self._settings.zone)
        candidate = tables.get(state.digest)
        if stage is None or candidate is None:
            return VersionChoice(good, good)
        by_candidate = self._rng.random() >= stage.control_fraction
        counts, index = participation.local, state.stage
        self._candidate_requests += by_candidate

        def on_complete(request_class: int, outcome: RequestOutcome, ms: float) -> None:
            counts.record(request_class, index, by_candidate, outcome, ms, tables.aim_ms(good, request_class))

        return VersionChoice(candidate if by_candidate else good, good, on_complete)

    def _is_current(self) -> bool:
        """Whether both the decision's lease and this process's read lease are valid."""
        is_leased = isinstance(self._runtime.decision_cache.get(ROLLOUT_TOPIC), Decision)
        return is_leased and self._read_lease.is_valid(self._version, self._clock())

    # --- applying the decision

    def _on_decision(self, decision: Decision) -> None:
        if decision.topic == ROLLOUT_TOPIC or decision.topic in DOCUMENT_TOPICS:
            self._apply_decision()

    def _on_gossip_change(self, origin: Origin, key: str) -> None:
        self._evidence.on_gossip_change(self._participation, origin, key)

    def _on_leaving(self) -> None:
        """Record a clean shutdown."""
        self._persisted.set_not_running()

    def _apply_decision(self) -> None:
        """Apply the newest decision: load its versions and update this process's participation."""
        self._is_applying = True
        try:
            self._apply_newest_decision()
        finally:
            self._is_applying = False

    def _apply_newest_decision(self) -> None:
        cached = self._runtime.decision_cache.get(ROLLOUT_TOPIC)
        decision = cached.decision if isinstance(cached, Expired) else cached
        if decision is not None and decision.version != self._decoded_version:
            self._decoded_version = decision.version
            self._decision_changed.set()
            try:
                self._state, self._version = decode(decision.value), decision.version
            except CressrockError as error:
                # Act as if no rollout were running; the last good version stays in use.
                if self._state is not None:
                    self._state = msgspec.structs.replace(self._state, status=RolloutStatus.EXPIRED)
                self._log.warning("rollout.decision_unreadable", **error.fields())
        state = self._state
        self._load_versions(running=isinstance(cached, Decision) and state is not None and state.running)

    def _load_versions(self, *, running: bool) -> None:
        """Load the good version and the candidate, if their documents are available."""
        state, persisted = self._state, self._persisted
        documents: dict[str, bytes] = {}
        good = self._good_digest = state.good_digest if state is not None else persisted.state.good_digest
        slot = state.good_slot if state is not None else 0
        if good and (data := self._versions.document(slot, good)) is not None:
            documents[good] = data
            if persisted.state.good_digest != good:
                persisted.set_good(good, data)
        if state is not None and state.digest and self._participation is not None:
            if self._participation.digest != state.digest:
                self._forget_candidate()
        if state is not None and running:
            data = self._versions.document(state.document_slot, state.digest)
            if data is not None and self._participate(state.digest, data):
                documents[state.digest] = data
        elif self._participation is not None:
            # Only with a participation: after a crash, the record of the open run must not be cleared before
            # the decision is received again, or the crash would not be counted.
            persisted.set_not_running()
        self._versions.hold(documents, good, self._clock())

    def _participate(self, digest: str, data: bytes) -> bool:
        """Participate in a candidate's rollout; return whether this process may use the candidate."""
        participation = self._participation
        if participation is None:
            participation = self._begin_participation(digest, data)
        elif not participation.rollback_reason and not self._persisted.state.crash_record.running:
            record = msgspec.structs.replace(self._persisted.state.crash_record, running=True)
            self._record_run(digest, record)
        if participation is None or participation.rollback_reason:
            return False
        return self._recorded_digest == digest

    def _record_run(self, digest: str, record: CrashRecord) -> None:
        """Record on disk that a run under a candidate begins; the candidate is used once that is durable.

        Otherwise a crash right after its first use would never be counted.
        """
        self._recorded_digest = ""

        def on_durable() -> None:
            if self._participation is None or self._participation.digest == digest:
                self._recorded_digest = digest
                if not self._is_applying:
                    self._apply_decision()

        self._persisted.set_crash_record(record, on_durable)

    def _begin_participation(self, digest: str, data: bytes) -> Participation | None:
        settings = self._settings
        try:
            plan = self._tables.course(data)
        except RolloutError as error:
            self._versions.problems = [f"{digest}: {error.text}"]
            return None
        record = record_start(
            self._persisted.state.crash_record, digest, self._wall_ms(),
            max_starts=settings.max_starts, window_ms=settings.starts_window_ms,
        )  # fmt: skip
        self._record_run(digest, record)
        fleet = FleetCounts(digest) if self._may_lead else None
        participation = self._participation = Participation(digest, plan, LocalCounts(digest), fleet)
        if fleet is not None:
            self._evidence.merge_all(participation)
        if self._summarizer is not None:
            self._summarizer.follow(digest, plan, len(settings.classes))
        if record.rollback_reason:
            self._roll_back(participation, record.rollback_reason)
        return participation

    def _forget_candidate(self) -> None:
        """Drop a former candidate's counts, locally and in the published entries."""
        self._evidence.withdraw(self._participation)
        if self._summarizer is not None:
            self._summarizer.follow("", None, 0)
        self._participation = None
        self._leader.forget()

    def _roll_back(self, participation: Participation, reason: str) -> None:
        """Use only the good version from now on, and publish a report of the local rollback."""
        participation.rollback_reason = reason[:MAX_REASON_CHARS]
        self._log.warning("rollout.rolled_back", digest=participation.digest, reason=reason)
        self._persisted.set_rollback(participation.rollback_reason)
        self._evidence.publish_rollback(participation)

    # --- tasks

    async def run(self) -> None:
        """Apply decisions, publish counts and, as leader, propose the next step; until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._poll)
                tasks.start_soon(self._renew_read_lease)
        finally:
            with anyio.move_on_after(MAX_LAST_WRITE_S, shield=True):
                await self._persisted.wait_written()

    async def _poll(self) -> None:
        while True:
            self._apply_decision()
            self._publish()
            if self._may_lead:
                await self._leader.step(self._version, self._state, self._participation)
            await anyio.sleep(self._settings.poll_interval_ms / 1000)

    def _publish(self) -> None:
        """Publish counts at the report interval, and roll back if this process's own counts require it."""
        participation = self._participation
        interval_ms = max(self._settings.report_interval_ms, self._runtime.evidence.min_interval_ms())
        if participation is None or self._clock() < self._published_at_ms + interval_ms:
            return
        self._published_at_ms = self._clock()
        self._evidence.publish_counts(participation)
        if participation.rollback_reason:
            return
        classes = self._settings.classes
        accusation = local_accusation(participation.local, participation.plan, len(classes))
        if accusation is not None:
            self._roll_back(participation, accusation.describe(classes))
            self._apply_decision()

    async def _renew_read_lease(self) -> None:
        """Read the decision several times per lease while a rollout is running; see `ReadLease`."""
        settings, consensus = self._settings, self._runtime.consensus
        while consensus is not None:
            rolled_back = self._participation is not None and self._participation.rollback_reason
            if self._state is not None and self._state.running and not rolled_back:
                # Jitter, so that processes do not all read at once after each step.
                await anyio.sleep(self._rng.random() * settings.poll_interval_ms / 1000)
                began_ms = self._clock()
                try:
                    decision = await consensus.read(ROLLOUT_TOPIC, timeout_ms=settings.lease_ms / 2)
                    if decision is not None:
                        self._read_lease.record_read(decision.version, began_ms, decision.lease_ms)
                except ConsensusError:
                    pass  # the lease is not renewed and will expire
            if self._decision_changed.is_set():
                self._decision_changed = anyio.Event()
            else:
                with anyio.move_on_after(settings.lease_ms / 3000):
                    await self._decision_changed.wait()

    # --- the admin port

    async def serve(self, exchange: Exchange) -> None:
        """Serve GET and POST of /v1/rollout."""
        await self._admin.serve(exchange)

    def _view(self) -> FleetCounts | FleetSummary | None:
        """Return all processes' counts, if this process has them."""
        if self._participation is None:
            return None
        return self._participation.view(self._runtime.evidence.collector, self._clock())

    def _statistics(self) -> dict[str, float]:
        view = self._view()
        return fleet_statistics(view) if view is not None else {}

    def status(self) -> StatusReport:
        """Return the rollout's status for the admin port."""
        state, participation, names = self._state, self._participation, self._settings.classes
        is_current = self._is_current() if state is not None and state.running else state is not None
        plan = participation.plan if participation is not None else None
        rollback_reason = participation.rollback_reason if participation is not None else ""
        report = StatusReport(
            status_sentence(state, plan, is_current, rollback_reason),
            state.status if state is not None else "none",
            is_current,
            self._version,
            state.digest if state is not None else "",
            state.good_digest if state is not None else self._persisted.state.good_digest,
            state.stage if state is not None else 0,
            len(plan.stages) if plan is not None else 0,
            state.reason if state is not None else "",
            state.statistics if state is not None else {},
            list(state.ended_digests) if state is not None else [],
            list(self._versions.live),
            self._candidate_requests,
            rollback_reason,
            self._versions.problems,
        )
        if participation is not None:
            report.local = class_reports(names, participation.local.totals_by_class())
        view = self._view()
        if participation is not None and view is not None:
            by_zone = view.totals_by_group(self._zone_of) if isinstance(view, FleetCounts) else view.zones
            report.fleet = class_reports(names, view.totals_by_class())
            report.zones = {zone: class_reports(names, counts) for zone, counts in sorted(by_zone.items())}
            report.processes = view.process_count()
            report.rollback_reasons = dict(view.rollback_reasons)
            report.accusations = [accusation.describe(names) for accusation in participation.accusations]
        return report
