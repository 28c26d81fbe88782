"""Sessions of this gateway's clients: start, contact, expiry, end, and moves between gateways.

A session that moves to another gateway keeps its member id and gets a higher hop.  Its old gateway keeps a
marker that names the new one.  When a session that has moved ends, an end marker remains until no gateway can
still hold an older entry.

Times are milliseconds of a clock that excludes pauses of this process.
"""

from __future__ import annotations

import hashlib
import heapq
import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from cressrock.errors.presence import (
    PresenceLimitError,
    PresenceRequestError,
    SessionEndedError,
    SessionUnavailableError,
)
from cressrock.presence.causal_delivery import CausalDelivery
from cressrock.presence.feed import Reason
from cressrock.presence.local_rooms import LocalRooms, MemberEdit
from cressrock.presence.messages import (
    ENDED_BY_CLIENT,
    ENDED_BY_GATEWAY,
    HandOverDone,
    HandOverRequest,
    MemberEntry,
    Origin,
    VersionStamp,
    digest_of_secret,
)
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view_table import ViewTable

SECRET_BYTES = 16
MAX_LOCK_LENGTH = 256


@dataclass(slots=True)
class Session:
    """An own member: its entry, last client contact, and agreed names with their decisions' numbers."""

    room: str
    entry: MemberEntry
    last_contact_ms: float
    frozen_until_ms: float = 0.0  # while it is being handed over
    agreed_names: dict[str, int] | None = None  # None instead of an empty dict, since most sessions hold none


class SessionToken(NamedTuple):
    """The parsed token by which a client identifies its session."""

    secret: bytes
    member_id: str
    room: str


class ReleasedName(NamedTuple):
    """An agreed name, with its decision's number, whose session has ended."""

    room: str
    name: str
    number: int


class _Expiry(NamedTuple):
    """When to check a session for expiry, or to delete a marker that is no longer needed."""

    expires_at_ms: float
    member_id: str
    hop: int
    is_marker: bool


class Sessions:
    """This gateway's sessions, and the markers of its former ones."""

    def __init__(
        self,
        settings: RoomSettings,
        key: bytes,
        numbers: Iterator[int],
        local: LocalRooms,
        table: ViewTable,
        delivery: CausalDelivery,
    ) -> None:
        """`key` derives the sessions' secrets; it is random and specific to this process."""
        self.by_member: dict[str, Session] = {}
        self.released_names: list[ReleasedName] = []
        self._settings, self._key, self._numbers = settings, key, numbers
        self._local, self._table, self._delivery = local, table, delivery
        self._expiries: list[_Expiry] = []
        self._marker_rooms: dict[str, str] = {}  # member id of each own marker -> room

    # --- a client's requests

    def secret(self, member_id: str, hop: int) -> bytes:
        """Return the secret of a session of this gateway: SECRET_BYTES, different for each hop."""
        return hashlib.blake2b(
            f"{member_id}.{hop}".encode(), digest_size=SECRET_BYTES, key=self._key
        ).digest()

    def find(self, member_id: str, secret: bytes) -> Session | None:
        """Return a session by its member id and secret; None if this gateway does not have it.

        Raises SessionEndedError if the secret does not match.
        """
        session = self.by_member.get(member_id)
        if session is None:
            return None
        if not hmac.compare_digest(digest_of_secret(secret), session.entry.secret_digest):
            raise SessionEndedError(f"session {member_id}: the token is not the one it was given last")
        return session

    def join(self, now_ms: float, room: str, data: bytes, locks: Iterable[str]) -> Session:
        """Start a new session.  Raises PresenceLimitError, PresenceRequestError."""
        local, view = self._local.rooms.get(room), self._table.views.get(room)
        members = max(len(local.members) if local else 0, len(view.holders) if view else 0)
        if members >= self._settings.max_room:
            raise PresenceLimitError(f"room {room!r}: {self._settings.max_room} members (presence.max_room)")
        self._check_capacity()
        new_locks = list(locks)
        self._check_entry_limits(data, new_locks)
        self._local.open(room)
        origin = self._table.origin
        member_id = f"{origin.gateway}.{origin.incarnation:x}.{next(self._numbers):x}"
        digest = digest_of_secret(self.secret(member_id, 0))
        return self._start_session(now_ms, room, MemberEntry(member_id, 0, data, new_locks, digest))

    def touch(
        self, now_ms: float, session: Session, data: bytes | None = None, locks: Iterable[str] | None = None
    ) -> None:
        """Record contact with a session's client, and update its data and locks unless they are None.

        Raises SessionUnavailableError during a hand-over, PresenceRequestError.
        """
        if session.frozen_until_ms > now_ms:
            raise SessionUnavailableError(f"session {session.entry.id} is being handed over")
        entry = session.entry
        data = entry.data if data is None else data
        new_locks = entry.locks if locks is None else list(locks)
        self._check_entry_limits(data, new_locks)
        session.last_contact_ms = now_ms
        if data != entry.data or new_locks != entry.locks:
            session.entry = msgspec.structs.replace(entry, data=data, locks=new_locks)
            self._record(now_ms, session.room, MemberEdit(entry.id, session.entry))

    def leave(self, now_ms: float, session: Session, reason: Reason = Reason.LEFT) -> None:
        """End a session, on request of its client or by this gateway."""
        entry = session.entry
        if self.by_member.pop(entry.id, None) is None:
            return
        for name, number in (session.agreed_names or {}).items():
            self.released_names.append(ReleasedName(session.room, name, number))
        if entry.hop:
            # A previous gateway may still hold an older entry; the marker keeps it from reappearing.
            ended_by = ENDED_BY_CLIENT if reason == Reason.LEFT else ENDED_BY_GATEWAY
            marker = msgspec.structs.replace(entry, data=b"", locks=[], moved=VersionStamp("", 0, ended_by))
            self._record_marker(now_ms, session.room, marker, reason)
        else:
            self._record(now_ms, session.room, MemberEdit(entry.id, None, reason))

    def close_all(self, now_ms: float) -> None:
        """End all sessions in an orderly shutdown."""
        for session in list(self.by_member.values()):
            self.leave(now_ms, session, Reason.CLOSED)

    def _check_capacity(self) -> None:
        if len(self.by_member) >= self._settings.max_members:
            raise PresenceLimitError(
                f"{self._settings.max_members} members at this gateway (presence.max_members)"
            )

    def _check_entry_limits(self, data: bytes, locks: list[str]) -> None:
        if len(data) > self._settings.max_data:
            raise PresenceRequestError(
                f"data of {len(data)} bytes; at most {self._settings.max_data} (presence.max_data)"
            )
        if len(locks) > self._settings.max_locks or any(len(lock) > MAX_LOCK_LENGTH for lock in locks):
            raise PresenceRequestError(
                f"locks: at most {self._settings.max_locks} of at most {MAX_LOCK_LENGTH} bytes each"
            )

    # --- moving between gateways

    def hand_over(self, now_ms: float, request: HandOverRequest) -> MemberEntry | None:
        """Return a session's entry to the gateway that takes it over, and freeze the session for `silent_ms`.

        None if the session is not here or the secret does not match.
        """
        try:
            session = self.find(request.member_id, request.secret)
        except SessionEndedError:
            return None  # the token is outdated: reported to the other gateway as an unknown session
        if session is None or session.room != request.room:
            return None
        session.frozen_until_ms = now_ms + self._settings.silent_ms
        session.last_contact_ms = now_ms
        return session.entry

    def record_hand_over(self, now_ms: float, done: HandOverDone, new_origin: Origin) -> None:
        """Replace a session by a marker that names its new gateway; views then show it there.

        Ignored if the session is not here or already has the new hop.
        """
        session = self.by_member.get(done.member_id)
        if session is None or session.room != done.room or session.entry.hop >= done.hop:
            return
        del self.by_member[done.member_id]
        stamp = VersionStamp(*new_origin, done.version)
        marker = msgspec.structs.replace(session.entry, moved=stamp)
        self._record_marker(now_ms, done.room, marker, Reason.MOVED, (stamp,))

    def adopt(self, now_ms: float, room: str, entry: MemberEntry) -> Session:
        """Continue another gateway's session at this one, with the next hop.  Raises PresenceLimitError."""
        self._check_capacity()
        self._local.open(room)
        hop = entry.hop + 1
        digest = digest_of_secret(self.secret(entry.id, hop))
        return self._start_session(now_ms, room, MemberEntry(entry.id, hop, entry.data, entry.locks, digest))

    # --- recording and expiry

    def _start_session(self, now_ms: float, room: str, entry: MemberEntry) -> Session:
        session = Session(room, entry, now_ms)
        self.by_member[entry.id] = session
        self._record(now_ms, room, MemberEdit(entry.id, entry))
        self._schedule_expiry(session, now_ms + self._settings.grace_ms)
        return session

    def _record(self, now_ms: float, room: str, edit: MemberEdit) -> None:
        view = self._table.views.get(room)
        if view is None:
            self._local.record(now_ms, room, edit, {})
            return
        change = self._local.record(now_ms, room, edit, view.shown_since_own_change)
        view.shown_since_own_change.clear()
        self._delivery.apply_own(now_ms, view, change)

    def _record_marker(
        self,
        now_ms: float,
        room: str,
        marker: MemberEntry,
        reason: Reason,
        causes: tuple[VersionStamp, ...] = (),
    ) -> None:
        self._record(now_ms, room, MemberEdit(marker.id, marker, reason, causes))
        # No gateway holds an older entry for longer than `grace_ms` plus twice `gone_ms`.
        expires_at_ms = now_ms + self._settings.grace_ms + 2 * self._settings.gone_ms
        heapq.heappush(self._expiries, _Expiry(expires_at_ms, marker.id, marker.hop, True))
        self._marker_rooms[marker.id] = room

    def _schedule_expiry(self, session: Session, expires_at_ms: float) -> None:
        expiry = _Expiry(expires_at_ms, session.entry.id, session.entry.hop, False)
        heapq.heappush(self._expiries, expiry)

    def tick(self, now_ms: float) -> None:
        """End sessions without contact for `grace_ms`, and delete expired markers."""
        while self._expiries and self._expiries[0].expires_at_ms <= now_ms:
            expiry = heapq.heappop(self._expiries)
            if expiry.is_marker:
                self._drop_marker(now_ms, expiry)
                continue
            session = self.by_member.get(expiry.member_id)
            if session is None or session.entry.hop != expiry.hop:
                continue
            expires_at_ms = max(session.last_contact_ms + self._settings.grace_ms, session.frozen_until_ms)
            if expires_at_ms > now_ms:
                self._schedule_expiry(session, expires_at_ms)
            else:
                self.leave(now_ms, session, Reason.SILENT)

    def _drop_marker(self, now_ms: float, expiry: _Expiry) -> None:
        room = self._marker_rooms.get(expiry.member_id, "")
        local = self._local.rooms.get(room)
        marker = local.members.get(expiry.member_id) if local else None
        if marker is None or marker.moved is None:
            self._marker_rooms.pop(expiry.member_id, None)
        elif marker.hop == expiry.hop:
            self._record(now_ms, room, MemberEdit(expiry.member_id, None, Reason.TIME))
            self._marker_rooms.pop(expiry.member_id, None)
