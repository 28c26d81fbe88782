"""Applies what other gateways send to the views, and shows no effect before its cause.

Each change names what its gateway had shown of the room's other gateways since its own change before, and
is shown only after those (causal delivery: Lamport 1978; Birman, Schiper, Stephenson 1991, with the
dependencies sent as differences; first in, first out by origin makes that complete).  Where a cause cannot
be had within `hold_back_ms` (its gateway is cut off), the effect is shown and the cause becomes a debt:
when it comes after all, the feed ends with a resync, and the cause stands in the snapshot.  So no event
ever shows an effect before its cause.
"""

from __future__ import annotations

from cressrock.presence.directory import RoomDirectory
from cressrock.presence.feed import Reason
from cressrock.presence.messages import (
    Change,
    ChangeBatch,
    MemberEntry,
    Origin,
    SnapshotPage,
    Update,
    VersionStamp,
)
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view import DelayedChange, Replica, RoomView
from cressrock.presence.view_table import ViewTable

MAX_FOLLOWED_BY_CAUSE = 4096  # origins that a room follows because a change names them


class CausalDelivery:
    """Applies updates to views, and holds back those whose causes are missing."""

    def __init__(self, table: ViewTable, directory: RoomDirectory, settings: RoomSettings) -> None:
        """`table` has the views; origins that a cause names are followed by it."""
        self.forced = 0  # changes shown before a cause that could not be had
        self._table, self._directory, self._settings = table, directory, settings

    def receive(self, now_ms: float, origin: Origin, update: Update) -> bool:
        """Apply an origin's update; return whether its replica may be complete now."""
        view = self._table.views.get(update.room)
        replica = view.replicas.get(origin) if view is not None else None
        if view is None or replica is None:
            return False
        if isinstance(update, ChangeBatch):
            self._receive_changes(now_ms, view, origin, replica, update)
        elif not self._receive_page(now_ms, view, origin, replica, update):
            return False
        if not replica.synced:
            view.lost_origins.pop(origin, None)
            view.advance(replica, replica.version, synced=True)
        self._table.confirm(view, origin)
        return True

    def apply_own(self, now_ms: float, view: RoomView, change: Change) -> None:
        """Show this gateway's own change, and what waited for it."""
        view.apply_change(view.origin, view.replicas[view.origin], change)
        self.release(now_ms, view)

    def _receive_changes(
        self, now_ms: float, view: RoomView, origin: Origin, replica: Replica, batch: ChangeBatch
    ) -> None:
        for change in batch.changes:
            if change.version > replica.received:
                replica.received = change.version
                replica.delayed.append(DelayedChange(change, now_ms))
        if replica.delayed:
            view.waiting.add(origin)
            self.release(now_ms, view)

    def _receive_page(
        self, now_ms: float, view: RoomView, origin: Origin, replica: Replica, page: SnapshotPage
    ) -> bool:
        """Collect a page; True once the snapshot is complete and shown."""
        if page.first:
            replica.snapshot = {}
        if replica.snapshot is None:
            return False
        for entry in page.entries:
            if len(replica.snapshot) < self._settings.max_room:
                replica.snapshot[entry.id] = entry
        if not page.last:
            return False
        members, replica.snapshot = replica.snapshot, None
        if page.version >= replica.version:
            self._apply_snapshot(now_ms, view, origin, members, page)
        return True

    def _apply_snapshot(
        self,
        now_ms: float,
        view: RoomView,
        origin: Origin,
        members: dict[str, MemberEntry],
        page: SnapshotPage,
    ) -> None:
        replica = view.replicas[origin]
        replica.delayed.clear()
        view.waiting.discard(origin)
        missing = self._missing_causes(now_ms, view, page.causes)
        for member_id in [one for one in replica.members if one not in members]:
            view.set_entry(origin, replica, member_id, None, Reason.LEFT)
        joins = sum(member_id not in view.holders for member_id in members)
        for member_id, entry in members.items():
            if replica.members.get(member_id) != entry:
                view.set_entry(origin, replica, member_id, entry, "")
        replica.received = page.version
        view.advance(replica, page.version)
        view.shown_since_own_change[origin] = page.version
        if joins > 1:
            view.resync()  # a snapshot does not say in which order they joined
        if missing:
            # It may hold effects whose causes are not here: as events they would be out of order.
            for stamp in missing:
                view.owe(stamp.origin, stamp.version)
            view.resync()
        if view.debts.get(origin, page.version + 1) <= page.version:
            del view.debts[origin]
            view.resync()
        self.release(now_ms, view)

    def _missing_causes(
        self, now_ms: float, view: RoomView, causes: list[VersionStamp]
    ) -> list[VersionStamp]:
        return [stamp for stamp in causes if not self._is_shown(now_ms, view, stamp)]

    def _is_shown(self, now_ms: float, view: RoomView, stamp: VersionStamp) -> bool:
        if stamp.gateway == view.origin.gateway:
            return True
        replica = view.replicas.get(stamp.origin)
        if replica is not None:
            return replica.version >= stamp.version
        if self._directory.knows_later_incarnation(stamp.origin) or not view.is_open:
            return (
                True  # of an incarnation that is over, or in a room that is only replicated for its gateway
            )
        if len(view.replicas) < MAX_FOLLOWED_BY_CAUSE:
            self._table.follow(now_ms, view, stamp.origin)  # the gossip has not announced it yet
        return False

    def release_overdue(self, now_ms: float) -> None:
        """Show also what has waited for longer than the hold-back."""
        for room in list(self._table.waiting):
            self.release(now_ms, self._table.views[room], overdue=True)

    def release(self, now_ms: float, view: RoomView, *, overdue: bool = False) -> None:
        """Show what waits and has its causes, until nothing more can be shown."""
        progress = bool(view.waiting)
        while progress:
            progress = False
            for origin in sorted(view.waiting):
                progress |= self._release_origin(now_ms, view, origin, overdue=overdue)
        if view.waiting:
            self._table.waiting[view.room] = None
        else:
            self._table.waiting.pop(view.room, None)

    def _release_origin(self, now_ms: float, view: RoomView, origin: Origin, *, overdue: bool) -> bool:
        replica = view.replicas[origin]
        progress = False
        while replica.delayed:
            change, received_at_ms = replica.delayed[0]
            missing = self._missing_causes(now_ms, view, change.causes)
            if missing:
                expired = overdue and now_ms - received_at_ms > self._settings.hold_back_ms
                if not expired and len(replica.delayed) <= self._settings.max_held:
                    break
                self.forced += 1
                for stamp in missing:
                    view.owe(stamp.origin, stamp.version)
            replica.delayed.popleft()
            view.apply_change(origin, replica, change)
            progress = True
        if not replica.delayed:
            view.waiting.discard(origin)
            if origin in self._table.sources:
                self._table.confirm(view, origin)
        return progress
