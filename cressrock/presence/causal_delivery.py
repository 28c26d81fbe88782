"""Applies updates from other gateways to the views in causal order.

Each change lists the versions of the room's other gateways that its gateway had shown since its own previous
change, and is shown only after those (causal delivery: Lamport 1978; Birman, Schiper, Stephenson 1991).  The
dependencies are sent as differences; that is complete because each origin's changes are delivered in FIFO
order. If a cause does not arrive within `hold_back_ms` (its gateway is cut off), the effect is shown without
it and the cause is recorded as skipped.  When it arrives later, the feed restarts with a resync and the cause
is part of the snapshot.  So no event is ever shown after an effect of it.
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

MAX_FOLLOWED_BY_CAUSE = 4096  # replicas of a room up to which an origin is followed because a change names it


class CausalDelivery:
    """Applies updates to views, and delays changes whose causes are not shown yet."""

    def __init__(self, table: ViewTable, directory: RoomDirectory, settings: RoomSettings) -> None:
        """`table` has the views, and follows origins that are named as a cause."""
        self.forced = 0  # changes shown before a missing cause, after `hold_back_ms` or past `max_held`
        self._table, self._directory, self._settings = table, directory, settings

    def receive(self, now_ms: float, origin: Origin, update: Update) -> bool:
        """Apply an origin's update; return whether it was applied completely, so that the replica is in sync.

        False for a room or an origin that is not followed, and for a snapshot whose last page is missing.
        """
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
        """Show this gateway's own change, and the changes that waited for it."""
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
            view.delayed_origins.add(origin)
            self.release(now_ms, view)

    def _receive_page(
        self, now_ms: float, view: RoomView, origin: Origin, replica: Replica, page: SnapshotPage
    ) -> bool:
        """Collect a page of a snapshot; return True once the snapshot is complete and has been applied."""
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
        view.delayed_origins.discard(origin)
        missing = self._missing_causes(now_ms, view, page.causes)
        for member_id in [known_id for known_id in replica.members if known_id not in members]:
            view.set_entry(origin, replica, member_id, None, Reason.LEFT)
        joins = sum(member_id not in view.holders for member_id in members)
        for member_id, entry in members.items():
            if replica.members.get(member_id) != entry:
                view.set_entry(origin, replica, member_id, entry, "")
        replica.received = page.version
        view.advance(replica, page.version)
        view.shown_since_own_change[origin] = page.version
        if joins > 1:
            view.resync()  # a snapshot does not contain the order in which members joined
        if missing:
            # The snapshot may contain effects whose causes are missing; as events they would be out of order.
            for stamp in missing:
                view.record_skipped_cause(stamp.origin, stamp.version)
            view.resync()
        if view.skipped_causes.get(origin, page.version + 1) <= page.version:
            del view.skipped_causes[origin]
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
            # The incarnation has been replaced, or the room is only replicated for another gateway.
            return True
        if len(view.replicas) < MAX_FOLLOWED_BY_CAUSE:
            self._table.follow(now_ms, view, stamp.origin)  # not in the directory yet
        return False

    def release_overdue(self, now_ms: float) -> None:
        """Release delayed changes, including those that have waited for more than `hold_back_ms`."""
        for room in list(self._table.delayed_rooms):
            self.release(now_ms, self._table.views[room], overdue=True)

    def release(self, now_ms: float, view: RoomView, *, overdue: bool = False) -> None:
        """Show a view's delayed changes whose causes are shown, until no further one can be released.

        With `overdue`, changes that have waited for more than `hold_back_ms` are shown without their causes.
        """
        progress = bool(view.delayed_origins)
        while progress:
            progress = False
            for origin in sorted(view.delayed_origins):
                progress |= self._release_origin(now_ms, view, origin, overdue=overdue)
        if view.delayed_origins:
            self._table.delayed_rooms[view.room] = None
        else:
            self._table.delayed_rooms.pop(view.room, None)

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
                    view.record_skipped_cause(stamp.origin, stamp.version)
            replica.delayed.popleft()
            view.apply_change(origin, replica, change)
            progress = True
        if not replica.delayed:
            view.delayed_origins.discard(origin)
            if origin in self._table.sources:
                self._table.confirm(view, origin)
        return progress
