"""What a candidate is accused of, by all processes' counts or by one process's own.  Pure.

The test is `betting`'s: a class's wealth is the product over all processes.  The greatest factors, one fewer
than the accusers that are wanted, are left out, for each bet by itself.  Without them the wealth is never
more than the product over all, nor more than that over all but any given few, so the error level holds
whatever befalls these.  One process that fares badly under the candidate, for a reason of its own, halts
nothing: it rolls back by itself (`local_accusation`).
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

ClassFault = tuple[int, int]  # class and kind of fault that a test is of
LogWealths = dict[ClassFault, list[float]]  # for each of ODDS_RATIOS
TopFactors = dict[ClassFault, list[list[float]]]  # greatest logs of single processes, for each of ODDS_RATIOS
ProcessCounts = Sequence[tuple[ClassStage, OutcomeCounts]]  # of one process, over all its incarnations


class FaultRate(NamedTuple):
    """Faults among trials."""

    faults: int
    trials: int


@dataclass(frozen=True, slots=True)
class Accusation:
    """A class whose answers are worse by one kind of fault, and how surely."""

    request_class: int
    fault_kind: str
    log_wealth: float
    candidate: FaultRate
    good: FaultRate

    def describe(self, class_names: Sequence[str]) -> str:
        """Say it in plain words."""
        return (
            f"class {class_names[self.request_class]}: {self.fault_kind} "
            f"{self.candidate.faults} of {self.candidate.trials} under the candidate, "
            f"{self.good.faults} of {self.good.trials} beside it"
        )


class CountsView(Protocol):
    """What the test asks of all processes' counts."""

    totals: dict[ClassStage, OutcomeCounts]

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""

    def top_factors(self, plan: RolloutPlan, classes: int, count: int) -> TopFactors:
        """Return the greatest logs of single processes' wealth, at least `count` of each."""


class _ReceivedCounts:
    """The view of a process that receives all counts itself."""

    def __init__(self, counts: FleetCounts) -> None:
        self._counts = counts
        self.totals, self.totals_by_class = counts.totals, counts.totals_by_class

    def top_factors(self, plan: RolloutPlan, classes: int, count: int) -> TopFactors:
        """Return the greatest logs of single processes."""
        return top_factors(counts_by_process(self._counts.by_origin), plan, classes, count)


def accusations_from_counts(counts: FleetCounts, plan: RolloutPlan, classes: int) -> list[Accusation]:
    """Return what the candidate is accused of by all processes' counts; see `accusations`."""
    return accusations(_ReceivedCounts(counts), plan, classes)


def accusations(view: CountsView, plan: RolloutPlan, classes: int) -> list[Accusation]:
    """Return what the candidate is accused of, the surest first; empty: nothing."""
    thresholds = plan.thresholds
    threshold = accusation_threshold(thresholds, classes)
    # With factors left out it is never more: where all of it is too little no process has to be looked at.
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
        value = log_mean(log - _sum_of_greatest(top, left_out) for log, top in zip(logs, tops, strict=True))
        if value >= threshold:
            result.append(_accusation(request_class, kind, value, totals[request_class]))
    return sorted(result, key=lambda one: (-one.log_wealth, one.request_class, one.fault_kind))


def local_accusation(local: LocalCounts, plan: RolloutPlan, classes: int) -> Accusation | None:
    """Return why this process alone rolls back: the same test, of its own answers, beyond greater odds."""
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
    """Return each process's counts, its incarnations together: one that restarts is one witness still."""
    result: dict[str, list[tuple[ClassStage, OutcomeCounts]]] = {}
    for (process, _), counts in by_origin.items():
        result.setdefault(process, []).extend(counts.items())
    return result.values()


def top_factors(
    processes: Iterable[ProcessCounts], plan: RolloutPlan, classes: int, count: int
) -> TopFactors:
    """Return the `count` greatest logs of single processes, each given by all that it counted."""
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
    """Return the logs of all bets' wealth; stages and classes that are not known here are left out."""
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


def _sum_of_greatest(logs: Sequence[float], count: int) -> float:
    """Return what the greatest `count` of those that accuse come to."""
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
