"""Rooms and their members across all gateways, as known at one gateway: the service's state machine.

Each gateway process is the only writer of its own members. Gossip carries only which gateways have members in
a room; members of a watched room arrive by streams from those gateways. Time and messages are passed in as
values and outgoing messages are returned; nothing here waits or does I/O.

Times are milliseconds of the service's clock, which excludes pauses of this process.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

from cressrock.presence.causal_delivery import CausalDelivery
from cressrock.presence.directory import MAX_ENTRY_BYTES, DirectoryUpdate, RoomDirectory
from cressrock.presence.feed import Reason, RoomEvent
from cressrock.presence.local_rooms import LocalRooms
from cressrock.presence.messages import (
    ChangeBatch,
    HandOverDone,
    HandOverRequest,
    MemberEntry,
    Message,
    Origin,
    SnapshotPage,
)
from cressrock.presence.sessions import ReleasedName, Session, Sessions
from cressrock.presence.settings import RoomSettings
from cressrock.presence.subscribers import Subscribers
from cressrock.presence.suspicion import SuspicionMonitor
from cressrock.presence.view import FeedIndex, KnownMember, RoomView
from cressrock.presence.view_table import Outgoing, ViewTable


class Rooms:
    """One gateway's rooms.  Methods raise PresenceLimitError if a limit of the settings is exceeded."""

    def __init__(self, origin: Origin, settings: RoomSettings, key: bytes) -> None:
        """`key` derives the sessions' secrets; it is random and specific to this process."""
        self.origin, self.settings = origin, settings
        numbers = itertools.count(1)  # for member ids and feed epochs
        self._feed_index = FeedIndex(numbers)
        self._outgoing: Outgoing = []
        self._directory = RoomDirectory()
        self._local = LocalRooms(settings, self._directory)
        self._table = ViewTable(
            origin, settings, self._directory, self._local, self._feed_index, self._outgoing
        )
        self._delivery = CausalDelivery(self._table, self._directory, settings)
        self._suspicion = SuspicionMonitor(self._table, self._delivery, settings)
        self._sessions = Sessions(settings, key, numbers, self._local, self._table, self._delivery)
        self._subscribers = Subscribers(settings, self._local, self._table, self._sessions, self._outgoing)
        self.rooms = self._local.rooms
        self.views = self._table.views
        self.sessions = self._sessions.by_member

    # --- own sessions

    def secret(self, member_id: str, hop: int) -> bytes:
        """Return the secret of a session of this gateway."""
        return self._sessions.secret(member_id, hop)

    def join(self, now_ms: float, room: str, data: bytes = b"", locks: Iterable[str] = ()) -> Session:
        """Start a new session.  Raises PresenceLimitError, PresenceRequestError."""
        return self._sessions.join(now_ms, room, data, locks)

    def session(self, member_id: str, secret: bytes) -> Session | None:
        """Return a session by its member id and secret; None if this gateway does not have it.

        Raises SessionEndedError if the secret does not match.
        """
        return self._sessions.find(member_id, secret)

    def touch(
        self, now_ms: float, session: Session, data: bytes | None = None, locks: Iterable[str] | None = None
    ) -> None:
        """Record contact with a session's client, and update its data and locks unless they are None.

        Raises SessionUnavailableError, PresenceRequestError.
        """
        self._sessions.touch(now_ms, session, data, locks)

    def leave(self, now_ms: float, session: Session, reason: Reason = Reason.LEFT) -> None:
        """End a session, on request of its client or by this gateway."""
        self._sessions.leave(now_ms, session, reason)

    def close(self, now_ms: float) -> None:
        """End all sessions of this gateway in an orderly shutdown."""
        self._sessions.close_all(now_ms)

    def hand_over(self, now_ms: float, request: HandOverRequest) -> MemberEntry | None:
        """Return a session's entry to the gateway that takes it over, and freeze the session meanwhile.

        None if the session is not here or the secret does not match.
        """
        return self._sessions.hand_over(now_ms, request)

    def record_hand_over(self, now_ms: float, done: HandOverDone, new_origin: Origin) -> None:
        """Replace a session by a marker that names its new gateway; views then show it there."""
        self._sessions.record_hand_over(now_ms, done, new_origin)

    def adopt(self, now_ms: float, room: str, entry: MemberEntry) -> Session:
        """Continue a session of another gateway at this one.  Raises PresenceLimitError."""
        return self._sessions.adopt(now_ms, room, entry)

    def drain_released_names(self) -> list[ReleasedName]:
        """Return the agreed names whose sessions have ended since the last call."""
        released, self._sessions.released_names = self._sessions.released_names, []
        return released

    # --- the gossip

    def drain_directory_updates(self, max_bytes: int = MAX_ENTRY_BYTES) -> list[DirectoryUpdate]:
        """Return the gossip entries on own rooms that changed since the last call."""
        return self._directory.drain_updates(max_bytes)

    def receive_directory_entry(self, now_ms: float, origin: Origin, key: str, value: bytes | None) -> None:
        """Apply another gateway's gossip entry; a value of None means that it was removed."""
        if origin == self.origin:
            return
        bucket = self._directory.receive(origin, key, value)
        if bucket is not None:
            self._table.on_directory_change(now_ms, origin, bucket)

    def forget(self, origin: Origin) -> None:
        """Drop the directory of an origin that the gossip no longer holds.

        Its members are not removed; they become unsure by the usual time-out.
        """
        self._directory.forget(origin)

    # --- watching

    def open_view(self, now_ms: float, room: str) -> RoomView:
        """Return a view of a room, which is followed for at least `linger_ms` from now."""
        return self._table.open(now_ms, room)

    def append_event(self, room: str, event: RoomEvent) -> None:
        """Append an event that is not about a member (a name held or fenced) to a followed room's feed."""
        view = self.views.get(room)
        if view is not None:
            view.append_event(event)

    @property
    def has_feed_changes(self) -> bool:
        """Whether a room's feed has changed since `drain_changed_rooms`."""
        return bool(self._feed_index.changed_rooms)

    def drain_changed_rooms(self) -> set[str]:
        """Return the rooms whose feed has changed since the last call."""
        changed, self._feed_index.changed_rooms = self._feed_index.changed_rooms, set()
        return changed

    def last_known(self, room: str, member_id: str) -> KnownMember | None:
        """Return the newest known entry of a member, and its session's gateway; None if unknown."""
        view = self.views.get(room)
        return view.newest_entry(member_id) if view is not None else None

    def unsure_gateways(self, view: RoomView, now_ms: float) -> dict[str, float]:
        """Return the gateways whose members in a room are unsure, with the time since when (ms)."""
        return self._suspicion.unsure_gateways(now_ms, view)

    def as_of_ms(self, view: RoomView, now_ms: float) -> float:
        """Return the time (ms) up to which all updates from confirmed gateways were received."""
        return self._suspicion.as_of_ms(now_ms, view)

    # --- streams to other gateways

    def desired_sources(self) -> Iterator[Origin]:
        """Yield the origins to which a stream is needed."""
        return self._table.desired_sources()

    def source_connected(self, now_ms: float, origin: Origin) -> None:
        """Handle an established stream to an origin."""
        self._table.connected(now_ms, origin)

    def source_disconnected(self, origin: Origin) -> None:
        """Handle the end of the stream to an origin."""
        self._table.disconnected(origin)

    def record_contact(self, now_ms: float, origin: Origin) -> None:
        """Record that a message or heartbeat arrived from an origin."""
        self._table.record_contact(now_ms, origin)

    def receive_update(self, now_ms: float, origin: Origin, message: Message) -> None:
        """Apply a message that an origin sent on the stream to it."""
        self._table.record_contact(now_ms, origin)
        if isinstance(message, SnapshotPage | ChangeBatch):
            if self._delivery.receive(now_ms, origin, message):
                self._subscribers.reply_to_replicated(origin)

    def is_reachable(self, origin: Origin) -> bool:
        """Whether the stream to an origin is connected and not silent."""
        return self._table.is_reachable(origin)

    def is_idle(self, origin: Origin) -> bool:
        """Whether no room is followed at an origin, so that its stream may be closed."""
        return self._table.is_idle(origin)

    # --- streams from other gateways

    def subscriber_connected(self, stream: int, origin: Origin) -> None:
        """Handle a stream that another gateway opened."""
        self._subscribers.connected(stream, origin)

    def subscriber_disconnected(self, stream: int) -> None:
        """Handle the end of a stream that another gateway opened."""
        self._subscribers.disconnected(stream)

    def receive_request(self, now_ms: float, stream: int, message: Message) -> None:
        """Process a request that another gateway sent on its stream."""
        self._subscribers.receive_request(now_ms, stream, message)

    @property
    def has_unpublished_changes(self) -> bool:
        """Whether there are changes to send to subscribers."""
        return bool(self._local.unpublished)

    def publish_changes(self) -> None:
        """Queue for each subscriber the changes since those it was last sent."""
        self._subscribers.publish_changes()

    def subscriber_streams(self) -> list[int]:
        """Return the numbers of the streams that other gateways opened."""
        return list(self._subscribers.by_stream)

    # --- time, output, figures

    def tick(self, now_ms: float) -> None:
        """Apply time-outs: end sessions without contact, mark silent gateways unsure, close unused views."""
        self._sessions.tick(now_ms)
        self._suspicion.tick(now_ms)
        self._delivery.release_overdue(now_ms)
        self._local.tick(now_ms)
        for view in list(self.views.values()):
            if view.moving and view.is_open:
                self._table.follow_moved(now_ms, view)
            if view.expires_at_ms <= now_ms and not view.watchers:
                self._table.close(view)
        self.publish_changes()

    def drain_outgoing(self) -> Outgoing:
        """Return and clear the outgoing messages, in order."""
        outgoing = self._outgoing.copy()
        self._outgoing.clear()
        return outgoing

    @property
    def version(self) -> int:
        """The number of the last own change."""
        return self._local.version

    @property
    def forced_releases(self) -> int:
        """How many changes were shown without a cause that was not received in time."""
        return self._delivery.forced

    @property
    def resyncs(self) -> int:
        """How often a feed was reset, which makes watchers fetch a new snapshot."""
        return self._feed_index.resyncs

    def counters(self) -> dict[str, int]:
        """Return counters by their names in the admin port's status."""
        return {
            "members": len(self.sessions),
            "rooms": len(self.rooms),
            "views": len(self.views),
            "streams": len(self._subscribers.by_stream),
            "links": sum(source.connected for source in self._table.sources.values()),
            "version": self.version,
            "forced": self.forced_releases,
            "resyncs": self.resyncs,
        }
