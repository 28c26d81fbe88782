"""A sequential test by betting: how strongly faults speak against a candidate, at any time.  Pure.

What is tested.  Each trial's version was drawn by a coin of known bias q when the request came.  If the
candidate changes nothing, the outcome of a request is what it would have been under the other version too; so
of every bad answer, whatever its cause and whatever other answers went bad with it, the chance that the coin
gave it to the candidate is q, for itself.  A lost zone, one sick process, a burst of rejections or a volume
that is always over its limit give both versions their share: they are no evidence (Fisher's randomization,
The Design of Experiments, 1935; the finest strata that there can be).

How.  For odds ratios o > 1 a bet on "of a bad answer the candidate has odds o times its share" multiplies a
wealth by (p/q) for one of the candidate's and by ((1 - p) / (1 - q)) for one of the good version's, p = oq /
(oq + 1 - q).  Under the null that wealth is a nonnegative martingale that starts at one, for any order and
grouping of the answers, so by Ville's inequality it ever reaches 1/a with chance at most a, however often one
looks (Wald 1945; Robbins 1970; Johari et al.  2017 on looking always; Grunwald, de Heide, Koolen 2019 on
e-values; Ramdas et al.  2023 on testing by betting).  The mean of the bets over a few o is one again
(Robbins's mixture), and of many classes and kinds of faults each gets an even part of the error (Bonferroni).

The tolerated odds ratio moves the null: odds up to it are harmless, and the wealth only falls under them on
average.  It is not a margin for chance but for what nobody would halt a rollout for.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from cressrock.rollout.evidence import CANDIDATE, CONTROL, FAULT_KINDS, OutcomeCounts
from cressrock.rollout.plan import Thresholds

ODDS_RATIOS = (1.5, 2.0, 3.0, 6.0)  # a slight rise to one that anybody would see; others lie between them


class _LogSteps(NamedTuple):
    """What one fault on either side adds to the log of a bet's wealth."""

    candidate: float
    control: float


def log_wealths(
    counts: OutcomeCounts, kind: int, control_fraction: float, tolerated_odds: float
) -> list[float]:
    """Return the log of each bet's wealth by one kind of fault, in the order of `ODDS_RATIOS`."""
    faults = counts.faults[kind]
    candidate, control = faults[CANDIDATE], faults[CONTROL]
    return [candidate * won + control * lost for won, lost in _log_steps(control_fraction, tolerated_odds)]


@lru_cache(maxsize=64)
def _log_steps(control_fraction: float, tolerated_odds: float) -> list[_LogSteps]:
    null = _multiply_odds(1 - control_fraction, tolerated_odds)
    chances = [_multiply_odds(1 - control_fraction, tolerated_odds * ratio) for ratio in ODDS_RATIOS]
    return [_LogSteps(math.log(p / null), math.log((1 - p) / (1 - null))) for p in chances]


def _multiply_odds(chance: float, ratio: float) -> float:
    return ratio * chance / (ratio * chance + 1 - chance)


def log_mean(logs: Iterable[float]) -> float:
    """Return the log of the mean of wealths that are given by their logs."""
    values = list(logs)
    greatest = max(values)
    return greatest + math.log(sum(math.exp(value - greatest) for value in values) / len(values))


def accusation_threshold(thresholds: Thresholds, class_count: int) -> float:
    """Return the log of the wealth that accuses, for one class and kind of fault."""
    return math.log(class_count * len(FAULT_KINDS) / thresholds.false_halt_probability)
