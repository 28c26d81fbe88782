"""The replicated decision that holds a rollout's state, and its transitions.  Pure.

One decision, topic `rollout`, is the single source of truth.  It names the candidate and the last good
version by digest, and which of two topics (`rollout/doc/0`, `rollout/doc/1`) holds each document.  So a
rollout ends with one compare-and-set: becoming "done" and replacing the good version is atomic.  Each step is
proposed with the version of the decision it follows (`if_version`), so that two leaders, a delayed leader or
a duplicate request cannot repeat or skip a stage.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.rollout import (
    InvalidRulesError,
    RolloutAlreadyEndedError,
    RolloutInProgressError,
    RolloutNotFoundError,
    UnknownRulesVersionError,
)
from cressrock.rollout.plan import MAX_STAGES, Name, RolloutPlan, document_digest

FORMAT_VERSION = 1
ROLLOUT_TOPIC = "rollout"
DOCUMENT_TOPICS = ("rollout/doc/0", "rollout/doc/1")
MAX_ENDED_DIGESTS = 8  # of unsuccessful rollouts, which cannot be started again unchanged
ENDED_DIGEST_CHARS = 12  # stored of each: the first half of its hexadecimal digits
MAX_REASON_CHARS = 120


class RolloutStatus(StrEnum):
    """Whether a rollout is running, or how it ended."""

    RUNNING = "running"
    HALTED = "halted"
    WITHDRAWN = "withdrawn"
    DONE = "done"
    EXPIRED = "expired"


class RolloutState(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """The decision's value.  Later formats may add fields at the end."""

    rollout_number: Annotated[int, Meta(ge=0)]  # incremented for each rollout that is started
    status: RolloutStatus
    digest: str  # the candidate's, of the current or last rollout
    document_slot: Annotated[int, Meta(ge=0, le=1)]  # which of DOCUMENT_TOPICS holds its document
    stage: Annotated[int, Meta(ge=0, le=MAX_STAGES)]
    good_digest: str = ""  # the last good version's; "": the settings' own rules
    good_slot: Annotated[int, Meta(ge=0, le=1)] = 0
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARS)] = ""
    statistics: Annotated[dict[Name, float], Meta(max_length=12)] = {}
    ended_digests: Annotated[list[str], Meta(max_length=MAX_ENDED_DIGESTS)] = []

    @property
    def running(self) -> bool:
        """Whether requests may be assigned to the candidate."""
        return self.status == RolloutStatus.RUNNING


NO_ROLLOUT = RolloutState(0, RolloutStatus.WITHDRAWN, "", 1, 0)
_decoder = msgspec.msgpack.Decoder(RolloutState)


def encode(state: RolloutState) -> bytes:
    """Encode the state as a decision's value."""
    return msgspec.msgpack.encode(state)


def decode(value: bytes) -> RolloutState:
    """Decode a decision's value.

    Raises UnknownRulesVersionError for another format version, InvalidRulesError for an invalid value.
    """
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        try:
            head = msgspec.msgpack.decode(value)
        except (msgspec.DecodeError, RecursionError):
            head = None
        if isinstance(head, list) and head and isinstance(head[0], int) and head[0] != FORMAT_VERSION:
            raise UnknownRulesVersionError(
                f"decision {ROLLOUT_TOPIC!r} has format {head[0]}; this release reads format {FORMAT_VERSION}"
            ) from None
        raise InvalidRulesError(f"decision {ROLLOUT_TOPIC!r} cannot be decoded: {str(error)[:200]}") from None


def start_rollout(old: RolloutState | None, document: bytes) -> RolloutState:
    """Return the state that starts the rollout of a document.

    Raises RolloutInProgressError, RolloutAlreadyEndedError.
    """
    old = old or NO_ROLLOUT
    digest = document_digest(document)
    if old.running:
        raise RolloutInProgressError(f"the rollout of {old.digest} is in progress, in stage {old.stage}")
    if digest[:ENDED_DIGEST_CHARS] in old.ended_digests:
        raise RolloutAlreadyEndedError(f"an earlier rollout of {digest} ended without success")
    if digest == old.good_digest:
        raise RolloutAlreadyEndedError(f"{digest} is already the good version")
    return RolloutState(
        old.rollout_number + 1,
        RolloutStatus.RUNNING,
        digest,
        1 - old.good_slot if old.good_digest else 0,  # never overwrites the good version's document
        0,
        old.good_digest,
        old.good_slot,
        ended_digests=old.ended_digests,
    )


def end_rollout(
    old: RolloutState, status: RolloutStatus, reason: str, statistics: dict[str, float]
) -> RolloutState:
    """Return the state that ends a rollout without success; its digest is stored.

    Raises RolloutNotFoundError if no rollout is running.
    """
    if not old.running:
        raise RolloutNotFoundError(
            f"no rollout is running; the last one, {old.digest or 'none'}, is {old.status}"
        )
    ended = [*old.ended_digests, old.digest[:ENDED_DIGEST_CHARS]][-MAX_ENDED_DIGESTS:]
    return msgspec.structs.replace(
        old, status=status, reason=reason[:MAX_REASON_CHARS], statistics=statistics, ended_digests=ended
    )


def advance(old: RolloutState, plan: RolloutPlan, statistics: dict[str, float]) -> RolloutState:
    """Return the state after a finished stage: the next stage, or done."""
    if old.stage + 1 < len(plan.stages):
        return msgspec.structs.replace(old, stage=old.stage + 1, statistics=statistics)
    return msgspec.structs.replace(
        old,
        status=RolloutStatus.DONE,
        good_digest=old.digest,
        good_slot=old.document_slot,
        reason="all stages over",
        statistics=statistics,
    )
