"""Which processes there are: SWIM with Lifeguard's extensions, as a state machine without clock and sockets.

SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018), each part in a module of
its own: `probes`, `relays`, `transitions` and `suspicion`, `broadcast_queue` and `outbox`, `merge`, `health`.
Beside the papers: `exchanges` and `view_checksum`, `reconnect`, `identity_conflicts`, and a process that did
not run for a while accuses nobody.  docs/members.md has the reasons.
"""

from __future__ import annotations

import random

from cressrock.membership import reconnect
from cressrock.membership.events import Event
from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.health import HealthScore
from cressrock.membership.identity_conflicts import IdentityConflicts
from cressrock.membership.joining import SeedJoiner
from cressrock.membership.local_member import LocalMember
from cressrock.membership.member_table import MemberRecord, MemberTable
from cressrock.membership.merge import UpdateMerger
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import (
    MAX_FRAME_BYTES,
    Ack,
    IdentityRequest,
    JoinRequest,
    JoinResponse,
    MemberState,
    MemberUpdate,
    Nack,
    Packet,
    Ping,
    PingRequest,
    Updates,
    batched,
)
from cressrock.membership.probes import Prober
from cressrock.membership.relays import PingRelay
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.state import MembershipState
from cressrock.membership.suspicion import min_suspicion_ms
from cressrock.membership.timers import Timer, TimerKind
from cressrock.membership.transitions import StateTransitions
from cressrock.membership.types import (
    NEVER_MS,
    ExchangeRequest,
    Identity,
    Member,
    OutgoingMessage,
    Peer,
    ProcessId,
)
from cressrock.membership.view_checksum import ViewChecksum


class Membership:
    """One process's view of all others, and what it has to say to them."""

    def __init__(
        self,
        identity: Identity,
        settings: MembershipSettings,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_ms: float,
        table: MemberTable | None = None,
    ) -> None:
        """`seeds` are addresses; the own one is passed over.  Simulations share records by their `table`."""
        self.settings = settings
        self.rng = rng
        local = LocalMember(identity, now_ms)
        health = HealthScore(settings.max_health_score)
        state = MembershipState(settings, rng, local, table or MemberTable(rng), health)
        self.state = state
        self._local, self._table = local, state.table
        self.checksum = ViewChecksum(state)
        self._outbox = Outbox(state, self.checksum)
        self._exchanges = ExchangeScheduler(state, self.checksum)
        self.transitions = StateTransitions(state, self._outbox, now_ms)
        self._conflicts = IdentityConflicts(state, self._outbox, self._exchanges)
        self._merger = UpdateMerger(state, self._outbox, self.transitions, self._exchanges, self._conflicts)
        self.prober = Prober(state, self._outbox, self.transitions)
        self.relay = PingRelay(state, self._outbox)
        other_seeds = tuple(seed for seed in seeds if seed != identity.address)
        self._joiner = SeedJoiner(state, other_seeds, self._outbox, self._exchanges, self._merger)
        self._last_call_ms = now_ms
        self._schedule_first(now_ms)

    def _schedule_first(self, now_ms: float) -> None:
        """Schedule the first of each timer at random: processes started together must not go on in step."""
        settings = self.settings
        for kind, interval_ms in (
            (TimerKind.PROBE, settings.protocol_period_ms / settings.probes_per_period),
            (TimerKind.GOSSIP, settings.gossip_interval_ms),
            (TimerKind.PERIOD, settings.protocol_period_ms),
            (TimerKind.EXCHANGE, settings.exchange_interval_ms),
        ):
            self.state.timers.schedule(now_ms + interval_ms * self.rng.random(), kind)
        self._joiner.schedule_first(now_ms)

    # --- what can be read

    @property
    def local(self) -> Identity:
        """This process."""
        return self._local.identity

    @property
    def incarnation(self) -> int:
        """This process's SWIM incarnation: how often it refuted a suspicion."""
        return self._local.incarnation

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score, 0 when healthy."""
        return self.state.health.score

    @property
    def fenced_by(self) -> int:
        """The process incarnation that has this process's name, NOT_FENCED without."""
        return self._local.fenced_by

    @property
    def leaving(self) -> bool:
        """Whether this process said that it leaves."""
        return self._local.leaving

    @property
    def joined(self) -> bool:
        """Whether a full exchange was made since the start."""
        return self._joiner.joined

    @property
    def counters(self) -> dict[str, int]:
        """What was odd, by reason."""
        return self.state.counters

    @property
    def process_ids_version(self) -> int:
        """Grows with each change of `process_ids`, so that nobody has to compare them."""
        return self._table.process_ids_version

    def view(self, now_ms: float) -> tuple[Member, ...]:
        """Return every member known, this process among them, by name."""
        members = [self._local.as_member(), *(record.as_member() for record in self._table.records.values())]
        return tuple(sorted(members, key=lambda member: member.name))

    def live_names(self) -> tuple[str, ...]:
        """Return the names of members that are alive or suspected, without this process; unordered."""
        return tuple(self._table.live.names)

    def process_ids(self) -> set[ProcessId]:
        """Return every process known, the dead and the left that are still kept among them."""
        known = {ProcessId(r.name, r.process_incarnation) for r in self._table.records.values()}
        return known | {ProcessId(self.local.name, self.local.process_incarnation)}

    def draw_peers(self, count: int) -> list[Peer]:
        """Draw live members."""
        names = self._table.live.sample(self.rng, count)
        return [Peer(name, self._table.address_of(name)) for name in names]

    def address_of(self, name: str) -> str | None:
        """Return the address a member announced, if it is known."""
        record = self._table.records.get(name)
        return record.info.address if record is not None and record.info is not None else None

    def cluster_size(self) -> int:
        """Return how many members are believed to live, this process among them."""
        return self._table.cluster_size

    def min_suspicion_ms(self) -> float:
        """Return the shortest time of suspicion for the present size."""
        return min_suspicion_ms(self.settings, self._table.cluster_size)

    # --- what is to be carried out

    def next_tick_ms(self) -> float:
        """Return when `tick` is to be called next; infinity once fenced."""
        return NEVER_MS if self._local.fenced else self.state.timers.next_fire_ms()

    def drain_messages(self) -> list[OutgoingMessage]:
        """Return, once, what goes on the wire."""
        messages, self._outbox.messages = self._outbox.messages, []
        return messages

    def drain_events(self) -> list[Event]:
        """Return, once, what has changed, in order."""
        events = list(self.state.events)
        self.state.events.clear()
        return events

    def drain_exchanges(self) -> list[ExchangeRequest]:
        """Return, once, the members to make a full exchange with."""
        requests, self._exchanges.requests = self._exchanges.requests, []
        return requests

    # --- packets

    def receive(self, now_ms: float, sender_address: str, packet: Packet) -> None:
        """Take in one packet of the own cluster."""
        if self._local.fenced:
            return
        self._note_activity(now_ms)
        sender, message = packet.sender, packet.body
        if sender == self._local.name:
            if packet.process_incarnation != self.local.process_incarnation:
                self._conflicts.receive_from_namesake(packet.process_incarnation, sender_address)
            return
        record = self._table.records.get(sender)
        if record is not None and packet.process_incarnation < record.process_incarnation:
            self._answer_replaced(record, sender_address)
            return
        if isinstance(message, JoinRequest):
            self._joiner.answer(now_ms, packet, message)
            return
        corrections: list[MemberUpdate] = []
        if isinstance(message, Ping | Ack | PingRequest | Nack | Updates | JoinResponse):
            corrections = self._merger.merge_all(now_ms, message.updates, sender)
        address = self._reply_address(packet, sender_address, corrections)
        if isinstance(message, Ping):
            self._exchanges.compare_views(now_ms, sender, message.view_checksum)
            if message.target == self._local.name:
                self._outbox.send_ack(sender, address, message.number, corrections)
                return
        else:
            self._handle(now_ms, packet, address)
        if corrections and self._outbox.allow_reply():
            self._outbox.send_updates(sender, address, corrections)

    def _answer_replaced(self, record: MemberRecord, sender_address: str) -> None:
        """Tell an older process who has its name now; nothing that it says is believed."""
        self.state.counters["older-life"] += 1
        if self._outbox.allow_reply():
            self._outbox.send(None, sender_address, Updates([record.as_update(full=True)]))

    def _reply_address(self, packet: Packet, sender_address: str, corrections: list[MemberUpdate]) -> str:
        """Return where to answer; ask an unknown sender who it is, and correct one that is believed dead."""
        record = self._table.records.get(packet.sender)
        if record is None or record.process_incarnation < packet.process_incarnation:
            if self._outbox.allow_reply():
                self.state.counters["unknown-sender"] += 1
                self._outbox.send(packet.sender, sender_address, IdentityRequest())
            return sender_address
        if record.state is MemberState.DEAD:
            # It speaks, so it lives: it is told what is believed of it, and refutes.
            corrections.insert(0, record.as_update())
        return record.info.address if record.info else sender_address

    def _handle(self, now_ms: float, packet: Packet, address: str) -> None:
        sender = packet.sender
        match packet.body:
            case Ack(number, _, view_checksum):
                self._exchanges.compare_views(now_ms, sender, view_checksum)
                if not self.prober.receive_ack(number):
                    self.relay.receive_ack(number)
            case Nack(number):
                self.prober.receive_nack(number)
            case PingRequest() as request:
                self.relay.relay(now_ms, sender, request)
            case IdentityRequest():
                self._outbox.send(sender, address, Updates([self._local.as_update(full=True)]))
            case JoinResponse():
                self._joiner.receive_response(now_ms, sender)

    # --- timers

    def tick(self, now_ms: float) -> None:
        """Do all that has fallen due."""
        if self._local.fenced:
            return
        self._note_activity(now_ms)
        while (timer := self.state.timers.pop_expired(now_ms)) is not None:
            self._run(now_ms, timer)

    def _run(self, now_ms: float, timer: Timer) -> None:
        match timer.kind:
            case TimerKind.PROBE:
                self.prober.start_next(now_ms)
            case TimerKind.INDIRECT_PROBE:
                self.prober.probe_indirectly(timer.number)
            case TimerKind.PROBE_DEADLINE:
                self.prober.conclude(now_ms, timer.number)
            case TimerKind.GOSSIP:
                self._gossip(now_ms)
            case TimerKind.SUSPICION:
                self.transitions.check_suspicion(now_ms, timer.name)
            case TimerKind.RELAY_DEADLINE:
                self.relay.send_nack(now_ms, timer.number)
            case TimerKind.RELAY_EXPIRY:
                self.relay.expire(timer.number)
            case TimerKind.PERIOD:
                self._begin_period(now_ms)
            case TimerKind.EXCHANGE:
                self._exchanges.request_periodic(now_ms)
            case TimerKind.JOIN:
                self._joiner.request_join(now_ms)

    def _gossip(self, now_ms: float) -> None:
        self.state.timers.schedule(now_ms + self.settings.gossip_interval_ms, TimerKind.GOSSIP)
        if self.state.queue:
            self._outbox.gossip(self.settings.gossip_fanout)

    def _begin_period(self, now_ms: float) -> None:
        self.state.timers.schedule(now_ms + self.settings.protocol_period_ms, TimerKind.PERIOD)
        self._outbox.renew_replies()
        reconnect.contact_dead(self.state, self._outbox)
        reconnect.forget_ended(self.state, now_ms)

    def _note_activity(self, now_ms: float) -> None:
        """After a gap between calls, in which this process did not run, hold nothing in it against others."""
        gap_ms, self._last_call_ms = now_ms - self._last_call_ms, max(now_ms, self._last_call_ms)
        period_ms = self.settings.protocol_period_ms
        if gap_ms <= period_ms / 2:
            return
        self.state.counters["late"] += 1
        self.state.health.adjust(2 if gap_ms > period_ms else 1)
        self.prober.abandon_all()
        self.relay.abandon_all()
        self.transitions.postpone_verdicts(now_ms, gap_ms)

    # --- leaving and full exchanges

    def leave(self, now_ms: float) -> None:
        """Leave in order: say so to some at once, to more at each gossip until the transport stops."""
        self._local.leaving = True
        self.state.queue.enqueue(self._local.as_update())
        self._outbox.gossip(self.settings.gossip_fanout * 2)

    def state_batches(self, max_bytes: int = MAX_FRAME_BYTES // 2) -> list[list[MemberUpdate]]:
        """Return everything known in batches of at most so many bytes, for the exchange."""
        records = self._table.records.values()
        updates = [self._local.as_update(full=True), *(record.as_update(full=True) for record in records)]
        return batched(updates, max_bytes)

    def merge_remote_state(self, now_ms: float, sender: str, updates: list[MemberUpdate]) -> None:
        """Take in one batch of an exchange with `sender`."""
        if self._local.fenced:
            return
        self._note_activity(now_ms)
        for update in updates:
            self._merger.merge(now_ms, update, sender, from_exchange=True)

    def record_exchange_result(self, now_ms: float, succeeded: bool) -> None:
        """Say how an exchange that this process began went; one that failed is tried again at the next."""
        self._exchanges.finished(now_ms, succeeded=succeeded)
        if succeeded:
            self._joiner.joined = True
        else:
            self.state.counters["exchange-failed"] += 1
