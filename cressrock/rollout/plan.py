"""A rollout's plan: the part of an operator's document that names its stages and thresholds.  Pure.

Field names in the document are the operators' own (`part`, `beside`, ...); `docs/rollout.md` lists them.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

from msgspec import Meta, Struct, field

DIGEST_BYTES = 12  # identifies a document; long enough that accidental collisions do not occur
MAX_STAGES = 8
MAX_DOCUMENT_BYTES = 48 * 1024  # what fits into one decision

Name = Annotated[str, Meta(max_length=64)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e9)]


class Stage(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which requests are eligible for the candidate, and what is required before the next stage."""

    # Fraction of the volumes, selected by a hash.
    volume_fraction: Annotated[float, Meta(gt=0, le=1)] = field(default=1.0, name="part")
    zones: Annotated[list[Name], Meta(max_length=64)] | None = None  # None: all zones
    # Fraction of the eligible requests that use the good version, as a control group.
    control_fraction: Annotated[float, Meta(ge=0.02, le=0.95)] = field(default=0.5, name="beside")
    min_duration_ms: Milliseconds = field(default=60000.0, name="least_ms")  # on the leader's clock
    # Requests answered under the candidate in this stage.
    min_answers: Annotated[int, Meta(ge=0, le=10**9)] = field(default=1000, name="least")


class Thresholds(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Error levels of the test, and the conditions that halt a rollout."""

    # Probability of ever halting a candidate that changes nothing, over all classes and evaluations.
    false_halt_probability: Annotated[float, Meta(gt=0, le=0.5)] = field(default=0.01, name="error")
    # Odds ratio of a bad answer, candidate to good version, that is too small to halt a rollout.
    tolerated_odds_ratio: Annotated[float, Meta(ge=1, le=100)] = field(default=1.1, name="tolerate")
    # Odds ratio beyond which a process rolls back locally.
    rollback_odds_ratio: Annotated[float, Meta(ge=1, le=1000)] = field(default=2.0, name="far")
    # The faults of fewer processes than this cannot halt a rollout.
    min_accusers: Annotated[int, Meta(ge=1, le=1024)] = field(default=2, name="accusers")
    # This many local rollbacks halt a rollout.
    rollbacks_to_halt: Annotated[int, Meta(ge=1, le=1024)] = field(default=2, name="reports")
    # A stage that takes longer ends the rollout; measured on one leader's clock.
    stage_timeout_ms: Milliseconds = field(default=3600000.0, name="expire_ms")


class RolloutPlan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The stages in their order, and the thresholds of the test."""

    stages: Annotated[list[Stage], Meta(min_length=1, max_length=MAX_STAGES)]
    thresholds: Thresholds = field(default=Thresholds(), name="levels")

    def __post_init__(self) -> None:
        """Check constraints between stages.  Raises ValueError naming the field."""
        fraction = 0.0
        for index, stage in enumerate(self.stages):
            if stage.volume_fraction < fraction:
                raise ValueError(
                    f"stages[{index}].part: {stage.volume_fraction:g} is less than in the previous stage"
                )
            fraction = stage.volume_fraction
        last = self.stages[-1]
        if last.volume_fraction < 1 or last.zones is not None:
            raise ValueError(
                f"stages[{len(self.stages) - 1}]: the last stage must cover all volumes and zones"
            )


def document_digest(document: bytes) -> str:
    """Return a document's digest, BLAKE2b of its bytes in hexadecimal, the same in all processes.

    A fast checksum (xxhash) would detect corruption, but operators compare digests, so they must also resist
    forgery.
    """
    return hashlib.blake2b(document, digest_size=DIGEST_BYTES).hexdigest()
