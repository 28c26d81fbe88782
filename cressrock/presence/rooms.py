"""Rooms and their members over all gateways, as one gateway knows them: the state machine behind the
service.

Each gateway's process is the only writer of its own members.  The gossip carries only where members are; a
room that is watched here is followed by streams to the gateways that have members in it.  Time comes in,
and messages come in and go out as values; nothing here waits or sends.

Times are milliseconds of the service's clock, which leaves out how long this process itself stood still.
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
    """One gateway's rooms.  Methods raise PresenceLimitError past a bound of the settings."""

    def __init__(self, origin: Origin, settings: RoomSettings, key: bytes) -> None:
        """`key` makes the sessions' secrets; it is this process's own and random."""
        self.origin, self.settings = origin, settings
        numbers = itertools.count(1)  # of members and of feeds' epochs
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
        """Return the secret of a session here."""
        return self._sessions.secret(member_id, hop)

    def join(self, now_ms: float, room: str, data: bytes = b"", locks: Iterable[str] = ()) -> Session:
        """Let a new session begin.  Raises PresenceLimitError, PresenceRequestError."""
        return self._sessions.join(now_ms, room, data, locks)

    def session(self, member_id: str, secret: bytes) -> Session | None:
        """Return an own session by its id and secret; None if it is not here.  Raises SessionEndedError."""
        return self._sessions.find(member_id, secret)

    def touch(
        self, now_ms: float, session: Session, data: bytes | None = None, locks: Iterable[str] | None = None
    ) -> None:
        """Record that a session's client is there, and what it has now.

        Raises SessionUnavailableError, PresenceRequestError.
        """
        self._sessions.touch(now_ms, session, data, locks)

    def leave(self, now_ms: float, session: Session, reason: Reason = Reason.LEFT) -> None:
        """End a session, for its client or by this gateway's decision."""
        self._sessions.leave(now_ms, session, reason)

    def close(self, now_ms: float) -> None:
        """End all sessions here, in an orderly stop."""
        self._sessions.close_all(now_ms)

    def hand_over(self, now_ms: float, request: HandOverRequest) -> MemberEntry | None:
        """Return a session's entry for another gateway that takes it, and hold it still meanwhile."""
        return self._sessions.hand_over(now_ms, request)

    def record_hand_over(self, now_ms: float, done: HandOverDone, new_origin: Origin) -> None:
        """Leave the marker that names where a session goes on, after which it is shown there."""
        self._sessions.record_hand_over(now_ms, done, new_origin)

    def adopt(self, now_ms: float, room: str, entry: MemberEntry) -> Session:
        """Go on here with a session that another gateway had."""
        return self._sessions.adopt(now_ms, room, entry)

    def drain_released_names(self) -> list[ReleasedName]:
        """Return the agreed names whose sessions have ended since the last call."""
        released, self._sessions.released_names = self._sessions.released_names, []
        return released

    # --- the gossip

    def drain_directory_updates(self, max_bytes: int = MAX_ENTRY_BYTES) -> list[DirectoryUpdate]:
        """Return the gossip's entries on own rooms that changed since the last call."""
        return self._directory.drain_updates(max_bytes)

    def receive_directory_entry(self, now_ms: float, origin: Origin, key: str, value: bytes | None) -> None:
        """Read an entry of another gateway; None: it was removed."""
        if origin == self.origin:
            return
        bucket = self._directory.receive(origin, key, value)
        if bucket is not None:
            self._table.on_directory_change(now_ms, origin, bucket)

    def forget(self, origin: Origin) -> None:
        """Drop what the gossip no longer holds; the origin's members become unsure by themselves."""
        self._directory.forget(origin)

    # --- watching

    def open_view(self, now_ms: float, room: str) -> RoomView:
        """Follow a room for a while, for whoever asks here."""
        return self._table.open(now_ms, room)

    def append_event(self, room: str, event: RoomEvent) -> None:
        """Put an event of another kind (a name held, fenced) into a room's feed, if it is followed here."""
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
        """Return what is held of another gateway's member: the newest entry, and where its session is."""
        view = self.views.get(room)
        return view.newest_entry(member_id) if view is not None else None

    def unsure_gateways(self, view: RoomView, now_ms: float) -> dict[str, float]:
        """Return the gateways whose members in a room are unsure, since when."""
        return self._suspicion.unsure_gateways(now_ms, view)

    def as_of_ms(self, view: RoomView, now_ms: float) -> float:
        """Return the time up to which all that the confirmed gateways sent is here."""
        return self._suspicion.as_of_ms(now_ms, view)

    # --- streams to other gateways

    def desired_sources(self) -> Iterator[Origin]:
        """Yield the origins that a stream is wanted to."""
        return self._table.desired_sources()

    def source_connected(self, now_ms: float, origin: Origin) -> None:
        """A stream to an origin stands."""
        self._table.connected(now_ms, origin)

    def source_disconnected(self, origin: Origin) -> None:
        """The stream to an origin is over."""
        self._table.disconnected(origin)

    def record_contact(self, now_ms: float, origin: Origin) -> None:
        """Something came from an origin."""
        self._table.record_contact(now_ms, origin)

    def receive_update(self, now_ms: float, origin: Origin, message: Message) -> None:
        """Apply what an origin sent by the stream to it."""
        self._table.record_contact(now_ms, origin)
        if isinstance(message, SnapshotPage | ChangeBatch):
            if self._delivery.receive(now_ms, origin, message):
                self._subscribers.reply_to_replicated(origin)

    def is_reachable(self, origin: Origin) -> bool:
        """Whether the stream to an origin stands and is not silent."""
        return self._table.is_reachable(origin)

    def is_idle(self, origin: Origin) -> bool:
        """Whether nothing is followed at an origin."""
        return self._table.is_idle(origin)

    # --- streams from other gateways

    def subscriber_connected(self, stream: int, origin: Origin) -> None:
        """Another gateway came by a stream."""
        self._subscribers.connected(stream, origin)

    def subscriber_disconnected(self, stream: int) -> None:
        """A stream from another gateway is over."""
        self._subscribers.disconnected(stream)

    def receive_request(self, now_ms: float, stream: int, message: Message) -> None:
        """Do what another gateway asks by its stream."""
        self._subscribers.receive_request(now_ms, stream, message)

    @property
    def has_unpublished_changes(self) -> bool:
        """Whether subscribers have to be sent something."""
        return bool(self._local.unpublished)

    def publish_changes(self) -> None:
        """Send subscribers what changed since they were sent something last."""
        self._subscribers.publish_changes()

    def subscriber_streams(self) -> list[int]:
        """Return the numbers of the streams from others."""
        return list(self._subscribers.by_stream)

    # --- time, output, figures

    def tick(self, now_ms: float) -> None:
        """Let time pass: sessions without contact end, silent gateways become unsure, unused views go."""
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
        """Return what is to be sent, in order."""
        outgoing = self._outgoing.copy()
        self._outgoing.clear()
        return outgoing

    @property
    def version(self) -> int:
        """The number of the last own change."""
        return self._local.version

    @property
    def forced_releases(self) -> int:
        """How many changes were shown before a cause that could not be had."""
        return self._delivery.forced

    @property
    def resyncs(self) -> int:
        """How often watchers were told to take a new snapshot."""
        return self._feed_index.resyncs

    def counters(self) -> dict[str, int]:
        """Return counts by the names of the admin port."""
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
