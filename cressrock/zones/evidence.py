"""What each edge saw of the zones by its own attempts, and what a process knows of all edges' words.  Pure.

No probes: an edge speaks of a zone only after clients' own requests.  It counts attempts in beats of its own
clock and keeps the last beats in which there were any; so its word stands until newer attempts speak, and
says how old it is.  A word is one of five, with a bias to what it was: mostly failures in the window, or
many in a row, make it bad; three in a row that arrived make it good again.

What is told goes into the spread in pieces of `MAX_BYTES` under `zones/0`, `zones/1`, ..  Each carries the
teller's beat.  A reader counts on its own clock from when it first heard that beat, and adds the age that
the teller said: durations of two clocks, never two clocks' times.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.zones import ZonesError
from cressrock.fleet.spread import SpreadSettings
from cressrock.interface import Outcome
from cressrock.zones.terms import VERSION, Zones, take

PREFIX = "zones/"
MAX_BYTES = 600  # of a piece: an entry of the spread may have 640
MAX_PIECES = 16
MOST = 9999  # of a told count
IN_A_ROW = 3  # answers in a row that make a bad word good; so many times `least` failures in a row a bad one

Origin = tuple[str, int]  # name and life


class Word(IntEnum):
    """What an edge says of a zone."""

    SILENT = 0
    GOOD = 1
    SLOW = 2
    HALF = 3
    BAD = 4


class Kind(IntEnum):
    """What an attempt says of the zone it went to."""

    NOTHING = 0
    REACHED = 1
    SLOW = 2
    FAILED = 3


def kind_of(outcome: Outcome, lag_ms: float, slow_ms: float) -> Kind:
    """Return what an outcome says.  An error or a refusal of a node is an answer: the zone was reached."""
    if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION):
        return Kind.FAILED
    if outcome is Outcome.MOOT:
        return Kind.NOTHING
    if outcome is Outcome.CANCELLED:  # given up from here; only a long wait says something
        return Kind.SLOW if lag_ms >= slow_ms else Kind.NOTHING
    return Kind.SLOW if lag_ms >= slow_ms else Kind.REACHED


class Said(Struct, frozen=True, array_like=True):
    """What an edge says of one zone; counts are of the last `window` beats with attempts, at most MOST.

    `age` is in beats since the last attempt.  `units` is the edge's work there a second, without what it
    spilled; `want` what clients ask of this zone first, whether or not it was sent there.
    """

    zone: Annotated[str, Meta(max_length=64)]
    word: Annotated[int, Meta(ge=0, le=255)]
    reached: Annotated[int, Meta(ge=0, le=MOST)] = 0
    failed: Annotated[int, Meta(ge=0, le=MOST)] = 0
    slow: Annotated[int, Meta(ge=0, le=MOST)] = 0
    age: Annotated[int, Meta(ge=0, le=MOST)] = 0
    units: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    want: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    run: Annotated[int, Meta(ge=-MOST, le=MOST)] = (
        0  # the last attempts in a row that arrived; failed: below 0
    )


class Piece(Struct, frozen=True, array_like=True):
    """One entry of the spread: the teller's beat and words; newer programs append fields."""

    beat: Annotated[int, Meta(ge=0, le=2**53)]
    words: Annotated[list[Said], Meta(max_length=64)]


_encode = msgspec.msgpack.Encoder().encode
_piece = msgspec.msgpack.Decoder(Piece)


def pieces(beat: int, words: Iterable[Said]) -> list[bytes]:
    """Return the words in as many pieces as are needed, each of at most MAX_BYTES."""
    found: list[bytes] = []
    group: list[Said] = []
    size = 0
    for said in sorted(words, key=lambda s: s.zone):
        more = len(_encode(said))
        if group and size + more > MAX_BYTES - 24:
            found.append(bytes((VERSION,)) + _encode(Piece(beat, group)))
            group, size = [], 0
        group.append(said)
        size += more
    found.append(bytes((VERSION,)) + _encode(Piece(beat, group)))
    return found


def read_piece(data: bytes) -> Piece:
    """Read one piece.  Raises ZonesMalformed, ZonesVersion."""
    return take(_piece, data, "evidence about zones")


@dataclass(slots=True)
class _Bucket:
    beat: int
    reached: int = 0
    failed: int = 0
    slow: int = 0


@dataclass(slots=True)
class _Seen:
    """One zone as this edge sees it."""

    word: Word = Word.SILENT
    buckets: deque[_Bucket] = field(default_factory=deque)
    reached: int = 0
    failed: int = 0
    slow: int = 0
    run: int = 0
    beat: int = 0  # of the last attempt
    units: float = 0.0  # in the present beat
    want: float = 0.0
    units_rate: float = 0.0  # units a second, smoothed
    want_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Change:
    """A key of the spread and its new value; None removes it."""

    key: str
    value: bytes | None


class Own:
    """An edge's own evidence."""

    def __init__(self, settings: Zones, now_ms: float) -> None:
        """Begin with nothing seen."""
        self.settings = settings
        self.beat = 1
        self.unknown = 0  # attempts in zones that the settings do not name
        self.seen: dict[str, _Seen] = {name: _Seen() for name in sorted(settings.zones)}
        self._next = now_ms + settings.beat_ms
        self._lived = 0  # beats that passed
        self._told_at = -1e18
        self._told_words: dict[str, tuple[int, bool]] = {}
        self._told_want: dict[str, float] = {}
        self._told_pieces = 0
        # Rates are smoothed over this many beats: longer than a window, so that a short burst is none.
        self._smooth = 1 - 0.5 ** (settings.beat_ms / 4000.0)

    # --- what happens

    def ended(self, zone: str, kind: Kind, units: float) -> None:
        """Count an attempt's end in this beat.  `units` are of work there that was not spilled."""
        seen = self.seen.get(zone)
        if seen is None:
            self.unknown += 1
            return
        if kind is Kind.NOTHING:
            return
        if not seen.buckets or seen.buckets[-1].beat != self.beat:
            seen.buckets.append(_Bucket(self.beat))
        last = seen.buckets[-1]
        seen.beat = self.beat
        if kind is Kind.FAILED:
            last.failed += 1
            seen.failed += 1
            seen.run = min(0, seen.run) - 1
        else:
            last.reached += 1
            seen.reached += 1
            seen.run = max(0, seen.run) + 1
            seen.units += units
            if kind is Kind.SLOW:
                last.slow += 1
                seen.slow += 1
        while seen.buckets[0].beat <= self.beat - self.settings.window:
            self._drop(seen)
        seen.word = self._word(seen)

    def wanted(self, zone: str, units: float) -> None:
        """Count what clients ask of a zone first, in this beat."""
        seen = self.seen.get(zone)
        if seen is not None:
            seen.want += units

    def turn(self, now_ms: float) -> None:
        """Let beats pass, all of a pause at once; to be called before what happens is counted."""
        if now_ms < self._next:
            return
        passed = 1 + int((now_ms - self._next) / self.settings.beat_ms)
        self._next += passed * self.settings.beat_ms
        self.beat += passed
        span = passed * self.settings.beat_ms / 1000
        # A young edge's rates are the mean of what it has seen, not a slow rise from nothing.
        self._lived += passed
        more = max(1 - (1 - self._smooth) ** passed, passed / self._lived)
        for seen in self.seen.values():
            seen.units_rate += more * (seen.units / span - seen.units_rate)
            seen.want_rate += more * (seen.want / span - seen.want_rate)
            seen.units = seen.want = 0.0

    @staticmethod
    def _drop(seen: _Seen) -> None:
        old = seen.buckets.popleft()
        seen.reached -= old.reached
        seen.failed -= old.failed
        seen.slow -= old.slow

    def _word(self, seen: _Seen) -> Word:
        of, count = self.settings, seen.reached + seen.failed
        if seen.word is Word.BAD and seen.run >= IN_A_ROW:
            # What failed before is over; another bad word needs failures of its own.
            seen.buckets.clear()
            seen.buckets.append(_Bucket(self.beat, seen.run))
            seen.reached, seen.failed, seen.slow = seen.run, 0, 0
            return Word.GOOD
        # Of a half that is away as many in a row are rare (1 in 2**9); of a whole zone they come within a
        # window.
        if (
            seen.failed >= of.least
            and seen.failed >= of.bad_share * count
            or seen.run <= -IN_A_ROW * of.least
        ):
            return Word.BAD
        if seen.word is Word.BAD:
            return Word.BAD
        if seen.failed >= of.least and seen.failed >= of.half_share * count:
            return Word.HALF
        if seen.reached >= of.least and seen.slow >= of.slow_share * seen.reached:
            return Word.SLOW
        # Half the shares lead back: a word does not tremble at its own limit.
        if seen.word is Word.HALF and seen.failed > of.half_share / 2 * count:
            return Word.HALF
        if seen.word is Word.SLOW and seen.slow > of.slow_share / 2 * max(1, seen.reached):
            return Word.SLOW
        if seen.word in (Word.HALF, Word.SLOW) and count < of.least:
            return seen.word
        return Word.GOOD if seen.reached else seen.word

    def forgive(self, zone: str) -> None:
        """Begin anew with a zone: it was taken back in common, and what failed before says nothing now."""
        if zone in self.seen:
            old = self.seen[zone]
            self.seen[zone] = _Seen(
                beat=old.beat,
                units=old.units,
                want=old.want,
                units_rate=old.units_rate,
                want_rate=old.want_rate,
            )

    # --- what is read and told

    def word(self, zone: str) -> Word:
        """Return this edge's word of a zone."""
        seen = self.seen.get(zone)
        return seen.word if seen is not None else Word.SILENT

    def idle_ms(self, zone: str) -> float:
        """Return how long no attempt there has ended."""
        return (self.beat - self.seen[zone].beat) * self.settings.beat_ms

    def told_want(self, zone: str) -> float:
        """Return what this edge last told that its clients ask of a zone first, units a second."""
        return self._told_want.get(zone, 0.0)

    def said(self) -> list[Said]:
        """Return the words as they are told now, of zones that were tried or asked for."""
        found = []
        for zone, seen in self.seen.items():
            if seen.word is Word.SILENT and seen.want_rate < 1e-3:
                continue
            top = max(seen.reached, seen.failed, 1)
            scale = min(1.0, MOST / top)
            found.append(
                Said(
                    zone,
                    int(seen.word),
                    int(seen.reached * scale),
                    int(seen.failed * scale),
                    int(seen.slow * scale),
                    min(MOST, self.beat - seen.beat),
                    round(seen.units_rate, 3),
                    round(seen.want_rate, 3),
                    max(-MOST, min(MOST, seen.run)),
                )
            )
        return found

    def tell(
        self, now_ms: float, stir: bool, pace_ms: float | None = None, least_ms: float = 0.0
    ) -> list[Change]:
        """Return what is told now; mostly nothing.

        A changed word is told at once (once a beat at most); the rest every `calm_ms`, or while something is
        wrong (`stir`: by decree; or here) so often that all edges together stay within `tells` of the
        spread.  `pace_ms`: what a collector bears in that case.  Never more often than `least_ms`.
        """
        self.turn(now_ms)
        of = self.settings
        words = {zone: (int(s.word), s.run > 0) for zone, s in self.seen.items() if s.word is not Word.SILENT}
        stirred = stir or any(word > Word.GOOD for word, _ in words.values())
        pace = 1000 * of.edges / of.tells if pace_ms is None else pace_ms
        every = min(of.calm_ms, max(of.beat_ms, pace)) if stirred else of.calm_ms
        if words != self._told_words:
            every = min(every, of.beat_ms)
        every = max(every, least_ms)
        if now_ms - self._told_at < every or (not words and not self._told_pieces):
            return []
        self._told_at, self._told_words = now_ms, words
        said = self.said()
        self._told_want = {s.zone: s.want for s in said}
        values = pieces(self.beat, said)[:MAX_PIECES]
        changes = [Change(f"{PREFIX}{n}", value) for n, value in enumerate(values)]
        changes += [Change(f"{PREFIX}{n}", None) for n in range(len(values), self._told_pieces)]
        self._told_pieces = len(values)
        return changes


@dataclass(frozen=True, slots=True)
class Heard:
    """An edge's word of a zone as a reader holds it: its age in all, and the teller's beat of the attempt.

    `told_ms`: how long ago its teller was heard last.
    """

    said: Said
    age_ms: float
    beat: int
    told_ms: float = 0.0


@dataclass(slots=True)
class _Told:
    beat: int = -1
    since: float = 0.0  # when that beat was first heard, on this reader's clock
    pieces: dict[str, Piece] = field(default_factory=dict)


class All:
    """What is known of all edges' words.  Merging keeps each origin's newest beat, in whatever order."""

    def __init__(self, settings: Zones, *, max_origins: int = SpreadSettings().max_origins) -> None:
        """`max_origins` is as the spread's own."""
        self.settings = settings
        self.max_origins = max_origins
        self.refused = 0
        self._told: dict[Origin, _Told] = {}

    def take(self, origin: Origin, key: str, value: bytes | None, now_ms: float) -> bool:
        """Take an entry of the spread; returns whether it changed anything.  Unreadable ones are counted."""
        if not key.startswith(PREFIX) or len(key) > len(PREFIX) + 3:
            return False
        told = self._told.get(origin)
        if value is None:
            return told is not None and told.pieces.pop(key, None) is not None
        try:
            piece = read_piece(value)
        except ZonesError:
            self.refused += 1
            return False
        if told is None:
            if len(self._told) >= self.max_origins:
                self.refused += 1
                return False
            told = self._told[origin] = _Told()
        before = told.pieces.get(key)
        if before is not None and before.beat >= piece.beat or len(told.pieces) >= MAX_PIECES and not before:
            return False
        told.pieces[key] = piece
        if piece.beat > told.beat:
            told.beat, told.since = piece.beat, now_ms
        return True

    def keep(self, alive: Collection[Origin]) -> None:
        """Forget who is not among these: gone, unsure or replaced by a newer life."""
        for origin in [o for o in self._told if o not in alive]:
            del self._told[origin]

    def forget(self, origin: Origin) -> None:
        """Forget one origin."""
        self._told.pop(origin, None)

    def beats(self) -> dict[Origin, int]:
        """Return the newest beat heard of each origin."""
        return {origin: told.beat for origin, told in self._told.items()}

    def words(
        self, now_ms: float, origins: Collection[Origin] | None = None
    ) -> dict[Origin, dict[str, Heard]]:
        """Return every origin's words about known zones, however old; who weighs them looks at the age.

        `origins`: of these alone.
        """
        beat_ms = self.settings.beat_ms
        found: dict[Origin, dict[str, Heard]] = {}
        for origin in self._told if origins is None else sorted(o for o in origins if o in self._told):
            told = self._told[origin]
            mine: dict[str, Heard] = {}
            passed = max(0.0, now_ms - told.since)
            for piece in told.pieces.values():
                for said in piece.words:
                    if said.zone not in self.settings.zones:
                        continue
                    # A piece that is older than the newest beat has waited for the beats between as well.
                    age = (told.beat - piece.beat + said.age) * beat_ms + passed
                    mine[said.zone] = Heard(said, age, piece.beat - said.age, passed)
            found[origin] = mine
        return found

    def loads(self, now_ms: float) -> dict[str, float]:
        """Return the work of each zone's own that its edges told, units a second; nothing of what is old."""
        found: dict[str, float] = {}
        for told in self._told.values():
            if now_ms - told.since <= 3 * self.settings.calm_ms:
                for piece in told.pieces.values():
                    for said in piece.words:
                        found[said.zone] = found.get(said.zone, 0.0) + said.units
        return found

    def accused(self, now_ms: float) -> bool:
        """Whether anybody calls a zone bad: then all tell, so that there is a second opinion."""
        return any(
            said.word >= Word.SLOW and now_ms - told.since <= self.settings.fresh_ms
            for told in self._told.values()
            for piece in told.pieces.values()
            for said in piece.words
        )

    def status(self, now_ms: float) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        tellers = sum(bool(told.pieces) for told in self._told.values())
        return {"tellers": tellers, "refused": self.refused}
