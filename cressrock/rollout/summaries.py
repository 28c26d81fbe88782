"""A zone's counts as its collector sums them up, and the leader's view of all zones' sums.  Pure."""

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
Fullness = tuple[int, int]  # how many trials, or processes and rollbacks, a summary is of


class ZoneSummarizer:
    """A collector's sums of counts; what an incarnation that is gone has reported is kept.

    One of the `aggregation` summarizers, which gives it all entries of the collector's zones.
    """

    def __init__(self) -> None:
        """Follow no candidate yet; what is received already is kept for when one is."""
        self.fleet: FleetCounts | None = None
        self.plan: RolloutPlan | None = None
        self.classes = 0
        self.rejected = 0  # entries that could not be read
        self._entries: dict[Origin, dict[str, bytes]] = {}
        self._zone_of: dict[str, str] = {}

    def follow(self, digest: str, plan: RolloutPlan | None, classes: int) -> None:
        """Count for this candidate from now on; "" for none."""
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
            # Of another release, or broken: it is counted, and the other entries serve.
            self.rejected += 1
            return False

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Receive an entry, or its removal; return whether it was new.  Others' keys are passed over."""
        if not is_evidence_key(key):
            return False
        entries = self._entries.setdefault(origin, {})
        if value is None:
            return entries.pop(key, None) is not None
        entries[key] = value
        return self._merge(origin, key, value)

    def forget(self, origin: Origin) -> None:
        """Forget what an incarnation publishes now; what it has reported counts on."""
        self._entries.pop(origin, None)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return a zone's sums by key."""
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
        shown = dict(list(reasons.items())[:MAX_REASONS])
        rollbacks = ZoneRollbacks(digest, processes, len(reasons), shown)
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
        """Return that nothing is asked of anybody."""
        return False, b""


def _pack(values: Sequence[float]) -> bytes:
    return struct.pack(f"<{len(values)}f", *values)


def _unpack(data: bytes) -> list[float]:
    return list(struct.unpack(f"<{len(data) // 4}f", data[: len(data) // 4 * 4]))


def keep_fullest(
    fullest: dict[str, ZoneEntries], received: Mapping[str, Mapping[str, bytes]], digest: str
) -> None:
    """Keep of each zone's summaries the fullest received: counts only grow, so that is the newest.

    Danger: with a collector's death a zone's summaries are away for a moment, or are fewer after.  Looked at
    again and again over now these zones and now those, the test would have more chances than it reckons with.
    """
    digest_bytes = bytes.fromhex(digest)
    for zone, entries in sorted(received.items()):
        zone_entries = fullest.setdefault(zone, {})
        for key, value in sorted(entries.items()):
            size = _fullness(key, value, digest_bytes)
            if size is None:
                continue
            if key not in zone_entries or size >= (_fullness(key, zone_entries[key], digest_bytes) or (0, 0)):
                zone_entries[key] = value


def _fullness(key: str, value: bytes, digest: bytes) -> Fullness | None:
    """Return how full a summary of this candidate is; None for any other."""
    try:
        if key == ZONE_ROLLBACKS_KEY:
            rollbacks = decode_zone_rollbacks(value)
            return (rollbacks.processes, rollbacks.rollbacks) if rollbacks.digest == digest else None
        if parse_summary_key(key) is None:
            return None
        summary = decode_summary(value)
    except RolloutError:
        # Of another release, or broken: the fullest that could be read stays.
        return None
    trials = sum(sum(counts.trials) for _, counts in summary.stages)
    return (trials, 0) if summary.digest == digest else None


class FleetSummary:
    """The view of a leader that has collectors' sums; those of other candidates do not count."""

    def __init__(self, digest: str, by_zone: Mapping[str, Mapping[str, bytes]]) -> None:
        """`by_zone`: the zones' summaries by key."""
        self._digest = bytes.fromhex(digest)
        self.totals: dict[ClassStage, OutcomeCounts] = {}
        self.zones: dict[str, dict[int, OutcomeCounts]] = {}
        self.rollback_reasons: dict[str, str] = {}  # of some processes that rolled back
        self.rejected = 0  # summaries that could not be read
        self._rollbacks = self._processes = 0
        self._factors: dict[ClassFault, list[list[list[float]]]] = {}  # by odds ratio, of each zone
        for zone, entries in sorted(by_zone.items()):
            for key, value in sorted(entries.items()):
                try:
                    self._add(zone, key, value)
                except RolloutError:
                    # Of another release, or broken: it is counted, and the other zones' sums serve.
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
        """Return the trials under the candidate in a stage."""
        return sum(counts.trials[0] for (_, at_stage), counts in self.totals.items() if at_stage == stage)

    def rollback_count(self) -> int:
        """Return how many processes rolled back by themselves."""
        return self._rollbacks

    def process_count(self) -> int:
        """Return how many processes these sums are of."""
        return self._processes

    def top_factors(self, plan: RolloutPlan, classes: int, count: int) -> TopFactors:
        """Return the greatest logs of single processes, of all zones together.

        Where a zone has published as many as a summary holds, further ones may be as great as the smallest of
        these: so many are assumed, which can only leave less of the wealth.
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
