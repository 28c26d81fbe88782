"""Builds the admin port's answers about rooms and sessions.

Each answer also lists the gateways whose members it may be missing.
"""

from __future__ import annotations

import msgspec

from cressrock.presence.environment import ServiceContext
from cressrock.presence.gossip_entries import GossipEntries
from cressrock.presence.liveness import SILENT, unreported_gateways
from cressrock.presence.name_claims import NameClaims
from cressrock.presence.requests import format_cursor, format_token
from cressrock.presence.sessions import Session
from cressrock.presence.view import RoomView

# An answer's fields by their JSON names, in output order.
Answer = dict[str, object]


class UnreportedGateway(msgspec.Struct, frozen=True):
    """A gateway whose current members an answer may be missing; field names are those of the JSON."""

    gateway: str
    reason: str = msgspec.field(name="why")
    since_ms_ago: int | None


class ListedMember(msgspec.Struct, frozen=True):
    """A member in an answer; field names are those of the JSON."""

    member: str
    gateway: str
    sure: bool
    data: bytes
    locks: list[str]


class ListedName(msgspec.Struct, frozen=True):
    """An agreed name in an answer; field names are those of the JSON."""

    name: str
    member: str
    number: int
    counts: bool


class AnswerWriter:
    """Builds answers from the current state of rooms and sessions."""

    def __init__(self, context: ServiceContext, entries: GossipEntries, names: NameClaims) -> None:
        """The arguments are only read, never modified."""
        self._environment, self._context = context.environment, context
        self._entries, self._names = entries, names

    def session(self, session: Session) -> Answer:
        """Return the session fields for the session's own client, including its token."""
        rooms, entry = self._context.rooms, session.entry
        return {
            "member": entry.id,
            "token": format_token(rooms.secret(entry.id, entry.hop), entry.id, session.room),
            "grace_ms": rooms.settings.grace_ms,
        }

    def common_fields(self, view: RoomView) -> Answer:
        """Return the fields common to all answers on a room.

        They name the room and the answering gateway, and give the cursor, the age of the data and the
        unreported gateways.
        """
        now_ms, rooms = self._context.now_ms(), self._context.rooms
        return {
            "room": view.room,
            "gateway": self._environment.name,
            "cursor": format_cursor(rooms.origin, view.feed.cursor),
            "as_of_ms_ago": round(max(0.0, now_ms - rooms.as_of_ms(view, now_ms))),
            "not_heard": self.unreported(view),
        }

    def snapshot(self, view: RoomView) -> Answer:
        """Return the common fields of a room with all its members and agreed names."""
        members = view.members()
        holds = self._names.holds_in(view.room, {member.entry.id for member in members})
        return {
            **self.common_fields(view),
            "members": [
                ListedMember(one.entry.id, one.gateway, one.sure, one.entry.data, one.entry.locks)
                for one in members
            ],
            "names": [
                ListedName(hold.holder.name, hold.holder.member, hold.number, self._names.counts(hold))
                for hold in holds
            ],
        }

    def unreported(self, view: RoomView | None) -> list[UnreportedGateway]:
        """Return the gateways whose members an answer may be missing; `view` is None without a room."""
        now_ms, clock_ms = self._context.now_ms(), self._environment.clock_ms()
        suspect_since_ms = self._context.rooms.unsure_gateways(view, now_ms) if view is not None else {}
        pending = view.pending_gateways() if view is not None else ()
        others = self._environment.other_gateways()
        answer = []
        for gateway in unreported_gateways(
            others, self._entries.announcing_gateways(), suspect_since_ms, pending
        ):
            # Silence is measured on the rooms' clock, membership states on the process's monotonic clock.
            age_ms = (now_ms if gateway.reason == SILENT else clock_ms) - gateway.since_ms
            ago_ms = round(age_ms) if gateway.since_ms >= 0 else None
            answer.append(UnreportedGateway(gateway.name, gateway.reason, ago_ms))
        return answer
