"""A zone's counts summed by its collector, and the leader's view of all zones' sums.  Pure."""

from __future__ import annotations

import struct
from collections.abc import Collection, Mapping, Sequence

from cressrock.errors.rollout import RolloutError
from cressrock.rollout.betting import ODDS_RATIOS
from cressrock.rollout.counts import FleetCounts
from cressrock.rollout.evidence import (
    FAULT_KINDS,
    MAX_REASONS,
    MAX_TOP_FACTORS,
    SUMMARY_KEY_PREFIX,
    ZONE_ROLLBACKS_KEY,
    ClassStage,
    Origin,
    OutcomeCounts,
    ZoneRollbacks,
    ZoneSummary,
    decode_summary,
    decode_zone_rollbacks,
    encode,
    is_evidence_key,
    parse_summary_key,
    totals_by_class,
)
from cressrock.rollout.plan import RolloutPlan
from cressrock.rollout.verdict import ClassFault, TopFactors, counts_by_process, top_factors

ZoneEntries = dict[str, bytes]  # a zone's summaries by key
Completeness = tuple[int, int]  # (trials, 0) of a class summary, (processes, rollbacks) of a rollback summary


class ZoneSummarizer:
    """A collector's sums of counts; those of incarnations that have ended are kept.

    An `aggregation` summarizer: it receives all entries of the collector's zones.
    """

    def __init__(self) -> None:
        """Start without a candidate; entries received before `follow` are stored and merged then."""
        self.fleet: FleetCounts | None = None
        self.plan: RolloutPlan | None = None
        self.classes = 0
        self.rejected = 0  # entries that could not be decoded
        self._entries: dict[Origin, dict[str, bytes]] = {}
        self._zone_of: dict[str, str] = {}

    def follow(self, digest: str, plan: RolloutPlan | None, classes: int) -> None:
        """Start counting for this candidate; an empty digest stops counting."""
        if (self.fleet.digest if self.fleet is not None else "") == digest:
            return
        self.fleet = FleetCounts(digest) if digest else None
        self.plan, self.classes = plan, classes
        self._zone_of.clear()
        for origin, entries in sorted(self._entries.items()):
            for key, value in sorted(entries.items()):
                self._merge(origin, key, value)

    def _merge(self, origin: Origin, key: str, value: bytes) -> bool:
        if self.fleet is None:
            return False
        try:
            return self.fleet.merge(origin, key, value)
        except RolloutError:
            # Corrupt, or written by another release: the other entries are still used.
            self.rejected += 1
            return False

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Receive an entry, or its removal; return whether anything changed.  Other keys are ignored."""
        if not is_evidence_key(key):
            return False
        entries = self._entries.setdefault(origin, {})
        if value is None:
            return entries.pop(key, None) is not None
        entries[key] = value
        return self._merge(origin, key, value)

    def forget(self, origin: Origin) -> None:
        """Drop an incarnation's stored entries; counts already merged are kept."""
        self._entries.pop(origin, None)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return a zone's sums by key; empty without a candidate, or without entries from the zone."""
        fleet, plan = self.fleet, self.plan
        if fleet is None or plan is None:
            return {}
        for process, _ in sorted(origins):
            self._zone_of[process] = zone
        by_origin = {
            origin: counts
            for origin, counts in fleet.by_origin.items()
            if self._zone_of.get(origin[0]) == zone
        }
        reasons = {
            process: reason
            for process, reason in sorted(fleet.rollback_reasons.items())
            if self._zone_of.get(process) == zone
        }
        if not by_origin and not reasons:
            return {}
        digest = bytes.fromhex(fleet.digest)
        processes = len({process for process, _ in by_origin})
        sample = dict(list(reasons.items())[:MAX_REASONS])
        rollbacks = ZoneRollbacks(digest, processes, len(reasons), sample)
        return {ZONE_ROLLBACKS_KEY: encode(rollbacks), **self._class_summaries(digest, by_origin, plan)}

    def _class_summaries(
        self, digest: bytes, by_origin: Mapping[Origin, Mapping[ClassStage, OutcomeCounts]], plan: RolloutPlan
    ) -> dict[str, bytes]:
        sums: dict[int, dict[int, OutcomeCounts]] = {}
        for counts in by_origin.values():
            for (request_class, stage), stage_counts in counts.items():
                stages = sums.setdefault(request_class, {})
                stages.setdefault(stage, OutcomeCounts.empty()).add(stage_counts)
        count = min(MAX_TOP_FACTORS, plan.thresholds.min_accusers - 1)
        factors = top_factors(counts_by_process(by_origin), plan, self.classes, count)
        result: dict[str, bytes] = {}
        for request_class, stages in sorted(sums.items()):
            packed = [
                [
                    _pack(sorted(logs, reverse=True))
                    for logs in factors.get((request_class, kind), [[] for _ in ODDS_RATIOS])
                ]
                for kind in range(len(FAULT_KINDS))
            ]
            summary = ZoneSummary(digest, sorted(stages.items()), packed)
            result[f"{SUMMARY_KEY_PREFIX}{request_class}"] = encode(summary)
        return result

    def broadcast(self, parts: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return no broadcast: rollouts send nothing from collectors to processes."""
        return False, b""


def _pack(values: Sequence[float]) -> bytes:
    return struct.pack(f"<{len(values)}f", *values)


def _unpack(data: bytes) -> list[float]:
    return list(struct.unpack(f"<{len(data) // 4}f", data[: len(data) // 4 * 4]))


def keep_fullest(
    kept: dict[str, ZoneEntries], received: Mapping[str, Mapping[str, bytes]], digest: str
) -> None:
    """Keep each zone's most complete summaries; counts only grow, so these are the newest.

    When a collector fails, its zone's summaries are missing for a while, or have smaller counts afterwards.
    Evaluating the test over changing subsets of zones would raise the probability of a false halt above the
    configured level.
    """
    digest_bytes = bytes.fromhex(digest)
    for zone, entries in sorted(received.items()):
        zone_entries = kept.setdefault(zone, {})
        for key, value in sorted(entries.items()):
            size = _completeness(key, value, digest_bytes)
            if size is None:
                continue
            if key not in zone_entries or size >= (
                _completeness(key, zone_entries[key], digest_bytes) or (0, 0)
            ):
                zone_entries[key] = value


def _completeness(key: str, value: bytes, digest: bytes) -> Completeness | None:
    """Return how complete a summary of this candidate is; None for any other entry."""
    try:
        if key == ZONE_ROLLBACKS_KEY:
            rollbacks = decode_zone_rollbacks(value)
            return (rollbacks.processes, rollbacks.rollbacks) if rollbacks.digest == digest else None
        if parse_summary_key(key) is None:
            return None
        summary = decode_summary(value)
    except RolloutError:
        # Corrupt, or written by another release: the most complete readable summary is kept.
        return None
    trials = sum(sum(counts.trials) for _, counts in summary.stages)
    return (trials, 0) if summary.digest == digest else None


class FleetSummary:
    """A leader's view of the collectors' sums; those of other candidates are ignored."""

    def __init__(self, digest: str, by_zone: Mapping[str, Mapping[str, bytes]]) -> None:
        """`by_zone` has each zone's summaries by key."""
        self._digest = bytes.fromhex(digest)
        self.totals: dict[ClassStage, OutcomeCounts] = {}
        self.zones: dict[str, dict[int, OutcomeCounts]] = {}
        self.rollback_reasons: dict[str, str] = {}  # by process, for some that rolled back
        self.rejected = 0  # summaries that could not be decoded
        self._rollbacks = self._processes = 0
        self._factors: dict[ClassFault, list[list[list[float]]]] = {}  # by odds ratio, then by zone
        for zone, entries in sorted(by_zone.items()):
            for key, value in sorted(entries.items()):
                try:
                    self._add(zone, key, value)
                except RolloutError:
                    # Corrupt, or written by another release: the other summaries are still used.
                    self.rejected += 1

    def _add(self, zone: str, key: str, value: bytes) -> None:
        if key == ZONE_ROLLBACKS_KEY:
            rollbacks = decode_zone_rollbacks(value)
            if rollbacks.digest == self._digest:
                self._rollbacks += rollbacks.rollbacks
                self._processes += rollbacks.processes
                self.rollback_reasons |= rollbacks.reasons
        elif (request_class := parse_summary_key(key)) is not None:
            summary = decode_summary(value)
            if summary.digest == self._digest:
                self._add_summary(zone, request_class, summary)

    def _add_summary(self, zone: str, request_class: int, summary: ZoneSummary) -> None:
        zone_total = self.zones.setdefault(zone, {}).setdefault(request_class, OutcomeCounts.empty())
        for stage, counts in summary.stages:
            zone_total.add(counts)
            self.totals.setdefault((request_class, stage), OutcomeCounts.empty()).add(counts)
        for kind, by_ratio in enumerate(summary.top_factors[: len(FAULT_KINDS)]):
            factors = self._factors.setdefault((request_class, kind), [[] for _ in ODDS_RATIOS])
            for zone_factors, data in zip(factors, by_ratio[: len(ODDS_RATIOS)], strict=False):
                zone_factors.append(_unpack(data))

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""
        return totals_by_class(self.totals)

    def candidate_trials(self, stage: int) -> int:
        """Return the number of the candidate's trials in a stage."""
        return sum(counts.trials[0] for (_, at_stage), counts in self.totals.items() if at_stage == stage)

    def rollback_count(self) -> int:
        """Return how many processes rolled back locally."""
        return self._rollbacks

    def process_count(self) -> int:
        """Return how many processes these sums include."""
        return self._processes

    def top_factors(self, plan: RolloutPlan, classes: int, count: int) -> TopFactors:
        """Return the largest logs of single processes' wealth over all zones.

        If a zone's summary is full, the logs that did not fit may be as large as its smallest one.  They are
        assumed to be, up to `count`, which can only lower the remaining wealth.
        """
        result: TopFactors = {}
        for class_fault, by_ratio in self._factors.items():
            factors: list[list[float]] = [[] for _ in by_ratio]
            for logs, zones in zip(factors, by_ratio, strict=True):
                for tops in zones:
                    assumed = count - MAX_TOP_FACTORS if len(tops) >= MAX_TOP_FACTORS else 0
                    logs += tops + tops[-1:] * max(0, assumed)
            result[class_fault] = factors
        return result
