"""Whether a candidate answers worse than the good version: a test that may be looked at always.  Pure.

What is tested.  Each trial's version was drawn by a coin of known bias q when the request came.  If the
candidate changes nothing, the outcome of a request is what it would have been under the other version too; so
of every bad answer, whatever its cause and whatever other answers went bad with it, the chance that the coin
gave it to the candidate is q, for itself.  A lost zone, one sick process, a burst of refusals or a volume
that is always over its limit give both versions their share: they are no evidence (Fisher's randomization,
The Design of Experiments, 1935; the finest strata that there can be).

How.  For odds ratios o > 1 a bet on "of a bad answer the candidate has odds o times its share" multiplies a
wealth by (p/q) for one of the candidate's and by ((1 - p) / (1 - q)) for one of the good version's, p = oq /
(oq + 1 - q).  Under the null that wealth is a nonnegative martingale that starts at one, for any order and
grouping of the answers, so by Ville's inequality it ever reaches 1/a with chance at most a, however often one
looks (Wald 1945; Robbins 1970; Johari et al.  2017 on looking always; Grunwald, de Heide, Koolen 2019 on
e-values; Ramdas et al.  2023 on testing by betting).  The mean of the bets over a few o is one again
(Robbins's mixture), and of many classes and kinds of marks each gets an even part of the error (Bonferroni).

`tolerate` moves the null: odds up to it are harmless, and the wealth only falls under them on average.  It is
not a margin for chance but for what nobody would halt a rollout for.

`accusers`.  The wealth is a product over processes; the greatest factors, one fewer than the accusers that
are wanted, are left out, for each bet by itself.  Without them it is never more than the product over all,
nor more than that over all but any given few, so the error level holds whatever befalls these.  One process
that fares badly under the candidate, for a reason of its own, halts nothing: it goes back alone
(`far_worse`).
"""

from __future__ import annotations

import heapq
import math
import struct
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

from cressrock.errors.rollout import RolloutError
from cressrock.rollout.evidence import (
    FAULT_KINDS,
    GONE,
    MAX_TOP_FACTORS,
    MOST_WHY,
    ROLLBACK_KEY,
    SEEN,
    SUMS,
    FleetCounts,
    LocalCounts,
    Origin,
    OutcomeCounts,
    ZoneRollbacks,
    ZoneSummary,
    by_class,
    encode,
    read_gone,
    read_row,
)
from cressrock.rollout.lifecycle import RolloutPlan, Thresholds

ODDS_RATIOS = (1.5, 2.0, 3.0, 6.0)  # a slight rise to one that anybody would see; others lie between them


def log_wealths(tally: OutcomeCounts, kind: int, share: float, tolerate: float) -> list[float]:
    """Return the log of each bet's wealth by one kind of mark; `share`: the good version's of the trials."""
    candidate, good = tally.faults[kind]
    return [candidate * won + good * lost for won, lost in _steps(share, tolerate)]


@lru_cache(maxsize=64)
def _steps(share: float, tolerate: float) -> list[tuple[float, float]]:
    """Return what one mark of the candidate's, and one of the good version's, add to each bet's log."""
    null = _odds(1 - share, tolerate)
    chances = [_odds(1 - share, tolerate * odds) for odds in ODDS_RATIOS]
    return [(math.log(p / null), math.log((1 - p) / (1 - null))) for p in chances]


def _odds(chance: float, odds: float) -> float:
    """Return a chance whose odds were multiplied."""
    return odds * chance / (odds * chance + 1 - chance)


def log_mean(logs: Iterable[float]) -> float:
    """Return the log of the mean of wealths that are given by their logs."""
    values = list(logs)
    most = max(values)
    return most + math.log(sum(math.exp(v - most) for v in values) / len(values))


def accusation_threshold(levels: Thresholds, classes: int) -> float:
    """Return the log of the wealth that accuses, for one class and kind of mark."""
    return math.log(classes * len(FAULT_KINDS) / levels.false_halt_probability)


@dataclass(frozen=True, slots=True)
class Accusation:
    """A class whose answers are worse by one kind of mark, and how surely: the log of the wealth."""

    request_class: int
    fault_kind: str
    log_wealth: float
    candidate: tuple[int, int]  # marks, trials
    good: tuple[int, int]

    def describe(self, names: list[str]) -> str:
        """Say it in plain words."""
        (bad, of), (other, others) = self.candidate, self.good
        return (
            f"class {names[self.request_class]}: {self.fault_kind} {bad} of {of} under the candidate, "
            f"{other} of {others} beside it"
        )


Place = tuple[int, int]  # class and kind of mark


class CountsView(Protocol):
    """What the test asks of the counts."""

    totals: dict[tuple[int, int], OutcomeCounts]  # by class and stage, over all processes

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""

    def top_factors(self, course: RolloutPlan, classes: int, count: int) -> dict[Place, list[list[float]]]:
        """Return the greatest logs of single processes' wealth, by class and kind, for each of `ODDS`."""


def accusations_from_counts(heard: FleetCounts, course: RolloutPlan, classes: int) -> list[Accusation]:
    """Return what the candidate is accused of by all processes' counts; see `weigh`."""
    return accusations(_Told(heard), course, classes)


def accusations(view: CountsView, course: RolloutPlan, classes: int) -> list[Accusation]:
    """Return what the candidate is accused of, the surest first; empty: nothing."""
    levels = course.thresholds
    wanted = accusation_threshold(levels, classes)
    # With factors left out it is never more: where all of it is too little no process has to be looked at.
    whole: dict[tuple[int, int], list[float]] = {}
    for (cls, stage), tally in view.totals.items():
        if stage < len(course.stages) and cls < classes:
            _gather(whole, cls, tally, course.stages[stage].control_fraction, levels.tolerated_odds_ratio)
    if all(log_mean(logs) < wanted for logs in whole.values()):
        return []
    without = levels.min_accusers - 1
    tops = view.top_factors(course, classes, without)
    total = view.totals_by_class()
    found = []
    for place, logs in whole.items():
        cls, kind = place
        greatest = tops.get(place) or [[] for _ in ODDS_RATIOS]
        value = log_mean(log - _greatest(top, without) for log, top in zip(logs, greatest, strict=True))
        if value >= wanted:
            found.append(_accusation(cls, kind, value, total[cls]))
    return sorted(found, key=lambda a: (-a.log_wealth, a.request_class, a.fault_kind))


def _greatest(tops: Sequence[float], count: int) -> float:
    """Return what the greatest `count` of those that accuse come to."""
    return sum(sorted((top for top in tops if top > 0), reverse=True)[:count])


def _tops(
    processes: Iterable[Sequence[tuple[tuple[int, int], OutcomeCounts]]],
    course: RolloutPlan,
    classes: int,
    count: int,
) -> dict[Place, list[list[float]]]:
    """Return the greatest logs of single processes, each given by all that it counted."""
    found: dict[Place, list[list[float]]] = {}
    if count < 1:
        return found
    for counts in processes:
        mine: dict[Place, list[float]] = {}
        for (cls, stage), tally in counts:
            if stage < len(course.stages) and cls < classes:
                _gather(
                    mine,
                    cls,
                    tally,
                    course.stages[stage].control_fraction,
                    course.thresholds.tolerated_odds_ratio,
                )
        for place, logs in mine.items():
            held = found.setdefault(place, [[] for _ in ODDS_RATIOS])
            for index, log in enumerate(logs):
                if log > 0:
                    heapq.heappush(held[index], log)
                    if len(held[index]) > count:
                        heapq.heappop(held[index])
    return found


def _by_process(
    lives: Iterable[tuple[Origin, dict[tuple[int, int], OutcomeCounts]]],
) -> Iterable[list[tuple[tuple[int, int], OutcomeCounts]]]:
    """Return each process's counts, its lives together: a process that restarts is one witness still."""
    found: dict[str, list[tuple[tuple[int, int], OutcomeCounts]]] = {}
    for (name, _), tallies in lives:
        found.setdefault(name, []).extend(tallies.items())
    return found.values()


class _Told:
    """The view of a process that hears all counts."""

    def __init__(self, heard: FleetCounts) -> None:
        self.heard, self.totals, self.totals_by_class = heard, heard.totals, heard.totals_by_class

    def top_factors(self, course: RolloutPlan, classes: int, count: int) -> dict[Place, list[list[float]]]:
        """Return the greatest logs of single processes."""
        lives = ((origin, life.tallies) for origin, life in self.heard.lives.items())
        return _tops(_by_process(lives), course, classes, count)


# --- sums by zone


class ZoneSummarizer:
    """A collector's sums of counts (`collect.collector.Fold`); what a life that is gone has told is kept."""

    def __init__(self) -> None:
        """Follow no candidate yet; what is told already is kept for when one is."""
        self.heard: FleetCounts | None = None
        self.course: RolloutPlan | None = None
        self.classes = 0
        self.refused = 0
        self._raw: dict[Origin, dict[str, bytes]] = {}
        self._zone_of: dict[str, str] = {}

    def follow(self, digest: str, course: RolloutPlan | None, classes: int) -> None:
        """Count for this candidate from now on; "" for none."""
        if (self.heard.digest if self.heard is not None else "") == digest:
            return
        self.heard = FleetCounts(digest) if digest else None
        self.course, self.classes = course, classes
        self._zone_of.clear()
        for origin, entries in sorted(self._raw.items()):
            for key, value in sorted(entries.items()):
                self._count(origin, key, value)

    def _count(self, origin: Origin, key: str, value: bytes) -> bool:
        if self.heard is None:
            return False
        try:
            return self.heard.merge(origin, key, value)
        except RolloutError:
            self.refused += 1
            return False

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry; of others' keys nothing."""
        if not (key.startswith(SEEN) or key == ROLLBACK_KEY):
            return False
        mine = self._raw.setdefault(origin, {})
        if value is None:
            return mine.pop(key, None) is not None
        mine[key] = value
        return self._count(origin, key, value)

    def forget(self, origin: Origin) -> None:
        """Forget what a life tells now; what it has told counts on."""
        self._raw.pop(origin, None)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return a zone's sums by key."""
        heard, course = self.heard, self.course
        if heard is None or course is None:
            return {}
        for name, _ in sorted(origins):
            self._zone_of[name] = zone
        lives = [
            (origin, life.tallies)
            for origin, life in heard.lives.items()
            if self._zone_of.get(origin[0]) == zone
        ]
        backs = {n: why for n, why in sorted(heard.rollback_reasons.items()) if self._zone_of.get(n) == zone}
        if not lives and not backs:
            return {}
        digest = bytes.fromhex(heard.digest)
        few = dict(list(backs.items())[:MOST_WHY])
        found = {GONE: encode(ZoneRollbacks(digest, len({o[0] for o, _ in lives}), len(backs), few))}
        sums: dict[int, dict[int, OutcomeCounts]] = {}
        for _, tallies in lives:
            for (cls, stage), tally in tallies.items():
                sums.setdefault(cls, {}).setdefault(stage, OutcomeCounts.empty()).add(tally)
        count = min(MAX_TOP_FACTORS, course.thresholds.min_accusers - 1)
        tops = _tops(_by_process(lives), course, self.classes, count)
        for cls, stages in sorted(sums.items()):
            kinds = [
                [_pack(sorted(top, reverse=True)) for top in tops.get((cls, kind), [[] for _ in ODDS_RATIOS])]
                for kind in range(len(FAULT_KINDS))
            ]
            found[f"{SUMS}{cls}"] = encode(ZoneSummary(digest, sorted(stages.items()), kinds))
        return found

    def broadcast(self, parts: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return that nothing is wanted of anybody."""
        return False, b""


def _pack(values: Sequence[float]) -> bytes:
    return struct.pack(f"<{len(values)}f", *values)


def _unpack(data: bytes) -> list[float]:
    return list(struct.unpack(f"<{len(data) // 4}f", data[: len(data) // 4 * 4]))


def keep_fullest(
    held: dict[str, dict[str, bytes]], parts: Mapping[str, Mapping[str, bytes]], digest: str
) -> None:
    """Keep of each zone's rows the fullest that was heard: counts only grow, so that is the newest.

    Danger: with a collector's death a zone's rows are away for a moment, or are fewer after.  Looked at again
    and again over now these zones and now those, the test would have more chances than it reckons with.
    """
    wanted = bytes.fromhex(digest)
    for zone, rows in sorted(parts.items()):
        mine = held.setdefault(zone, {})
        for key, value in sorted(rows.items()):
            size = _size(key, value, wanted)
            if size is not None and (key not in mine or size >= (_size(key, mine[key], wanted) or (0, 0))):
                mine[key] = value


def _size(key: str, value: bytes, digest: bytes) -> tuple[int, int] | None:
    """Return how full a row of this candidate is; None for any other."""
    try:
        if key == GONE:
            gone = read_gone(value)
            return (gone.processes, gone.backs) if gone.digest == digest else None
        if not (key.startswith(SUMS) and key[len(SUMS) :].isdecimal()):
            return None
        row = read_row(value)
    except RolloutError:
        return None
    return (sum(sum(t.trials) for _, t in row.stages), 0) if row.digest == digest else None


class FleetSummary:
    """The view of a seat that has collectors' sums; rows of other candidates, or unreadable, do not count."""

    def __init__(self, digest: str, parts: Mapping[str, Mapping[str, bytes]]) -> None:
        """`parts`: rows' bytes by zone and key."""
        wanted = bytes.fromhex(digest)
        self.totals: dict[tuple[int, int], OutcomeCounts] = {}
        self.zones: dict[str, dict[int, OutcomeCounts]] = {}
        self.rollback_reasons: dict[str, str] = {}  # some of those who went back, and why
        self._backs = self._processes = self.refused = 0
        self._tops: dict[Place, list[list[list[float]]]] = {}  # by odds, of each zone
        for zone, rows in sorted(parts.items()):
            for key, value in sorted(rows.items()):
                try:
                    if key == GONE:
                        gone = read_gone(value)
                        if gone.digest == wanted:
                            self._backs += gone.backs
                            self._processes += gone.processes
                            self.rollback_reasons |= gone.why
                    elif key.startswith(SUMS) and key[len(SUMS) :].isdecimal():
                        row = read_row(value)
                        if row.digest == wanted:
                            self._add(zone, int(key[len(SUMS) :]), row)
                except RolloutError:
                    self.refused += 1

    def _add(self, zone: str, cls: int, row: ZoneSummary) -> None:
        mine = self.zones.setdefault(zone, {}).setdefault(cls, OutcomeCounts.empty())
        for stage, tally in row.stages:
            mine.add(tally)
            self.totals.setdefault((cls, stage), OutcomeCounts.empty()).add(tally)
        for kind, odds in enumerate(row.tops[: len(FAULT_KINDS)]):
            held = self._tops.setdefault((cls, kind), [[] for _ in ODDS_RATIOS])
            for index, data in enumerate(odds[: len(ODDS_RATIOS)]):
                held[index].append(_unpack(data))

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""
        return by_class(self.totals)

    def candidate_trials(self, stage: int) -> int:
        """Return the trials under the candidate in a stage."""
        return sum(tally.trials[0] for (_, at), tally in self.totals.items() if at == stage)

    def rollback_count(self) -> int:
        """Return how many processes went back alone."""
        return self._backs

    def process_count(self) -> int:
        """Return how many processes these sums are of."""
        return self._processes

    def top_factors(self, course: RolloutPlan, classes: int, count: int) -> dict[Place, list[list[float]]]:
        """Return the greatest logs of single processes, of all zones together.

        Where a zone has told as many as a row holds, further ones may be as great as the smallest of these:
        so many are assumed, which can only leave less of the wealth.
        """
        found: dict[Place, list[list[float]]] = {}
        for place, odds in self._tops.items():
            mine = found[place] = [[] for _ in odds]
            for index, zones in enumerate(odds):
                for tops in zones:
                    more = count - MAX_TOP_FACTORS if len(tops) >= MAX_TOP_FACTORS else 0
                    mine[index] += tops + tops[-1:] * max(0, more)
        return found


def _gather(
    into: dict[tuple[int, int], list[float]], cls: int, tally: OutcomeCounts, beside: float, tolerate: float
) -> None:
    for kind, mark in enumerate(tally.faults[: len(FAULT_KINDS)]):
        if mark[0] or mark[1]:
            held = into.setdefault((cls, kind), [0.0] * len(ODDS_RATIOS))
            for index, log in enumerate(log_wealths(tally, kind, beside, tolerate)):
                held[index] += log


def _accusation(cls: int, kind: int, wealth: float, tally: OutcomeCounts) -> Accusation:
    bad, other = tally.faults[kind]
    return Accusation(cls, FAULT_KINDS[kind], wealth, (bad, tally.trials[0]), (other, tally.trials[1]))


def local_accusation(own: LocalCounts, course: RolloutPlan, classes: int) -> Accusation | None:
    """Return why this process alone goes back: the same test, of its own answers, beyond far greater odds."""
    levels = course.thresholds
    wealth: dict[tuple[int, int], list[float]] = {}
    for (cls, stage), tally in own.counts.items():
        if stage < len(course.stages):
            _gather(
                wealth,
                cls,
                tally,
                course.stages[stage].control_fraction,
                max(levels.rollback_odds_ratio, levels.tolerated_odds_ratio),
            )
    sums = by_class(own.counts)
    for (cls, kind), logs in sorted(wealth.items()):
        if (value := log_mean(logs)) >= accusation_threshold(levels, classes):
            return _accusation(cls, kind, value, sums[cls])
    return None
