"""A rollout's status as the admin port reports it: plain values and one sentence.  Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import UNSET, Struct, UnsetType, field

from cressrock.rollout.counts import FleetCounts
from cressrock.rollout.evidence import CANDIDATE, CONTROL, FAULT_KINDS, OutcomeCounts
from cressrock.rollout.lifecycle import RolloutState
from cressrock.rollout.plan import RolloutPlan
from cressrock.rollout.summaries import FleetSummary

ClassReport = dict[str, list[int]]  # of trials and of each kind of fault: [candidate, control]


class StatusReport(Struct):
    """The response to `GET /v1/rollout`."""

    sentence: str = field(name="words")
    status: str = field(name="state")
    is_current: bool = field(name="counts")  # whether this process applies the decision
    version: int = field(name="number")  # of the decision
    digest: str
    good_digest: str = field(name="good")
    stage: int
    stages: int
    reason: str = field(name="why")
    statistics: dict[str, float] = field(name="figures")
    ended_digests: list[str] = field(name="spent")
    live_digests: list[str] = field(name="held")
    candidate_requests: int = field(name="chosen")
    rollback_reason: str = field(name="back")
    problems: list[str] = field(name="wrong")
    local: dict[str, ClassReport] | UnsetType = field(default=UNSET, name="own")
    fleet: dict[str, ClassReport] | UnsetType = field(default=UNSET, name="all")
    zones: dict[str, dict[str, ClassReport]] | UnsetType = UNSET
    processes: int | UnsetType = UNSET
    rollback_reasons: dict[str, str] | UnsetType = field(default=UNSET, name="backs")
    accusations: list[str] | UnsetType = field(default=UNSET, name="accused")


def class_reports(names: Sequence[str], counts: Mapping[int, OutcomeCounts]) -> dict[str, ClassReport]:
    """Return counts by class name; classes that this process does not know are left out."""
    return {
        names[request_class]: {"trials": one.trials} | dict(zip(FAULT_KINDS, one.faults, strict=False))
        for request_class, one in sorted(counts.items())
        if request_class < len(names)
    }


def fleet_statistics(view: FleetCounts | FleetSummary) -> dict[str, float]:
    """Return the sums over all classes by fault kind, to be stored in the decision.

    Keys with the suffix " b", and "beside", count the control group.
    """
    total = OutcomeCounts.empty()
    for counts in view.totals_by_class().values():
        total.add(counts)
    result = {"trials": float(total.trials[CANDIDATE]), "beside": float(total.trials[CONTROL])}
    for kind, faults in zip(FAULT_KINDS, total.faults, strict=False):
        result[kind], result[f"{kind} b"] = float(faults[CANDIDATE]), float(faults[CONTROL])
    return result


def status_sentence(
    state: RolloutState | None, plan: RolloutPlan | None, is_current: bool, rollback_reason: str
) -> str:
    """Return one sentence for operators that describes the rollout's status."""
    if state is None or not state.rollout_number:
        return "no rollout is known here; the settings' own rules decide"
    good = f"the good rules {state.good_digest}" if state.good_digest else "the settings' own rules"
    number = state.rollout_number
    if not state.running:
        reason = f" ({state.reason})" if state.reason else ""
        return f"rollout {number} of {state.digest} is {state.status}{reason}; {good} decide"
    if not is_current:
        return f"rollout {number}: its decree's hold is over here, so {good} decide"
    if rollback_reason:
        return f"rollout {number}: this process went back alone ({rollback_reason}); {good} decide"
    stages = f" of {len(plan.stages)}" if plan is not None else ""
    return f"rollout {number} of {state.digest} is in stage {state.stage + 1}{stages}, beside {good}"
