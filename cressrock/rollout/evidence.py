"""Evidence that processes publish about a candidate: the entries, their keys and their encoding.  Pure.

Only *trials* are counted: requests for a stage's volumes that were randomly assigned to the candidate or the
good version on arrival (`plan.Stage.control_fraction`).  So every trial is its own stratum: for the same
process, zone, volume and time, only the random assignment determines the version, whatever else fails at the
same time (`verdict`).

A client's request is one trial, however many storage operations it takes, and has at most one fault of each
kind.  "late" and "slow" are relative to the *good* version's latency objective on both sides; otherwise a
candidate could pass by relaxing its objective.

Counts are published as one entry per class and stage, of at most 640 bytes, and only grow within one
incarnation of a process.  Merging takes the maximum of each count, so reordering, loss and duplication are
harmless.  In large fleets counts go to the zone's collector, which forwards a `ZoneSummary` for each class:
the sums, and the largest factors of single processes, which the test leaves out.
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
)  # published by processes; counts have the key prefix + "CLASS/STAGE"
SUMMARY_KEY_PREFIX, ZONE_ROLLBACKS_KEY = (
    "rollout/sum/",
    "rollout/gone",
)  # published by collectors for zones; summaries have the key prefix + "CLASS"
FAULT_KINDS = ("refused", "failed", "left", "late", "slow")  # each is tested separately
MAX_FAULT_KINDS = 16  # accepted in an entry; a later release may count more kinds
SLOW_FRACTION = 0.5  # of the latency objective; at half of it an increase shows before clients notice
MAX_TOP_FACTORS, MAX_REASONS = 4, 4  # published per zone
MAX_REASON_CHARS = 200
MAX_CLASSES = 64
MAX_ORIGINS = 16384  # incarnations, 1.2 KB each; over three for each of 4,806 processes in one rollout
CANDIDATE, CONTROL = 0, 1  # indexes into each count: the candidate's trials, and the good version's

Origin = tuple[str, int]  # a process's name and incarnation
ClassStage = tuple[int, int]  # request class and stage
Entry = tuple[str, bytes]  # key and value
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
    """Counts of one class in one stage: trials, and faults by kind; each is [candidate, control]."""

    trials: Annotated[list[Count], Meta(min_length=2, max_length=2)]
    faults: Annotated[
        list[Annotated[list[Count], Meta(min_length=2, max_length=2)]],
        Meta(min_length=len(FAULT_KINDS), max_length=MAX_FAULT_KINDS),
    ]

    @classmethod
    def empty(cls) -> OutcomeCounts:
        """Return counts that are all zero."""
        return cls([0, 0], [[0, 0] for _ in FAULT_KINDS])

    def add(self, other: OutcomeCounts) -> None:
        """Add other counts in place."""
        for side in (CANDIDATE, CONTROL):
            self.trials[side] += other.trials[side]
            for count, added in zip(self.faults, other.faults, strict=False):
                count[side] += added[side]

    def raise_to(self, other: OutcomeCounts, total: OutcomeCounts) -> bool:
        """Take the maximum of each count and add its growth to `total`; return whether any count grew."""
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
    """A process's report that it rolled back from a candidate locally."""

    digest: Digest
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARS)]


class ZoneSummary(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """The counts of one class, summed over the processes of one zone.

    `top_factors` has, for each kind of fault and each of the test's odds ratios, the largest logs of single
    processes' wealth as little-endian 32-bit floats: at most `MAX_TOP_FACTORS` of each, largest first.
    """

    digest: Digest
    stages: Annotated[
        list[tuple[Annotated[int, Meta(ge=0, lt=MAX_STAGES)], OutcomeCounts]], Meta(max_length=MAX_STAGES)
    ]
    top_factors: Annotated[list[list[bytes]], Meta(max_length=MAX_FAULT_KINDS)]


class ZoneRollbacks(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """How many processes of one zone report, how many rolled back locally, and the reasons of some."""

    digest: Digest
    processes: Count
    rollbacks: Count
    reasons: Annotated[dict[str, str], Meta(max_length=MAX_REASONS)]  # by process


_counts_decoder = msgspec.msgpack.Decoder(CountsEntry)
_rollback_decoder = msgspec.msgpack.Decoder(LocalRollback)
_summary_decoder = msgspec.msgpack.Decoder(ZoneSummary)
_zone_rollbacks_decoder = msgspec.msgpack.Decoder(ZoneRollbacks)


def encode(entry: CountsEntry | LocalRollback | ZoneSummary | ZoneRollbacks) -> bytes:
    """Encode an entry as MessagePack, beginning with its format version."""
    return msgspec.msgpack.encode(entry)


def decode_counts(value: bytes) -> CountsEntry:
    """Decode a process's counts.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_counts_decoder, value, "counts entry")


def decode_rollback(value: bytes) -> LocalRollback:
    """Decode a report of a local rollback.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_rollback_decoder, value, "rollback report")


def decode_summary(value: bytes) -> ZoneSummary:
    """Decode a zone's sums for one class.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_summary_decoder, value, "zone summary")


def decode_zone_rollbacks(value: bytes) -> ZoneRollbacks:
    """Decode a zone's summary of local rollbacks.  Raises InvalidRulesError, UnknownRulesVersionError."""
    return _decode(_zone_rollbacks_decoder, value, "zone rollback summary")


def _decode(decoder: msgspec.msgpack.Decoder[_T], value: bytes, subject: str) -> _T:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        # An entry is an array whose first element is its format version, a small positive integer.
        if len(value) > 1 and value[0] & 0xF0 == 0x90 and FORMAT_VERSION < value[1] < 128:
            raise UnknownRulesVersionError(
                f"{subject} has format version {value[1]}; this release reads version {FORMAT_VERSION}"
            ) from None
        raise InvalidRulesError(f"{subject} cannot be decoded: {str(error)[:200]}") from None


def counts_key(request_class: int, stage: int) -> str:
    """Return the key under which a process publishes a class's counts in a stage."""
    return f"{COUNTS_KEY_PREFIX}{request_class}/{stage}"


def parse_counts_key(key: str) -> ClassStage | None:
    """Return the class and stage of a counts key; None for any other key."""
    if not key.startswith(COUNTS_KEY_PREFIX):
        return None
    request_class, _, stage = key[len(COUNTS_KEY_PREFIX) :].partition("/")
    if not (request_class.isdecimal() and stage.isdecimal() and len(key) < len(COUNTS_KEY_PREFIX) + 8):
        return None
    result = int(request_class), int(stage)
    return result if result[0] < MAX_CLASSES and result[1] < MAX_STAGES else None


def is_evidence_key(key: str) -> bool:
    """Whether processes publish rollout evidence under this key."""
    return key.startswith(COUNTS_KEY_PREFIX) or key == ROLLBACK_KEY


def parse_summary_key(key: str) -> int | None:
    """Return the class of a zone summary key; None for any other key."""
    suffix = key[len(SUMMARY_KEY_PREFIX) :]
    return int(suffix) if key.startswith(SUMMARY_KEY_PREFIX) and suffix.isdecimal() else None


def totals_by_class(counts: Mapping[ClassStage, OutcomeCounts]) -> dict[int, OutcomeCounts]:
    """Return the sums over all stages, by class."""
    totals: dict[int, OutcomeCounts] = {}
    for (request_class, _), stage_counts in counts.items():
        totals.setdefault(request_class, OutcomeCounts.empty()).add(stage_counts)
    return totals
