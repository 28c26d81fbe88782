"""One process's side: to whom its evidence goes, when, and which of the two ways holds.  Pure.

Which collector.  Every process ranks the collectors it holds alive by *rendezvous hashing* (highest random
weight: Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998) of its zone, so no table
is agreed, and of those of one zone all go to one.  Who does not answer is passed over for a time that
doubles; the next of the ranking takes over long before the members call the first one gone.

When.  A changed entry at once; what was not answered again after `patience_ms`, or three times what answers
take; all entries anew to a new collector or a new life of one, at a time that is drawn, so that a zone's
tellers do not meet; everything every `renew_ms`, changed or not.  Bytes are flat: nothing here grows with
the fleet.

Which way.  Few processes tell by the spread, as it was before; more by collectors (`Way`).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from cressrock.aggregation import messages as w
from cressrock.errors.aggregation import ReportTooLargeError

CollectorId = tuple[str, int]  # name and life

MAX_PAYLOAD_BYTES = (
    1024  # bytes of entries in a telling: with the envelope below the fleet's largest datagram
)
HEADER_BYTES = 24  # bytes of a telling beside its entries


@dataclass(frozen=True, slots=True)
class AggregationTimings:
    """Times in milliseconds; the same for tellers and collectors."""

    min_update_interval_ms: float = 500.0  # nobody tells an entry's changes more often
    renewal_interval_ms: float = 10000.0  # everything, though nothing changed
    ack_timeout_ms: float = 250.0  # for an answer, at least
    max_attempts: int = 3  # tellings without an answer, then another collector
    min_backoff_ms: float = 2000.0  # a collector that did not answer, at first; doubled with each
    max_backoff_ms: float = 30000.0
    summary_interval_ms: float = 250.0  # how often a collector tells its summaries
    summary_ttl_ms: float = (
        1000.0  # a summary that is older counts no more: four of them were lost or never made
    )
    evidence_request_ttl_ms: float = 10000.0  # a push is heeded so long


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for a member, by name."""

    recipient: str
    message: w.AnyMessage


def rank_collectors(zone: str, collectors: Iterable[CollectorId]) -> list[CollectorId]:
    """Return the collectors of a zone, the first choice first: highest random weight, then name."""
    seed = xxhash.xxh3_64_intdigest(zone.encode())
    return sorted(
        collectors, key=lambda c: (xxhash.xxh3_64_intdigest(c[0].encode(), seed=seed), c[0]), reverse=True
    )


@dataclass(slots=True)
class _Own:
    number: int
    value: bytes | None
    at: float  # when it was put
    told: bool = False  # the present collector has said that it has it


@dataclass(slots=True)
class _Shunned:
    until: float = 0.0
    wait_ms: float = 0.0


class ReportSender:
    """An origin's entries, and what of them a collector still has to be told."""

    def __init__(self, zone: str, times: AggregationTimings, source: random.Random, now_ms: float) -> None:
        """`zone`: this process's own; `source` draws times."""
        self.zone, self.times, self.source = zone, times, source
        self.collector: CollectorId | None = None
        self.broadcast = b""  # the newest that came down, of the present collector
        self.counts = {"told": 0, "again": 0, "moved": 0}
        self._collectors: tuple[CollectorId, ...] = ()
        self._ranked: list[CollectorId] = []
        self._entries: dict[str, _Own] = {}
        self._number = 0  # of the newest change
        self._telling = 0  # of the newest telling
        self._sent: dict[int, list[tuple[str, int]]] = {}  # what is in a telling that was not answered
        self._shunned: dict[CollectorId, _Shunned] = {}
        self._told_at = 0.0
        self._answer_ms = 0.0  # how long an answer takes, smoothed
        self._failed = 0  # tellings in a row without an answer
        self._due = now_ms  # nothing is told before
        self._renew = now_ms + times.renewal_interval_ms * source.random()
        self._wait_until = 0.0  # for an answer
        self._at = (0, -1)  # life of the collector and `at` of the newest that came down
        self._stir_until = -1.0
        self._pace_ms = times.min_update_interval_ms
        self._window_ms = times.min_update_interval_ms

    # --- what is to be told

    def put(self, key: str, value: bytes | None, now_ms: float) -> None:
        """Set an entry; None removes it.  Raises CollectTooLarge."""
        held = self._entries.get(key)
        if held is not None and held.value == value or held is None and value is None:
            return
        if len(key) > w.MAX_KEY_BYTES or value is not None and len(value) > w.MAX_VALUE_BYTES:
            size = len(value or b"")
            raise ReportTooLargeError(f"{key[:80]!r}: {size} bytes; at most {w.MAX_VALUE_BYTES} are told")
        if held is None and len(self._entries) >= w.MAX_ENTRIES_PER_ORIGIN:
            raise ReportTooLargeError(f"{key!r}: more than {w.MAX_ENTRIES_PER_ORIGIN} entries")
        self._number += 1
        self._entries[key] = _Own(self._number, value, now_ms)

    def entries(self) -> dict[str, bytes]:
        """Return what stands."""
        return {key: own.value for key, own in self._entries.items() if own.value is not None}

    def is_empty(self) -> bool:
        """Whether nothing stands, and nobody has to be told so."""
        return not self._entries

    # --- whom

    def update_collectors(self, collectors: Iterable[CollectorId], now_ms: float) -> None:
        """Take the collectors that this process's members hold alive or unsure."""
        found = tuple(sorted(collectors))
        if found != self._collectors:
            self._collectors = found
            self._ranked = rank_collectors(self.zone, found)
            for one in [c for c in self._shunned if c not in found]:
                del self._shunned[one]

    def _choose(self, now: float) -> CollectorId | None:
        """Return the first of the ranking that is not passed over; with all of them silent nobody is told."""
        free = (c for c in self._ranked if c not in self._shunned or self._shunned[c].until <= now)
        return next(free, None)

    def _move(self, now: float) -> None:
        wanted = self._choose(now)
        if wanted == self.collector:
            return
        first, self.collector = self.collector is None, wanted
        self._sent.clear()
        self._failed = 0
        for own in self._entries.values():
            own.told = False
        self.counts["moved"] += not first
        # Danger: all of a zone's tellers move in one moment.  Each waits for a time of its own.
        self._due = max(self._due, now + self._window_ms * self.source.random())
        self._renew = min(self._renew, self._due)
        self._wait_until = 0.0

    # --- when

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return what is to be told now; mostly nothing."""
        times = self.times
        if self._wait_until and now_ms >= self._wait_until:
            self._wait_until = 0.0
            self._failed += 1
            self.counts["again"] += 1
            self._sent.clear()
            if self.collector is not None and self._failed >= times.max_attempts:
                shunned = self._shunned.setdefault(self.collector, _Shunned())
                shunned.wait_ms = min(times.max_backoff_ms, max(times.min_backoff_ms, 2 * shunned.wait_ms))
                shunned.until = now_ms + shunned.wait_ms * (0.5 + self.source.random() / 2)
        self._move(now_ms)
        if self.collector is None or now_ms < self._due or self._wait_until:
            return []
        renew = now_ms >= self._renew
        if not renew and all(own.told for own in self._entries.values()):
            return []
        if renew:
            self._renew = now_ms + times.renewal_interval_ms * (0.75 + self.source.random() / 2)
            for own in self._entries.values():
                own.told = False
        sends: list[OutgoingMessage] = []
        entries: list[w.ReportEntry] = []
        room = MAX_PAYLOAD_BYTES - HEADER_BYTES
        for key, own in sorted(self._entries.items()):
            if own.told:
                continue
            entry = w.ReportEntry(key, own.number, own.value, round(max(0.0, now_ms - own.at)))
            if entries and w.encoded_size(entry) > room:
                sends.append(self._tell(entries))
                entries, room = [], MAX_PAYLOAD_BYTES - HEADER_BYTES
            entries.append(entry)
            room -= w.encoded_size(entry)
        sends.append(self._tell(entries))
        # Not longer with each: who is silent is soon passed over, and that is what backs off.
        patience = max(times.ack_timeout_ms, 3 * self._answer_ms)
        self._wait_until = now_ms + patience * (1 + self.source.random() / 4)
        self._told_at = now_ms
        return sends

    def _tell(self, entries: list[w.ReportEntry]) -> OutgoingMessage:
        assert self.collector is not None
        self._telling += 1
        self._sent[self._telling] = [(entry.key, entry.version) for entry in entries]
        self.counts["told"] += 1
        return OutgoingMessage(self.collector[0], w.Report(self._telling, entries))

    def next_due_ms(self) -> float:
        """Return when `tick` may have something to do, without a change of entries or collectors."""
        if self.collector is None:
            return math.inf  # nobody to tell: asked again whenever the carrier looks
        if self._wait_until:
            return self._wait_until
        return max(self._due, self._renew if all(o.told for o in self._entries.values()) else self._due)

    def receive(self, now_ms: float, sender: str, life: int, got: w.ReportAck) -> bool:
        """Take an answer or a push; returns whether what comes down, or the stir, is new."""
        if self.collector != (sender, life):
            return False  # of one that was left: what it sends down may be old
        for number in got.numbers:
            for key, told in self._sent.pop(number, ()):
                own = self._entries.get(key)
                if own is not None and own.number == told:
                    own.told = True
                    if own.value is None:
                        del self._entries[key]
            self._failed = 0
            self._shunned.pop((sender, life), None)
        if got.numbers and self._wait_until:
            self._answer_ms += (now_ms - self._told_at - self._answer_ms) / 8
        if not self._sent:
            self._wait_until = 0.0
        if (life, got.broadcast_number) <= self._at:
            return False
        self._at = (life, got.broadcast_number)
        before = self.broadcast, self.is_evidence_requested(now_ms)
        self.broadcast = got.broadcast
        self._pace_ms, self._window_ms = max(self.times.min_update_interval_ms, got.pace_ms), got.window_ms
        if got.resend_all:
            for own in self._entries.values():
                own.told = False
            self._due = max(self._due, now_ms + got.window_ms * self.source.random())
            self._renew = min(self._renew, self._due)
        if got.evidence_requested:
            if not before[1]:
                self._due = max(self._due, now_ms + got.window_ms * self.source.random())
            self._stir_until = now_ms + self.times.evidence_request_ttl_ms
        else:
            self._stir_until = -1.0
        return (self.broadcast, got.evidence_requested) != before

    def is_evidence_requested(self, now_ms: float) -> bool:
        """Whether evidence is wanted from all."""
        return now_ms < self._stir_until

    def update_interval_ms(self) -> float:
        """Return how often entries may change while evidence is wanted: what the collector's core bears."""
        return self._pace_ms

    def is_acknowledged(self) -> bool:
        """Whether the present collector has all that is to be told."""
        return self.collector is not None and all(own.told for own in self._entries.values())


# --- which way

BUDGET_BYTES_S = 2000.0  # of control for each process, in all
SWIM_BYTES_S = 600.0  # of it for the members (benchmarks/results/members.md)
WORD_BYTES = 130.0  # an entry of evidence with its key and head in the spread
CARRIED_S = 40.0  # writes a second: 41 of 230 members are carried, 83 of 460 no more (the figures)
FIRST_MS = 1000.0  # a first change comes after so long
COPIES = 2.0  # a rumour reaches each process about so often


def derive_max_gossip_senders(renew_ms: float, changes: float = 0.8) -> int:
    """Return of how many tellers everybody can hear every word within a process's budget.

    Each of n tells 1 / `renew_ms` and `changes` more between; each process hears, and passes on, all of them.
    """
    a_second = (1 + changes) * 1000 / renew_ms
    return int((BUDGET_BYTES_S - SWIM_BYTES_S) / (a_second * WORD_BYTES * COPIES))


@dataclass(slots=True)
class DeliveryMode:
    """Whether evidence goes to collectors, by what this process's members say; with hysteresis.

    Up at `most` tellers, down at half of them, and either only after it was so for `hold_ms`: members that
    come and go flap nothing.  A live seat that does not announce collecting would hear nothing of it and
    decide without evidence, so with one of these all goes by the spread as before; likewise without any
    collector.
    """

    max_gossip_senders: int
    hold_ms: float
    collecting: bool = False
    reason: str = "few tellers"
    _since: float | None = None  # since when the other way is wanted
    _changes: int = 0

    def update(self, now_ms: float, senders: int, collectors: int, incapable_replicas: Sequence[str]) -> bool:
        """Return whether to collect.  `dumb_seats`: live seats that do not announce it, for the status."""
        few = senders <= (self.max_gossip_senders // 2 if self.collecting else self.max_gossip_senders)
        if few:
            wanted, why = False, "few tellers"
        elif not collectors:
            wanted, why = False, "no collector is alive"
        elif incapable_replicas:
            wanted, why = (
                False,
                f"{', '.join(sorted(incapable_replicas)[:3])} announce no {w.CAPABILITY.decode()}",
            )
        else:
            wanted, why = True, f"{senders} tellers are more than {self.max_gossip_senders}"
        if wanted == self.collecting:
            self._since, self.reason = None, why
            return self.collecting
        if self._since is None:
            self._since = now_ms
        # A process that joins a large fleet does not first tell it by the spread for a while.
        hold = self.hold_ms if self._changes else min(self.hold_ms, FIRST_MS)
        if now_ms - self._since >= hold:
            self.collecting, self.reason, self._since = wanted, why, None
            self._changes += 1
        return self.collecting


def gossip_interval_ms(tellers: int, carried_s: float, usual_ms: float) -> float:
    """Return the least time between two tellings of one process by the spread, of so many.

    0 while all of them tell every `usual_ms` and stay within `carried_s` a second, which the spread carries;
    beyond, as much as keeps them within it, however often evidence changes.
    """
    least = 1000.0 * tellers / carried_s
    return least if least > usual_ms else 0.0
