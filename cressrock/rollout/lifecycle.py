"""The replicated decision that says where a rollout stands, and the steps from one to the next.  Pure.

One decision, topic `rollout`, is the only truth.  It names the candidate and the last good version by digest,
and in which of two topics (`rollout/doc/0`, `rollout/doc/1`) each one's document lies; so the end of a
rollout, good or bad, is one compare-and-set, and no moment lies between "done" and "the new one is the good
one".  Each step is proposed with the version of the decision it follows (`if_version`): two leaders, a leader
that wakes late, a request that arrives twice cannot repeat a stage or skip one.
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
MAX_ENDED_DIGESTS = 8  # documents that ended badly and are remembered
ENDED_DIGEST_CHARS = 12  # of a digest's hexadecimal form, its first half: all that is remembered of them
MAX_REASON_CHARS = 120


class RolloutStatus(StrEnum):
    """How far a rollout is, or how it ended."""

    RUNNING = "running"
    HALTED = "halted"
    WITHDRAWN = "withdrawn"
    DONE = "done"
    EXPIRED = "expired"


class RolloutState(Struct, frozen=True, array_like=True, tag=FORMAT_VERSION):
    """The decision's value.  Later formats may add fields at the end."""

    rollout_number: Annotated[int, Meta(ge=0)]  # one more for each rollout that was started
    status: RolloutStatus
    digest: str  # the candidate's, of this or the last rollout
    document_slot: Annotated[int, Meta(ge=0, le=1)]  # which of DOCUMENT_TOPICS holds its document
    stage: Annotated[int, Meta(ge=0, le=MAX_STAGES)]
    good_digest: str = ""  # the last good version's; "": the settings' own rules
    good_slot: Annotated[int, Meta(ge=0, le=1)] = 0
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARS)] = ""
    statistics: Annotated[dict[Name, float], Meta(max_length=12)] = {}
    ended_digests: Annotated[list[str], Meta(max_length=MAX_ENDED_DIGESTS)] = []

    @property
    def running(self) -> bool:
        """Whether the candidate may decide anything at all."""
        return self.status == RolloutStatus.RUNNING


NO_ROLLOUT = RolloutState(0, RolloutStatus.WITHDRAWN, "", 1, 0)
_decoder = msgspec.msgpack.Decoder(RolloutState)


def encode(state: RolloutState) -> bytes:
    """Return a decision's value."""
    return msgspec.msgpack.encode(state)


def decode(value: bytes) -> RolloutState:
    """Read a decision's value.

    Raises UnknownRulesVersionError for another format, InvalidRulesError for what is no such value.
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
                f"decree {ROLLOUT_TOPIC!r}: version {head[0]}; version {FORMAT_VERSION} is known"
            ) from None
        raise InvalidRulesError(f"decree {ROLLOUT_TOPIC!r}: {str(error)[:200]}") from None


def start_rollout(old: RolloutState | None, document: bytes) -> RolloutState:
    """Return the decision that starts a document.

    Raises RolloutInProgressError, RolloutAlreadyEndedError.
    """
    old = old or NO_ROLLOUT
    digest = document_digest(document)
    if old.running:
        raise RolloutInProgressError(f"{old.digest} is in stage {old.stage}")
    if digest[:ENDED_DIGEST_CHARS] in old.ended_digests:
        raise RolloutAlreadyEndedError(f"{digest} ended before without getting through")
    if digest == old.good_digest:
        raise RolloutAlreadyEndedError(f"{digest} is the good version already")
    return RolloutState(
        old.rollout_number + 1,
        RolloutStatus.RUNNING,
        digest,
        1 - old.good_slot if old.good_digest else 0,  # never over the good version's document
        0,
        old.good_digest,
        old.good_slot,
        ended_digests=old.ended_digests,
    )


def end_rollout(
    old: RolloutState, status: RolloutStatus, reason: str, statistics: dict[str, float]
) -> RolloutState:
    """Return the decision that ends a rollout without success; its document is remembered.

    Raises RolloutNotFoundError where nothing runs.
    """
    if not old.running:
        raise RolloutNotFoundError(f"nothing runs; the last one, {old.digest or 'none'}, is {old.status}")
    ended = [*old.ended_digests, old.digest[:ENDED_DIGEST_CHARS]][-MAX_ENDED_DIGESTS:]
    return msgspec.structs.replace(
        old, status=status, reason=reason[:MAX_REASON_CHARS], statistics=statistics, ended_digests=ended
    )


def advance(old: RolloutState, plan: RolloutPlan, statistics: dict[str, float]) -> RolloutState:
    """Return the decision after a stage that is over: the next stage, or done."""
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
