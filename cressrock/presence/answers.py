"""Answers of the admin port: what they say of a room, and of the gateways that they cannot speak for."""

from __future__ import annotations

import msgspec

from cressrock.presence.environment import ServiceContext
from cressrock.presence.gossip_entries import GossipEntries
from cressrock.presence.liveness import SILENT, unreported_gateways
from cressrock.presence.name_claims import NameClaims
from cressrock.presence.requests import format_cursor, format_token
from cressrock.presence.sessions import Session
from cressrock.presence.view import RoomView

# The fields of an answer by their outer names, in the order in which they are written.
Answer = dict[str, object]


class UnreportedGateway(msgspec.Struct, frozen=True):
    """A gateway that an answer does not speak for; the fields are those of the JSON."""

    gateway: str
    reason: str = msgspec.field(name="why")
    since_ms_ago: int | None


class ListedMember(msgspec.Struct, frozen=True):
    """A member in an answer; the fields are those of the JSON."""

    member: str
    gateway: str
    sure: bool
    data: bytes
    locks: list[str]


class ListedName(msgspec.Struct, frozen=True):
    """An agreed name in an answer; the fields are those of the JSON."""

    name: str
    member: str
    number: int
    counts: bool


class AnswerWriter:
    """Describes rooms and sessions as they are now."""

    def __init__(self, context: ServiceContext, entries: GossipEntries, names: NameClaims) -> None:
        """Everything is read; nothing is changed."""
        self._environment, self._context = context.environment, context
        self._entries, self._names = entries, names

    def session(self, session: Session) -> Answer:
        """Describe a session to its own client."""
        rooms, entry = self._context.rooms, session.entry
        return {
            "member": entry.id,
            "token": format_token(rooms.secret(entry.id, entry.hop), entry.id, session.room),
            "grace_ms": rooms.settings.grace_ms,
        }

    def about(self, view: RoomView) -> Answer:
        """Say of which room and by whom an answer is, and what it does not speak for."""
        now_ms, rooms = self._context.now_ms(), self._context.rooms
        return {
            "room": view.room,
            "gateway": self._environment.name,
            "cursor": format_cursor(rooms.origin, view.feed.cursor),
            "as_of_ms_ago": round(max(0.0, now_ms - rooms.as_of_ms(view, now_ms))),
            "not_heard": self.unreported(view),
        }

    def snapshot(self, view: RoomView) -> Answer:
        """Describe a room whole."""
        members = view.members()
        holds = self._names.holds_in(view.room, {member.entry.id for member in members})
        return {
            **self.about(view),
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
        """Return the gateways that an answer on a room, or on none, does not speak for."""
        now_ms, clock_ms = self._context.now_ms(), self._environment.clock_ms()
        suspect_since_ms = self._context.rooms.unsure_gateways(view, now_ms) if view is not None else {}
        pending = view.pending_gateways() if view is not None else ()
        others = self._environment.other_gateways()
        answer = []
        for gateway in unreported_gateways(
            others, self._entries.announcing_gateways(), suspect_since_ms, pending
        ):
            # Silence is by the rooms' clock, the fleet's states by the process's.
            age_ms = (now_ms if gateway.reason == SILENT else clock_ms) - gateway.since_ms
            ago_ms = round(age_ms) if gateway.since_ms >= 0 else None
            answer.append(UnreportedGateway(gateway.name, gateway.reason, ago_ms))
        return answer
