"""A room as one gateway shows it: a replica of each origin's members, and the events of their changes.

Of one member's id the greatest hop is shown, so a session that went on at another gateway is never there
twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cressrock.presence.feed import EventFeed, EventKind, Reason, RoomEvent
from cressrock.presence.messages import ENDED_BY_CLIENT, Change, MemberEntry, Origin

MAX_LOST_ORIGINS = 4096  # of a room; the oldest are forgotten first


class DelayedChange(NamedTuple):
    """A change that waits for its causes, and since when."""

    change: Change
    received_at_ms: float


@dataclass(slots=True)
class Replica:
    """One origin's members of a room as far as they are shown, and what waits to be."""

    version: int = 0  # shown up to
    received: int = 0
    members: dict[str, MemberEntry] = field(default_factory=dict)
    synced: bool = False  # all that the origin sent is here, and its changes come by a stream
    synced_until_ms: float = 0.0  # while not synced: until when it was
    suspected: bool = False
    delayed: deque[DelayedChange] = field(default_factory=deque)
    snapshot: dict[str, MemberEntry] | None = None  # the pages that came so far
    requested: bool = False  # the origin asked that it be followed here


@dataclass(frozen=True, slots=True)
class ShownMember:
    """A member as it is shown: its entry, where it is, and whether that is sure."""

    entry: MemberEntry
    gateway: str
    incarnation: int
    sure: bool


class KnownMember(NamedTuple):
    """The newest entry that is known of a member, and where its session is by that."""

    entry: MemberEntry
    origin: Origin


@dataclass(slots=True)
class FeedIndex:
    """What the views of one gateway share: which feeds changed, and the numbers of their epochs."""

    numbers: Iterator[int]
    changed_rooms: set[str] = field(default_factory=set)
    resyncs: int = 0


class RoomView:
    """One room: replicas of its origins' members, what is shown of them, and the feed."""

    __slots__ = (
        "debts",
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
        "waiting",
        "watchers",
    )

    def __init__(
        self, room: str, now_ms: float, origin: Origin, feed_index: FeedIndex, max_events: int
    ) -> None:
        """`origin` is this gateway, whose own members are shown as sure."""
        self.room, self.origin, self.feed_index = room, origin, feed_index
        self.expires_at_ms = now_ms
        # The feed's epochs do not begin anew: an old cursor must not fit a later view by chance.
        self.feed = EventFeed(next(feed_index.numbers), max_events)
        self.replicas: dict[Origin, Replica] = {}
        self.holders: dict[str, dict[Origin, MemberEntry]] = {}  # of each member's id
        self.moving: set[str] = set()  # ids of which a marker is held
        self.waiting: set[Origin] = set()  # have changes that wait for causes
        # Up to which version of an origin causes are missing whose effects are shown.
        self.debts: dict[Origin, int] = {}
        self.lost_origins: dict[Origin, None] = {}  # silent for the stated time
        self.shown_since_own_change: dict[Origin, int] = {}
        self.watchers = 0
        self.is_open = False  # somebody here asked for it; otherwise it is only replicated for others

    # --- what is shown

    def shown_member(self, member_id: str) -> ShownMember | None:
        """Return a member as it is shown, None if it is not there."""
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
        there = self.replicas.get(target)
        if there is not None and there.version >= entry.moved.version:
            return None  # its new gateway has sent that it ended
        return ShownMember(entry, *target, False)

    def members(self) -> list[ShownMember]:
        """Return all members that are shown, by id."""
        shown = (self.shown_member(member_id) for member_id in sorted(self.holders))
        return [member for member in shown if member is not None]

    def newest_entry(self, member_id: str) -> KnownMember | None:
        """Return the newest entry that is held of a member, and where its session is by that."""
        holders = self.holders.get(member_id)
        if not holders:
            return None
        origin = max(holders, key=lambda holder: (holders[holder].hop, holder))
        entry = holders[origin]
        return KnownMember(entry, entry.moved_to or origin)

    def pending_gateways(self) -> list[str]:
        """Return the gateways that were asked for their members and have not sent all."""
        return sorted(origin[0] for origin, replica in self.replicas.items() if not replica.synced)

    # --- what changes it

    def apply_change(self, origin: Origin, replica: Replica, change: Change) -> None:
        """Show a change whose causes are shown, or cannot be had."""
        if origin != self.origin:
            self.shown_since_own_change[origin] = change.version
        debt = self.debts.get(origin, 0)
        self.set_entry(origin, replica, change.member_id, change.entry, change.reason)
        self.advance(replica, change.version)
        if debt:
            # This is a cause whose effect was shown: it may stand in a snapshot, never as an event.
            if change.version >= debt:
                del self.debts[origin]
            self.resync()

    def set_entry(
        self, origin: Origin, replica: Replica, member_id: str, entry: MemberEntry | None, reason: str
    ) -> None:
        """Let an origin hold an entry of a member, or none, and emit what changes by it."""
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

    def show_own(self, replica: Replica, member_id: str, entry: MemberEntry) -> None:
        """Enter an own member that was there before the view was, without an event."""
        replica.members[member_id] = entry
        self.holders.setdefault(member_id, {})[self.origin] = entry
        if entry.moved is not None:
            self.moving.add(member_id)

    def advance(self, replica: Replica, version: int, *, synced: bool = False) -> None:
        """Note how far a replica is, and emit that sessions have ended which were handed over to it."""
        before = self._shown_while_moving()
        replica.version, replica.synced = version, replica.synced or synced
        self._emit_ended(before, Reason.LEFT)

    def lose_origin(self, origin: Origin) -> None:
        """Note that an origin was silent for the stated time: nobody who moved to it is there either."""
        before = self._shown_while_moving()
        self.lost_origins[origin] = None
        while len(self.lost_origins) > MAX_LOST_ORIGINS:
            del self.lost_origins[next(iter(self.lost_origins))]
        self._emit_ended(before, Reason.TIME)

    def owe(self, origin: Origin, version: int) -> None:
        """Note that an effect of an origin's version is shown before it."""
        self.debts[origin] = max(version, self.debts.get(origin, 0))

    def append_event(self, event: RoomEvent) -> None:
        """Put an event into the feed."""
        self.feed.append(event)
        self.feed_index.changed_rooms.add(self.room)

    def resync(self) -> None:
        """Have every watcher take a new snapshot."""
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
            # It came here from a gateway that was not seen: others may have joined after seeing it there.
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
    """Of the entries of one member the greatest is shown."""

    hop: int
    rank: int


def _precedence(entry: MemberEntry) -> _Precedence:
    """Of one id the greatest hop counts; among equals the client's own end, then who has it, then silence."""
    moved = entry.moved
    if moved is None or moved.gateway:
        return _Precedence(entry.hop, 1)
    return _Precedence(entry.hop, 2 if moved.version == ENDED_BY_CLIENT else 0)
