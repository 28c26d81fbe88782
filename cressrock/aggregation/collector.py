"""A collector's state: the newest word of each origin, their sums, and what a seat makes of these.  Pure.

A collector takes words of any zone from whoever tells them.  Of each origin's life it keeps the newest value
of each key, so order, loss and repetition change nothing.  Of lives that its members do not hold alive it
keeps nothing.

Sums.  Each zone is told upwards as one `Summary`: a zone is a range of origins, so sums of *different* zones
may be added.  Sums of *one* zone by two collectors never are: an origin may be in both, at two ages.  One
of the two is taken (`Merged.chosen`): the one that heard more tellers of late, then more at all.  And it
becomes exact by anti-entropy: who holds words of a zone that another collects now hands them over, entry by
entry, and forgets them once all are acknowledged; newest wins there as well.  So with any order, loss and
repetition, once it is quiet one collector holds the newest of all words, and the other none.

Ages are durations on one clock each, added up: of a word's teller since it was put, and of each collector
that held it.  A collector that stood still does not know how long what it finds in its socket has lain there:
it forgets all, takes nothing for `lapse_ms`, and asks its tellers for everything.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cressrock.aggregation import messages as w
from cressrock.aggregation.sender import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    AggregationTimings,
    CollectorId,
    OutgoingMessage,
    rank_collectors,
)

Origin = tuple[str, int]  # name and life

SHARE = 0.5  # of a core, that the words of one zone may take
WORD_MS = 0.1  # of a core for a word, until it is measured
MAX_SUMMARIES = 4096  # summaries held, of all zones and collectors
PUSHES = 200  # at a tick: more wait for the next
HANDS = 16  # datagrams of a handover at a tick


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member as collecting needs it.  `alive`: surely; `there`: alive or unsure."""

    name: str
    incarnation: int
    zone: str
    alive: bool
    is_present: bool
    sends_reports: bool  # it has evidence of its own: an edge
    is_collector: bool  # it announces that it collects


class Summarizer(Protocol):
    """What makes sums of a zone's words; one for all keys.  It holds what it is told, by origin."""

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry that was put at a time of this clock; returns whether it was news."""

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return the sums over these origins, which are of one zone, by key."""

    def broadcast(self, parts: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return what all processes are to know: whether evidence is wanted, and opaque bytes.

        `parts`: the sums of all zones, by zone and key.
        """


class SummarizerRegistry:
    """Several rooms' folds as one: each is told of all entries, and takes those of its own keys."""

    def __init__(self) -> None:
        """Begin with none."""
        self.summarizers: dict[str, Summarizer] = {}

    def add(self, name: str, fold: Summarizer) -> None:
        """Add one under a name, by which what it sends down is found (`words.decode_down`)."""
        self.summarizers[name] = fold

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry that was put at a time of this clock."""
        return any([fold.receive(origin, key, value, at_ms) for fold in self.summarizers.values()])

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""
        for fold in self.summarizers.values():
            fold.forget(origin)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return all sums over these origins."""
        found: dict[str, bytes] = {}
        for fold in self.summarizers.values():
            found |= fold.summarize(zone, origins, now_ms)
        return found

    def broadcast(self, parts: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether any of them wants evidence, and what all of them send down."""
        found = {name: fold.broadcast(parts, now_ms) for name, fold in sorted(self.summarizers.items())}
        return any(stir for stir, _ in found.values()), w.encode_broadcast(
            {n: d for n, (_, d) in found.items()}
        )


@dataclass(frozen=True, slots=True)
class ReceivedSummary:
    """A zone's sums as they were heard last, and when, on this clock."""

    collector: CollectorId
    received_at_ms: float
    summary: w.ZoneSummary  # with the parts of all its pieces


@dataclass(slots=True)
class _Pieces:
    number: int = -1
    found: dict[int, w.ZoneSummary] = field(default_factory=dict)


class MergedSummaries:
    """All collectors' summaries, merged: of each zone one, the fullest that is still new."""

    def __init__(self, times: AggregationTimings) -> None:
        """Begin with none."""
        self.times = times
        self._pieces: dict[tuple[str, CollectorId], _Pieces] = {}
        self._summaries: dict[tuple[str, CollectorId], ReceivedSummary] = {}

    def receive(self, now_ms: float, by: CollectorId, summary: w.ZoneSummary) -> None:
        """Take a piece of a summary; older ones than what is held change nothing."""
        key = (summary.zone, by)
        held = self._summaries.get(key)
        if (
            held is None
            and len(self._summaries) + len(self._pieces) >= MAX_SUMMARIES
            and key not in self._pieces
        ):
            return
        if held is not None and held.summary.number >= summary.number:
            return
        pieces = self._pieces.setdefault(key, _Pieces())
        if summary.number > pieces.number:
            pieces.number, pieces.found = summary.number, {}
        elif summary.number < pieces.number:
            return
        pieces.found[summary.index] = summary
        if len(pieces.found) >= summary.chunks:
            parts: dict[str, bytes] = {}
            for index in sorted(pieces.found):
                parts |= pieces.found[index].sums
            whole = w.ZoneSummary(
                summary.zone,
                summary.number,
                summary.senders,
                summary.recent_senders,
                summary.members,
                summary.oldest_ms,
                summary.missing,
                parts,
            )
            self._summaries[key] = ReceivedSummary(by, now_ms, whole)
            del self._pieces[key]

    def retain(self, collectors: Collection[CollectorId]) -> None:
        """Forget collectors that are not among these."""
        for table in (self._pieces, self._summaries):
            for key in [k for k in table if k[1] not in collectors]:
                del table[key]

    def has_others(self, me: CollectorId) -> bool:
        """Whether another collector's summary is held."""
        return any(by != me for _, by in self._summaries)

    def sums(self, now_ms: float) -> dict[str, Mapping[str, bytes]]:
        """Return the sums that count now, by zone and key."""
        return {zone: taken.summary.sums for zone, taken in self.current(now_ms).items()}

    def current(self, now_ms: float) -> dict[str, ReceivedSummary]:
        """Return the summary of each zone that counts now."""
        found: dict[str, ReceivedSummary] = {}
        for (zone, _), taken in sorted(self._summaries.items()):
            if now_ms - taken.received_at_ms > self.times.summary_ttl_ms:
                continue
            best = found.get(zone)
            if best is None or _fuller(taken) > _fuller(best):
                found[zone] = taken
        return found


def _fuller(taken: ReceivedSummary) -> tuple[int, int]:
    return taken.summary.recent_senders, taken.summary.senders


@dataclass(slots=True)
class _Word:
    number: int
    value: bytes | None
    at: float  # when it was put, as far as is known on this clock
    handed: int = -1  # number of what was handed over and acknowledged


@dataclass(slots=True)
class _Origin:
    life: int
    zone: str
    heard: float  # of late
    words: dict[str, _Word] = field(default_factory=dict)
    here: bool = False  # it tells here by itself; else another collector handed it over

    def tells(self) -> bool:
        """Whether it tells collectors, and not by the spread."""
        return any(word.number and word.value is not None for word in self.words.values())


class ReportCollector:
    """One collector."""

    def __init__(self, me: CollectorId, times: AggregationTimings, fold: Summarizer, now_ms: float) -> None:
        """`me`: this process."""
        self.me, self.times, self.summarizer = me, times, fold
        self.summaries = MergedSummaries(times)
        self.entry_cost_ms = WORD_MS
        self.counts = {"words": 0, "unknown": 0, "deaf": 0, "handed": 0, "pushed": 0, "woke": 0}
        self._peers: dict[str, MemberInfo] = {}
        self._tellers: dict[str, set[str]] = {}  # names that tell, by zone
        self._seats: tuple[str, ...] = ()
        self._collectors: tuple[CollectorId, ...] = ()
        self._owner: dict[str, CollectorId] = {}
        self._origins: dict[str, _Origin] = {}
        self._by_zone: dict[str, set[str]] = {}
        self._number = 0  # of summaries, of what comes down, and of handovers
        self._handing: dict[int, list[tuple[str, int, str, int]]] = {}
        self._next = now_ms
        self._ticked = now_ms
        self._deaf_until = now_ms
        self._whole = False  # tellers are to be asked for everything,
        self._woken = now_ms  # since then
        self._active = False
        self._stir, self._down = False, b""
        self._pushed: dict[str, float] = {}  # to whom, and when, since the stir began

    # --- who is there

    def update_members(self, peers: Iterable[MemberInfo], seats: Iterable[str], now_ms: float) -> None:
        """Take the members' view, and whom to tell summaries; to be called when either changes."""
        self._peers = {p.name: p for p in peers if p.is_present}
        self._collectors = tuple(
            sorted((p.name, p.incarnation) for p in self._peers.values() if p.is_collector)
        )
        # Other collectors too: what comes down to their tellers is of all zones.
        hear = {*(c[0] for c in self._collectors), *(n for n in seats if n in self._peers)}
        self._seats = tuple(sorted(hear - {self.me[0]}))
        self._tellers = {}
        for peer in self._peers.values():
            if peer.sends_reports:
                self._tellers.setdefault(peer.zone, set()).add(peer.name)
        self._owner.clear()
        self.summaries.retain({*self._collectors, self.me})
        for name, held in list(self._origins.items()):
            found = self._peers.get(name)
            if found is None or not found.alive or found.incarnation != held.life or found.zone != held.zone:
                self._forget(name)

    def _forget(self, name: str) -> None:
        held = self._origins.pop(name)
        self._by_zone[held.zone].discard(name)
        self.summarizer.forget((name, held.life))

    def owner(self, zone: str) -> CollectorId:
        """Return who collects a zone, as this one sees it."""
        found = self._owner.get(zone)
        if found is None:
            found = self._owner[zone] = next(iter(rank_collectors(zone, self._collectors)), self.me)
        return found

    def zones(self) -> list[str]:
        """Return the zones of which words are held."""
        return sorted(zone for zone, names in self._by_zone.items() if names)

    def is_active(self) -> bool:
        """Whether anybody tells collectors, here or elsewhere: then sums are the whole evidence."""
        return self._active

    def incomplete_zones(self, now_ms: float) -> list[str]:
        """Return the zones whose tellers are there, but not in any sums that count; half of them do."""
        chosen = self.summaries.current(now_ms)
        return sorted(
            zone
            for zone, names in self._tellers.items()
            if zone not in chosen or 2 * chosen[zone].summary.senders < len(names)
        )

    def origin_count(self) -> int:
        """Return how many origins' words are held."""
        return len(self._origins)

    # --- what comes in

    def receive(self, now_ms: float, sender: str, life: int, message: w.AnyMessage) -> list[OutgoingMessage]:
        """Take a message of a member; returns what goes out for it."""
        if self._woke(now_ms) or now_ms < self._deaf_until:
            self.counts["deaf"] += 1
            return []
        if isinstance(message, w.Report):
            return self._told(now_ms, sender, life, message)
        if (sender, life) not in self._collectors:
            self.counts["unknown"] += 1  # no collector, as far as is known here
            return []
        if isinstance(message, w.ZoneSummary):
            self.summaries.receive(now_ms, (sender, life), message)
        elif isinstance(message, w.Handover):
            all_known = True
            for held in message.entries:
                all_known &= self._take(held.name, held.incarnation, held.entry, now_ms)
            # Of a process that is not known here yet it comes again.
            return [OutgoingMessage(sender, w.HandoverAck(message.number))] if all_known else []
        elif isinstance(message, w.HandoverAck):
            for name, its_life, key, number in self._handing.pop(message.number, ()):
                origin = self._origins.get(name)
                if origin is not None and origin.life == its_life and key in origin.words:
                    origin.words[key].handed = max(origin.words[key].handed, number)
        return []

    def _told(self, now: float, sender: str, life: int, tell: w.Report) -> list[OutgoingMessage]:
        known = self._peers.get(sender)
        if known is None or known.incarnation != life or not known.alive:
            self.counts["unknown"] += 1
            return []  # no answer: it tells again, and the members know it by then
        self._hear(known, now).here = True
        for entry in tell.entries:
            self._take(sender, life, entry, now)
        return [OutgoingMessage(sender, self._got([tell.number]))]

    def _hear(self, peer: MemberInfo, now: float) -> _Origin:
        held = self._origins.get(peer.name)
        if held is None or held.life != peer.incarnation or held.zone != peer.zone:
            if held is not None:
                self._forget(peer.name)
            held = self._origins[peer.name] = _Origin(peer.incarnation, peer.zone, now, here=False)
            self._by_zone.setdefault(peer.zone, set()).add(peer.name)
        held.heard = max(held.heard, now)
        return held

    def _take(self, name: str, life: int, entry: w.ReportEntry, now: float) -> bool:
        """Keep a word if it is the newest; returns whether its origin is known."""
        at = now - entry.age_ms
        known = self._peers.get(name)
        if known is None or known.incarnation != life or not known.alive:
            self.counts["unknown"] += 1
            return False
        held = self._hear(known, at)
        word = held.words.get(entry.key)
        if word is not None and (word.number, -word.at) >= (entry.version, -at):
            return True
        if word is None and len(held.words) >= w.MAX_ENTRIES_PER_ORIGIN:
            return True
        # The same word heard by two ways is as old as the older of both says.
        held.words[entry.key] = _Word(entry.version, entry.value, at)
        self.counts["words"] += 1
        self.summarizer.receive((name, life), entry.key, entry.value, at)
        return True

    def receive_gossip(self, now_ms: float, name: str, life: int, key: str, value: bytes | None) -> None:
        """Take an entry that came by the spread: of a process that does not tell collectors."""
        known = self._peers.get(name)
        if known is None or known.incarnation != life or not known.alive:
            return
        held = self._origins.get(name)
        if held is not None and held.life == life and held.tells():
            return  # it tells collectors itself; what is left in the spread may be old
        held = self._hear(known, now_ms)
        word = held.words.get(key)
        if (word is None or word.value != value) and (word or len(held.words) < w.MAX_ENTRIES_PER_ORIGIN):
            held.words[key] = _Word(0, value, now_ms)
            self.summarizer.receive((name, life), key, value, now_ms)

    def record_cost(self, words: int, ms: float) -> None:
        """Hear how much of a core so many words took; from it follows how often tellers may tell."""
        if words:
            self.entry_cost_ms += min(1.0, words / 200) * (ms / words - self.entry_cost_ms)

    # --- what goes out

    def _woke(self, now: float) -> bool:
        """Whether this process stood still just now: then what is held and queued is of unknown age."""
        gap, self._ticked = now - self._ticked, now
        if gap <= self.times.summary_ttl_ms:
            return False
        for name in list(self._origins):
            self._forget(name)
        self._handing.clear()
        self._deaf_until, self._whole = now + self.times.summary_ttl_ms, self._active or self._whole
        self._woken = now
        self._pushed.clear()
        self.counts["woke"] += 1
        return True

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return what is due; to be called at least every `tell_ms`."""
        if self._woke(now_ms) or now_ms < self._deaf_until or now_ms < self._next:
            return []
        self._next = max(now_ms, self._next + self.times.summary_interval_ms)
        sends: list[OutgoingMessage] = []
        told = {zone for zone in self.zones() if self._tells(zone, now_ms)}
        self._active = bool(told) or self.summaries.has_others(self.me)
        if not self._active:
            # Everybody tells by the spread, as before; or what was told here was forgotten just now.
            return self._pushes(now_ms) if self._whole else []
        for zone in self.zones():
            # What came by the spread all seats have; of a zone that tells nobody no summary is needed.
            found = self._summaries(zone, now_ms)
            sends += found if zone in told else []
        stir, down = self.summarizer.broadcast(self.summaries.sums(now_ms), now_ms)
        if stir != self._stir or down != self._down:
            self._number += 1
        if not stir and not self._whole:
            self._pushed.clear()
        self._stir, self._down = stir, down
        if stir or self._whole:
            sends += self._pushes(now_ms)
        for zone in self.zones():
            if self.owner(zone) != self.me:
                sends += self._hand(zone, now_ms)
        return sends

    def _tells(self, zone: str, now: float) -> bool:
        """Whether anybody of a zone tells collectors, be it that there is nothing to tell."""
        late = 2 * self.times.renewal_interval_ms
        held = [self._origins[name] for name in self._by_zone[zone]]
        return any(o.here and now - o.heard <= late or o.tells() for o in held)

    def _mine(self) -> list[str]:
        """Return who tells here, or should: tellers of the zones that are collected here."""
        names = {n for n, o in self._origins.items() if o.here}
        for zone, tellers in self._tellers.items():
            if self.owner(zone) == self.me:
                names |= tellers
        return sorted(names)

    def _pushes(self, now: float) -> list[OutgoingMessage]:
        """Say to those who were not told yet, or whose word did not come, that evidence is wanted."""
        again = max(2 * self._pace(), 1000.0)
        names, waits = [], False
        for name in self._mine():
            pushed, held = self._pushed.get(name), self._origins.get(name)
            heard = held.heard if held is not None else -1e18
            missing = self._whole and heard < self._woken
            waits |= missing
            silent = self._stir and (pushed is None or now - heard > again)
            if (missing or silent) and (pushed is None or now - pushed > again):
                names.append(name)
                if len(names) >= PUSHES:
                    break
        # Danger: asked for everything in every answer, tellers would never come to an end.
        self._whole = self._whole and waits and now - self._woken <= 2 * self.times.renewal_interval_ms
        got = self._got([])
        for name in names:
            self._pushed[name] = now
        self.counts["pushed"] += len(names)
        return [OutgoingMessage(name, got) for name in names]

    def _pace(self) -> float:
        return max(self.times.min_update_interval_ms, len(self._origins) * self.entry_cost_ms / SHARE)

    def _got(self, numbers: list[int]) -> w.ReportAck:
        window = len(self._mine_zones()) * self.times.min_update_interval_ms
        window = min(self._pace(), max(window, self.times.min_update_interval_ms / 2))
        whole = self._whole and not numbers
        return w.ReportAck(numbers, self._number, self._stir, window, self._pace(), whole, self._down)

    def _mine_zones(self) -> list[str]:
        return [zone for zone in self._tellers if self.owner(zone) == self.me]

    def _summaries(self, zone: str, now: float) -> list[OutgoingMessage]:
        names = self._by_zone[zone]
        origins = {(n, self._origins[n].life) for n in names}
        there = self._tellers.get(zone, set())
        tellers = names & there  # others may tell as well, but are not missed
        heard = [self._origins[n].heard for n in tellers]
        parts = sorted(self.summarizer.summarize(zone, origins, now).items())
        groups: list[dict[str, bytes]] = [{}]
        room = MAX_PAYLOAD_BYTES - 200
        for key, value in parts:
            more = len(key) + len(value) + 6
            if groups[-1] and more > room:
                groups.append({})
                room = MAX_PAYLOAD_BYTES - 200
            groups[-1][key] = value
            room -= more
        self._number += 1
        recent = sum(now - at <= 2 * self.times.summary_ttl_ms for at in heard)
        unheard = sorted(there - names)[: w.SAMPLE]
        oldest = max(0.0, now - min(heard, default=now))
        found = [
            w.ZoneSummary(
                zone,
                self._number,
                len(tellers),
                recent,
                len(there),
                oldest,
                unheard,
                group,
                index,
                len(groups),
            )
            for index, group in enumerate(groups)
        ]
        for summary in found:
            self.summaries.receive(now, self.me, summary)
        return [OutgoingMessage(name, s) for name in self._seats for s in found]

    def _hand(self, zone: str, now: float) -> list[OutgoingMessage]:
        """Hand words over to who collects their zone; forget them once all are acknowledged."""
        to, names = self.owner(zone), sorted(self._by_zone[zone])
        sends: list[OutgoingMessage] = []
        batch: list[tuple[str, int, str, int]] = []
        held: list[w.HeldEntry] = []
        room, left = MAX_PAYLOAD_BYTES - HEADER_BYTES, False
        if len(self._handing) > 4 * HANDS:
            self._handing.clear()  # what was not answered is handed over again

        def close() -> None:
            nonlocal batch, held, room
            self._number += 1
            self._handing[self._number] = batch
            sends.append(OutgoingMessage(to[0], w.Handover(self._number, zone, held)))
            batch, held, room = [], [], MAX_PAYLOAD_BYTES - HEADER_BYTES

        for name in names:
            origin = self._origins[name]
            for key, word in sorted(origin.words.items()):
                if not word.number or word.handed >= word.number:
                    continue
                left = True
                if len(sends) >= HANDS:
                    break
                entry = w.ReportEntry(key, word.number, word.value, round(max(0.0, now - word.at)))
                one = w.HeldEntry(name, origin.life, entry)
                if held and w.encoded_size(one) > room:
                    close()
                room -= w.encoded_size(one)
                held.append(one)
                batch.append((name, origin.life, key, word.number))
        if held:
            close()
        self.counts["handed"] += len(sends)
        if not left:
            for name in names:
                if any(word.number for word in self._origins[name].words.values()):
                    self._forget(name)
        return sends

    def status(self, now_ms: float) -> dict[str, object]:
        """Return plain values for an admin port."""
        return {
            "held": len(self._origins),
            "zones": {
                zone: {
                    "by": t.collector[0],
                    "tellers": t.summary.senders,
                    "members": t.summary.members,
                    "oldest_ms": round(t.summary.oldest_ms),
                    "unheard": t.summary.missing,
                }
                for zone, t in self.summaries.current(now_ms).items()
            },
            "stir": self._stir,
            "counts": dict(self.counts),
        }
