"""Cluster membership: SWIM with Lifeguard's extensions, as a state machine without clock and sockets.

Implements SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018) in separate
modules: `probes`, `relays`, `transitions` and `suspicion`, `broadcast_queue` and `outbox`, `merge`, `health`.
Additions to the papers: `exchanges` and `view_checksum`, `reconnect`, `identity_conflicts`, and a process
that was paused suspects no member for a while.  docs/members.md has the reasons.
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
    split_into_batches,
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
    """One process's view of the cluster, and the messages it has to send to other members."""

    def __init__(
        self,
        identity: Identity,
        settings: MembershipSettings,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_ms: float,
        table: MemberTable | None = None,
    ) -> None:
        """`seeds` are addresses; the process's own is ignored.  Simulations pass `table` to share records."""
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
        self._schedule_initial_timers(now_ms)

    def _schedule_initial_timers(self, now_ms: float) -> None:
        """Schedule the first timers with jitter, so that processes started together do not stay in step."""
        settings = self.settings
        for kind, interval_ms in (
            (TimerKind.PROBE, settings.protocol_period_ms / settings.probes_per_period),
            (TimerKind.GOSSIP, settings.gossip_interval_ms),
            (TimerKind.PERIOD, settings.protocol_period_ms),
            (TimerKind.EXCHANGE, settings.exchange_interval_ms),
        ):
            self.state.timers.schedule(now_ms + interval_ms * self.rng.random(), kind)
        self._joiner.schedule_first(now_ms)

    # --- queries

    @property
    def local(self) -> Identity:
        """The identity of this process."""
        return self._local.identity

    @property
    def incarnation(self) -> int:
        """This process's SWIM incarnation, raised each time it refutes a suspicion."""
        return self._local.incarnation

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score, 0 when healthy."""
        return self.state.health.score

    @property
    def fenced_by(self) -> int:
        """The process incarnation of the process that fenced this one, or NOT_FENCED."""
        return self._local.fenced_by

    @property
    def leaving(self) -> bool:
        """Whether this process has announced that it is leaving the cluster."""
        return self._local.leaving

    @property
    def joined(self) -> bool:
        """Whether a full exchange has succeeded since the start; always true without seeds."""
        return self._joiner.joined

    @property
    def counters(self) -> dict[str, int]:
        """Counts of unexpected events, by reason."""
        return self.state.counters

    @property
    def process_ids_version(self) -> int:
        """Increases with each change of `process_ids`, which saves callers the comparison."""
        return self._table.process_ids_version

    def view(self, now_ms: float) -> tuple[Member, ...]:
        """Return all known members, this process included, sorted by name."""
        members = [self._local.as_member(), *(record.as_member() for record in self._table.records.values())]
        return tuple(sorted(members, key=lambda member: member.name))

    def live_names(self) -> tuple[str, ...]:
        """Return the names of alive and suspected members in no particular order, excluding this process."""
        return tuple(self._table.live.names)

    def process_ids(self) -> set[ProcessId]:
        """Return all known processes, including dead and left ones that are still retained."""
        known = {ProcessId(r.name, r.process_incarnation) for r in self._table.records.values()}
        return known | {ProcessId(self.local.name, self.local.process_incarnation)}

    def draw_peers(self, count: int) -> list[Peer]:
        """Return up to `count` random live members, excluding this process."""
        names = self._table.live.sample(self.rng, count)
        return [Peer(name, self._table.address_of(name)) for name in names]

    def address_of(self, name: str) -> str | None:
        """Return the address that a member announced, or None if the member or its address is unknown."""
        record = self._table.records.get(name)
        return record.info.address if record is not None and record.info is not None else None

    def cluster_size(self) -> int:
        """Return the number of alive and suspected members, this process included."""
        return self._table.cluster_size

    def min_suspicion_ms(self) -> float:
        """Return the minimum suspicion timeout for the current cluster size."""
        return min_suspicion_ms(self.settings, self._table.cluster_size)

    # --- output for the caller

    def next_tick_ms(self) -> float:
        """Return when `tick` must be called next; infinity once fenced."""
        return NEVER_MS if self._local.fenced else self.state.timers.next_fire_ms()

    def drain_messages(self) -> list[OutgoingMessage]:
        """Return and clear the messages to send."""
        messages, self._outbox.messages = self._outbox.messages, []
        return messages

    def drain_events(self) -> list[Event]:
        """Return and clear the pending events, oldest first."""
        events = list(self.state.events)
        self.state.events.clear()
        return events

    def drain_exchanges(self) -> list[ExchangeRequest]:
        """Return and clear the requests for full exchanges."""
        requests, self._exchanges.requests = self._exchanges.requests, []
        return requests

    # --- packets

    def receive(self, now_ms: float, sender_address: str, packet: Packet) -> None:
        """Process one packet of this cluster; ignored once fenced."""
        if self._local.fenced:
            return
        self._detect_pause(now_ms)
        sender, message = packet.sender, packet.body
        if sender == self._local.name:
            if packet.process_incarnation != self.local.process_incarnation:
                self._conflicts.handle_name_conflict(packet.process_incarnation, sender_address)
            return
        record = self._table.records.get(sender)
        if record is not None and packet.process_incarnation < record.process_incarnation:
            self._reply_to_replaced(record, sender_address)
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
        if corrections and self._outbox.try_consume_reply():
            self._outbox.send_updates(sender, address, corrections)

    def _reply_to_replaced(self, record: MemberRecord, sender_address: str) -> None:
        """Send a replaced process the record of its successor; its own updates are ignored."""
        self.state.counters["older-life"] += 1
        if self._outbox.try_consume_reply():
            self._outbox.send(None, sender_address, Updates([record.as_update(full=True)]))

    def _reply_address(self, packet: Packet, sender_address: str, corrections: list[MemberUpdate]) -> str:
        """Return the address to reply to.

        Sends an unknown sender an IdentityRequest, and adds a correction for a sender that is believed dead.
        """
        record = self._table.records.get(packet.sender)
        if record is None or record.process_incarnation < packet.process_incarnation:
            if self._outbox.try_consume_reply():
                self.state.counters["unknown-sender"] += 1
                self._outbox.send(packet.sender, sender_address, IdentityRequest())
            return sender_address
        if record.state is MemberState.DEAD:
            # The sender is running, so send it the DEAD record, which it will refute.
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
        """Run all expired timers."""
        if self._local.fenced:
            return
        self._detect_pause(now_ms)
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
                self._run_period_tasks(now_ms)
            case TimerKind.EXCHANGE:
                self._exchanges.request_periodic(now_ms)
            case TimerKind.JOIN:
                self._joiner.request_join(now_ms)

    def _gossip(self, now_ms: float) -> None:
        self.state.timers.schedule(now_ms + self.settings.gossip_interval_ms, TimerKind.GOSSIP)
        if self.state.queue:
            self._outbox.gossip(self.settings.gossip_fanout)

    def _run_period_tasks(self, now_ms: float) -> None:
        self.state.timers.schedule(now_ms + self.settings.protocol_period_ms, TimerKind.PERIOD)
        self._outbox.reset_reply_budget()
        reconnect.ping_random_dead(self.state, self._outbox)
        reconnect.reap_inactive(self.state, now_ms)

    def _detect_pause(self, now_ms: float) -> None:
        """Detect a pause of this process since the last call; do not suspect others for silence during it."""
        gap_ms, self._last_call_ms = now_ms - self._last_call_ms, max(now_ms, self._last_call_ms)
        period_ms = self.settings.protocol_period_ms
        if gap_ms <= period_ms / 2:
            return
        self.state.counters["late"] += 1
        self.state.health.adjust(2 if gap_ms > period_ms else 1)
        self.prober.abandon_all()
        self.relay.abandon_all()
        self.transitions.extend_suspicions(now_ms, gap_ms)

    # --- leaving and full exchanges

    def leave(self, now_ms: float) -> None:
        """Announce a graceful leave to some members at once, and to more by gossip until shutdown."""
        self._local.leaving = True
        self.state.queue.enqueue(self._local.as_update())
        self._outbox.gossip(self.settings.gossip_fanout * 2)

    def state_batches(self, max_bytes: int = MAX_FRAME_BYTES // 2) -> list[list[MemberUpdate]]:
        """Return full updates of all known members for an exchange, in batches of at most `max_bytes`."""
        records = self._table.records.values()
        updates = [self._local.as_update(full=True), *(record.as_update(full=True) for record in records)]
        return split_into_batches(updates, max_bytes)

    def merge_remote_state(self, now_ms: float, sender: str, updates: list[MemberUpdate]) -> None:
        """Merge one batch of updates from an exchange with `sender`; ignored once fenced."""
        if self._local.fenced:
            return
        self._detect_pause(now_ms)
        for update in updates:
            self._merger.merge(now_ms, update, sender, from_exchange=True)

    def record_exchange_result(self, now_ms: float, succeeded: bool) -> None:
        """Record the result of an exchange that this process initiated.

        After a failure the next request for an exchange is not rate limited.
        """
        self._exchanges.record_result(now_ms, succeeded=succeeded)
        if succeeded:
            self._joiner.joined = True
        else:
            self.state.counters["exchange-failed"] += 1
