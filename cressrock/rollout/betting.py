"""An anytime-valid sequential test by betting: whether a candidate causes more faults.  Pure.

Null hypothesis.  Each trial is assigned to the candidate at random, with known probability q, when the
request arrives.  If the candidate changes nothing, a request has the same outcome under either version.  So
every bad answer is the candidate's with probability q, independently of its cause and of other bad answers.
A lost zone, one unhealthy process, a burst of rejections or a volume that is always over its limit affect
both versions in proportion and are no evidence (Fisher's randomization test, The Design of Experiments, 1935,
with each trial as its own stratum).

Test.  For an odds ratio o > 1, a bet that a bad answer is the candidate's with odds o times those of the
assignment multiplies its wealth by (p/q) for a fault of the candidate and by ((1 - p) / (1 - q)) for one of
the good version, p = oq / (oq + 1 - q).  Under the null the wealth is a nonnegative martingale that starts at
one, for any order and grouping of the answers.  By Ville's inequality the probability that it ever reaches
1/a is at most a, however often it is evaluated (Wald 1945; Robbins 1970; Johari et al.  2017 on continuous
monitoring; Grunwald, de Heide, Koolen 2019 on e-values; Ramdas et al.  2023 on testing by betting).  The mean
of the bets over several o has the same property (Robbins's mixture).  The error probability is split evenly
between all classes and kinds of fault (Bonferroni).

The tolerated odds ratio shifts the null: at odds up to it the expected wealth does not grow.  It allows for a
difference too small to halt a rollout, not for random variation.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from cressrock.rollout.evidence import CANDIDATE, CONTROL, FAULT_KINDS, OutcomeCounts
from cressrock.rollout.plan import Thresholds

ODDS_RATIOS = (
    1.5,
    2.0,
    3.0,
    6.0,
)  # from a slight increase to an obvious one; the mixture also covers values between


class _LogIncrements(NamedTuple):
    """What one fault of the candidate, or of the good version, adds to the log of a bet's wealth."""

    candidate: float
    control: float


def log_wealths(
    counts: OutcomeCounts, kind: int, control_fraction: float, tolerated_odds: float
) -> list[float]:
    """Return the log of each bet's wealth for one kind of fault, in the order of `ODDS_RATIOS`.

    `kind` is an index into `FAULT_KINDS`; `control_fraction` is 1 - q.
    """
    faults = counts.faults[kind]
    candidate, control = faults[CANDIDATE], faults[CONTROL]
    return [
        candidate * gain + control * loss for gain, loss in _log_increments(control_fraction, tolerated_odds)
    ]


@lru_cache(maxsize=64)
def _log_increments(control_fraction: float, tolerated_odds: float) -> list[_LogIncrements]:
    null = _multiply_odds(1 - control_fraction, tolerated_odds)
    probabilities = [_multiply_odds(1 - control_fraction, tolerated_odds * ratio) for ratio in ODDS_RATIOS]
    return [_LogIncrements(math.log(p / null), math.log((1 - p) / (1 - null))) for p in probabilities]


def _multiply_odds(probability: float, ratio: float) -> float:
    return ratio * probability / (ratio * probability + 1 - probability)


def log_mean(logs: Iterable[float]) -> float:
    """Return the log of the mean of values given by their logs, without overflow."""
    values = list(logs)
    greatest = max(values)
    return greatest + math.log(sum(math.exp(value - greatest) for value in values) / len(values))


def accusation_threshold(thresholds: Thresholds, class_count: int) -> float:
    """Return the log of the wealth that rejects the null for one class and kind of fault."""
    return math.log(class_count * len(FAULT_KINDS) / thresholds.false_halt_probability)
