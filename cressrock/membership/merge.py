"""Merges updates into the member table so that views converge despite reordering, loss and duplication.

Updates of one (name, process incarnation) are ordered by (left, incarnation, state), and process incarnations
of one name by number; a record only moves up in that order.  The one exception is the step from dead back to
suspected, in an exchange with a member that still believes the dead member alive: the two sides of a
partition disagree, and only the member itself can resolve this by refuting.
"""

from __future__ import annotations

from collections.abc import Iterable

from cressrock.membership.events import MemberJoined, MemberRestarted
from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.identity_conflicts import IdentityConflicts
from cressrock.membership.member_table import DEAD_OR_LEFT, MemberRecord
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import MemberState, MemberUpdate
from cressrock.membership.state import MembershipState
from cressrock.membership.transitions import StateTransitions

MAX_CORRECTIONS = 8  # in reply to the outdated updates of one packet
RECENT_DEATH_PERIODS = 3  # dead for longer and reported alive: a partition, not a late update
RECOVERY_EXCHANGE_INTERVAL_PERIODS = 5  # minimum interval of full exchanges with recovered members


class UpdateMerger:
    """Merges updates from packets and exchanges into the member table."""

    def __init__(
        self,
        state: MembershipState,
        outbox: Outbox,
        transitions: StateTransitions,
        exchanges: ExchangeScheduler,
        conflicts: IdentityConflicts,
    ) -> None:
        """Merge into `state.table`; queue and report the changes through the other components."""
        self._state = state
        self._table = state.table
        self._outbox = outbox
        self._transitions = transitions
        self._exchanges = exchanges
        self._conflicts = conflicts

    def merge_all(self, now_ms: float, updates: Iterable[MemberUpdate], sender: str) -> list[MemberUpdate]:
        """Merge a packet's updates; returns at most MAX_CORRECTIONS newer records to send back."""
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
                continue  # fast path: most updates are duplicates
            correction = self.merge(now_ms, update, sender)
            if correction is not None and len(corrections) < MAX_CORRECTIONS:
                corrections.append(correction)
        return corrections

    def merge(
        self, now_ms: float, update: MemberUpdate, sender: str, *, from_exchange: bool = False
    ) -> MemberUpdate | None:
        """Merge one update; returns the newer local record if the update is outdated, otherwise None."""
        if update.name == self._state.local.name:
            return self._merge_local_update(update)
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
            self._transitions.set_state(now_ms, record, MemberState.LEFT, update.incarnation, "")
            return None
        if update.incarnation < record.incarnation:
            is_outdated = update.state is not MemberState.ALIVE or from_exchange
            return record.as_update() if is_outdated else None
        match update.state:
            case MemberState.ALIVE:
                return self._merge_alive(now_ms, record, update, sender, from_exchange=from_exchange)
            case MemberState.SUSPECT:
                self._merge_suspect(now_ms, record, update)
            case MemberState.DEAD:
                self._merge_dead(now_ms, record, update, from_exchange=from_exchange)
        return None

    # --- updates about a known process

    def _merge_alive(
        self, now_ms: float, record: MemberRecord, update: MemberUpdate, sender: str, *, from_exchange: bool
    ) -> MemberUpdate | None:
        period_ms = self._state.settings.protocol_period_ms
        is_long_dead = (
            record.state is MemberState.DEAD
            and now_ms - record.state_since_ms > RECENT_DEATH_PERIODS * period_ms
        )
        if update.incarnation > record.incarnation:
            self._transitions.set_state(now_ms, record, MemberState.ALIVE, update.incarnation, "")
            if is_long_dead and sender == update.name:
                min_interval_ms = RECOVERY_EXCHANGE_INTERVAL_PERIODS * period_ms
                self._exchanges.request(now_ms, sender, min_interval_ms, with_gossip_state=True)
        elif record.state is MemberState.DEAD:
            if not from_exchange or not is_long_dead:
                return record.as_update()
            # Dead for long here and alive there indicates a partition; only the member itself can resolve it.
            # The accuser is empty, so that several such exchanges do not count as several accusers.
            self._transitions.set_state(now_ms, record, MemberState.SUSPECT, record.incarnation, "")
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
            # One report of death is not trusted: a member believed alive is suspected first and can refute.
            accuser = "" if from_exchange else update.accuser
            self._transitions.suspect(now_ms, record, update.incarnation, accuser)
        elif record.state is MemberState.SUSPECT and not from_exchange:
            self._transitions.set_state(now_ms, record, MemberState.DEAD, update.incarnation, update.accuser)
        elif update.incarnation > record.incarnation:
            self._table.writable(record).incarnation = update.incarnation

    # --- updates about this process

    def _merge_local_update(self, update: MemberUpdate) -> MemberUpdate | None:
        local = self._state.local
        own_incarnation = local.identity.process_incarnation
        if update.process_incarnation > own_incarnation:
            self._conflicts.fence(update.process_incarnation)
            return None
        if update.process_incarnation < own_incarnation:
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
        """Raise this process's incarnation above that of `update`, and gossip the refutation at once."""
        local = self._state.local
        if update.state is MemberState.SUSPECT:
            # Lifeguard: a process that has to refute a suspicion assumes that it was slow itself.
            self._state.health.adjust(1)
        local.incarnation = update.incarnation + 1
        self._state.queue.enqueue(local.as_update())
        self._outbox.gossip(self._state.settings.gossip_fanout)
        return local.as_update()

    # --- processes that are not in the table

    def _add(self, now_ms: float, update: MemberUpdate) -> None:
        if update.state not in DEAD_OR_LEFT and update.info is None:
            return  # the member cannot be contacted without an address; a full update follows
        if (
            len(self._table.records) >= self._state.settings.max_members - 1
            and not self._evict_oldest_inactive()
        ):
            self._state.counters["members-full"] += 1
            return
        name, process_incarnation = update.name, update.process_incarnation
        record = MemberRecord(
            name, process_incarnation, update.incarnation, update.state, update.info, now_ms
        )
        self._table.add(record)
        if update.state in DEAD_OR_LEFT:
            if update.state is MemberState.DEAD:
                self._table.mark_dead(name)
            return
        self._table.mark_live(name)
        self._state.events.append(MemberJoined(name, process_incarnation))
        record.state = MemberState.ALIVE
        self._announce(now_ms, record, update)

    def _announce(self, now_ms: float, record: MemberRecord, update: MemberUpdate) -> None:
        """Queue a broadcast of a new process in its reported state: alive or already suspected."""
        if update.state is MemberState.SUSPECT:
            self._transitions.suspect(now_ms, record, update.incarnation, update.accuser)
        else:
            self._state.queue.enqueue(record.as_update(full=True))

    def _evict_oldest_inactive(self) -> bool:
        """Evict the oldest dead or left member, never a live one; returns False if there is none."""
        name = self._table.oldest_inactive()
        if name is None:
            return False
        self._table.remove_member(name)
        self._state.queue.discard(name)
        return True

    def _merge_other_process(
        self, now_ms: float, record: MemberRecord, update: MemberUpdate
    ) -> MemberUpdate | None:
        """Keep the newer of two processes with one name; returns the known record if it is the newer."""
        known_info, announced_info = record.info, update.info
        both_known = known_info is not None and announced_info is not None
        # Both may have started within one millisecond: all members then treat the greater address as newer.
        known_order = (record.process_incarnation, known_info.address if known_info and both_known else "")
        announced_order = (
            update.process_incarnation,
            announced_info.address if announced_info and both_known else "",
        )
        if announced_order < known_order:
            return record.as_update(full=True)
        if update.state in DEAD_OR_LEFT or announced_info is not None:
            self._replace(now_ms, record, update)
        return None

    def _replace(self, now_ms: float, record: MemberRecord, update: MemberUpdate) -> None:
        """Replace the known process with a newer one of the same name."""
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
        if update.state in DEAD_OR_LEFT:
            self._transitions.set_state(now_ms, record, update.state, update.incarnation, update.accuser)
        else:
            table.mark_live(record.name)
            self._announce(now_ms, record, update)


def _is_other_process(record: MemberRecord, update: MemberUpdate) -> bool:
    """Whether an update describes a different process than the one recorded under its name."""
    known_info, announced_info = record.info, update.info
    address_differs = (
        known_info is not None and announced_info is not None and known_info.address != announced_info.address
    )
    return update.process_incarnation != record.process_incarnation or address_differs
