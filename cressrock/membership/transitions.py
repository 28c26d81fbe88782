"""Member state transitions (alive, suspect, dead, left) and suspicion timeouts (SWIM section 4.2)."""

from __future__ import annotations

from cressrock.membership.events import MemberDead, MemberLeft, MemberRecovered, MemberSuspected
from cressrock.membership.member_table import MemberRecord
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import MemberState, MemberUpdate
from cressrock.membership.state import MembershipState
from cressrock.membership.suspicion import suspicion_ms
from cressrock.membership.timers import TimerKind

TIMER_SLACK_MS = 1.0


class StateTransitions:
    """Applies every change of a member's state: records it, reports an event and queues it for broadcast."""

    def __init__(self, state: MembershipState, outbox: Outbox, now_ms: float) -> None:
        """Start with failure detection enabled from `now_ms` on."""
        self._state = state
        self._outbox = outbox
        self._settings = state.settings
        # Length of the last part of a suspicion, in which the suspected member is pinged directly, twice.
        self._final_ping_window_ms = (
            2 * state.settings.ping_timeout_fraction * state.settings.protocol_period_ms
        )
        self._detection_resumes_at_ms = now_ms

    # --- transitions

    def set_state(
        self, now_ms: float, record: MemberRecord, state: MemberState, incarnation: int, accuser: str
    ) -> None:
        """Set a member's state and incarnation, report the change and queue it for broadcast."""
        table = self._state.table
        record = table.writable(record)
        previous, record.state = record.state, state
        record.incarnation, record.accuser = incarnation, accuser
        record.accusers.clear()
        record.confirmed = False
        table.beliefs_version += 1
        if previous is not state:
            record.state_since_ms = now_ms
        match state:
            case MemberState.ALIVE:
                table.mark_live(record.name)
            case MemberState.SUSPECT:
                table.mark_live(record.name)
                record.suspected_at_ms = now_ms
                self._schedule_final_pings(now_ms, record)
            case MemberState.DEAD:
                table.mark_dead(record.name)
            case MemberState.LEFT:
                table.mark_left(record.name)
        self._report(record, previous, now_ms)
        self._state.queue.enqueue(record.as_update())

    def _report(self, record: MemberRecord, previous: MemberState, now_ms: float) -> None:
        events, name, process_incarnation = self._state.events, record.name, record.process_incarnation
        match record.state:
            case MemberState.ALIVE:
                if previous is not MemberState.ALIVE:
                    events.append(MemberRecovered(name, process_incarnation))
            case MemberState.SUSPECT:
                if previous is not MemberState.SUSPECT:
                    events.append(MemberSuspected(name, process_incarnation, now_ms))
            case MemberState.DEAD:
                events.append(MemberDead(name, process_incarnation))
            case MemberState.LEFT:
                events.append(MemberLeft(name, process_incarnation))

    def suspect(self, now_ms: float, record: MemberRecord, incarnation: int, accuser: str) -> None:
        """Suspect a member; `accuser` is empty if the suspicion stems from two member lists that disagree."""
        if record.state is MemberState.DEAD:
            return
        record = self._state.table.writable(record)
        self.set_state(now_ms, record, MemberState.SUSPECT, incarnation, accuser)
        if accuser:
            record.accusers.add(accuser)

    def confirm(self, now_ms: float, record: MemberRecord, accuser: str) -> None:
        """Record and broadcast another accuser of a suspected member, which shortens the suspicion."""
        max_accusers = self._settings.confirmations
        if not accuser or accuser in record.accusers or len(record.accusers) > max_accusers:
            return
        record = self._state.table.writable(record)
        record.accusers.add(accuser)
        record.confirmed = len(record.accusers) > max_accusers
        update = MemberUpdate(
            record.name, record.process_incarnation, record.incarnation, MemberState.SUSPECT, accuser
        )
        self._state.queue.enqueue_additional(update)
        deadline_ms = record.suspected_at_ms + self.suspicion_ms(record) - self._final_ping_window_ms
        self._state.timers.schedule(max(now_ms, deadline_ms), TimerKind.SUSPICION, name=record.name)

    # --- suspicion

    def suspicion_ms(self, record: MemberRecord) -> float:
        """Return the suspicion timeout of a member, scaled by this process's current health score."""
        base_ms = suspicion_ms(
            self._settings,
            self._state.table.cluster_size,
            len(record.accusers),
            has_named_accuser=bool(record.accuser),
        )
        return base_ms * self._state.health.suspicion_multiplier

    def _schedule_final_pings(self, now_ms: float, record: MemberRecord) -> None:
        deadline_ms = now_ms + self.suspicion_ms(record) - self._final_ping_window_ms
        self._state.timers.schedule(deadline_ms, TimerKind.SUSPICION, name=record.name)

    def check_suspicion(self, now_ms: float, name: str) -> None:
        """Send a suspected member a final ping, or declare it dead once its suspicion timeout has expired."""
        table, schedule = self._state.table, self._state.timers.schedule
        record = table.records.get(name)
        if record is None or record.state is not MemberState.SUSPECT:
            return
        deadline_ms = max(record.suspected_at_ms + self.suspicion_ms(record), self._detection_resumes_at_ms)
        if deadline_ms <= now_ms:
            accuser = self._state.local.name
            self.set_state(now_ms, record, MemberState.DEAD, record.incarnation, accuser)
        elif deadline_ms - now_ms > self._final_ping_window_ms + TIMER_SLACK_MS:
            schedule(deadline_ms - self._final_ping_window_ms, TimerKind.SUSPICION, name=name)
        else:
            if now_ms >= record.next_last_ping_ms:
                # The answer repeats a refutation that this process missed.  The deadline is not extended.
                record = table.writable(record)
                record.next_last_ping_ms = now_ms + self._final_ping_window_ms / 2
                self._outbox.send_ping(name, table.address_of(name), self._outbox.next_number())
            schedule(min(deadline_ms, record.next_last_ping_ms), TimerKind.SUSPICION, name=name)

    # --- after a pause of this process

    def may_suspect(self, now_ms: float) -> bool:
        """Whether enough time has passed since the last pause of this process to suspect others."""
        return now_ms >= self._detection_resumes_at_ms

    def extend_suspicions(self, now_ms: float, gap_ms: float) -> None:
        """Extend all suspicions by the length of a pause, and suspect no member for one protocol period."""
        self._detection_resumes_at_ms = now_ms + self._settings.protocol_period_ms
        table = self._state.table
        for record in table.records.values():
            if record.state is MemberState.SUSPECT:
                table.writable(record).suspected_at_ms += gap_ms
