"""What a drill does and when: a script of steps, written by hand or drawn from a seed.  Pure.

A step waits `after_ms` of the drill's clock from the end of the step before it.  `Until` waits for a
condition instead: the drill takes as long as its machine needs, and its verdict is the same.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

from cressrock.lab.faults import Faults


@dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL."""

    name: str


@dataclass(frozen=True, slots=True)
class Restart:
    """Start a dead process again: same name, same addresses, a new life."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop:
    """SIGSTOP."""

    name: str


@dataclass(frozen=True, slots=True)
class Go:
    """SIGCONT."""

    name: str


@dataclass(frozen=True, slots=True)
class Disk:
    """Full disk: files grow to `most_bytes` and no further; None takes that back."""

    name: str
    most_bytes: int | None = 0


@dataclass(frozen=True, slots=True)
class Cut:
    """Nothing passes between two, either way."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class OneWay:
    """Nothing passes from `source` to `destination`; the way back is as it was."""

    source: str
    destination: str


@dataclass(frozen=True, slots=True)
class Partition:
    """Nothing passes between groups; names in none are cut from nobody."""

    groups: tuple[frozenset[str], ...]


@dataclass(frozen=True, slots=True)
class Ring:
    """A and B talk, B and C talk, C and A do not."""

    a: str
    b: str
    c: str


@dataclass(frozen=True, slots=True)
class Worsen:
    """A direction gets these faults, in the place of those it had."""

    source: str
    destination: str
    faults: Faults


@dataclass(frozen=True, slots=True)
class Reset:
    """Every connection between two is broken by a reset."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class Heal:
    """All ways are well again."""


@dataclass(frozen=True, slots=True)
class Until:
    """Wait for a condition.

    `joined`: every living edge that does not stand still is joined to a planner.  `answered`: so many more
    answers have come than when the step began.  `logged`: the present life of `name` has logged `event` so
    often.  The bound is there so that a drill ends; where it is reached that is a finding.
    """

    what: Literal["joined", "answered", "logged"]
    count: int = 1
    name: str = ""
    event: str = ""
    most_ms: float = 120000.0


Action = Kill | Restart | Stop | Go | Disk | Cut | OneWay | Partition | Ring | Worsen | Reset | Heal | Until


@dataclass(frozen=True, slots=True)
class Step:
    """One action, `after_ms` after the one before."""

    after_ms: float
    action: Action


TROUBLES = ("kill", "stop", "cut", "one_way", "worsen", "reset")


def draw(
    seed: int,
    victims: Sequence[str],
    links: Sequence[tuple[str, str]],
    count: int,
    *,
    troubles: Sequence[str] = TROUBLES,
    answers: int = 20,
) -> tuple[Step, ...]:
    """Draw a script of `count` troubles, one after the other, each ended before the next begins.

    `victims` may be killed and stopped, `links` cut and worsened.  After each trouble the edges have to be
    joined again and `answers` more answers to have come: each trouble meets the system at work.
    """
    source = random.Random(f"{seed} script")
    steps: list[Step] = [Step(0, Until("joined"))]
    for _ in range(count):
        steps.append(Step(source.uniform(100, 1500), Until("answered", answers)))
        steps.extend(_trouble(source, source.choice(list(troubles)), victims, links))
        steps.append(Step(0, Until("joined")))
    return tuple(steps)


def _trouble(
    source: random.Random, kind: str, victims: Sequence[str], links: Sequence[tuple[str, str]]
) -> list[Step]:
    lasts = source.uniform(200, 2500)
    match kind:
        case "kill":
            name = source.choice(list(victims))
            return [Step(0, Kill(name)), Step(lasts / 2, Restart(name))]
        case "stop":
            name = source.choice(list(victims))
            return [Step(0, Stop(name)), Step(lasts, Go(name))]
    one, other = source.choice(list(links))
    match kind:
        case "cut":
            return [Step(0, Cut(one, other)), Step(lasts, Heal())]
        case "one_way":
            pair = (one, other) if source.random() < 0.5 else (other, one)
            return [Step(0, OneWay(*pair)), Step(lasts, Heal())]
        case "worsen":
            faults = Faults(
                delay_ms=source.uniform(0, 100),
                jitter_ms=source.uniform(0, 50),
                lose=source.uniform(0, 0.1),
                duplicate=source.uniform(0, 0.1),
                reorder=source.uniform(0, 0.1),
                throttle=source.choice([0.0, 20000.0]),
            )
            pairs = [(one, other), (other, one)]
            return [*(Step(0, Worsen(*pair, faults)) for pair in pairs), Step(lasts, Heal())]
        case "reset":
            return [Step(0, Reset(one, other)), Step(lasts / 4, Reset(one, other))]
    raise ValueError(f"{kind!r} is no trouble; there are {', '.join(TROUBLES)}")
