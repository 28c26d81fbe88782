"""The rooms that this gateway follows, and its streams to the gateways that have members in them.

A room is followed while local clients request it, or while another gateway has asked this one to replicate
its members.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cressrock.errors.presence import PresenceLimitError
from cressrock.presence.directory import RoomDirectory, bucket_of
from cressrock.presence.feed import EventKind, RoomEvent
from cressrock.presence.local_rooms import LocalRooms
from cressrock.presence.messages import Message, Origin, Subscribe, Unsubscribe
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view import FeedIndex, Replica, RoomView

# Messages with their destinations: an origin (over the stream that this gateway opened), or the number of a
# stream that a subscriber opened.
Outgoing = list[tuple[Origin | int, Message]]


@dataclass(slots=True)
class SourceStream:
    """The state of the stream to a followed origin, and the rooms that are followed over it."""

    connected: bool = False
    last_contact_ms: float = 0.0
    silent: bool = True
    rooms: set[str] = field(default_factory=set)


class ViewTable:
    """All views by room, and the streams that supply their replicas."""

    def __init__(
        self,
        origin: Origin,
        settings: RoomSettings,
        directory: RoomDirectory,
        local: LocalRooms,
        feed_index: FeedIndex,
        outgoing: Outgoing,
    ) -> None:
        """`outgoing` receives the subscribe and unsubscribe messages for origins."""
        self.origin, self.settings = origin, settings
        self.feed_index = feed_index
        self.views: dict[str, RoomView] = {}
        self.sources: dict[Origin, SourceStream] = {}
        # Replicas that are not in sync, whose streams are silent, or that are suspected; oldest first.
        self.unconfirmed: dict[tuple[str, Origin], None] = {}
        self.delayed_rooms: dict[str, None] = {}  # rooms with changes that wait for their causes
        self._directory, self._local, self._outgoing = directory, local, outgoing
        self._by_bucket: dict[int, set[str]] = {}

    # --- views

    def open(self, now_ms: float, room: str) -> RoomView:
        """Return a room's view for a local client and follow it for another `linger_ms`.

        Raises PresenceLimitError if `max_views` rooms are followed already.
        """
        view = self.ensure(now_ms, room)
        view.expires_at_ms = now_ms + self.settings.linger_ms
        if not view.is_open:
            view.is_open = True
            view.resync()  # causal order is not enforced while a view is not open
        for origin in self._directory.origins():
            self._follow_if_listed(now_ms, view, origin)
        return view

    def ensure(self, now_ms: float, room: str) -> RoomView:
        """Return the view of a room; a new one has this gateway's own members.  Raises PresenceLimitError."""
        view = self.views.get(room)
        if view is not None:
            return view
        if len(self.views) >= self.settings.max_views:
            raise PresenceLimitError(f"{self.settings.max_views} rooms followed here (presence.max_views)")
        view = self.views[room] = RoomView(room, now_ms, self.origin, self.feed_index, self.settings.feed)
        local = self._local.rooms.get(room)
        own_replica = view.replicas[self.origin] = Replica(synced=True, version=self._local.version)
        for member_id, entry in (local.members if local else {}).items():
            view.insert_own_member(own_replica, member_id, entry)
        self._by_bucket.setdefault(bucket_of(room), set()).add(room)
        return view

    def close(self, view: RoomView) -> None:
        """Stop following a room for local clients.

        Replicas stay that another gateway requested and that are not known to be empty; without any, the view
        is dropped.
        """
        view.is_open = False
        for origin, replica in list(view.replicas.items()):
            is_empty = replica.synced and not replica.members and not replica.delayed
            if origin != self.origin and (not replica.requested or is_empty):
                for member_id in list(replica.members):
                    view.set_entry(origin, replica, member_id, None, "")
                self.unfollow(view, origin)
        if len(view.replicas) == 1:
            self._drop(view)

    def _drop(self, view: RoomView) -> None:
        for origin in list(view.replicas):
            if origin != self.origin:
                self.unfollow(view, origin)
        self.views.pop(view.room, None)
        self.delayed_rooms.pop(view.room, None)
        self._by_bucket[bucket_of(view.room)].discard(view.room)

    # --- which origins a view follows

    def on_directory_change(self, now_ms: float, origin: Origin, bucket: int) -> None:
        """Follow an origin in the open rooms of a directory bucket where it may have members now."""
        for room in self._by_bucket.get(bucket, ()):
            if self.views[room].is_open:
                self._follow_if_listed(now_ms, self.views[room], origin)

    def _follow_if_listed(self, now_ms: float, view: RoomView, origin: Origin) -> None:
        if origin not in view.replicas and self._directory.may_have_members(origin, view.room):
            self.follow(now_ms, view, origin)

    def follow(self, now_ms: float, view: RoomView, origin: Origin) -> Replica:
        """Make a view follow an origin, if it does not yet, and return the replica."""
        replica = view.replicas.get(origin)
        if replica is None:
            replica = view.replicas[origin] = Replica(synced_until_ms=now_ms)
            self.unconfirmed[(view.room, origin)] = None
            source = self.sources.setdefault(origin, SourceStream())
            source.rooms.add(view.room)
            if source.connected:
                self._outgoing.append((origin, Subscribe(view.room, 0)))
        return replica

    def unfollow(self, view: RoomView, origin: Origin) -> None:
        """Make a view stop following an origin; its replica is dropped."""
        view.replicas.pop(origin, None)
        self.unconfirmed.pop((view.room, origin), None)
        view.delayed_origins.discard(origin)
        view.skipped_causes.pop(origin, None)
        view.shown_since_own_change.pop(origin, None)
        source = self.sources.get(origin)
        if source is not None and view.room in source.rooms:
            source.rooms.discard(view.room)
            if source.connected:
                self._outgoing.append((origin, Unsubscribe(view.room)))
            if not source.rooms and not source.connected:
                del self.sources[origin]

    def follow_moved(self, now_ms: float, view: RoomView) -> None:
        """Follow the gateways that sessions moved to.

        Without a replica of the new gateway its silence could not be detected, and the members that moved
        there would never time out.
        """
        for member_id in sorted(view.moving):
            for entry in view.holders[member_id].values():
                target = entry.moved_to
                if target is not None and target not in view.replicas and target not in view.lost_origins:
                    self.follow(now_ms, view, target)

    # --- the streams

    def desired_sources(self) -> Iterator[Origin]:
        """Return an iterator over the origins that need a stream."""
        return (origin for origin, source in self.sources.items() if source.rooms)

    def connected(self, now_ms: float, origin: Origin) -> None:
        """Mark the stream to an origin as connected, and subscribe to its rooms from the last version."""
        source = self.sources.setdefault(origin, SourceStream())
        source.connected, source.silent, source.last_contact_ms = True, False, now_ms
        for room in sorted(source.rooms):
            replica = self.views[room].replicas[origin]
            replica.snapshot = None
            self._outgoing.append((origin, Subscribe(room, replica.received)))

    def disconnected(self, origin: Origin) -> None:
        """Record that the stream to an origin has ended; its replicas are no longer in sync."""
        source = self.sources.get(origin)
        if source is None:
            return
        for room in source.rooms:
            replica = self.views[room].replicas[origin]
            if replica.synced:
                replica.synced, replica.synced_until_ms = False, source.last_contact_ms
                self.unconfirmed[(room, origin)] = None
        source.connected, source.silent = False, True
        if not source.rooms:
            del self.sources[origin]

    def record_contact(self, now_ms: float, origin: Origin) -> None:
        """Record that a message arrived from an origin; if it was silent, its replicas are confirmed."""
        source = self.sources.get(origin)
        if source is None:
            return
        source.last_contact_ms = now_ms
        if source.silent and source.connected:
            source.silent = False
            for room in source.rooms:
                self.confirm(self.views[room], origin)

    def confirm(self, view: RoomView, origin: Origin) -> None:
        """Mark an origin's members as sure again if its replica is in sync and its stream is not silent."""
        replica = view.replicas[origin]
        if not replica.synced or replica.delayed or self.sources[origin].silent:
            return  # a delayed change may be a leave: a member that has left would be shown as sure
        self.unconfirmed.pop((view.room, origin), None)
        if replica.suspected:
            replica.suspected = False
            if replica.members or view.moving:
                self._emit_certainty(view, origin, EventKind.CONFIRMED)

    def suspect(self, view: RoomView, origin: Origin) -> None:
        """Mark an origin's members as unsure and emit the event."""
        replica = view.replicas[origin]
        replica.suspected = True
        if replica.members or view.moving:
            self._emit_certainty(view, origin, EventKind.SUSPECTED)

    @staticmethod
    def _emit_certainty(view: RoomView, origin: Origin, kind: EventKind) -> None:
        view.append_event(RoomEvent(event=kind, gateway=origin[0], incarnation=origin[1]))

    def is_reachable(self, origin: Origin) -> bool:
        """Return whether the stream to an origin is connected and not silent."""
        source = self.sources.get(origin)
        return source is not None and source.connected and not source.silent

    def is_idle(self, origin: Origin) -> bool:
        """Return whether no room is followed at an origin."""
        source = self.sources.get(origin)
        return source is None or not source.rooms
