"""Rollouts at the size of a fleet: the pure parts, with answers drawn in place of requests served.

Two simulators.  `Fleet` plays a rollout second by second: every process draws trials and bad answers, with
faults beside them (a zone lost, sick processes, bursts, volumes that are always refused), and the leader's
`Pace` and the test decide.  The test is evaluated on arrays, by the bets of `verdict`; where a run is checked
the arrays are put into `FleetCounts` at its end, and `verdict.accusations_from_counts` has to say the same.

`hold_run` plays decrees and cuts over the real readers, to see when a halted candidate is last chosen.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from cressrock.consensus import decisions as d
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.rollout import evidence, lifecycle
from cressrock.rollout.betting import ODDS_RATIOS, accusation_threshold, log_wealths
from cressrock.rollout.counts import FleetCounts
from cressrock.rollout.evidence import FAULT_KINDS, CountsEntry, OutcomeCounts, counts_key
from cressrock.rollout.lifecycle import ROLLOUT_TOPIC, RolloutStatus, end_rollout, start_rollout
from cressrock.rollout.pacing import LeaderFindings, StagePacer
from cressrock.rollout.plan import RolloutPlan, Stage, Thresholds
from cressrock.rollout.read_lease import ReadLease
from cressrock.rollout.selection import eligible_stage, selects_volume
from cressrock.rollout.verdict import accusations_from_counts

REFUSED, FAILED, LEFT, LATE, SLOW = range(len(FAULT_KINDS))
LOST_S = (20, 90)  # how long a zone is lost
SICK_S = (20, 200)
BURST_S = (1, 4)


@dataclass(frozen=True, slots=True)
class Shape:
    """A fleet and what is drawn in it; rates a second, parts of one."""

    processes: int = 230
    zones: int = 3
    rate: float = 20.0  # of each process, over all classes
    classes: tuple[float, ...] = (0.5, 0.2, 0.15, 0.1, 0.05)  # parts of the traffic
    volumes: int = 600
    base: tuple[float, ...] = (0.004, 0.002, 0.002, 0.02, 0.08)  # of each kind of mark, in calm
    faults: bool = True
    tell_s: int = 2  # counts come to the leader so often; a second more on the way


def course(levels: Thresholds | None = None, *, least_s: float = 60.0) -> RolloutPlan:
    """Return the stages of the benchmark: 5 % of the volumes, one zone, all."""
    return RolloutPlan(
        stages=[
            Stage(
                volume_fraction=0.05, control_fraction=0.5, min_duration_ms=least_s * 1000, min_answers=2000
            ),
            Stage(
                volume_fraction=0.3,
                zones=["z0"],
                control_fraction=0.5,
                min_duration_ms=least_s * 1000,
                min_answers=2000,
            ),
            Stage(control_fraction=0.1, min_duration_ms=least_s * 1000, min_answers=2000),
        ],
        thresholds=levels or Thresholds(),
    )


@dataclass(slots=True)
class Played:
    """What came of a rollout."""

    state: str
    why: str
    seconds: int
    trials: int  # requests under either version in the stages, when it ended
    stage: int
    backs: int
    faults: list[str] = field(default_factory=list)


class Fleet:
    """One rollout.  `worse` gives the odds of bad answers under the candidate, by kind, to the good one's."""

    def __init__(
        self,
        shape: Shape,
        plan: RolloutPlan,
        seed: int,
        *,
        worse: dict[int, float] | None = None,
        base: tuple[float, ...] | None = None,
        sick_by_it: int = 0,
        coin: bool = True,
    ) -> None:
        """`sick_by_it`: so many processes fail half of what they decide by the candidate.  `coin`: without it
        each volume has one version for the whole of a stage, as if a hash alone chose.
        """
        self.coin = coin
        self.inside: dict[int, Any] = {}  # which volumes are in a stage's part
        self.shape, self.plan = shape, plan
        self.rng = np.random.default_rng(seed)
        self.draw = random.Random(seed)
        self.state = start_rollout(None, b"candidate %d" % seed)
        self.worse = worse or {}
        self.base = base or shape.base
        p, c = shape.processes, len(shape.classes)
        self.zone = np.arange(p) % shape.zones
        # [stage, process, class, kind, side]; side 0 is the candidate's.
        self.marks = np.zeros((len(plan.stages), p, c, len(FAULT_KINDS), 2))
        self.trials = np.zeros((len(plan.stages), p, c, 2))
        # Some volumes are always refused a part of what they ask: over their limit, for good.
        weights = np.exp(self.rng.normal(0, 1.0, shape.volumes))
        self.weights = weights / weights.sum()
        always = self.rng.random(shape.volumes) < (0.03 if shape.faults else 0.0)
        self.chronic = np.where(always, self.rng.uniform(0.1, 0.6, shape.volumes), 0.0)
        self.names = [f"v{n}" for n in range(shape.volumes)]
        self.faults = self._faults() if shape.faults else []
        by_it = self.rng.choice(p, size=sick_by_it, replace=False)
        self.by_it = np.zeros(p)
        self.by_it[by_it] = 0.5
        self.back = np.zeros(p, dtype=bool)

    def _faults(self) -> list[tuple[str, int, int, Any, float]]:
        """Draw (what, from, to, which processes, added chance of a refusal or failure)."""
        shape, draw, found = self.shape, self.draw, []
        everybody = np.arange(shape.processes)
        for _ in range(draw.randint(0, 2)):
            begin = draw.randrange(0, 200)
            zone = draw.randrange(shape.zones)
            end = begin + draw.randint(*LOST_S)
            found.append((f"zone {zone} lost", begin, end, everybody[self.zone == zone], 0.7))
        for _ in range(draw.randint(0, 6)):
            begin = draw.randrange(0, 240)
            one = np.array([draw.randrange(shape.processes)])
            end, added = begin + draw.randint(*SICK_S), draw.uniform(0.1, 0.95)
            found.append(("a sick process", begin, end, one, added))
        for _ in range(draw.randint(0, 12)):
            begin = draw.randrange(0, 260)
            some = everybody[self.rng.random(shape.processes) < draw.uniform(0.05, 1)]
            found.append(("a burst", begin, begin + draw.randint(*BURST_S), some, draw.uniform(0.2, 1)))
        return found

    def _second(self, now: int) -> None:
        """Draw a second's trials and their ends."""
        shape, stage, index = self.shape, self.plan.stages[self.state.stage], self.state.stage
        if index not in self.inside:
            drawn = [selects_volume(self.state.digest, name, stage.volume_fraction) for name in self.names]
            self.inside[index] = np.array(drawn)
        inside = self.inside[index]
        part = float(self.weights[inside].sum())
        chronic = float((self.weights * self.chronic)[inside].sum() / part) if part else 0.0
        here = np.ones(shape.processes, dtype=bool)
        if stage.zones is not None:
            here = np.isin(self.zone, [int(z[1:]) for z in stage.zones])
        here &= ~self.back
        mean = shape.rate * part * np.outer(here, np.array(shape.classes))
        came = self.rng.poisson(mean)
        tried = self.rng.binomial(came, 1 - stage.control_fraction)
        chance = np.zeros((shape.processes, len(FAULT_KINDS))) + np.array(self.base)
        chance[:, REFUSED] += chronic
        for _, begin, end, which, added in self.faults:
            if begin <= now < end:
                # In a fault most is refused or fails, all of a moment's together or none.
                together = added * self.rng.integers(0, 2, size=len(which)) * 2
                chance[which, REFUSED] += 0.6 * np.minimum(together, 1)
                chance[which, FAILED] += 0.3 * np.minimum(together, 1)
                chance[which, SLOW] += 0.5 * np.minimum(together, 1)
        chance = np.clip(chance, 0, 0.999)
        for side, count in ((0, tried), (1, came - tried)):
            mine = chance.copy()
            if not self.coin:
                mine[:, REFUSED] = np.clip(mine[:, REFUSED] + self._chronic(inside, side) - chronic, 0, 0.999)
            if side == 0:
                for kind, odds in self.worse.items():
                    mine[:, kind] = odds * mine[:, kind] / (odds * mine[:, kind] + 1 - mine[:, kind])
                mine[:, FAILED] = np.maximum(mine[:, FAILED], self.by_it)
            self.trials[index, :, :, side] += count
            for kind in range(len(FAULT_KINDS)):
                self.marks[index, :, :, kind, side] += self.rng.binomial(count, mine[:, kind : kind + 1])

    def _chronic(self, inside: Any, side: int) -> float:
        """Return the part that is always refused of those volumes that have one side's version."""
        name_of = self.state.digest + "half"
        half = np.array([selects_volume(name_of, name, 0.5) == (side == 0) for name in self.names])
        weights = self.weights * (inside & half)
        return float((weights * self.chronic).sum() / max(weights.sum(), 1e-12))

    def judged(self, marks: Any) -> list[tuple[int, int]]:
        """Return (class, kind) of what the candidate is accused of: `accusations_from_counts` on arrays."""
        levels, classes = self.plan.thresholds, len(self.shape.classes)
        wanted = accusation_threshold(levels, classes)
        logs = np.zeros((*marks.shape[1:4], len(ODDS_RATIOS)))
        for index, stage in enumerate(self.plan.stages[: self.state.stage + 1]):
            one = log_wealths(_unit(0), 0, stage.control_fraction, levels.tolerated_odds_ratio)
            other = log_wealths(_unit(1), 0, stage.control_fraction, levels.tolerated_odds_ratio)
            logs += marks[index, ..., 0:1] * np.array(one) + marks[index, ..., 1:2] * np.array(other)
        greatest = np.sort(np.maximum(logs, 0), axis=0)[len(logs) - levels.min_accusers + 1 :]
        wealth = logs.sum(axis=0) - greatest.sum(axis=0)  # [class, kind, odds]
        high = wealth.max(axis=-1)
        mixed = high + np.log(np.exp(wealth - high[..., None]).mean(axis=-1))
        return [(int(c), int(k)) for c, k in np.argwhere(mixed >= wanted)]

    def _far_worse(self) -> None:
        """Let processes go back alone, by `local_accusation` on arrays."""
        levels, classes = self.plan.thresholds, len(self.shape.classes)
        logs = np.zeros((*self.marks.shape[1:4], len(ODDS_RATIOS)))
        far = max(levels.rollback_odds_ratio, levels.tolerated_odds_ratio)
        for index, stage in enumerate(self.plan.stages[: self.state.stage + 1]):
            one, other = (log_wealths(_unit(side), 0, stage.control_fraction, far) for side in (0, 1))
            logs += self.marks[index, ..., 0:1] * np.array(one)
            logs += self.marks[index, ..., 1:2] * np.array(other)
        high = logs.max(axis=-1)
        mixed = high + np.log(np.exp(logs - high[..., None]).mean(axis=-1))
        self.back |= (mixed >= accusation_threshold(levels, classes)).any(axis=(1, 2))

    def heard(self, marks: Any, trials: Any) -> FleetCounts:
        """Return the arrays as what a leader would have heard."""
        heard, digest = FleetCounts(self.state.digest), bytes.fromhex(self.state.digest)
        for index, p, cls in np.argwhere(trials.sum(axis=-1) > 0):
            tally = OutcomeCounts(
                [int(n) for n in trials[index, p, cls]],
                [[int(n) for n in kind] for kind in marks[index, p, cls]],
            )
            heard.merge(
                (f"e{p}", 1), counts_key(int(cls), int(index)), evidence.encode(CountsEntry(digest, tally))
            )
        return heard

    def play(self, most_s: int = 3600, *, check: bool = False) -> Played:
        """Play to the rollout's end.  Raises AssertionError where the arrays and the pure test differ."""
        pace, number = StagePacer(), 1
        marks, trials = self.marks.copy(), self.trials.copy()
        for now in range(most_s):
            self._second(now)
            if now % self.shape.tell_s == 0:
                self._far_worse()
                marks, trials = self.marks.copy(), self.trials.copy()
                accused = self.judged(marks)
            figures: dict[str, float] = {}
            answered = int(trials[self.state.stage, ..., 0].sum())
            names = [f"c{c}" for c in range(len(self.shape.classes))]
            why = f"{names[accused[0][0]]}: {FAULT_KINDS[accused[0][1]]}" if accused else ""
            found = LeaderFindings(answered, why, int(self.back.sum()), figures)
            wanted = pace.next_state(now * 1000.0, number, self.state, self.plan, found)
            if wanted is not None:
                self.state, number = wanted, number + 1
                if not self.state.running:
                    break
        if check:
            pure = accusations_from_counts(self.heard(marks, trials), self.plan, len(self.shape.classes))
            assert sorted((a.request_class, FAULT_KINDS.index(a.fault_kind)) for a in pure) == sorted(accused)
        return Played(
            self.state.status,
            self.state.reason,
            now + 1,
            int(self.trials.sum()),
            self.state.stage,
            int(self.back.sum()),
            [f"{what} at {begin}" for what, begin, *_ in self.faults],
        )


def _unit(side: int) -> OutcomeCounts:
    """Return counts with one mark of the first kind on one side."""
    tally = OutcomeCounts.empty()
    tally.faults[0][side] = 1
    return tally


# --- holds


@dataclass(frozen=True, slots=True)
class HoldRun:
    """What came of one.  `after_ms`: how long after the halting decree a process last chose the candidate."""

    after_ms: float
    chosen: int
    cut: int  # processes that were cut off at the halt


def hold_run(
    seed: int, *, processes: int = 230, hold_ms: float = 10000.0, renew_ms: float = 1000.0, reads: bool = True
) -> HoldRun:
    """Play a rollout that is halted while groups of processes are cut off, over the real readers.

    Beats are gossiped: each reaches each process of the leader's side after up to a second and a half; what
    a cut holds back comes when it heals; old copies are heard again.  `reads`: processes count on their own
    reads (`ReadLease`); without, on what is told alone.  Clocks run apart by up to a thousandth.
    """
    draw = random.Random(seed)
    state = start_rollout(None, b"bad")
    plan = RolloutPlan(stages=[Stage()])
    readers = [DecisionReader() for _ in range(processes)]
    sure = [ReadLease() for _ in range(processes)]
    drift = [draw.uniform(0.999, 1.001) for _ in range(processes)]
    halt_at = draw.uniform(8000, 20000)
    cut_at = halt_at - draw.uniform(0, 5000)
    heal_at = halt_at + draw.uniform(5000, 30000)
    group = [draw.choice((0, 0, 1, 2)) for _ in range(processes)]  # 0 is with the leader
    events: list[tuple[float, int, int, d.Decision | float]] = []
    count, beat, end = 0, 0, 60000.0

    def at(when: float, who: int, what: d.Decision | float) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (when, count, who, what))

    def cut(who: int, when: float) -> bool:
        return group[who] != 0 and cut_at <= when < heal_at

    now = 0.0
    while now < end:
        beat += 1
        over = now >= halt_at
        value = lifecycle.encode(end_rollout(state, RolloutStatus.HALTED, "worse", {}) if over else state)
        decree = d.Decision(ROLLOUT_TOPIC, 2 if over else 1, value, hold_ms, "", beat)
        for who in range(processes):
            when = now + draw.uniform(1, 1500)
            at(heal_at + draw.uniform(0, 2000) if cut(who, when) else when, who, decree)
            if draw.random() < 0.1:
                again = now + draw.uniform(0, 40000)
                if not cut(who, again):
                    at(again, who, decree)
        now += renew_ms
    for who in range(processes):
        when = draw.uniform(0, 1000)
        while when < end:
            at(when, who, when)  # a read that begins
            when += hold_ms / 3 * draw.uniform(1, 1.2)
    after, chosen, now = -math.inf, 0, 0.0
    while now < end:
        while events and events[0][0] <= now:
            when, _, who, what = heapq.heappop(events)
            if isinstance(what, d.Decision):
                readers[who].receive(what, when * drift[who])
            elif not cut(who, what) and not cut(who, what + 500):
                # Its answer stood at some moment between its beginning and its end; the worst is the former.
                sure[who].record_read(2 if what >= halt_at else 1, what * drift[who], hold_ms)
        for who, reader in enumerate(readers):
            mine = now * drift[who]
            found = reader.get(ROLLOUT_TOPIC, mine)
            if not isinstance(found, d.Decision) or (reads and not sure[who].is_valid(found.version, mine)):
                continue
            if eligible_stage(lifecycle.decode(found.value), plan, "v", "") is not None:
                chosen += 1
                after = max(after, now - halt_at)
        now += 100.0
    return HoldRun(after, chosen, sum(1 for g in group if g))
