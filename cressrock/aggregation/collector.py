"""One collector: reports come in, summaries go out to the consensus replicas and to other collectors.  Pure.

A collector takes reports of any zone from whoever sends them.  Ages are durations on one clock each, added
up: of an entry's sender since it was published, and of each collector that held it.  A collector that stood
still does not know how long what it finds in its socket has lain there: it forgets all, takes nothing for
`summary_ttl_ms`, and asks its senders for everything.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cressrock.aggregation.entry_store import EntryStore
from cressrock.aggregation.handover import HandoverTracker
from cressrock.aggregation.members import MemberInfo, MemberTable
from cressrock.aggregation.messages import (
    MAX_MISSING_NAMES,
    MAX_PAYLOAD_BYTES,
    AnyMessage,
    Handover,
    HandoverAck,
    OutgoingMessage,
    Report,
    ReportAck,
    ZoneSummary,
)
from cressrock.aggregation.ranking import CollectorId, Origin
from cressrock.aggregation.summaries import MergedSummaries
from cressrock.aggregation.summarizer import Summarizer
from cressrock.aggregation.timings import AggregationTimings

MAX_CORE_SHARE = 0.5  # of a core, that the entries of one zone may take
ENTRY_COST_MS = 0.1  # of a core for an entry, until it is measured
COST_SMOOTHING = 200  # entries after which a new cost has replaced the old one
MAX_PUSHES = 200  # at a tick: more wait for the next
MIN_PUSH_INTERVAL_MS = 1000.0
SUMMARY_HEADER_BYTES = 200  # of a summary beside its sums
SUM_OVERHEAD_BYTES = 6  # of one sum beside its key and value
NEVER_MS = -1e18


class ReportCollector:
    """One collector's protocol."""

    def __init__(
        self, me: CollectorId, timings: AggregationTimings, summarizer: Summarizer, now_ms: float
    ) -> None:
        """`me`: this process."""
        self.me, self.timings, self.summarizer = me, timings, summarizer
        self.members = MemberTable(me)
        self.store = EntryStore(summarizer)
        self.handover = HandoverTracker(self.store)
        self.summaries = MergedSummaries(timings)
        self.entry_cost_ms = ENTRY_COST_MS
        self.counts = {"words": 0, "unknown": 0, "deaf": 0, "handed": 0, "pushed": 0, "woke": 0}
        self._number = 0  # of summaries, broadcasts and handovers
        self._next_tick_ms = now_ms
        self._ran_at_ms = now_ms
        self._deaf_until_ms = now_ms
        self._active = False
        self._evidence_requested, self._broadcast = False, b""
        self._pushed_at_ms: dict[str, float] = {}  # by recipient, since evidence is requested
        self._resend_all = False  # senders are to be asked for everything,
        self._woke_at_ms = now_ms  # since then

    # --- who is there

    def update_members(self, members: Iterable[MemberInfo], replicas: Iterable[str]) -> None:
        """Take the members' view, and who hears summaries; to be called when either changes."""
        self.members.update(members, replicas)
        self.summaries.retain({*self.members.collectors, self.me})
        self.store.retain(self.members)

    def owner(self, zone: str) -> CollectorId:
        """Return who collects a zone, as this one sees it."""
        return self.members.owner(zone)

    def zones(self) -> list[str]:
        """Return the zones of which entries are held."""
        return self.store.zones()

    def is_active(self) -> bool:
        """Whether anybody reports to collectors, here or elsewhere: then summaries are the whole evidence."""
        return self._active

    def incomplete_zones(self, now_ms: float) -> list[str]:
        """Return the zones of whose senders fewer than half are in a summary that counts."""
        current = self.summaries.current(now_ms)
        return sorted(
            zone
            for zone, names in self.members.senders_by_zone.items()
            if zone not in current or 2 * current[zone].summary.senders < len(names)
        )

    def origin_count(self) -> int:
        """Return of how many origins entries are held."""
        return len(self.store.origins)

    # --- what comes in

    def receive(
        self, now_ms: float, sender: str, incarnation: int, message: AnyMessage
    ) -> list[OutgoingMessage]:
        """Take a message of a member; returns what goes out for it."""
        if self._stood_still(now_ms) or now_ms < self._deaf_until_ms:
            self.counts["deaf"] += 1
            return []
        if isinstance(message, Report):
            return self._receive_report(now_ms, (sender, incarnation), message)
        if (sender, incarnation) not in self.members.collectors:
            self.counts["unknown"] += 1  # no collector, as far as is known here
            return []
        match message:
            case ZoneSummary():
                self.summaries.receive(now_ms, (sender, incarnation), message)
            case Handover():
                return self._receive_handover(now_ms, sender, message)
            case HandoverAck():
                self.handover.acknowledge(message.number)
        return []

    def _receive_report(self, now_ms: float, origin: Origin, report: Report) -> list[OutgoingMessage]:
        member = self._known_alive(origin)
        if member is None:
            return []  # no answer: it reports again, and the members know it by then
        self.store.hear(member, now_ms).reports_here = True
        for entry in report.entries:
            self.counts["words"] += self.store.receive(member, entry, now_ms)
        return [OutgoingMessage(origin[0], self._ack([report.number]))]

    def _receive_handover(self, now_ms: float, sender: str, handover: Handover) -> list[OutgoingMessage]:
        all_known = True
        for held in handover.entries:
            member = self._known_alive((held.name, held.incarnation))
            if member is None:
                all_known = False  # of a process that is not known here yet it comes again
            else:
                self.counts["words"] += self.store.receive(member, held.entry, now_ms)
        return [OutgoingMessage(sender, HandoverAck(handover.number))] if all_known else []

    def _known_alive(self, origin: Origin) -> MemberInfo | None:
        member = self.members.alive(*origin)
        self.counts["unknown"] += member is None
        return member

    def receive_gossip(
        self, now_ms: float, name: str, incarnation: int, key: str, value: bytes | None
    ) -> None:
        """Take an entry that came by gossip: of a process that does not report to collectors."""
        member = self.members.alive(name, incarnation)
        if member is not None:
            self.store.receive_gossip(member, key, value, now_ms)

    def record_cost(self, entries: int, cost_ms: float) -> None:
        """Learn how much of a core so many entries took; from it follows how often senders may report."""
        if entries:
            weight = min(1.0, entries / COST_SMOOTHING)
            self.entry_cost_ms += weight * (cost_ms / entries - self.entry_cost_ms)

    def _stood_still(self, now_ms: float) -> bool:
        """Whether this process stood still just now: then what is held and queued is of unknown age."""
        gap_ms, self._ran_at_ms = now_ms - self._ran_at_ms, now_ms
        if gap_ms <= self.timings.summary_ttl_ms:
            return False
        self.store.clear()
        self.handover.clear()
        self._deaf_until_ms = now_ms + self.timings.summary_ttl_ms
        self._resend_all = self._active or self._resend_all
        self._woke_at_ms = now_ms
        self._pushed_at_ms.clear()
        self.counts["woke"] += 1
        return True

    # --- what goes out

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return what is due; to be called at least every `summary_interval_ms`."""
        if self._stood_still(now_ms) or now_ms < self._deaf_until_ms or now_ms < self._next_tick_ms:
            return []
        self._next_tick_ms = max(now_ms, self._next_tick_ms + self.timings.summary_interval_ms)
        reporting = {zone for zone in self.zones() if self._is_reporting(zone, now_ms)}
        self._active = bool(reporting) or self.summaries.has_others(self.me)
        if not self._active:
            # Everybody reports by gossip; or what was reported here was forgotten just now.
            return self._pushes(now_ms) if self._resend_all else []
        sends: list[OutgoingMessage] = []
        for zone in self.zones():
            summaries = self._summarize(zone, now_ms)
            if zone in reporting:  # what came by gossip all replicas have
                sends += self._to_all_recipients(summaries)
        self._update_broadcast(now_ms)
        if self._evidence_requested or self._resend_all:
            sends += self._pushes(now_ms)
        for zone in self.zones():
            if self.owner(zone) != self.me:
                sends += self._hand_over(zone, now_ms)
        return sends

    def _is_reporting(self, zone: str, now_ms: float) -> bool:
        """Whether anybody of a zone reports to collectors, be it that there is nothing to report."""
        late_ms = 2 * self.timings.renewal_interval_ms
        return any(
            origin.reports_here and now_ms - origin.last_seen_ms <= late_ms or origin.uses_collectors()
            for origin in self.store.origins_in(zone)
        )

    # --- summaries

    def _summarize(self, zone: str, now_ms: float) -> list[ZoneSummary]:
        """Return a zone's summary in chunks that fit a datagram each, held here too."""
        names = self.store.names_in(zone)
        present = self.members.senders_by_zone.get(zone, set())
        senders = names & present  # others may report as well, but are not missed
        last_seen = [self.store.origins[name].last_seen_ms for name in senders]
        origins = {(name, self.store.origins[name].incarnation) for name in names}
        groups = _in_datagrams(self.summarizer.summarize(zone, origins, now_ms))
        recent_ms = 2 * self.timings.summary_ttl_ms
        self._number += 1
        summaries = [
            ZoneSummary(
                zone,
                number=self._number,
                senders=len(senders),
                recent_senders=sum(now_ms - last_seen_ms <= recent_ms for last_seen_ms in last_seen),
                members=len(present),
                oldest_ms=max(0.0, now_ms - min(last_seen, default=now_ms)),
                missing=sorted(present - names)[:MAX_MISSING_NAMES],
                sums=group,
                index=index,
                chunks=len(groups),
            )
            for index, group in enumerate(groups)
        ]
        for summary in summaries:
            self.summaries.receive(now_ms, self.me, summary)
        return summaries

    def _to_all_recipients(self, summaries: list[ZoneSummary]) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(name, summary)
            for name in self.members.summary_recipients
            for summary in summaries
        ]

    # --- broadcasts and pushes

    def _update_broadcast(self, now_ms: float) -> None:
        requested, broadcast = self.summarizer.broadcast(self.summaries.sums(now_ms), now_ms)
        if requested != self._evidence_requested or broadcast != self._broadcast:
            self._number += 1
        if not requested and not self._resend_all:
            self._pushed_at_ms.clear()
        self._evidence_requested, self._broadcast = requested, broadcast

    def _pushes(self, now_ms: float) -> list[OutgoingMessage]:
        """Ask those for evidence who were not asked yet, or whose report did not come."""
        again_ms = max(2 * self._update_interval_ms(), MIN_PUSH_INTERVAL_MS)
        names, any_missing = [], False
        for name in self._own_senders():
            origin = self.store.origins.get(name)
            last_seen_ms = origin.last_seen_ms if origin is not None else NEVER_MS
            pushed_at_ms = self._pushed_at_ms.get(name)
            missing = self._resend_all and last_seen_ms < self._woke_at_ms
            any_missing |= missing
            silent = self._evidence_requested and (pushed_at_ms is None or now_ms - last_seen_ms > again_ms)
            if (missing or silent) and (pushed_at_ms is None or now_ms - pushed_at_ms > again_ms):
                names.append(name)
                if len(names) >= MAX_PUSHES:
                    break
        # Danger: asked for everything in every answer, senders would never come to an end.
        if not any_missing or now_ms - self._woke_at_ms > 2 * self.timings.renewal_interval_ms:
            self._resend_all = False
        push = self._ack([])
        self._pushed_at_ms.update(dict.fromkeys(names, now_ms))
        self.counts["pushed"] += len(names)
        return [OutgoingMessage(name, push) for name in names]

    def _own_senders(self) -> list[str]:
        """Return who reports here, or should: senders of the zones that are collected here."""
        names = {name for name, origin in self.store.origins.items() if origin.reports_here}
        for zone in self.members.owned_zones():
            names |= self.members.senders_by_zone[zone]
        return sorted(names)

    def _update_interval_ms(self) -> float:
        """Return how often each sender's entries may change: what this process's core bears."""
        bearable_ms = self.origin_count() * self.entry_cost_ms / MAX_CORE_SHARE
        return max(self.timings.min_update_interval_ms, bearable_ms)

    def _ack(self, numbers: list[int]) -> ReportAck:
        interval_ms, min_interval_ms = self._update_interval_ms(), self.timings.min_update_interval_ms
        window_ms = len(self.members.owned_zones()) * min_interval_ms
        return ReportAck(
            numbers,
            broadcast_number=self._number,
            evidence_requested=self._evidence_requested,
            window_ms=min(interval_ms, max(window_ms, min_interval_ms / 2)),
            update_interval_ms=interval_ms,
            resend_all=self._resend_all and not numbers,
            broadcast=self._broadcast,
        )

    # --- handover

    def _hand_over(self, zone: str, now_ms: float) -> list[OutgoingMessage]:
        """Hand entries over to who collects their zone; forget them once all are acknowledged."""
        recipient, _ = self.owner(zone)
        sends = []
        for batch in self.handover.batches(zone, now_ms):
            self._number += 1
            self.handover.sent(self._number, batch)
            sends.append(OutgoingMessage(recipient, Handover(self._number, zone, batch)))
        self.counts["handed"] += len(sends)
        if not sends:
            self.handover.forget_handed(zone)
        return sends

    def status(self, now_ms: float) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        return {
            "held": self.origin_count(),
            "zones": {
                zone: {
                    "by": received.collector[0],
                    "tellers": received.summary.senders,
                    "members": received.summary.members,
                    "oldest_ms": round(received.summary.oldest_ms),
                    "unheard": received.summary.missing,
                }
                for zone, received in self.summaries.current(now_ms).items()
            },
            "stir": self._evidence_requested,
            "counts": dict(self.counts),
        }


def _in_datagrams(sums: Mapping[str, bytes]) -> list[dict[str, bytes]]:
    """Return sums in groups that fit a datagram each."""
    groups: list[dict[str, bytes]] = [{}]
    free_bytes = MAX_PAYLOAD_BYTES - SUMMARY_HEADER_BYTES
    for key, value in sorted(sums.items()):
        size = len(key) + len(value) + SUM_OVERHEAD_BYTES
        if groups[-1] and size > free_bytes:
            groups.append({})
            free_bytes = MAX_PAYLOAD_BYTES - SUMMARY_HEADER_BYTES
        groups[-1][key] = value
        free_bytes -= size
    return groups
