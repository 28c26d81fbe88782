"""Counts of trials under one candidate: those of one process, and those merged from all processes.  Pure."""

from __future__ import annotations

from collections.abc import Callable

from cressrock.rollout.evidence import (
    MAX_ORIGINS,
    ROLLBACK_KEY,
    SLOW_FRACTION,
    ClassStage,
    CountsEntry,
    Entry,
    Origin,
    OutcomeCounts,
    RequestOutcome,
    counts_key,
    decode_counts,
    decode_rollback,
    encode,
    parse_counts_key,
    totals_by_class,
)


class LocalCounts:
    """This process's own counts under one candidate."""

    def __init__(self, digest: str) -> None:
        """`digest` is the candidate's, in hexadecimal."""
        self.digest = digest
        self.counts: dict[ClassStage, OutcomeCounts] = {}
        self._changed: dict[ClassStage, None] = {}

    def record(
        self,
        request_class: int,
        stage: int,
        by_candidate: bool,
        outcome: RequestOutcome,
        duration_ms: float,
        objective_ms: float,
    ) -> None:
        """Count a finished trial.

        `duration_ms` is the time from the request's arrival to its answer; `objective_ms` is the good
        version's latency objective.
        """
        counts = self.counts.setdefault((request_class, stage), OutcomeCounts.empty())
        side = 0 if by_candidate else 1
        counts.trials[side] += 1
        served = outcome is RequestOutcome.SERVED
        faults = (
            outcome is RequestOutcome.REJECTED,
            outcome is RequestOutcome.FAILED,
            outcome is RequestOutcome.CLIENT_LEFT,
            served and duration_ms > objective_ms,
            served and duration_ms > SLOW_FRACTION * objective_ms,
        )
        for count, occurred in zip(counts.faults, faults, strict=True):
            count[side] += occurred
        self._changed[request_class, stage] = None

    def drain_changes(self) -> list[Entry]:
        """Return the entries to publish: those that changed since the last call."""
        changed, self._changed = list(self._changed), {}
        digest = bytes.fromhex(self.digest)
        return [
            (counts_key(*class_stage), encode(CountsEntry(digest, self.counts[class_stage])))
            for class_stage in changed
        ]

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""
        return totals_by_class(self.counts)

    def keys(self) -> list[str]:
        """Return the keys of all counts, for removing published entries."""
        return [counts_key(*class_stage) for class_stage in self.counts]


class FleetCounts:
    """All processes' counts under one candidate.

    Counts of an incarnation that has ended are kept.  At most `MAX_ORIGINS` incarnations are stored; the
    counts of any more are ignored, which can only delay a verdict.
    """

    def __init__(self, digest: str) -> None:
        """`digest` is the candidate's, in hexadecimal."""
        self.digest = digest
        self._digest_bytes = bytes.fromhex(digest)
        self.by_origin: dict[Origin, dict[ClassStage, OutcomeCounts]] = {}
        self.totals: dict[ClassStage, OutcomeCounts] = {}  # over all origins
        self.rollback_reasons: dict[str, str] = {}  # by process, over all its incarnations

    def merge(self, origin: Origin, key: str, value: bytes) -> bool:
        """Merge a published entry; return whether it changed anything.

        Raises InvalidRulesError, UnknownRulesVersionError.
        """
        if key == ROLLBACK_KEY:
            return self._merge_rollback(origin[0], value)
        class_stage = parse_counts_key(key)
        if class_stage is None:
            return False
        entry = decode_counts(value)
        if entry.digest != self._digest_bytes:
            return False
        counts = self.by_origin.get(origin)
        if counts is None:
            if len(self.by_origin) >= MAX_ORIGINS:
                return False
            counts = self.by_origin[origin] = {}
        total = self.totals.setdefault(class_stage, OutcomeCounts.empty())
        return counts.setdefault(class_stage, OutcomeCounts.empty()).raise_to(entry.counts, total)

    def _merge_rollback(self, process: str, value: bytes) -> bool:
        report = decode_rollback(value)
        is_new = report.digest == self._digest_bytes and process not in self.rollback_reasons
        if is_new and len(self.rollback_reasons) < MAX_ORIGINS:
            self.rollback_reasons[process] = report.reason
        return is_new

    def candidate_trials(self, stage: int) -> int:
        """Return the number of the candidate's trials in a stage."""
        return sum(counts.trials[0] for (_, at_stage), counts in self.totals.items() if at_stage == stage)

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""
        return totals_by_class(self.totals)

    def rollback_count(self) -> int:
        """Return how many processes rolled back locally."""
        return len(self.rollback_reasons)

    def process_count(self) -> int:
        """Return how many processes have reported counts."""
        return len({process for process, _ in self.by_origin})

    def totals_by_group(self, group_of: Callable[[str], str]) -> dict[str, dict[int, OutcomeCounts]]:
        """Return the sums by class of each group; `group_of` maps a process to its group, such as a zone."""
        groups: dict[str, dict[int, OutcomeCounts]] = {}
        for (process, _), counts in self.by_origin.items():
            totals = groups.setdefault(group_of(process), {})
            for (request_class, _), stage_counts in counts.items():
                totals.setdefault(request_class, OutcomeCounts.empty()).add(stage_counts)
        return groups
