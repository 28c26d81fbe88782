"""What a rollout asks of the council: its document's stages, and the decree that says where it stands.  Pure.

One decree, topic `rollout`, is the only truth.  It names the candidate and the last good version by digest,
and in which of two topics (`rollout/doc/0`, `rollout/doc/1`) each one's document lies; so the end of a
rollout, good or bad, is one compare-and-set, and no moment lies between "done" and "the new one is the good
one".  Each step is asked for with the number of the decree it follows (`if_number`): two leaders, a leader
that wakes late, a question that arrives twice cannot repeat a stage or skip one.

Times are the leader's own.  A stage's least time counts from when *this* leader first saw the stage's decree,
so a new leader begins it anew: a stage may last longer for that, never shorter.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.rollout import (
    InvalidRulesError,
    RolloutAlreadyEndedError,
    RolloutInProgressError,
    RolloutNotFoundError,
    UnknownRulesVersionError,
)

VERSION = 1
ROLLOUT_TOPIC = "rollout"
DOCUMENT_TOPICS = ("rollout/doc/0", "rollout/doc/1")
DIGEST_BYTES = 12  # bytes: names a document for operators and machines; by chance never the same twice
HALF = DIGEST_BYTES  # hexadecimal digits
MAX_STAGES = 8
MAX_DOCUMENT_BYTES = 48 * 1024  # what one decree takes
SPENT = 8  # documents that ended badly and are remembered, by the first half of their digest

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{24}$")]
Name = Annotated[str, Meta(max_length=64)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e9)]


class Stage(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where the candidate may decide, and what has to be seen before the next stage."""

    volume_fraction: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of the volumes, by hash
    zones: Annotated[list[Name], Meta(max_length=64)] | None = None  # unset: all
    control_fraction: Annotated[float, Meta(ge=0.02, le=0.95)] = (
        0.5  # of these requests go on under the good version
    )
    min_duration_ms: Milliseconds = 60000.0  # on the leader's clock
    min_answers: Annotated[int, Meta(ge=0, le=10**9)] = (
        1000  # requests answered under the candidate, in this stage
    )


class Thresholds(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How much error is accepted, and who may halt a rollout."""

    false_halt_probability: Annotated[float, Meta(gt=0, le=0.5)] = (
        0.01  # of ever halting a harmless candidate
    )
    tolerated_odds_ratio: Annotated[float, Meta(ge=1, le=100)] = (
        1.1  # odds of bad answers, to the good version's
    )
    rollback_odds_ratio: Annotated[float, Meta(ge=1, le=1000)] = (
        2.0  # odds beyond which a process goes back alone
    )
    min_accusers: Annotated[int, Meta(ge=1, le=1024)] = (
        2  # no fewer processes together can halt it by answers
    )
    rollbacks_to_halt: Annotated[int, Meta(ge=1, le=1024)] = (
        2  # processes that went back alone, which halt it
    )
    stage_timeout_ms: Milliseconds = 3600000.0  # a stage that is not over by then, on one leader's clock


class RolloutPlan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A rollout's own part of its document."""

    stages: Annotated[list[Stage], Meta(min_length=1, max_length=MAX_STAGES)]
    thresholds: Thresholds = Thresholds()

    def __post_init__(self) -> None:
        """Check what no single field can tell.  Raises ValueError naming the place."""
        part = 0.0
        for index, stage in enumerate(self.stages):
            if stage.volume_fraction < part:
                raise ValueError(
                    f"stages[{index}].part: {stage.volume_fraction:g} is less than the stage before has"
                )
            part = stage.volume_fraction
        last = self.stages[-1]
        if last.volume_fraction < 1 or last.zones is not None:
            raise ValueError(f"stages[{len(self.stages) - 1}]: the last one has to be all volumes, all zones")


class RolloutState(Struct, frozen=True, array_like=True, tag=VERSION):
    """The decree's value.  Later versions may add fields at the end."""

    rollout_number: Annotated[int, Meta(ge=0)]  # of the rollout: one more for each that was started
    status: Literal["running", "halted", "withdrawn", "done", "expired"]
    digest: str  # the candidate's, of this or the last rollout
    document_slot: Annotated[int, Meta(ge=0, le=1)]  # which topic holds its document
    stage: Annotated[int, Meta(ge=0, le=MAX_STAGES)]
    good_digest: str = ""  # the last good version's; "": the settings' own rules
    good_slot: Annotated[int, Meta(ge=0, le=1)] = 0
    reason: Annotated[str, Meta(max_length=120)] = ""
    statistics: Annotated[dict[Name, float], Meta(max_length=12)] = {}
    ended_digests: Annotated[list[str], Meta(max_length=SPENT)] = []

    @property
    def running(self) -> bool:
        """Whether the candidate may decide anything at all."""
        return self.status == "running"


EMPTY = RolloutState(0, "withdrawn", "", 1, 0)
_decoder = msgspec.msgpack.Decoder(RolloutState)


def document_digest(document: bytes) -> str:
    """Return a document's name: BLAKE2b of its bytes, so that all processes name the same thing alike.

    A fast checksum (xxhash) would do against damage; a name that operators compare must also not be forged.
    """
    return hashlib.blake2b(document, digest_size=DIGEST_BYTES).hexdigest()


def encode(state: RolloutState) -> bytes:
    """Return a decree's value."""
    return msgspec.msgpack.encode(state)


def decode(value: bytes) -> RolloutState:
    """Read a decree's value.  Raises RulesNewer for another version, RulesWrong for what is no such value."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as wrong:
        try:
            head = msgspec.msgpack.decode(value)
        except (msgspec.DecodeError, RecursionError):
            head = None
        if isinstance(head, list) and head and isinstance(head[0], int) and head[0] != VERSION:
            raise UnknownRulesVersionError(
                f"decree {ROLLOUT_TOPIC!r}: version {head[0]}; version {VERSION} is known"
            ) from None
        raise InvalidRulesError(f"decree {ROLLOUT_TOPIC!r}: {str(wrong)[:200]}") from None


# --- the steps, each a new value of the decree


def start_rollout(old: RolloutState | None, document: bytes) -> RolloutState:
    """Return the decree that starts a document.  Raises RolloutRuns, RolloutSpent."""
    old = old or EMPTY
    digest = document_digest(document)
    if old.running:
        raise RolloutInProgressError(f"{old.digest} is in stage {old.stage}")
    if digest[:HALF] in old.ended_digests:
        raise RolloutAlreadyEndedError(f"{digest} ended before without getting through")
    if digest == old.good_digest:
        raise RolloutAlreadyEndedError(f"{digest} is the good version already")
    # Never over the good version's document.
    place = 1 - old.good_slot if old.good_digest else 0
    return RolloutState(
        old.rollout_number + 1,
        "running",
        digest,
        place,
        0,
        old.good_digest,
        old.good_slot,
        ended_digests=old.ended_digests,
    )


def end_rollout(
    old: RolloutState, how: Literal["halted", "withdrawn", "expired"], why: str, figures: dict[str, float]
) -> RolloutState:
    """Return the decree that ends a rollout without success; its document is remembered.

    Raises RolloutAbsent.
    """
    if not old.running:
        raise RolloutNotFoundError(f"nothing runs; the last one, {old.digest or 'none'}, is {old.status}")
    spent = [*old.ended_digests, old.digest[:HALF]][-SPENT:]
    return msgspec.structs.replace(old, status=how, reason=why[:120], statistics=figures, ended_digests=spent)


def advance(old: RolloutState, course: RolloutPlan, figures: dict[str, float]) -> RolloutState:
    """Return the decree after a stage that is over: the next stage, or done."""
    if old.stage + 1 < len(course.stages):
        return msgspec.structs.replace(old, stage=old.stage + 1, figures=figures)
    return msgspec.structs.replace(
        old,
        status="done",
        good_digest=old.digest,
        good_slot=old.document_slot,
        reason="all stages over",
        statistics=figures,
    )


@dataclass(frozen=True, slots=True)
class LeaderFindings:
    """What a leader knows when it looks: answers of the present stage, accusations, reports."""

    candidate_trials: int  # under the candidate, in the present stage
    accusation: str = ""  # why the candidate is to be halted; "" while nothing accuses it
    rollback_count: int = 0  # processes that went back alone
    statistics: dict[str, float] | None = None


class StagePacer:
    """The leader's memory of time: which decree it saw, since when.  `look` gives the next decree or None.

    A leader that loses its lead calls `forget`.
    """

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.number = -1  # of the decree
        self.since = 0.0

    def forget(self) -> None:
        """Forget: the stage's time begins anew with the next look."""
        self.number = -1

    def next_state(
        self, now: float, number: int, state: RolloutState, course: RolloutPlan, found: LeaderFindings
    ) -> RolloutState | None:
        """Return the value that should follow decree `number`, or None: it stands."""
        if not state.running:
            self.forget()
            return None
        if number != self.number:
            self.number, self.since = number, now
        figures = found.statistics or {}
        if found.accusation:
            return end_rollout(state, "halted", found.accusation, figures)
        if found.rollback_count >= course.thresholds.rollbacks_to_halt:
            return end_rollout(state, "halted", f"{found.rollback_count} processes went back alone", figures)
        stage, passed = course.stages[state.stage], now - self.since
        if passed >= stage.min_duration_ms and found.candidate_trials >= stage.min_answers:
            return advance(state, course, figures)
        if passed >= course.thresholds.stage_timeout_ms:
            return end_rollout(
                state, "expired", f"stage {state.stage}: {found.candidate_trials} answers", figures
            )
        return None


# --- what a process may choose


def selects_volume(digest: str, volume: str, part: float) -> bool:
    """Whether a volume is in a part; parts of one document grow, another document draws anew."""
    if part >= 1:
        return True
    drawn = hashlib.blake2b(volume.encode(), key=digest.encode(), digest_size=8).digest()
    return int.from_bytes(drawn) < part * 2**64


def eligible_stage(
    state: RolloutState | None, course: RolloutPlan | None, volume: str, zone: str
) -> Stage | None:
    """Return the stage under which a request of a volume may come to the candidate here, or None."""
    if state is None or course is None or not state.running or state.stage >= len(course.stages):
        return None
    stage = course.stages[state.stage]
    if stage.zones is not None and zone not in stage.zones:
        return None
    return stage if selects_volume(state.digest, volume, stage.volume_fraction) else None


class ReadLease:
    """Until when this process may choose the candidate: by its own reads of the decree, not by what is told.

    Danger: word of a decree may lie on the way, or with a process that was cut off, for as long as it
    likes, and counts for a whole hold from when it is first heard.  A linearizable read that was *begun*
    after the halting decree cannot return the running one; so what is chosen within a hold of a read's
    beginning is chosen within a hold of the halt, whatever else was heard.
    """

    def __init__(self) -> None:
        """Start with nothing read."""
        self.number = -1
        self.until = 0.0

    def record_read(self, number: int, began_ms: float, hold_ms: float) -> None:
        """Enter a read's answer and when it was begun, on this process's clock."""
        self.number, self.until = number, began_ms + hold_ms

    def is_valid(self, number: int, now: float) -> bool:
        """Whether the decree of this number may be chosen by now."""
        return number == self.number and now < self.until


class Starts(Struct, frozen=True, forbid_unknown_fields=False):
    """What a process keeps on disk of a candidate: starts under it that had no orderly end, wall clock ms."""

    version: int = VERSION
    digest: str = ""
    open: bool = False  # the last life under it has not ended in order
    times: Annotated[list[float], Meta(max_length=16)] = []
    back: str = ""  # why this process went back alone; "" while it has not


def began(kept: Starts, digest: str, wall_ms: float, *, most: int, within_ms: float) -> Starts:
    """Return what to keep as a life begins under a candidate; `back` is set once there were too many.

    To be on disk *before* the candidate decides anything: what it kills at once would else never be counted.
    """
    if kept.digest != digest:
        return Starts(digest=digest, open=True)
    times = [t for t in kept.times if wall_ms - within_ms <= t <= wall_ms]
    if kept.open:
        times = [*times, wall_ms][-16:]
    back = kept.back
    if not back and len(times) >= most:
        back = f"stopped {len(times)} times under it"
    return Starts(digest=digest, open=not back, times=times, back=back)
