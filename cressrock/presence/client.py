"""The client library: joins and watches rooms across all gateways by the JSON API of the admin ports."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import quote, urlencode

import msgspec

from cressrock import net
from cressrock.errors.presence import GatewayUnreachableError, SessionEndedError
from cressrock.presence.client_connections import AdminRequest, Connect, GatewayConnections


class Member(msgspec.Struct, frozen=True):
    """A client's session in a room.

    `sure` is false if its gateway is silent: the member was present when last known.
    """

    member: str
    gateway: str
    sure: bool
    data: bytes = b""
    locks: list[str] = []


class NotHeard(msgspec.Struct, frozen=True):
    """A gateway whose members an answer may be missing.

    `why` is the reason; `since_ms_ago` is None if nothing was ever received from it.
    """

    gateway: str
    why: str
    since_ms_ago: float | None = None


class Event(msgspec.Struct, frozen=True):
    """A change in a room.

    `event` is join, leave (`why`: left, silent, closed, time, withdrawn), update, moved, unsure or sure (of a
    gateway), lock-orphaned, held or fenced (of an agreed name), or resync.
    """

    event: str
    seq: int = 0
    member: str = ""
    gateway: str = ""
    life: int = 0
    data: bytes = b""
    locks: list[str] = []
    why: str = ""
    name: str = ""
    number: int = 0


class Agreed(msgspec.Struct, frozen=True):
    """An agreed name that this session holds; `number` is the fencing token against older holders."""

    name: str
    number: int
    hold_ms: float


class _Answer(msgspec.Struct):
    """All fields that an answer may have; which are present depends on the request."""

    room: str = ""
    gateway: str = ""
    cursor: str = ""
    as_of_ms_ago: float = 0.0
    not_heard: list[NotHeard] = []
    members: list[Member] | None = None
    events: list[Event] = []
    resync: bool = False
    meaning: str = ""
    member: str = ""
    token: str = ""
    name: str = ""
    number: int = 0
    hold_ms: float = 0.0
    near: dict[str, Any] = {}  # of a join `near`: have, need and of


class _Response(NamedTuple):
    """The body of an answer, and the admin address that it came from."""

    address: str
    data: bytes


class Room:
    """A room as seen by one gateway, with a session if it was returned by a join or resume.

    `members` is updated by the events that `poll` and `watch` return.
    """

    def __init__(self, presence: Presence, address: str, answer: _Answer) -> None:
        """Created by Presence, not by callers."""
        self.presence, self.address = presence, address
        self.path, self.member, self.token = answer.room, answer.member, answer.token
        self.meaning, self.near = answer.meaning, answer.near
        self.agreed_name = Agreed(answer.name, answer.number, answer.hold_ms) if answer.number else None
        self.members: dict[str, Member] = {}
        self.cursor, self.gateway, self.as_of_ms_ago = "", "", 0.0
        self.not_heard: list[NotHeard] = []
        self._apply(answer)

    def _apply(self, answer: _Answer) -> None:
        self.cursor, self.gateway, self.as_of_ms_ago = answer.cursor, answer.gateway, answer.as_of_ms_ago
        self.not_heard = answer.not_heard
        if answer.members is not None:
            self.members = {one.member: one for one in answer.members}

    async def poll(self, wait_ms: float = 20_000.0) -> list[Event]:
        """Return the events after the cursor, waiting up to `wait_ms` for one; keeps the session alive.

        A single event `resync` means that `members` was replaced by a new snapshot.  Raises the errors
        of `watch`.
        """
        query = {"room": self.path, "after": self.cursor, "wait_ms": f"{wait_ms:g}"}
        if self.token:
            query["token"] = self.token
        target = "/v1/presence/watch?" + urlencode(query)
        request = AdminRequest("GET", target, wait_ms=wait_ms)
        answer = await self.presence.request(self.address, request)
        self._apply(answer)
        if answer.resync or answer.members is not None:
            return [Event("resync")]
        for event in answer.events:
            self._apply_event(event)
        return answer.events

    def _apply_event(self, event: Event) -> None:
        if event.event in ("join", "update", "moved"):
            sure = all(one.gateway != event.gateway for one in self.not_heard)
            self.members[event.member] = Member(event.member, event.gateway, sure, event.data, event.locks)
        elif event.event == "leave":
            self.members.pop(event.member, None)
        elif event.event in ("unsure", "sure"):
            for member_id, one in self.members.items():
                if one.gateway == event.gateway:
                    self.members[member_id] = msgspec.structs.replace(one, sure=event.event == "sure")

    async def watch(self, wait_ms: float = 20_000.0) -> AsyncIterator[Event]:
        """Yield each event once, in order, until the caller stops iterating.

        Raises GatewayUnreachableError if the gateway does not answer (use the token to resume at another),
        SessionEndedError once this session has ended.
        """
        while True:
            for event in await self.poll(wait_ms):
                yield event

    async def _post(self, action: str, *, answer_within_ms: float = 0.0, **fields: object) -> _Answer:
        if not self.token:
            raise SessionEndedError("this room is only watched, it has no session")
        body = {"token": self.token, **fields}
        request = AdminRequest("POST", f"/v1/presence/{action}", body, answer_within_ms)
        return await self.presence.request(self.address, request)

    async def touch(self, data: bytes | None = None, locks: list[str] | None = None) -> None:
        """Keep the session alive, and update its data and locks unless they are None.

        Only needed to keep it alive while the room is not watched.
        """
        await self._post("touch", data=data, locks=locks)

    async def leave(self) -> None:
        """End the session."""
        await self._post("leave")

    async def agreed(self, name: str, *, take: bool = False, wait_ms: float = 5000.0) -> Agreed:
        """Hold a name in the room exclusively; `take` takes it from another session, which is fenced.

        Raises NameHeldError, NameNotDecidedError.
        """
        answer = await self._post("agreed", answer_within_ms=wait_ms, name=name, take=take, wait_ms=wait_ms)
        return Agreed(answer.name, answer.number, answer.hold_ms)

    async def release(self, name: str) -> None:
        """Release an agreed name."""
        await self._post("release", name=name)


class Presence:
    """A client of one or more gateways' admin ports; used as an async context manager."""

    def __init__(self, addresses: tuple[str, ...], dial: Connect) -> None:
        """Use `connect` instead.  Raises ValueError if there are no addresses."""
        if not addresses:
            raise ValueError("at least one gateway admin address (host:port) is required")
        self.addresses = addresses
        self._connections = GatewayConnections(dial)

    @classmethod
    def connect(cls, *addresses: str, dial: Connect = net.connect) -> Presence:
        """Return a client of gateways by their admin addresses (host:port), the preferred one first."""
        return cls(addresses, dial)

    async def __aenter__(self) -> Self:
        """Start the connection pool; connections are opened on first use."""
        await self._connections.open()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        """Close all connections; sessions continue until they leave or their grace period ends."""
        await self._connections.close()
        return None

    async def join(
        self,
        path: str,
        meaning: str = "here",
        data: bytes = b"",
        locks: list[str] | None = None,
        *,
        name: str = "",
        take: bool = False,
        wait_ms: float = 5000.0,
    ) -> Room:
        """Join a room at the first gateway that answers.

        `meaning` is the guarantee. `here`: that gateway has the session. `near`: a majority of its region's
        live gateways has it, or MajorityNotReachedError is raised. `agreed`: the session also holds `name`,
        by a consensus decision, or NameHeldError or NameNotDecidedError is raised. After these errors the
        client has not joined.
        """
        body = {
            "room": path,
            "meaning": meaning,
            "data": data,
            "locks": locks or [],
            "name": name,
            "take": take,
            "wait_ms": wait_ms,
        }
        return await self._open_room(AdminRequest("POST", "/v1/presence/join", body, wait_ms))

    async def room(self, path: str) -> Room:
        """Return a room from the first gateway that answers, without joining it."""
        return await self._open_room(AdminRequest("GET", f"/v1/presence/rooms/{quote(path)}"))

    async def resume(self, token: str, *, wait_ms: float = 5000.0) -> Room:
        """Resume a session at the first gateway that answers; other clients see no leave and join.

        Raises SessionEndedError (join again), SessionUnavailableError (its gateway cannot be reached now),
        GatewayUnreachableError.
        """
        body = {"token": token, "wait_ms": wait_ms}
        return await self._open_room(AdminRequest("POST", "/v1/presence/resume", body, wait_ms))

    async def carriers(self, volume: str) -> list[str]:
        """Return the names of the gateways that recently served a volume."""
        target = f"/v1/presence/carriers?volume={quote(volume)}"
        response = await self._request_any_gateway(AdminRequest("GET", target))
        carriers = msgspec.json.decode(response.data)["carriers"]
        return [one["gateway"] for one in carriers.get(volume, [])]

    async def _open_room(self, request: AdminRequest) -> Room:
        response = await self._request_any_gateway(request)
        return Room(self, response.address, _decode_answer(response.data))

    async def _request_any_gateway(self, request: AdminRequest) -> _Response:
        *others, last = self.addresses
        for address in others:
            try:
                return _Response(address, await self._connections.request(address, request))
            except GatewayUnreachableError:
                continue  # try the next address
        return _Response(last, await self._connections.request(last, request))

    async def request(self, address: str, request: AdminRequest) -> _Answer:
        """Send a request to one gateway.  Raises the PresenceError it reports, or GatewayUnreachableError."""
        return _decode_answer(await self._connections.request(address, request))


def _decode_answer(data: bytes) -> _Answer:
    try:
        return msgspec.json.decode(data, type=_Answer)
    except msgspec.MsgspecError as error:
        raise GatewayUnreachableError(f"an answer that this library does not read: {error}") from None
