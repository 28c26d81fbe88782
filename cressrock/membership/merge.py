"""Merges updates into what is believed, by one order: whatever their order, loss and repetition, views meet.

Updates of one (name, process incarnation) are ordered by (left, incarnation, state), process incarnations of
one name by number; what is believed only goes up in that order.  The one step back is from dead to suspected,
at an exchange with a member that still believes the dead one alive: a partition's two sides disagree, and
only the one concerned can say.
"""

from __future__ import annotations

from collections.abc import Iterable

from cressrock.membership.events import MemberJoined, MemberRestarted
from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.identity_conflicts import IdentityConflicts
from cressrock.membership.member_table import ENDED, MemberRecord
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import MemberState, MemberUpdate
from cressrock.membership.state import MembershipState
from cressrock.membership.transitions import StateTransitions

MAX_CORRECTIONS = 8  # answers to one packet's outdated updates
RECENT_PERIODS = 3  # dead for longer: a partition lay between, not an update that is late
RECOVERY_EXCHANGE_PERIODS = 5  # between full exchanges with members that came back


class UpdateMerger:
    """Takes in updates from packets and exchanges."""

    def __init__(
        self,
        state: MembershipState,
        outbox: Outbox,
        transitions: StateTransitions,
        exchanges: ExchangeScheduler,
        conflicts: IdentityConflicts,
    ) -> None:
        """Merge into the table of `state`."""
        self._state = state
        self._table = state.table
        self._outbox = outbox
        self._transitions = transitions
        self._exchanges = exchanges
        self._conflicts = conflicts

    def merge_all(self, now_ms: float, updates: Iterable[MemberUpdate], sender: str) -> list[MemberUpdate]:
        """Merge a packet's updates; returns what is known better here, as corrections for the sender."""
        corrections: list[MemberUpdate] = []
        records = self._table.records
        for update in updates:
            record = records.get(update.name)
            if (
                record is not None
                and update.state is record.state
                and update.incarnation == record.incarnation
                and update.process_incarnation == record.process_incarnation
                and update.info is None
                and (
                    record.state is not MemberState.SUSPECT
                    or record.confirmed
                    or update.accuser in record.accusers
                )
            ):
                continue  # most updates were heard before
            correction = self.merge(now_ms, update, sender)
            if correction is not None and len(corrections) < MAX_CORRECTIONS:
                corrections.append(correction)
        return corrections

    def merge(
        self, now_ms: float, update: MemberUpdate, sender: str, *, from_exchange: bool = False
    ) -> MemberUpdate | None:
        """Merge one update; returns what is known better here, if the update is behind it."""
        if update.name == self._state.local.name:
            return self._merge_about_local(update)
        record = self._table.records.get(update.name)
        if record is None:
            self._add(now_ms, update)
            return None
        if _is_other_process(record, update):
            return self._merge_other_process(now_ms, record, update)
        if record.info is None and update.info is not None:
            record = self._table.writable(record)
            record.info = update.info
        if record.state is MemberState.LEFT:
            return None
        if update.state is MemberState.LEFT:
            self._transitions.change(now_ms, record, MemberState.LEFT, update.incarnation, "")
            return None
        if update.incarnation < record.incarnation:
            outdated = update.state is not MemberState.ALIVE or from_exchange
            return record.as_update() if outdated else None
        match update.state:
            case MemberState.ALIVE:
                return self._merge_alive(now_ms, record, update, sender, from_exchange=from_exchange)
            case MemberState.SUSPECT:
                self._merge_suspect(now_ms, record, update)
            case MemberState.DEAD:
                self._merge_dead(now_ms, record, update, from_exchange=from_exchange)
        return None

    # --- the same process

    def _merge_alive(
        self, now_ms: float, record: MemberRecord, update: MemberUpdate, sender: str, *, from_exchange: bool
    ) -> MemberUpdate | None:
        period_ms = self._state.settings.protocol_period_ms
        long_dead = (
            record.state is MemberState.DEAD and now_ms - record.state_since_ms > RECENT_PERIODS * period_ms
        )
        if update.incarnation > record.incarnation:
            self._transitions.change(now_ms, record, MemberState.ALIVE, update.incarnation, "")
            if long_dead and sender == update.name:
                min_interval_ms = RECOVERY_EXCHANGE_PERIODS * period_ms
                self._exchanges.request(now_ms, sender, min_interval_ms, with_gossip_state=True)
        elif record.state is MemberState.DEAD:
            if not from_exchange or not long_dead:
                return record.as_update()
            # Long dead here and alive there: a partition lay between.  Only the one concerned can say;
            # nobody accuses, so that many such meetings do not count as many accusers.
            self._transitions.change(now_ms, record, MemberState.SUSPECT, record.incarnation, "")
        elif record.state is MemberState.SUSPECT:
            return record.as_update()
        return None

    def _merge_suspect(self, now_ms: float, record: MemberRecord, update: MemberUpdate) -> None:
        if update.incarnation > record.incarnation or record.state is MemberState.ALIVE:
            self._transitions.suspect(now_ms, record, update.incarnation, update.accuser)
        elif record.state is MemberState.SUSPECT:
            self._transitions.confirm(now_ms, record, update.accuser)

    def _merge_dead(
        self, now_ms: float, record: MemberRecord, update: MemberUpdate, *, from_exchange: bool
    ) -> None:
        if record.state is MemberState.ALIVE:
            # Not taken on one word: who was believed alive is suspected first, and can answer.
            accuser = "" if from_exchange else update.accuser
            self._transitions.suspect(now_ms, record, update.incarnation, accuser)
        elif record.state is MemberState.SUSPECT and not from_exchange:
            self._transitions.change(now_ms, record, MemberState.DEAD, update.incarnation, update.accuser)
        elif update.incarnation > record.incarnation:
            self._table.writable(record).incarnation = update.incarnation

    # --- this process

    def _merge_about_local(self, update: MemberUpdate) -> MemberUpdate | None:
        local = self._state.local
        own = local.identity.process_incarnation
        if update.process_incarnation > own:
            self._conflicts.fence(update.process_incarnation)
            return None
        if update.process_incarnation < own:
            return local.as_update(full=True)
        if update.info is not None and update.info.address != local.identity.address:
            if update.info.address > local.identity.address:
                self._conflicts.fence(update.process_incarnation)
                return None
            return local.as_update(full=True)
        if local.leaving or update.state is MemberState.LEFT:
            return None
        if update.incarnation < local.incarnation:
            return local.as_update() if update.state is not MemberState.ALIVE else None
        if update.state is MemberState.ALIVE and update.incarnation == local.incarnation:
            return None
        return self._refute(update)

    def _refute(self, update: MemberUpdate) -> MemberUpdate:
        """Raise this process's incarnation above an accusation and tell some members at once."""
        local = self._state.local
        if update.state is MemberState.SUSPECT:
            # Lifeguard: whoever has to refute was slow itself, as far as it can tell.
            self._state.health.adjust(1)
        local.incarnation = update.incarnation + 1
        self._state.queue.enqueue(local.as_update())
        self._outbox.gossip(self._state.settings.gossip_fanout)
        return local.as_update()

    # --- processes that are new here

    def _add(self, now_ms: float, update: MemberUpdate) -> None:
        if update.state not in ENDED and update.info is None:
            return  # without an address there is nobody to speak to yet; the full update follows
        if len(self._table.records) >= self._state.settings.max_members - 1 and not self._forget_oldest():
            self._state.counters["members-full"] += 1
            return
        name, process_incarnation = update.name, update.process_incarnation
        record = MemberRecord(
            name, process_incarnation, update.incarnation, update.state, update.info, now_ms
        )
        self._table.add(record)
        if update.state in ENDED:
            if update.state is MemberState.DEAD:
                self._table.mark_dead(name)
            return
        self._table.mark_live(name)
        self._state.events.append(MemberJoined(name, process_incarnation))
        record.state = MemberState.ALIVE
        self._announce(now_ms, record, update)

    def _announce(self, now_ms: float, record: MemberRecord, update: MemberUpdate) -> None:
        """Pass on a new process as it was heard of: alive or already suspected."""
        if update.state is MemberState.SUSPECT:
            self._transitions.suspect(now_ms, record, update.incarnation, update.accuser)
        else:
            self._state.queue.enqueue(record.as_update(full=True))

    def _forget_oldest(self) -> bool:
        """Make room for a new name; the live are never pushed out."""
        name = self._table.oldest_ended()
        if name is None:
            return False
        self._table.forget(name)
        self._state.queue.discard(name)
        return True

    def _merge_other_process(
        self, now_ms: float, record: MemberRecord, update: MemberUpdate
    ) -> MemberUpdate | None:
        """Of two processes with one name keep the newer; returns the known one if it is that."""
        known, announced = record.info, update.info
        both = known is not None and announced is not None
        # Two starts within one millisecond: the greater address is the newer, for all alike.
        known_order = (record.process_incarnation, known.address if known and both else "")
        announced_order = (update.process_incarnation, announced.address if announced and both else "")
        if announced_order < known_order:
            return record.as_update(full=True)
        if update.state in ENDED or announced is not None:
            self._replace(now_ms, record, update)
        return None

    def _replace(self, now_ms: float, record: MemberRecord, update: MemberUpdate) -> None:
        """Put a newer process of the same name in the place of the known one."""
        table = self._table
        record = table.writable(record)
        restarted = MemberRestarted(record.name, record.process_incarnation, update.process_incarnation)
        self._state.events.append(restarted)
        table.beliefs_version += 1
        table.process_ids_version += 1
        table.mark_left(record.name)
        record.process_incarnation, record.incarnation = update.process_incarnation, update.incarnation
        record.info, record.state, record.state_since_ms = update.info, MemberState.ALIVE, now_ms
        record.accuser, record.confirmed = "", False
        record.accusers.clear()
        self._state.queue.discard(record.name)
        if update.state in ENDED:
            self._transitions.change(now_ms, record, update.state, update.incarnation, update.accuser)
        else:
            table.mark_live(record.name)
            self._announce(now_ms, record, update)


def _is_other_process(record: MemberRecord, update: MemberUpdate) -> bool:
    """Whether an update is of another process than the one known under its name."""
    known, announced = record.info, update.info
    elsewhere = known is not None and announced is not None and known.address != announced.address
    return update.process_incarnation != record.process_incarnation or elsewhere
