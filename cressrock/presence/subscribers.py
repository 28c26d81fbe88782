"""Serves gateways that opened a stream to this one: changes of the rooms they follow, and their requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cressrock.errors.presence import PresenceLimitError
from cressrock.presence.local_rooms import LocalRooms
from cressrock.presence.messages import (
    ChangeBatch,
    FindMember,
    HandOverDone,
    HandOverRequest,
    Message,
    Origin,
    ReplicateRoom,
    Reply,
    Subscribe,
    Unsubscribe,
)
from cressrock.presence.sessions import Sessions
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view_table import Outgoing, ViewTable


@dataclass(slots=True)
class Subscriber:
    """The gateway that opened a stream, and the rooms that it follows."""

    origin: Origin
    rooms: set[str] = field(default_factory=set)


class _PendingReplication(NamedTuple):
    """A request that is replied to once the sender's members in a room are replicated up to a version."""

    room: str
    version: int
    stream: int
    request: int


class Subscribers:
    """All streams that other gateways opened, by stream number."""

    def __init__(
        self,
        settings: RoomSettings,
        local: LocalRooms,
        table: ViewTable,
        sessions: Sessions,
        outgoing: Outgoing,
    ) -> None:
        """`outgoing` receives the messages to be sent over the streams."""
        self.by_stream: dict[int, Subscriber] = {}
        self._settings, self._local, self._table, self._sessions = settings, local, table, sessions
        self._outgoing = outgoing
        self._pending: dict[Origin, list[_PendingReplication]] = {}

    def connected(self, stream: int, origin: Origin) -> None:
        """Register a stream that another gateway opened."""
        self.by_stream[stream] = Subscriber(origin)

    def disconnected(self, stream: int) -> None:
        """Remove a stream that has ended, with its subscriptions and pending requests."""
        subscriber = self.by_stream.pop(stream, None)
        for room in subscriber.rooms if subscriber is not None else ():
            self._remove(stream, room)
        for pending in self._pending.values():
            pending[:] = [replication for replication in pending if replication.stream != stream]

    def _remove(self, stream: int, room: str) -> None:
        local = self._local.rooms.get(room)
        if local is not None:
            local.subscribers.pop(stream, None)
            self._local.drop_unused(room)

    def receive_request(self, now_ms: float, stream: int, request: Message) -> None:
        """Process another gateway's request.  Raises PresenceLimitError if a limit is exceeded."""
        subscriber = self.by_stream[stream]
        match request:
            case Subscribe():
                self._subscribe(stream, subscriber, request)
            case Unsubscribe():
                subscriber.rooms.discard(request.room)
                self._remove(stream, request.room)
            case ReplicateRoom():
                self._replicate(now_ms, stream, subscriber.origin, request)
            case HandOverRequest():
                entry = self._sessions.hand_over(now_ms, request)
                self._outgoing.append((stream, Reply(request.request, entry is not None, entry)))
            case HandOverDone():
                self._sessions.record_hand_over(now_ms, request, subscriber.origin)
            case FindMember():
                self._outgoing.append((stream, self._find(request)))

    def _subscribe(self, stream: int, subscriber: Subscriber, request: Subscribe) -> None:
        if len(subscriber.rooms) >= self._settings.max_rooms:
            raise PresenceLimitError(
                f"{subscriber.origin[0]} follows {len(subscriber.rooms)} rooms here (presence.max_rooms)"
            )
        local = self._local.open(request.room)
        subscriber.rooms.add(request.room)
        local.subscribers[stream] = self._local.version
        if request.after_version and local.floor <= request.after_version <= self._local.version:
            changes = local.changes_after(request.after_version)
            self._outgoing.append((stream, ChangeBatch(request.room, changes)))
        else:
            self._send_snapshot(stream, request.room)

    def _send_snapshot(self, stream: int, room: str) -> None:
        self._outgoing.extend((stream, page) for page in self._local.snapshot(room))

    def _find(self, request: FindMember) -> Reply:
        view = self._table.views.get(request.room)
        newest = view.newest_entry(request.member_id) if view is not None else None
        if newest is None:
            return Reply(request.request, False)
        entry, origin = newest
        return Reply(request.request, True, entry, *origin)

    def publish_changes(self) -> None:
        """Send subscribers all changes since the last ones sent, or a snapshot if the log is too short."""
        for room in sorted(self._local.unpublished):
            local = self._local.rooms.get(room)
            if local is None:
                continue
            for stream, sent_version in local.subscribers.items():
                if sent_version >= self._local.version:
                    continue
                if sent_version < local.floor:
                    self._send_snapshot(stream, room)
                else:
                    changes = local.changes_after(sent_version)
                    if changes:
                        self._outgoing.append((stream, ChangeBatch(room, changes)))
                local.subscribers[stream] = self._local.version
        self._local.unpublished.clear()

    # --- replication of other gateways' members

    def _replicate(self, now_ms: float, stream: int, origin: Origin, request: ReplicateRoom) -> None:
        if len(self._pending.get(origin, ())) >= self._settings.max_views:
            raise PresenceLimitError(
                f"{origin[0]} waits for {self._settings.max_views} rooms (presence.max_views)"
            )
        view = self._table.ensure(now_ms, request.room)
        self._table.follow(now_ms, view, origin).requested = True
        pending = _PendingReplication(request.room, request.version, stream, request.request)
        self._pending.setdefault(origin, []).append(pending)
        self.reply_to_replicated(origin)

    def reply_to_replicated(self, origin: Origin) -> None:
        """Reply to those requests of an origin whose versions have been replicated here."""
        pending = self._pending.get(origin)
        if not pending:
            return
        remaining = []
        for replication in pending:
            view = self._table.views.get(replication.room)
            replica = view.replicas.get(origin) if view else None
            if replica is not None and replica.synced and replica.version >= replication.version:
                self._outgoing.append((replication.stream, Reply(replication.request, True)))
            elif replica is not None:
                remaining.append(replication)
        if remaining:
            self._pending[origin] = remaining
        else:
            del self._pending[origin]
