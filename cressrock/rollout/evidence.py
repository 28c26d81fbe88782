"""What processes publish of a candidate's answers: the entries, their keys and their encoding.  Pure.

Counts are of *trials*: requests of a stage's volumes for which a coin chose between candidate and good
version as they came (`plan.Stage.control_fraction`).  Nothing else is counted.  So every trial is a stratum
of its own: the same process, zone, volume and moment gave it either version by the coin alone, whatever fails
beside it (`verdict`).

A client's request is one trial, however many storage operations it takes, and has at most one fault of each
kind.  What "late" and "slow" mean is measured by the *good* version's latency objective for both, or a
candidate could pass by promising less.

Counts travel as one entry for each class and stage, of at most 640 bytes, and only grow within one
incarnation of a process.  Merging takes the greater of each count: order, loss and repetition change nothing.
Those of many processes go to the zone's collector, which sends on a `ZoneSummary` for each class: sums, and
beside them what the test leaves out, the greatest factors of single processes.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.rollout import InvalidRulesError, UnknownRulesVersionError
from cressrock.rollout.plan import DIGEST_BYTES, MAX_STAGES

FORMAT_VERSION = 1
COUNTS_KEY_PREFIX, ROLLBACK_KEY = (
    "rollout/seen/",
    "rollout/back",
)  # of processes; counts: prefix + "CLASS/STAGE"
SUMMARY_KEY_PREFIX, ZONE_ROLLBACKS_KEY = (
    "rollout/sum/",
    "rollout/gone",
)  # of zones; summaries: prefix + "CLASS"
FAULT_KINDS = ("refused", "failed", "left", "late", "slow")  # each is tested by itself
MAX_FAULT_KINDS = 16  # that an entry may have; a later release may count more kinds
SLOW_FRACTION = 0.5  # of the latency objective: half of it is where a rise shows before clients feel it
MAX_TOP_FACTORS, MAX_REASONS = 4, 4  # published of one zone
MAX_REASON_CHARS = 200
MAX_CLASSES = 64
MAX_ORIGINS = 16384  # incarnations: three of each of 4,806 processes in one rollout, and some; 1.2 KB each
CANDIDATE, CONTROL = 0, 1  # the two sides of each count: trials by the candidate, and by the good version

Origin = tuple[str, int]  # a process's name and incarnation
ClassStage = tuple[int, int]  # class and stage that counts are of
Entry = tuple[str, bytes]  # a key and its value
_T = TypeVar("_T")
Count = Annotated[int, Meta(ge=0, le=2**53)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class RequestOutcome(Enum):
    """How a client's request ended."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_LEFT = "left"


class OutcomeCounts(Struct, array_like=True):
    """Counts of one class in one stage, [candidate, control] each: of trials, and of faults by kind."""

    trials: Annotated[list[Count], Meta(min_length=2, max_length=2)]
    faults: Annotated[
        list[Annotated[list[Count], Meta(min_length=2, max_length=2)]],
        Meta(min_length=len(FAULT_KINDS), max_length=MAX_FAULT_KINDS),
    ]

    @classmethod
    def empty(cls) -> OutcomeCounts:
        """Return counts of nothing."""
        return cls([0, 0], [[0, 0] for _ in FAULT_KINDS])

    def add(self, other: OutcomeCounts) -> None:
        """Add another's counts."""
        for side in (CANDIDATE, CONTROL):
            self.trials[side] += other.trials[side]
            for count, added in zip(self.faults, other.faults, strict=False):
                count[side] += added[side]

    def raise_to(self, other: OutcomeCounts, total: OutcomeCounts) -> bool:
        """Take the greater of each count, add what it grew by to a total; return whether any grew."""
        grown = False
        rows = zip(
            [self.trials, *self.faults],
            [other.trials, *other.faults],
            [total.trials, *total.faults],
            strict=False,
        )
        for count, reported, sum_ in rows:
            for side in (CANDIDATE, CONTROL):
                if (growth := reported[side] - count[side]) > 0:
                    count[side], grown = reported[side], True
                    sum_[side] += growth
        return grown


class CountsEntry(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """A process's counts of one class in one stage.  Later formats may add fields at the end."""

    digest: Digest
    counts: OutcomeCounts


class LocalRollback(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """A process's report that it rolled back from a candidate by itself."""

    digest: Digest
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARS)]


class ZoneSummary(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """What the processes of one zone counted of one class.

    `top_factors`: for each kind of fault and each of the test's odds ratios, the greatest logs of single
    processes' wealth, as little-endian 32-bit floats, at most `MAX_TOP_FACTORS` of each, greatest first.
    """

    digest: Digest
    stages: Annotated[
        list[tuple[Annotated[int, Meta(ge=0, lt=MAX_STAGES)], OutcomeCounts]], Meta(max_length=MAX_STAGES)
    ]
    top_factors: Annotated[list[list[bytes]], Meta(max_length=MAX_FAULT_KINDS)]


class ZoneRollbacks(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """How many processes of one zone report, how many of them rolled back by themselves, and why some did."""

    digest: Digest
    processes: Count
    rollbacks: Count
    reasons: Annotated[dict[str, str], Meta(max_length=MAX_REASONS)]  # by process


_counts_decoder = msgspec.msgpack.Decoder(CountsEntry)
_rollback_decoder = msgspec.msgpack.Decoder(LocalRollback)
_summary_decoder = msgspec.msgpack.Decoder(ZoneSummary)
_zone_rollbacks_decoder = msgspec.msgpack.Decoder(ZoneRollbacks)


def encode(entry: CountsEntry | LocalRollback | ZoneSummary | ZoneRollbacks) -> bytes:
    """Return an entry's value."""
    return msgspec.msgpack.encode(entry)


def decode_counts(value: bytes) -> CountsEntry:
    """Read counts.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_counts_decoder, value, "counts")


def decode_rollback(value: bytes) -> LocalRollback:
    """Read a report.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_rollback_decoder, value, "a report")


def decode_summary(value: bytes) -> ZoneSummary:
    """Read a class's sums.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_summary_decoder, value, "sums of counts")


def decode_zone_rollbacks(value: bytes) -> ZoneRollbacks:
    """Read how many rolled back.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_zone_rollbacks_decoder, value, "a sum of reports")


def _decode(decoder: msgspec.msgpack.Decoder[_T], value: bytes, subject: str) -> _T:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        # All entries begin with their format's version, a small positive integer.
        if len(value) > 1 and value[0] & 0xF0 == 0x90 and FORMAT_VERSION < value[1] < 128:
            raise UnknownRulesVersionError(
                f"{subject} of version {value[1]}; version {FORMAT_VERSION} is known"
            ) from None
        raise InvalidRulesError(f"{subject} that cannot be read: {str(error)[:200]}") from None


def counts_key(request_class: int, stage: int) -> str:
    """Return the key of a class's counts in a stage."""
    return f"{COUNTS_KEY_PREFIX}{request_class}/{stage}"


def parse_counts_key(key: str) -> ClassStage | None:
    """Return class and stage of a key of counts; None for any other key."""
    if not key.startswith(COUNTS_KEY_PREFIX):
        return None
    request_class, _, stage = key[len(COUNTS_KEY_PREFIX) :].partition("/")
    if not (request_class.isdecimal() and stage.isdecimal() and len(key) < len(COUNTS_KEY_PREFIX) + 8):
        return None
    result = int(request_class), int(stage)
    return result if result[0] < MAX_CLASSES and result[1] < MAX_STAGES else None


def is_evidence_key(key: str) -> bool:
    """Whether a key is one under which a process publishes evidence of a rollout."""
    return key.startswith(COUNTS_KEY_PREFIX) or key == ROLLBACK_KEY


def parse_summary_key(key: str) -> int | None:
    """Return the class of a zone summary's key; None for any other key."""
    suffix = key[len(SUMMARY_KEY_PREFIX) :]
    return int(suffix) if key.startswith(SUMMARY_KEY_PREFIX) and suffix.isdecimal() else None


def totals_by_class(counts: Mapping[ClassStage, OutcomeCounts]) -> dict[int, OutcomeCounts]:
    """Return the sums over stages."""
    totals: dict[int, OutcomeCounts] = {}
    for (request_class, _), stage_counts in counts.items():
        totals.setdefault(request_class, OutcomeCounts.empty()).add(stage_counts)
    return totals
