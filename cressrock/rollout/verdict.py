"""Finds a candidate's regressions, from all processes' counts or from one process's own.  Pure.

An accusation is a class with significantly more faults of one kind under the candidate.  The test is that of
`betting`; a class's wealth is the product of all processes' factors.  For each bet the `min_accusers` - 1
largest factors are left out.  The remaining wealth is at most the product over all processes, and at most
that over all but any given `min_accusers` - 1, so the error level holds whatever happens to those.  A single
process with a problem of its own under the candidate does not halt the rollout; it rolls back locally
(`local_accusation`).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from cressrock.rollout.betting import ODDS_RATIOS, accusation_threshold, log_mean, log_wealths
from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.evidence import (
    CANDIDATE,
    CONTROL,
    FAULT_KINDS,
    ClassStage,
    Origin,
    OutcomeCounts,
    totals_by_class,
)
from cressrock.rollout.plan import RolloutPlan

ClassFault = tuple[int, int]  # request class and index into FAULT_KINDS; each pair is tested separately
LogWealths = dict[ClassFault, list[float]]  # one for each of ODDS_RATIOS
TopFactors = dict[ClassFault, list[list[float]]]  # largest logs of single processes, for each of ODDS_RATIOS
ProcessCounts = Sequence[tuple[ClassStage, OutcomeCounts]]  # of one process, over all its incarnations


class FaultRate(NamedTuple):
    """The number of faults of one kind among a number of trials."""

    faults: int
    trials: int


@dataclass(frozen=True, slots=True)
class Accusation:
    """A class with more faults of one kind under the candidate; `log_wealth` measures the evidence."""

    request_class: int
    fault_kind: str
    log_wealth: float
    candidate: FaultRate
    good: FaultRate

    def describe(self, class_names: Sequence[str]) -> str:
        """Return one line for operators with the class, the kind of fault and both rates."""
        return (
            f"class {class_names[self.request_class]}: {self.fault_kind} "
            f"{self.candidate.faults} of {self.candidate.trials} under the candidate, "
            f"{self.good.faults} of {self.good.trials} beside it"
        )


class CountsView(Protocol):
    """The counts of all processes, as the test needs them."""

    totals: dict[ClassStage, OutcomeCounts]

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""

    def top_factors(self, plan: RolloutPlan, classes: int, count: int) -> TopFactors:
        """Return the largest logs of single processes' wealth, at least `count` of each if available."""


class _FleetCountsView:
    """The view of a process that merges all counts itself, without collectors."""

    def __init__(self, counts: FleetCounts) -> None:
        self._counts = counts
        self.totals, self.totals_by_class = counts.totals, counts.totals_by_class

    def top_factors(self, plan: RolloutPlan, classes: int, count: int) -> TopFactors:
        """Return the largest logs of single processes' wealth."""
        return top_factors(counts_by_process(self._counts.by_origin), plan, classes, count)


def accusations_from_counts(counts: FleetCounts, plan: RolloutPlan, classes: int) -> list[Accusation]:
    """Return the candidate's regressions by all processes' counts; see `accusations`."""
    return accusations(_FleetCountsView(counts), plan, classes)


def accusations(view: CountsView, plan: RolloutPlan, classes: int) -> list[Accusation]:
    """Return the candidate's regressions, the one with the strongest evidence first."""
    thresholds = plan.thresholds
    threshold = accusation_threshold(thresholds, classes)
    # Leaving out factors only lowers the wealth.  If none reaches the threshold, skip the per-process work.
    wealths = _log_wealths(view.totals.items(), plan, classes, thresholds.tolerated_odds_ratio)
    if all(log_mean(logs) < threshold for logs in wealths.values()):
        return []
    left_out = thresholds.min_accusers - 1
    factors = view.top_factors(plan, classes, left_out)
    totals = view.totals_by_class()
    result = []
    for class_fault, logs in wealths.items():
        request_class, kind = class_fault
        tops = factors.get(class_fault) or [[] for _ in ODDS_RATIOS]
        value = log_mean(log - _sum_of_largest(top, left_out) for log, top in zip(logs, tops, strict=True))
        if value >= threshold:
            result.append(_accusation(request_class, kind, value, totals[request_class]))
    return sorted(result, key=lambda one: (-one.log_wealth, one.request_class, one.fault_kind))


def local_accusation(local: LocalCounts, plan: RolloutPlan, classes: int) -> Accusation | None:
    """Return why this process should roll back locally, or None.

    The same test over this process's own counts, with the larger of the two odds ratios as the null.
    """
    thresholds = plan.thresholds
    odds = max(thresholds.rollback_odds_ratio, thresholds.tolerated_odds_ratio)
    wealths = _log_wealths(local.counts.items(), plan, None, odds)
    totals = totals_by_class(local.counts)
    for (request_class, kind), logs in sorted(wealths.items()):
        if (value := log_mean(logs)) >= accusation_threshold(thresholds, classes):
            return _accusation(request_class, kind, value, totals[request_class])
    return None


def counts_by_process(
    by_origin: Mapping[Origin, Mapping[ClassStage, OutcomeCounts]],
) -> Iterable[ProcessCounts]:
    """Return each process's counts over all its incarnations, so that a restart does not add an accuser."""
    result: dict[str, list[tuple[ClassStage, OutcomeCounts]]] = {}
    for (process, _), counts in by_origin.items():
        result.setdefault(process, []).extend(counts.items())
    return result.values()


def top_factors(
    processes: Iterable[ProcessCounts], plan: RolloutPlan, classes: int, count: int
) -> TopFactors:
    """Return the `count` largest positive logs of single processes' wealth, given each process's counts."""
    result: TopFactors = {}
    if count < 1:
        return result
    for counts in processes:
        wealths = _log_wealths(counts, plan, classes, plan.thresholds.tolerated_odds_ratio)
        for class_fault, logs in wealths.items():
            heaps = result.setdefault(class_fault, [[] for _ in ODDS_RATIOS])
            for heap, log in zip(heaps, logs, strict=True):
                if log > 0:
                    heapq.heappush(heap, log)
                    if len(heap) > count:
                        heapq.heappop(heap)
    return result


def _log_wealths(
    counts: Iterable[tuple[ClassStage, OutcomeCounts]],
    plan: RolloutPlan,
    classes: int | None,
    tolerated_odds: float,
) -> LogWealths:
    """Return the logs of all bets' wealth; unknown stages and classes are left out.

    With `classes` None, all classes are included.
    """
    result: LogWealths = {}
    for (request_class, stage), stage_counts in counts:
        if stage >= len(plan.stages) or (classes is not None and request_class >= classes):
            continue
        control_fraction = plan.stages[stage].control_fraction
        for kind, faults in enumerate(stage_counts.faults[: len(FAULT_KINDS)]):
            if faults[CANDIDATE] or faults[CONTROL]:
                logs = result.setdefault((request_class, kind), [0.0] * len(ODDS_RATIOS))
                for index, log in enumerate(
                    log_wealths(stage_counts, kind, control_fraction, tolerated_odds)
                ):
                    logs[index] += log
    return result


def _sum_of_largest(logs: Sequence[float], count: int) -> float:
    """Return the sum of the `count` largest positive logs."""
    return sum(sorted((log for log in logs if log > 0), reverse=True)[:count])


def _accusation(request_class: int, kind: int, log_wealth: float, counts: OutcomeCounts) -> Accusation:
    faults, trials = counts.faults[kind], counts.trials
    return Accusation(
        request_class,
        FAULT_KINDS[kind],
        log_wealth,
        FaultRate(faults[CANDIDATE], trials[CANDIDATE]),
        FaultRate(faults[CONTROL], trials[CONTROL]),
    )
