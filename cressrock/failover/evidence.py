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

from cressrock.errors.failover import FailoverError
from cressrock.failover.decision import VERSION, FailoverSettings, decode_versioned
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.interface import Outcome

REPORT_KEY_PREFIX = "zones/"
MAX_CHUNK_BYTES = 600  # of a piece: an entry of the spread may have 640
MAX_CHUNKS = 16
MAX_COUNT = 9999  # of a told count
IN_A_ROW = 3  # answers in a row that make a bad word good; so many times `least` failures in a row a bad one

Origin = tuple[str, int]  # name and life


class ZoneHealth(IntEnum):
    """What an edge says of a zone."""

    UNKNOWN = 0
    HEALTHY = 1
    SLOW = 2
    DEGRADED = 3
    UNREACHABLE = 4


class AttemptResult(IntEnum):
    """What an attempt says of the zone it went to."""

    INCONCLUSIVE = 0
    REACHED = 1
    SLOW = 2
    FAILED = 3


def classify_attempt(outcome: Outcome, latency_ms: float, slow_ms: float) -> AttemptResult:
    """Return what an outcome says.  An error or a refusal of a node is an answer: the zone was reached."""
    if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION):
        return AttemptResult.FAILED
    if outcome is Outcome.ABANDONED:
        return AttemptResult.INCONCLUSIVE
    if outcome is Outcome.CANCELLED:  # given up from here; only a long wait says something
        return AttemptResult.SLOW if latency_ms >= slow_ms else AttemptResult.INCONCLUSIVE
    return AttemptResult.SLOW if latency_ms >= slow_ms else AttemptResult.REACHED


class ZoneReport(Struct, frozen=True, array_like=True):
    """What an edge says of one zone; counts are of the last `window` beats with attempts, at most MOST.

    `age` is in beats since the last attempt.  `units` is the edge's work there a second, without what it
    spilled; `want` what clients ask of this zone first, whether or not it was sent there.
    """

    zone: Annotated[str, Meta(max_length=64)]
    health: Annotated[int, Meta(ge=0, le=255)]
    reached: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    failed: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    slow: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    age_intervals: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    load: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    demand: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    streak: Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)] = (
        0  # the last attempts in a row that arrived; failed: below 0
    )


class ReportChunk(Struct, frozen=True, array_like=True):
    """One entry of the spread: the teller's beat and words; newer programs append fields."""

    interval: Annotated[int, Meta(ge=0, le=2**53)]
    reports: Annotated[list[ZoneReport], Meta(max_length=64)]


_encode = msgspec.msgpack.Encoder().encode
_piece = msgspec.msgpack.Decoder(ReportChunk)


def encode_reports(interval: int, reports: Iterable[ZoneReport]) -> list[bytes]:
    """Return the words in as many pieces as are needed, each of at most MAX_BYTES."""
    found: list[bytes] = []
    group: list[ZoneReport] = []
    size = 0
    for said in sorted(reports, key=lambda s: s.zone):
        more = len(_encode(said))
        if group and size + more > MAX_CHUNK_BYTES - 24:
            found.append(bytes((VERSION,)) + _encode(ReportChunk(interval, group)))
            group, size = [], 0
        group.append(said)
        size += more
    found.append(bytes((VERSION,)) + _encode(ReportChunk(interval, group)))
    return found


def decode_report_chunk(data: bytes) -> ReportChunk:
    """Read one piece.  Raises ZonesMalformed, ZonesVersion."""
    return decode_versioned(_piece, data, "evidence about zones")


@dataclass(slots=True)
class _Bucket:
    beat: int
    reached: int = 0
    failed: int = 0
    slow: int = 0


@dataclass(slots=True)
class _Seen:
    """One zone as this edge sees it."""

    word: ZoneHealth = ZoneHealth.UNKNOWN
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
class EntryUpdate:
    """A key of the spread and its new value; None removes it."""

    key: str
    value: bytes | None


class LocalEvidence:
    """An edge's own evidence."""

    def __init__(self, settings: FailoverSettings, now_ms: float) -> None:
        """Begin with nothing seen."""
        self.settings = settings
        self.interval = 1
        self.unknown_zone_attempts = 0  # attempts in zones that the settings do not name
        self.observations: dict[str, _Seen] = {name: _Seen() for name in sorted(settings.zones)}
        self._next = now_ms + settings.beat_ms
        self._lived = 0  # beats that passed
        self._told_at = -1e18
        self._told_words: dict[str, tuple[int, bool]] = {}
        self._told_want: dict[str, float] = {}
        self._told_pieces = 0
        # Rates are smoothed over this many beats: longer than a window, so that a short burst is none.
        self._smooth = 1 - 0.5 ** (settings.beat_ms / 4000.0)

    # --- what happens

    def record_attempt(self, zone: str, kind: AttemptResult, units: float) -> None:
        """Count an attempt's end in this beat.  `units` are of work there that was not spilled."""
        seen = self.observations.get(zone)
        if seen is None:
            self.unknown_zone_attempts += 1
            return
        if kind is AttemptResult.INCONCLUSIVE:
            return
        if not seen.buckets or seen.buckets[-1].beat != self.interval:
            seen.buckets.append(_Bucket(self.interval))
        last = seen.buckets[-1]
        seen.beat = self.interval
        if kind is AttemptResult.FAILED:
            last.failed += 1
            seen.failed += 1
            seen.run = min(0, seen.run) - 1
        else:
            last.reached += 1
            seen.reached += 1
            seen.run = max(0, seen.run) + 1
            seen.units += units
            if kind is AttemptResult.SLOW:
                last.slow += 1
                seen.slow += 1
        while seen.buckets[0].beat <= self.interval - self.settings.window:
            self._drop(seen)
        seen.word = self._word(seen)

    def record_demand(self, zone: str, units: float) -> None:
        """Count what clients ask of a zone first, in this beat."""
        seen = self.observations.get(zone)
        if seen is not None:
            seen.want += units

    def advance(self, now_ms: float) -> None:
        """Let beats pass, all of a pause at once; to be called before what happens is counted."""
        if now_ms < self._next:
            return
        passed = 1 + int((now_ms - self._next) / self.settings.beat_ms)
        self._next += passed * self.settings.beat_ms
        self.interval += passed
        span = passed * self.settings.beat_ms / 1000
        # A young edge's rates are the mean of what it has seen, not a slow rise from nothing.
        self._lived += passed
        more = max(1 - (1 - self._smooth) ** passed, passed / self._lived)
        for seen in self.observations.values():
            seen.units_rate += more * (seen.units / span - seen.units_rate)
            seen.want_rate += more * (seen.want / span - seen.want_rate)
            seen.units = seen.want = 0.0

    @staticmethod
    def _drop(seen: _Seen) -> None:
        old = seen.buckets.popleft()
        seen.reached -= old.reached
        seen.failed -= old.failed
        seen.slow -= old.slow

    def _word(self, seen: _Seen) -> ZoneHealth:
        of, count = self.settings, seen.reached + seen.failed
        if seen.word is ZoneHealth.UNREACHABLE and seen.run >= IN_A_ROW:
            # What failed before is over; another bad word needs failures of its own.
            seen.buckets.clear()
            seen.buckets.append(_Bucket(self.interval, seen.run))
            seen.reached, seen.failed, seen.slow = seen.run, 0, 0
            return ZoneHealth.HEALTHY
        # Of a half that is away as many in a row are rare (1 in 2**9); of a whole zone they come within a
        # window.
        if (
            seen.failed >= of.least
            and seen.failed >= of.bad_share * count
            or seen.run <= -IN_A_ROW * of.least
        ):
            return ZoneHealth.UNREACHABLE
        if seen.word is ZoneHealth.UNREACHABLE:
            return ZoneHealth.UNREACHABLE
        if seen.failed >= of.least and seen.failed >= of.half_share * count:
            return ZoneHealth.DEGRADED
        if seen.reached >= of.least and seen.slow >= of.slow_share * seen.reached:
            return ZoneHealth.SLOW
        # Half the shares lead back: a word does not tremble at its own limit.
        if seen.word is ZoneHealth.DEGRADED and seen.failed > of.half_share / 2 * count:
            return ZoneHealth.DEGRADED
        if seen.word is ZoneHealth.SLOW and seen.slow > of.slow_share / 2 * max(1, seen.reached):
            return ZoneHealth.SLOW
        if seen.word in (ZoneHealth.DEGRADED, ZoneHealth.SLOW) and count < of.least:
            return seen.word
        return ZoneHealth.HEALTHY if seen.reached else seen.word

    def reset_zone(self, zone: str) -> None:
        """Begin anew with a zone: it was taken back in common, and what failed before says nothing now."""
        if zone in self.observations:
            old = self.observations[zone]
            self.observations[zone] = _Seen(
                beat=old.beat,
                units=old.units,
                want=old.want,
                units_rate=old.units_rate,
                want_rate=old.want_rate,
            )

    # --- what is read and told

    def health(self, zone: str) -> ZoneHealth:
        """Return this edge's word of a zone."""
        seen = self.observations.get(zone)
        return seen.word if seen is not None else ZoneHealth.UNKNOWN

    def idle_ms(self, zone: str) -> float:
        """Return how long no attempt there has ended."""
        return (self.interval - self.observations[zone].beat) * self.settings.beat_ms

    def reported_demand(self, zone: str) -> float:
        """Return what this edge last told that its clients ask of a zone first, units a second."""
        return self._told_want.get(zone, 0.0)

    def reports(self) -> list[ZoneReport]:
        """Return the words as they are told now, of zones that were tried or asked for."""
        found = []
        for zone, seen in self.observations.items():
            if seen.word is ZoneHealth.UNKNOWN and seen.want_rate < 1e-3:
                continue
            top = max(seen.reached, seen.failed, 1)
            scale = min(1.0, MAX_COUNT / top)
            found.append(
                ZoneReport(
                    zone,
                    int(seen.word),
                    int(seen.reached * scale),
                    int(seen.failed * scale),
                    int(seen.slow * scale),
                    min(MAX_COUNT, self.interval - seen.beat),
                    round(seen.units_rate, 3),
                    round(seen.want_rate, 3),
                    max(-MAX_COUNT, min(MAX_COUNT, seen.run)),
                )
            )
        return found

    def due_updates(
        self, now_ms: float, stir: bool, pace_ms: float | None = None, least_ms: float = 0.0
    ) -> list[EntryUpdate]:
        """Return what is told now; mostly nothing.

        A changed word is told at once (once a beat at most); the rest every `calm_ms`, or while something is
        wrong (`stir`: by decree; or here) so often that all edges together stay within `tells` of the
        spread.  `pace_ms`: what a collector bears in that case.  Never more often than `least_ms`.
        """
        self.advance(now_ms)
        of = self.settings
        words = {
            zone: (int(s.word), s.run > 0)
            for zone, s in self.observations.items()
            if s.word is not ZoneHealth.UNKNOWN
        }
        stirred = stir or any(word > ZoneHealth.HEALTHY for word, _ in words.values())
        pace = 1000 * of.edges / of.tells if pace_ms is None else pace_ms
        every = min(of.calm_ms, max(of.beat_ms, pace)) if stirred else of.calm_ms
        if words != self._told_words:
            every = min(every, of.beat_ms)
        every = max(every, least_ms)
        if now_ms - self._told_at < every or (not words and not self._told_pieces):
            return []
        self._told_at, self._told_words = now_ms, words
        said = self.reports()
        self._told_want = {s.zone: s.demand for s in said}
        values = encode_reports(self.interval, said)[:MAX_CHUNKS]
        changes = [EntryUpdate(f"{REPORT_KEY_PREFIX}{n}", value) for n, value in enumerate(values)]
        changes += [
            EntryUpdate(f"{REPORT_KEY_PREFIX}{n}", None) for n in range(len(values), self._told_pieces)
        ]
        self._told_pieces = len(values)
        return changes


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """An edge's word of a zone as a reader holds it: its age in all, and the teller's beat of the attempt.

    `told_ms`: how long ago its teller was heard last.
    """

    report: ZoneReport
    age_ms: float
    interval: int
    silent_ms: float = 0.0


@dataclass(slots=True)
class _Told:
    beat: int = -1
    since: float = 0.0  # when that beat was first heard, on this reader's clock
    pieces: dict[str, ReportChunk] = field(default_factory=dict)


class FleetEvidence:
    """What is known of all edges' words.  Merging keeps each origin's newest beat, in whatever order."""

    def __init__(
        self, settings: FailoverSettings, *, max_origins: int = GossipStoreSettings().max_origins
    ) -> None:
        """`max_origins` is as the spread's own."""
        self.settings = settings
        self.max_origins = max_origins
        self.rejected = 0
        self._told: dict[Origin, _Told] = {}

    def receive(self, origin: Origin, key: str, value: bytes | None, now_ms: float) -> bool:
        """Take an entry of the spread; returns whether it changed anything.  Unreadable ones are counted."""
        if not key.startswith(REPORT_KEY_PREFIX) or len(key) > len(REPORT_KEY_PREFIX) + 3:
            return False
        told = self._told.get(origin)
        if value is None:
            return told is not None and told.pieces.pop(key, None) is not None
        try:
            piece = decode_report_chunk(value)
        except FailoverError:
            self.rejected += 1
            return False
        if told is None:
            if len(self._told) >= self.max_origins:
                self.rejected += 1
                return False
            told = self._told[origin] = _Told()
        before = told.pieces.get(key)
        if (
            before is not None
            and before.interval >= piece.interval
            or len(told.pieces) >= MAX_CHUNKS
            and not before
        ):
            return False
        told.pieces[key] = piece
        if piece.interval > told.beat:
            told.beat, told.since = piece.interval, now_ms
        return True

    def retain(self, alive: Collection[Origin]) -> None:
        """Forget who is not among these: gone, unsure or replaced by a newer life."""
        for origin in [o for o in self._told if o not in alive]:
            del self._told[origin]

    def forget(self, origin: Origin) -> None:
        """Forget one origin."""
        self._told.pop(origin, None)

    def latest_intervals(self) -> dict[Origin, int]:
        """Return the newest beat heard of each origin."""
        return {origin: told.beat for origin, told in self._told.items()}

    def reports(
        self, now_ms: float, origins: Collection[Origin] | None = None
    ) -> dict[Origin, dict[str, ReceivedReport]]:
        """Return every origin's words about known zones, however old; who weighs them looks at the age.

        `origins`: of these alone.
        """
        beat_ms = self.settings.beat_ms
        found: dict[Origin, dict[str, ReceivedReport]] = {}
        for origin in self._told if origins is None else sorted(o for o in origins if o in self._told):
            told = self._told[origin]
            mine: dict[str, ReceivedReport] = {}
            passed = max(0.0, now_ms - told.since)
            for piece in told.pieces.values():
                for said in piece.reports:
                    if said.zone not in self.settings.zones:
                        continue
                    # A piece that is older than the newest beat has waited for the beats between as well.
                    age = (told.beat - piece.interval + said.age_intervals) * beat_ms + passed
                    mine[said.zone] = ReceivedReport(said, age, piece.interval - said.age_intervals, passed)
            found[origin] = mine
        return found

    def zone_loads(self, now_ms: float) -> dict[str, float]:
        """Return the work of each zone's own that its edges told, units a second; nothing of what is old."""
        found: dict[str, float] = {}
        for told in self._told.values():
            if now_ms - told.since <= 3 * self.settings.calm_ms:
                for piece in told.pieces.values():
                    for said in piece.reports:
                        found[said.zone] = found.get(said.zone, 0.0) + said.load
        return found

    def is_any_zone_accused(self, now_ms: float) -> bool:
        """Whether anybody calls a zone bad: then all tell, so that there is a second opinion."""
        return any(
            said.health >= ZoneHealth.SLOW and now_ms - told.since <= self.settings.fresh_ms
            for told in self._told.values()
            for piece in told.pieces.values()
            for said in piece.reports
        )

    def status(self, now_ms: float) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        tellers = sum(bool(told.pieces) for told in self._told.values())
        return {"tellers": tellers, "refused": self.rejected}
