"""One gateway's view of a room: a replica of each origin's members, and the events for their changes.

If several origins have an entry for the same member id, the entry with the highest hop count is shown, so a
session that was resumed at another gateway never appears twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cressrock.presence.feed import EventFeed, EventKind, Reason, RoomEvent
from cressrock.presence.messages import ENDED_BY_CLIENT, Change, MemberEntry, Origin

MAX_LOST_ORIGINS = 4096  # per room; the oldest are evicted first


class DelayedChange(NamedTuple):
    """A change that waits until its causes are shown, with its time of arrival."""

    change: Change
    received_at_ms: float


@dataclass(slots=True)
class Replica:
    """One origin's members of a room as currently shown, and the received changes that are not shown yet."""

    version: int = 0  # the last version that is shown
    received: int = 0  # the last version that was received
    members: dict[str, MemberEntry] = field(default_factory=dict)
    synced: bool = False  # the initial state has been received, and changes arrive over a connected stream
    synced_until_ms: float = 0.0  # while not synced: when it was last known to be in sync
    suspected: bool = False
    delayed: deque[DelayedChange] = field(default_factory=deque)
    snapshot: dict[str, MemberEntry] | None = None  # entries from the pages received so far
    requested: bool = False  # the origin asked this gateway to replicate its members


@dataclass(frozen=True, slots=True)
class ShownMember:
    """A member as it is shown: its entry, its gateway, and whether that gateway is currently confirmed."""

    entry: MemberEntry
    gateway: str
    incarnation: int
    sure: bool


class KnownMember(NamedTuple):
    """The newest known entry of a member, and the origin that owns its session according to that entry."""

    entry: MemberEntry
    origin: Origin


@dataclass(slots=True)
class FeedIndex:
    """State shared by all views of a gateway: changed feeds, epoch numbers, and the count of resyncs."""

    numbers: Iterator[int]
    changed_rooms: set[str] = field(default_factory=set)
    resyncs: int = 0


class RoomView:
    """One room: the replicas of its origins' members, the members shown from them, and the event feed."""

    __slots__ = (
        "skipped_causes",
        "expires_at_ms",
        "feed",
        "holders",
        "is_open",
        "lost_origins",
        "moving",
        "feed_index",
        "origin",
        "replicas",
        "room",
        "shown_since_own_change",
        "delayed_origins",
        "watchers",
    )

    def __init__(
        self, room: str, now_ms: float, origin: Origin, feed_index: FeedIndex, max_events: int
    ) -> None:
        """`origin` is this gateway; its own members are always shown as sure."""
        self.room, self.origin, self.feed_index = room, origin, feed_index
        self.expires_at_ms = now_ms
        # Epoch numbers are unique over all views, so that an old cursor cannot match a later view of the
        # room.
        self.feed = EventFeed(next(feed_index.numbers), max_events)
        self.replicas: dict[Origin, Replica] = {}
        self.holders: dict[str, dict[Origin, MemberEntry]] = {}  # by member id
        self.moving: set[str] = set()  # ids of members with at least one marker entry
        self.delayed_origins: set[Origin] = set()  # with changes that wait for their causes
        # By origin: causes up to this version are not shown yet although effects of them are.
        self.skipped_causes: dict[Origin, int] = {}
        self.lost_origins: dict[Origin, None] = {}  # silent for longer than `gone_ms`
        self.shown_since_own_change: dict[Origin, int] = {}
        self.watchers = 0
        self.is_open = False  # requested by a local client; otherwise only replicated for other gateways

    # --- what is shown

    def shown_member(self, member_id: str) -> ShownMember | None:
        """Return a member as it is shown; None if it is not in the room."""
        holders = self.holders.get(member_id)
        if not holders:
            return None
        if len(holders) == 1:
            ((origin, entry),) = holders.items()
        else:
            origin, entry = max(holders.items(), key=lambda item: (_precedence(item[1]), item[0]))
        if entry.moved is None:
            replica = self.replicas.get(origin)
            return ShownMember(entry, *origin, replica is not None and not replica.suspected)
        target = entry.moved_to
        if target is None or target == self.origin or target in self.lost_origins:
            return None
        target_replica = self.replicas.get(target)
        if target_replica is not None and target_replica.version >= entry.moved.version:
            return None  # the new gateway's changes up to the move are shown, and it has no entry: it left
        return ShownMember(entry, *target, False)

    def members(self) -> list[ShownMember]:
        """Return all members that are shown, ordered by id."""
        shown = (self.shown_member(member_id) for member_id in sorted(self.holders))
        return [member for member in shown if member is not None]

    def newest_entry(self, member_id: str) -> KnownMember | None:
        """Return the newest known entry of a member and its session's origin; None if there is no entry."""
        holders = self.holders.get(member_id)
        if not holders:
            return None
        origin = max(holders, key=lambda holder: (holders[holder].hop, holder))
        entry = holders[origin]
        return KnownMember(entry, entry.moved_to or origin)

    def pending_gateways(self) -> list[str]:
        """Return the names of the followed gateways whose replicas are not in sync, sorted."""
        return sorted(origin[0] for origin, replica in self.replicas.items() if not replica.synced)

    # --- changes

    def apply_change(self, origin: Origin, replica: Replica, change: Change) -> None:
        """Show a change whose causes are shown or are not waited for any longer."""
        if origin != self.origin:
            self.shown_since_own_change[origin] = change.version
        skipped_version = self.skipped_causes.get(origin, 0)
        self.set_entry(origin, replica, change.member_id, change.entry, change.reason)
        self.advance(replica, change.version)
        if skipped_version:
            # An effect of this change was shown before it: as an event it would be out of order, so watchers
            # get it in a new snapshot.
            if change.version >= skipped_version:
                del self.skipped_causes[origin]
            self.resync()

    def set_entry(
        self, origin: Origin, replica: Replica, member_id: str, entry: MemberEntry | None, reason: str
    ) -> None:
        """Set an origin's entry of a member, or remove it (None), and emit the events that result."""
        before = self.shown_member(member_id)
        if entry is None:
            replica.members.pop(member_id, None)
            holders = self.holders.get(member_id)
            if holders is not None:
                holders.pop(origin, None)
                if not holders:
                    del self.holders[member_id]
        else:
            replica.members[member_id] = entry
            self.holders.setdefault(member_id, {})[origin] = entry
        if any(other.moved is not None for other in self.holders.get(member_id, {}).values()):
            self.moving.add(member_id)
        else:
            self.moving.discard(member_id)
        self._emit_difference(before, self.shown_member(member_id), reason)

    def insert_own_member(self, replica: Replica, member_id: str, entry: MemberEntry) -> None:
        """Insert an own member that joined before the view was created; emits no event."""
        replica.members[member_id] = entry
        self.holders.setdefault(member_id, {})[self.origin] = entry
        if entry.moved is not None:
            self.moving.add(member_id)

    def advance(self, replica: Replica, version: int, *, synced: bool = False) -> None:
        """Set the version that a replica shows; emit `leave` for sessions moved there that have ended."""
        before = self._shown_while_moving()
        replica.version, replica.synced = version, replica.synced or synced
        self._emit_ended(before, Reason.LEFT)

    def mark_origin_lost(self, origin: Origin) -> None:
        """Mark an origin as silent for longer than `gone_ms`; members that moved to it leave the room."""
        before = self._shown_while_moving()
        self.lost_origins[origin] = None
        while len(self.lost_origins) > MAX_LOST_ORIGINS:
            del self.lost_origins[next(iter(self.lost_origins))]
        self._emit_ended(before, Reason.TIME)

    def record_skipped_cause(self, origin: Origin, version: int) -> None:
        """Record that an effect is shown before its cause, this version of an origin."""
        self.skipped_causes[origin] = max(version, self.skipped_causes.get(origin, 0))

    def append_event(self, event: RoomEvent) -> None:
        """Append an event to the feed, and mark the room for the notification of its watchers."""
        self.feed.append(event)
        self.feed_index.changed_rooms.add(self.room)

    def resync(self) -> None:
        """Restart the feed with a new epoch, which makes every watcher fetch a new snapshot."""
        self.feed_index.resyncs += 1
        self.feed.restart(next(self.feed_index.numbers))
        self.feed_index.changed_rooms.add(self.room)

    # --- events

    def _shown_while_moving(self) -> list[ShownMember]:
        shown = (self.shown_member(member_id) for member_id in sorted(self.moving))
        return [member for member in shown if member is not None]

    def _emit_ended(self, before: list[ShownMember], reason: Reason) -> None:
        for member in before:
            if self.shown_member(member.entry.id) is None:
                self._emit_leave(member, reason)

    def _emit_difference(self, before: ShownMember | None, now: ShownMember | None, reason: str) -> None:
        if now is None:
            if before is not None:
                self._emit_leave(before, reason or Reason.LEFT)
            return
        entry = now.entry
        kind = EventKind.JOIN
        if before is not None:
            if (before.entry.data, before.entry.locks) != (entry.data, entry.locks):
                kind = EventKind.UPDATE
            elif (before.gateway, before.incarnation) != (now.gateway, now.incarnation):
                kind = EventKind.MOVED
            else:
                return
        elif entry.hop:
            # The member moved here from a gateway that was not visible from here.  Other members may have
            # joined after seeing it there, so a `join` now could be out of order.
            self.resync()
            return
        self.append_event(
            RoomEvent(
                event=kind,
                member=entry.id,
                gateway=now.gateway,
                incarnation=now.incarnation,
                data=entry.data,
                locks=entry.locks,
            )
        )

    def _emit_leave(self, member: ShownMember, reason: str) -> None:
        entry = member.entry
        self.append_event(
            RoomEvent(
                event=EventKind.LEAVE,
                member=entry.id,
                gateway=member.gateway,
                incarnation=member.incarnation,
                reason=reason,
            )
        )
        if entry.locks:
            self.append_event(
                RoomEvent(
                    event=EventKind.LOCK_ORPHANED,
                    member=entry.id,
                    gateway=member.gateway,
                    locks=entry.locks,
                    reason=reason,
                )
            )


class _Precedence(NamedTuple):
    """Sort key of a member's entries; the entry with the greatest key is shown."""

    hop: int
    rank: int


def _precedence(entry: MemberEntry) -> _Precedence:
    """Return the sort key: hop; if equal, ended by the client > present or moved > ended by the gateway."""
    moved = entry.moved
    if moved is None or moved.gateway:
        return _Precedence(entry.hop, 1)
    return _Precedence(entry.hop, 2 if moved.version == ENDED_BY_CLIENT else 0)
