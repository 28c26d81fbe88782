"""What the council has decided: the replicated state, and each process's reader of it.  Pure.

`Decrees` is the state machine that every seat runs over the same committed log: same commands, same state,
whatever the clock.  So nothing in it reads time, and its limits are themselves part of the state (two seats
with different settings would otherwise part without a word).

Numbers: a decree's number is the log's index plus an offset that is set at the founding to the wall clock's
milliseconds, and raised by a recovery.  So one sequence over all topics grows for ever, also over a council
that was founded again after all its stores were lost (unless the clock was set back further than that).

Requests are applied once.  Each carries an id and `asked_at`, the index that a seat had applied before it was
first asked.  The memory of ids is bounded; a request that is older than what was forgotten, and not in the
memory, is refused as *forgotten* instead of being applied perhaps twice (the bounded form of the client
sessions in Ongaro's dissertation, 6.3).

Holds and renewals: a decree counts for `hold_ms` on its reader's own clock since that reader first heard
its newest beat.  A beat is (term << 32) + count, drawn by a leader for each read index that a quorum
confirmed *after* it was asked, and only once everything up to that index is applied (`Beats`).  Terms grow,
so beats grow over leaders; a leader that was cut off gets no read index confirmed, so it renews nothing, and
copies of old beats renew nothing either.  Renewals cost a round of heartbeats and no disk write.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec

from cressrock.errors.consensus import InvalidDecisionError, StoreTooNewError

FORMAT_VERSION = 1
RENEWAL_COUNT_BITS = 32  # bits of a beat that count within a term

_T = TypeVar("_T")
Text = Annotated[str, msgspec.Meta(max_length=256)]
Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
MAX_TOPICS = 16384  # that a reader keeps: one for each of 10,000 servers, and others; `Limits` has its own
MAX_VALUE_BYTES = 1 << 19  # the codec's outermost bound; limits are far lower
Value = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Hold = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]


class DecisionLimits(msgspec.Struct, frozen=True, array_like=True):
    """Bounds of the council's memory; part of the replicated state."""

    max_topics: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096  # a few hundred volumes, zones, rooms
    max_value_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_VALUE_BYTES)] = 49152  # below raft max_entry
    max_total_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 26)] = (
        4 << 20
    )  # a snapshot crosses in a second
    max_requests: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096  # repeats come within seconds


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """One decision: topic, number, value, how long it counts without renewal, who asked, newest beat."""

    topic: Topic
    version: Whole
    value: Value
    lease_ms: Hold
    author: Text = ""
    renewal: Whole = 0


class Decide(msgspec.Struct, frozen=True, array_like=True, tag="decide"):
    """Let `value` stand for `topic`; with `if_number` only if that decree stands (0: if none does)."""

    topic: Topic
    value: Value
    lease_ms: Hold
    author: Text
    request_id: Topic
    asked_at_index: Whole
    if_version: Whole | None = None


class Drop(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Let nothing stand for `topic`: it is renewed no more and expires at its readers."""

    topic: Topic
    request_id: Topic
    asked_at_index: Whole
    if_version: Whole | None = None


class SetVersionBase(msgspec.Struct, frozen=True, array_like=True, tag="ground"):
    """Let numbers go on above `number`, and set limits; the first leader's first command.

    After a recovery from a lost majority `sure` is the last index that the recovered store knew as committed:
    what stands from after it gets a new number, since the old one may have been given to something else.
    """

    version_base: Whole
    limits: DecisionLimits | None = None
    committed_index: Whole | None = None


Command = Decide | Drop | SetVersionBase


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """What a request came to: the decree's number, or that of the drop."""

    version: Whole


class VersionConflict(msgspec.Struct, frozen=True, array_like=True, tag="clash"):
    """The number that was asked for does not stand; this one does (0: none)."""

    version: Whole


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Not applied, by a stated reason: too-large, too-many, forgotten."""

    reason: Text


Outcome = Done | VersionConflict | Rejected


class _State(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot's content."""

    applied: Whole
    offset: Whole
    limits: DecisionLimits
    forgotten: Whole
    decrees: list[Decision]
    requests: list[tuple[str, int, Outcome]]


_encoder = msgspec.msgpack.Encoder()
_command = msgspec.msgpack.Decoder(Command)
_decree = msgspec.msgpack.Decoder(Decision)
_state = msgspec.msgpack.Decoder(_State)
_seen = msgspec.msgpack.Decoder(tuple[int, dict[str, tuple[int, int]]])


def _take(decoder: msgspec.msgpack.Decoder[_T], data: bytes, what: str) -> _T:
    if not data:
        raise InvalidDecisionError(f"no bytes where {what} should be")
    if data[0] > FORMAT_VERSION:
        raise StoreTooNewError(f"{what} of version {data[0]}; this program knows up to {FORMAT_VERSION}")
    if data[0] < 1:
        raise InvalidDecisionError(f"{what} of version {data[0]}")
    try:
        return decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as wrong:
        raise InvalidDecisionError(f"{what} that cannot be read: {str(wrong)[:200]}") from None


def gossip_key(topic: str) -> str:
    """Return the key under which seats put a topic's decree (as `encode` gives it) into the spread."""
    return f"decree/{topic}"


def encode(message: Command | Decision) -> bytes:
    """Return a command's or decree's bytes: one byte of version, then MessagePack."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(message)


def decode_command(data: bytes) -> Command:
    """Read a command.  Raises BadDecree; StoreNewer where only a newer program knows it."""
    return _take(_command, data, "a command")


def decode_decision(data: bytes) -> Decision:
    """Read a decree.  Raises BadDecree; StoreNewer where only a newer program knows it."""
    return _take(_decree, data, "a decree")


class DecisionState:
    """The state that the committed log makes; the same at every seat that applied the same index."""

    def __init__(self, limits: DecisionLimits | None = None) -> None:
        """Begin empty; the limits hold until a Ground sets others."""
        self.limits = limits or DecisionLimits()
        self.applied = 0
        self.version_offset = 0
        self.forgotten_until_index = 0  # requests first asked at or before this index may have been forgotten
        self.total_bytes = 0
        self._decrees: dict[str, Decision] = {}
        self._requests: OrderedDict[str, tuple[int, Outcome]] = OrderedDict()

    # --- reading

    def get(self, topic: str) -> Decision | None:
        """Return what stands for a topic."""
        return self._decrees.get(topic)

    def all_decisions(self) -> tuple[Decision, ...]:
        """Return everything that stands, by topic."""
        return tuple(self._decrees[topic] for topic in sorted(self._decrees))

    @property
    def version(self) -> int:
        """The newest number that can have been given."""
        return self.applied + self.version_offset

    def outcome(self, request: str) -> Outcome | None:
        """Return what a request came to, if it was applied and is remembered."""
        found = self._requests.get(request)
        return found[1] if found else None

    # --- writing

    def apply(self, index: int, data: bytes) -> tuple[Command, Outcome] | None:
        """Apply the entry at `index`; b"" is one that carries no command.

        Raises BadDecree or StoreNewer for a command that this program does not know: the seat must stop
        then, since to pass over what others apply would part it from them without a word.
        """
        if index != self.applied + 1:
            raise InvalidDecisionError(f"entry {index} after {self.applied}")
        command = decode_command(data) if data else None
        self.applied = index
        if command is None:
            return None
        if isinstance(command, SetVersionBase):
            stale = self._after(command.committed_index) if command.committed_index is not None else []
            # Never below: a repeat, or a clock that was set back, must not let a number be given twice.
            self.version_offset = max(self.version_offset + len(stale), command.version_base - index)
            for back, decree in enumerate(reversed(stale)):
                renumbered = msgspec.structs.replace(decree, version=self.version - back)
                self._decrees[decree.topic] = renumbered
            if command.limits is not None:
                self.limits = command.limits
                self._forget()
            return command, Done(self.version)
        if (known := self._requests.get(command.request_id)) is not None:
            return command, known[1]
        if command.asked_at_index < self.forgotten_until_index:
            return command, Rejected("forgotten")
        outcome = self._decide(command) if isinstance(command, Decide) else self._drop(command)
        self._requests[command.request_id] = (index, outcome)
        self._forget()
        return command, outcome

    def _after(self, sure: int) -> list[Decision]:
        found = (decree for decree in self._decrees.values() if decree.version > sure + self.version_offset)
        return sorted(found, key=lambda decree: decree.version)

    def _forget(self) -> None:
        while len(self._requests) > self.limits.max_requests:
            _, (index, _) = self._requests.popitem(last=False)
            self.forgotten_until_index = max(self.forgotten_until_index, index)

    def _stands(self, topic: str) -> int:
        found = self._decrees.get(topic)
        return found.version if found else 0

    def _decide(self, command: Decide) -> Outcome:
        stands = self._stands(command.topic)
        if command.if_version is not None and command.if_version != stands:
            return VersionConflict(stands)
        old = self._decrees.get(command.topic)
        size = len(command.topic.encode()) + len(command.value)
        grown = self.total_bytes + size - (self._size(old) if old else 0)
        over = grown > max(
            self.limits.max_total_bytes, self.total_bytes
        )  # what makes it smaller is always taken
        if over or len(command.value) > self.limits.max_value_bytes:
            return Rejected("too-large")
        if old is None and len(self._decrees) >= self.limits.max_topics:
            return Rejected("too-many")
        self.total_bytes = grown
        self._decrees[command.topic] = Decision(
            command.topic, self.version, command.value, command.lease_ms, command.author
        )
        return Done(self.version)

    def _drop(self, command: Drop) -> Outcome:
        stands = self._stands(command.topic)
        if command.if_version is not None and command.if_version != stands:
            return VersionConflict(stands)
        if (old := self._decrees.pop(command.topic, None)) is not None:
            self.total_bytes -= self._size(old)
        return Done(self.version)

    @staticmethod
    def _size(decree: Decision) -> int:
        return len(decree.topic.encode()) + len(decree.value)

    # --- snapshots

    def snapshot(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""
        requests = [(name, index, outcome) for name, (index, outcome) in self._requests.items()]
        state = _State(
            self.applied,
            self.version_offset,
            self.limits,
            self.forgotten_until_index,
            list(self.all_decisions()),
            requests,
        )
        return bytes((FORMAT_VERSION,)) + _encoder.encode(state)

    @classmethod
    def restore(cls, data: bytes, applied: int = 0) -> DecisionState:
        """Return the state of a snapshot; b"" is the empty state, at index `applied`.

        Raises BadDecree; StoreNewer where only a newer program knows it.
        """
        self = cls()
        if not data:
            self.applied = applied
            return self
        state = _take(_state, data, "a snapshot")
        self.limits, self.applied, self.version_offset = state.limits, state.applied, state.offset
        self.forgotten_until_index = state.forgotten
        for decree in state.decrees:
            self._decrees[decree.topic] = decree
            self.total_bytes += self._size(decree)
        for name, index, outcome in state.requests:
            self._requests[name] = (index, outcome)
        return self


class LeaseRenewals:
    """The leader's side of renewal: which beat a confirmed read index earns."""

    def __init__(self, max_pending: int = 2048) -> None:
        """Begin without a beat; at most `most` questions wait, above what a seat lets wait for a read."""
        self.max_pending = max_pending
        self.last_renewal = 0
        self._asked: dict[int, tuple[int, float]] = {}  # token -> term in which it was asked, and when
        self._token = 0

    def ask(self, term: int, now_ms: float) -> int:
        """Return a token to ask a read index under, in this term."""
        self._token += 1
        while len(self._asked) >= self.max_pending:  # a leader without a quorum asks again and again
            self._asked.pop(next(iter(self._asked)))
        self._asked[self._token] = (term, now_ms)
        return self._token

    def confirm(self, token: int, term: int, now_ms: float, within_ms: float) -> int | None:
        """Return the beat for a confirmed read; None where the term has changed or too long has passed.

        A process that was stopped between the quorum's word and its own would else renew, on waking, what
        another leader may have replaced long ago.
        """
        asked = self._asked.pop(token, None)
        if asked is None or asked[0] != term or now_ms >= asked[1] + within_ms:
            return None
        # A read index is confirmed only by a quorum that still followed this term after it was asked.
        self.last_renewal = max(self.last_renewal + 1, (term << RENEWAL_COUNT_BITS) + 1)
        return self.last_renewal


@dataclass(frozen=True, slots=True)
class Expired:
    """A decree whose hold is over, since when on the reader's clock (ms): it counts no more."""

    decision: Decision
    expired_at_ms: float


class DecisionReader:
    """What one process takes from the council: the newest decree by topic, and how long it counts.

    `since` of a decree is when this reader *first* heard its newest beat, on its own clock.  A copy seen
    again renews nothing.  What a former life has seen is not known to be fresh: it counts as expired until
    a newer beat is heard.
    """

    def __init__(self, stored: bytes = b"", *, max_topics: int = MAX_TOPICS) -> None:
        """`seen` is what `seen()` gave in a former life.  Raises BadDecree, StoreNewer."""
        self.max_topics = max_topics
        self.version_floor = 0  # numbers at or below are not taken for topics that are not known any more
        self._past: dict[str, tuple[int, int]] = {}
        self._held: dict[str, tuple[Decision, float]] = {}
        if stored:
            self.version_floor, self._past = _take(_seen, stored, "what a reader has seen")

    def receive(self, decree: Decision, now_ms: float) -> bool:
        """Take a decree, from whomever; returns whether it is newer (number, beat) than what was seen."""
        topic, mark = decree.topic, (decree.version, decree.renewal)
        past = self._past.get(topic)
        if past is None:
            if decree.version <= self.version_floor:
                return False
        elif mark < past or (mark == past and topic in self._held):
            return False
        self._past[topic] = mark
        # Known from a former life and not renewed since: what it says may be long over.
        self._held[topic] = (decree, now_ms - decree.lease_ms if mark == past else now_ms)
        if past is None and len(self._past) > self.max_topics:
            # The smallest number goes, and raises the floor: what is forgotten can never be taken again.
            oldest = min(self._past, key=lambda known: self._past[known])
            self.version_floor = max(self.version_floor, self._past.pop(oldest)[0])
            self._held.pop(oldest, None)
        return mark != past

    def get(self, topic: str, now_ms: float) -> Decision | Expired | None:
        """Return the decree that counts now, or since when the newest one does not; None if none is known."""
        found = self._held.get(topic)
        if found is None:
            return None
        decree, since = found
        end = since + decree.lease_ms
        return decree if now_ms < end else Expired(decree, end)

    def next_expiry_ms(self, now_ms: float) -> float:
        """Return when the next decree that counts now ends without renewal; inf if none."""
        ends = (since + decree.lease_ms for decree, since in self._held.values())
        return min((end for end in ends if end > now_ms), default=float("inf"))

    def last_version(self, topic: str) -> int:
        """Return the newest number seen of a topic, in this life or a former one; 0 if none."""
        return self._past.get(topic, (0, 0))[0]

    def topics(self) -> tuple[str, ...]:
        """Return the topics of which a decree is held, sorted."""
        return tuple(sorted(self._held))

    def to_bytes(self) -> bytes:
        """Return what is to be kept on disk, so that the next life takes nothing older."""
        return bytes((FORMAT_VERSION,)) + _encoder.encode((self.version_floor, self._past))


def with_renewal(decrees: Iterable[Decision], beat: int) -> tuple[Decision, ...]:
    """Return the decrees with a beat."""
    return tuple(msgspec.structs.replace(decree, renewal=beat) for decree in decrees)
