"""What is known of a candidate's answers: each process's own counts, and those of all, merged.  Pure.

Counts are of *trials*: requests of a stage's volumes for which a coin chose between candidate and good
version as they came (`stages.Stage.beside`).  Nothing else is counted.  So every trial is a stratum of its
own: the same process, zone, volume and moment gave it either version by the coin alone, whatever fails beside
it (`verdict`).

A client's request is one trial, however many storage operations it takes, and has at most one bad mark of
each kind.  What "late" and "slow" mean is measured by the *good* version's aim for both, or a candidate could
pass by promising less.

Counts travel as one entry for each class and stage, of at most 640 bytes, and only grow within an origin's
life.  Merging takes the greater of each count: order, loss and repetition change nothing.  Of many processes
they go to the zone's collector, which sends on a `Row` for each class: sums, and beside them what the test
leaves out, the greatest factors of single processes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.rollout import InvalidRulesError, UnknownRulesVersionError
from cressrock.rollout.lifecycle import DIGEST_BYTES, MAX_STAGES

VERSION = 1
SEEN, ROLLBACK_KEY = "rollout/seen/", "rollout/back"  # keys in the spread: SEEN + "CLASS/STAGE", and a report
FAULT_KINDS = ("refused", "failed", "left", "late", "slow")  # kinds of bad answers, each tested by itself
SLOW = 0.5  # of the aim: half of it is where a rise shows before clients feel it
SUMS, GONE = "rollout/sum/", "rollout/gone"  # keys of a zone's sums: SUMS + "CLASS", and of reports
MAX_TOP_FACTORS, MOST_WHY = 4, 4  # told of one zone
MAX_CLASSES = 64
MAX_ORIGINS = 16384  # lives: three of each of 4,806 processes in one rollout, and some; 1.2 KB each

Origin = tuple[str, int]
_T = TypeVar("_T")
Count = Annotated[int, Meta(ge=0, le=2**53)]


class RequestOutcome(Enum):
    """How a client's request ended."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_LEFT = "left"


class OutcomeCounts(Struct, array_like=True):
    """Counts of one class in one stage: [candidate, good] of trials, and of each kind of mark."""

    trials: Annotated[list[Count], Meta(min_length=2, max_length=2)]
    faults: Annotated[
        list[Annotated[list[Count], Meta(min_length=2, max_length=2)]],
        Meta(min_length=len(FAULT_KINDS), max_length=16),
    ]

    @classmethod
    def empty(cls) -> OutcomeCounts:
        """Return one without a count."""
        return cls([0, 0], [[0, 0] for _ in FAULT_KINDS])

    def add(self, other: OutcomeCounts) -> None:
        """Add another's counts."""
        for side in (0, 1):
            self.trials[side] += other.trials[side]
            for mine, its in zip(self.faults, other.faults, strict=False):
                mine[side] += its[side]

    def raise_to(self, other: OutcomeCounts, total: OutcomeCounts) -> bool:
        """Take the greater of each count, add what it grew by to a total; returns whether any grew."""
        grown = False
        whole = [total.trials, *total.faults]
        given = [other.trials, *other.faults]
        for mine, its, all_ in zip([self.trials, *self.faults], given, whole, strict=False):
            for side in (0, 1):
                if (more := its[side] - mine[side]) > 0:
                    mine[side], grown = its[side], True
                    all_[side] += more
        return grown


class CountsEntry(Struct, frozen=True, array_like=True, tag=VERSION):
    """One entry in the spread.  Later versions may add fields at the end."""

    digest: Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
    counts: OutcomeCounts


class LocalRollback(Struct, frozen=True, array_like=True, tag=VERSION):
    """A process's report that it went back alone from a candidate."""

    digest: Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
    reason: Annotated[str, Meta(max_length=200)]


class ZoneSummary(Struct, frozen=True, array_like=True, tag=VERSION):
    """What the processes of one zone counted of one class.

    `tops`: for each kind of mark and each of the test's odds, the greatest logs of single processes' wealth,
    as little-endian 32-bit floats, at most `MOST_TOPS` of each, greatest first.
    """

    digest: Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
    stages: Annotated[
        list[tuple[Annotated[int, Meta(ge=0, lt=MAX_STAGES)], OutcomeCounts]], Meta(max_length=MAX_STAGES)
    ]
    tops: Annotated[list[list[bytes]], Meta(max_length=16)]


class ZoneRollbacks(Struct, frozen=True, array_like=True, tag=VERSION):
    """How many processes of one zone tell, how many of them went back alone, and why some did."""

    digest: Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
    processes: Count
    backs: Count
    why: Annotated[dict[str, str], Meta(max_length=MOST_WHY)]


_decoder = msgspec.msgpack.Decoder(CountsEntry)
_row = msgspec.msgpack.Decoder(ZoneSummary)
_gone = msgspec.msgpack.Decoder(ZoneRollbacks)
_back = msgspec.msgpack.Decoder(LocalRollback)


def encode(message: CountsEntry | LocalRollback | ZoneSummary | ZoneRollbacks) -> bytes:
    """Return an entry's value."""
    return msgspec.msgpack.encode(message)


def read_piece(value: bytes) -> CountsEntry:
    """Read counts.  Raises RulesWrong, RulesNewer."""
    return _read(_decoder, value, "counts")


def read_back(value: bytes) -> LocalRollback:
    """Read a report.  Raises RulesWrong, RulesNewer."""
    return _read(_back, value, "a report")


def read_row(value: bytes) -> ZoneSummary:
    """Read a class's sums.  Raises RulesWrong, RulesNewer."""
    return _read(_row, value, "sums of counts")


def read_gone(value: bytes) -> ZoneRollbacks:
    """Read how many went back.  Raises RulesWrong, RulesNewer."""
    return _read(_gone, value, "a sum of reports")


def _read(decoder: msgspec.msgpack.Decoder[_T], value: bytes, what: str) -> _T:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as wrong:
        # Both structs begin with their version, a small positive integer.
        if len(value) > 1 and value[0] & 0xF0 == 0x90 and VERSION < value[1] < 128:
            raise UnknownRulesVersionError(
                f"{what} of version {value[1]}; version {VERSION} is known"
            ) from None
        raise InvalidRulesError(f"{what} that cannot be read: {str(wrong)[:200]}") from None


def counts_key(cls: int, stage: int) -> str:
    """Return the spread's key of a class's counts in a stage."""
    return f"{SEEN}{cls}/{stage}"


def place_of(key: str) -> tuple[int, int] | None:
    """Return class and stage of a key; None for any other key."""
    if not key.startswith(SEEN):
        return None
    cls, _, stage = key[len(SEEN) :].partition("/")
    if not (cls.isdecimal() and stage.isdecimal() and len(key) < len(SEEN) + 8):
        return None
    found = int(cls), int(stage)
    return found if found[0] < MAX_CLASSES and found[1] < MAX_STAGES else None


def by_class(tallies: dict[tuple[int, int], OutcomeCounts]) -> dict[int, OutcomeCounts]:
    """Return the sums over stages."""
    found: dict[int, OutcomeCounts] = {}
    for (cls, _), tally in tallies.items():
        found.setdefault(cls, OutcomeCounts.empty()).add(tally)
    return found


class LocalCounts:
    """This process's own counts under one candidate."""

    def __init__(self, digest: str) -> None:
        """Start with nothing counted."""
        self.digest = digest
        self.counts: dict[tuple[int, int], OutcomeCounts] = {}
        self._changed: dict[tuple[int, int], None] = {}

    def record(
        self, cls: int, stage: int, candidate: bool, ended: RequestOutcome, ms: float, aim_ms: float
    ) -> None:
        """Count a trial's end: `ms` from its coming to its answer, `aim_ms` the good version's aim."""
        tally = self.counts.setdefault((cls, stage), OutcomeCounts.empty())
        side = 0 if candidate else 1
        tally.trials[side] += 1
        served = ended is RequestOutcome.SERVED
        bad = (
            ended is RequestOutcome.REJECTED,
            ended is RequestOutcome.FAILED,
            ended is RequestOutcome.CLIENT_LEFT,
            served and ms > aim_ms,
            served and ms > SLOW * aim_ms,
        )
        for mark, is_so in zip(tally.faults, bad, strict=True):
            mark[side] += is_so
        self._changed[cls, stage] = None

    def drain_changes(self) -> list[tuple[str, bytes]]:
        """Return the entries that changed since the last call, to be put into the spread."""
        changed, self._changed = list(self._changed), {}
        digest = bytes.fromhex(self.digest)
        return [(counts_key(*place), encode(CountsEntry(digest, self.counts[place]))) for place in changed]

    def keys(self) -> list[str]:
        """Return all keys of these counts, to be removed once they are of no use."""
        return [counts_key(*place) for place in self.counts]


@dataclass(slots=True)
class _Life:
    tallies: dict[tuple[int, int], OutcomeCounts]


class FleetCounts:
    """What all processes counted under one candidate.

    What a life that is gone has told is kept: it was seen.  Bounded by `MAX_ORIGINS` lives; of further ones
    nothing is taken, which can only delay a verdict.
    """

    def __init__(self, digest: str) -> None:
        """Start with nothing heard."""
        self.digest = digest
        self._bytes = bytes.fromhex(digest)
        self.lives: dict[Origin, _Life] = {}
        self.totals: dict[tuple[int, int], OutcomeCounts] = {}  # over all lives
        self.rollback_reasons: dict[str, str] = {}  # by process, whatever its life: why it went back alone

    def merge(self, origin: Origin, key: str, value: bytes) -> bool:
        """Merge an entry of the spread; returns whether it was news.  Raises RulesWrong, RulesNewer."""
        if key == ROLLBACK_KEY:
            back = read_back(value)
            news = back.digest == self._bytes and origin[0] not in self.rollback_reasons
            if news and len(self.rollback_reasons) < MAX_ORIGINS:
                self.rollback_reasons[origin[0]] = back.reason
            return news
        place = place_of(key)
        if place is None:
            return False
        piece = read_piece(value)
        if piece.digest != self._bytes:
            return False
        life = self.lives.get(origin)
        if life is None:
            if len(self.lives) >= MAX_ORIGINS:
                return False
            life = self.lives[origin] = _Life({})
        total = self.totals.setdefault(place, OutcomeCounts.empty())
        return life.tallies.setdefault(place, OutcomeCounts.empty()).raise_to(piece.counts, total)

    def candidate_trials(self, stage: int) -> int:
        """Return the trials under the candidate in a stage."""
        return sum(tally.trials[0] for (_, at), tally in self.totals.items() if at == stage)

    def totals_by_class(self) -> dict[int, OutcomeCounts]:
        """Return the sums by class."""
        return by_class(self.totals)

    def rollback_count(self) -> int:
        """Return how many processes went back alone."""
        return len(self.rollback_reasons)

    def process_count(self) -> int:
        """Return of how many processes something was heard."""
        return len({name for name, _ in self.lives})

    def totals_by_group(self, group: Callable[[str], str]) -> dict[str, dict[int, OutcomeCounts]]:
        """Return the sums by class of groups of processes: by zone, say."""
        found: dict[str, dict[int, OutcomeCounts]] = {}
        for (name, _), life in self.lives.items():
            mine = found.setdefault(group(name), {})
            for (cls, _), tally in life.tallies.items():
                mine.setdefault(cls, OutcomeCounts.empty()).add(tally)
        return found
