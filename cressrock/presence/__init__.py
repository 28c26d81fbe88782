"""Presence and rooms for programs: who is there, over all gateways.

    async with Presence.connect("127.0.0.1:9901", "127.0.0.1:9902") as presence:
        room = await presence.join("docs/handbook", meaning="near", data=b"chapter 3")
        async for event in room.watch():
            print(event.event, event.member)

It speaks the JSON of a gateway's admin port (`docs/presence.md`).  Every answer has a stated meaning: `here`,
`near` or `agreed`; what is not sure says so; after an event `resync` the room's `members` are a new snapshot.
Errors are those of `cressrock.errors.presence`, by the gateway's own words; Unreachable where none came.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from types import TracebackType
from typing import Any, Self
from urllib.parse import quote, urlencode

import anyio
import h11
import msgspec

from cressrock import net
from cressrock.errors import known
from cressrock.errors.presence import GatewayUnreachableError, PresenceError, SessionEndedError
from cressrock.http.channel import BROKEN, Channel, ConnectionLostError, MessageTooLargeError, Stream

__all__ = ["Agreed", "Event", "Member", "NotHeard", "Presence", "Room"]

Connect = Callable[[str, int], Awaitable[Stream]]
MAX_ANSWER = 64 * 1024 * 1024
ANSWER_MS = 10_000.0  # beyond what a request itself may wait


class Member(msgspec.Struct, frozen=True):
    """A client's session in a room.  Not `sure`: its gateway is silent; as far as is known it is there."""

    member: str
    gateway: str
    sure: bool
    data: bytes = b""
    locks: list[str] = []


class NotHeard(msgspec.Struct, frozen=True):
    """A gateway that the answering one cannot speak for, why, and since when (None: never heard)."""

    gateway: str
    why: str
    since_ms_ago: float | None = None


class Event(msgspec.Struct, frozen=True):
    """What changed in a room.

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
    """An agreed name that this session holds; `number` is the token that fences older holders."""

    name: str
    number: int
    hold_ms: float


class _Answer(msgspec.Struct):
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
    near: dict[str, Any] = {}


class Room:
    """A room as one gateway shows it, and a session in it if this came of a join or resume.

    `members` follows the events that `watch` has given.
    """

    def __init__(self, presence: Presence, address: str, answer: _Answer) -> None:
        """Made by Presence."""
        self.presence, self.address = presence, address
        self.path, self.member, self.token = answer.room, answer.member, answer.token
        self.meaning, self.near = answer.meaning, answer.near
        self.agreed_name = Agreed(answer.name, answer.number, answer.hold_ms) if answer.number else None
        self.members: dict[str, Member] = {}
        self.cursor, self.gateway, self.as_of_ms_ago = "", "", 0.0
        self.not_heard: list[NotHeard] = []
        self._take(answer)

    def _take(self, answer: _Answer) -> None:
        self.cursor, self.gateway, self.as_of_ms_ago = answer.cursor, answer.gateway, answer.as_of_ms_ago
        self.not_heard = answer.not_heard
        if answer.members is not None:
            self.members = {one.member: one for one in answer.members}

    async def poll(self, wait_ms: float = 20_000.0) -> list[Event]:
        """Return what follows the cursor, waiting for at most so long; counts as this client's contact.

        After an event `resync` (alone) the snapshot in `members` is new.  Raises as `watch` does.
        """
        asked = {"room": self.path, "after": self.cursor, "wait_ms": f"{wait_ms:g}"}
        if self.token:
            asked["token"] = self.token
        target = "/v1/presence/watch?" + urlencode(asked)
        answer = await self.presence.ask(self.address, "GET", target, None, wait_ms)
        self._take(answer)
        if answer.resync or answer.members is not None:
            return [Event("resync")]
        for event in answer.events:
            self._follow(event)
        return answer.events

    def _follow(self, event: Event) -> None:
        if event.event in ("join", "update", "moved"):
            sure = all(one.gateway != event.gateway for one in self.not_heard)
            self.members[event.member] = Member(event.member, event.gateway, sure, event.data, event.locks)
        elif event.event == "leave":
            self.members.pop(event.member, None)
        elif event.event in ("unsure", "sure"):
            for id, one in self.members.items():
                if one.gateway == event.gateway:
                    self.members[id] = msgspec.structs.replace(one, sure=event.event == "sure")

    async def watch(self, wait_ms: float = 20_000.0) -> AsyncIterator[Event]:
        """Yield each event once, in order, for as long as it is asked.

        Raises Unreachable where the gateway does not answer (resume at another one by the token), SessionOver
        once this session has ended.
        """
        while True:
            for event in await self.poll(wait_ms):
                yield event

    async def _post(self, what: str, **more: Any) -> _Answer:
        if not self.token:
            raise SessionEndedError("this room is only watched, it has no session")
        wait_ms = float(more.get("wait_ms", 0.0))
        body = {"token": self.token, **more}
        return await self.presence.ask(self.address, "POST", f"/v1/presence/{what}", body, wait_ms)

    async def touch(self, data: bytes | None = None, locks: list[str] | None = None) -> None:
        """Say that this client is there, and what it has now.  Needed only while nothing is watched."""
        await self._post("touch", data=data, locks=locks)

    async def leave(self) -> None:
        """End the session."""
        await self._post("leave")

    async def agreed(self, name: str, *, take: bool = False, wait_ms: float = 5000.0) -> Agreed:
        """Hold a name in the room alone; with `take` also where another session holds it, which is fenced.

        Raises NameHeld, NotAgreed.
        """
        answer = await self._post("agreed", name=name, take=take, wait_ms=wait_ms)
        return Agreed(answer.name, answer.number, answer.hold_ms)

    async def release(self, name: str) -> None:
        """Give an agreed name up."""
        await self._post("release", name=name)


class Presence:
    """A client of one or more gateways' admin ports; used as an async context manager."""

    def __init__(self, addresses: tuple[str, ...], dial: Connect) -> None:
        """Made by `connect`."""
        if not addresses:
            raise ValueError("no gateway's admin address is given")
        self.addresses, self.dial = addresses, dial
        self._idle: dict[str, list[Channel]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @classmethod
    def connect(cls, *addresses: str, dial: Connect = net.connect) -> Presence:
        """Return a client of gateways by their admin addresses (host:port), the preferred one first."""
        return cls(addresses, dial)

    async def __aenter__(self) -> Self:
        """Begin; connections are opened when first used."""
        self._tasks = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        """Close all connections; sessions are not ended by it."""
        assert self._tasks is not None
        for channels in self._idle.values():
            for channel in channels:
                await channel.close()
        self._tasks.cancel_scope.cancel()
        # The readers raise nothing: without the caller's error the group ends well, and wraps it in nothing.
        await self._tasks.__aexit__(None, None, None)
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

        `here`: that gateway has it; `near`: a majority of its region's live gateways has it, or NotNear is
        raised and nobody joined; `agreed`: the session also holds `name`, by decree, or NameHeld or NotAgreed
        is raised and nobody joined.
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
        return await self._first("POST", "/v1/presence/join", body, wait_ms)

    async def room(self, path: str) -> Room:
        """Return a room without joining it."""
        return await self._first("GET", f"/v1/presence/rooms/{quote(path)}", None, 0.0)

    async def resume(self, token: str, *, wait_ms: float = 5000.0) -> Room:
        """Go on with a session, at the first gateway that answers, without leave and join.

        Raises SessionOver (join anew), SessionElsewhere (its gateway cannot be asked now), Unreachable.
        """
        return await self._first("POST", "/v1/presence/resume", {"token": token, "wait_ms": wait_ms}, wait_ms)

    async def carriers(self, volume: str) -> list[str]:
        """Return the gateways that served a volume in the last while."""
        found = await self._some("GET", f"/v1/presence/carriers?volume={quote(volume)}", None, 0.0)
        carriers = msgspec.json.decode(found[1])["carriers"]
        return [one["gateway"] for one in carriers.get(volume, [])]

    async def _first(self, method: str, target: str, body: Any, wait_ms: float) -> Room:
        address, data = await self._some(method, target, body, wait_ms)
        return Room(self, address, _read(data))

    async def _some(self, method: str, target: str, body: Any, wait_ms: float) -> tuple[str, bytes]:
        wrong: PresenceError | None = None
        for address in self.addresses:
            try:
                return address, await self._request(address, method, target, body, wait_ms)
            except GatewayUnreachableError as found:
                wrong = found
        assert wrong is not None
        raise wrong

    async def ask(self, address: str, method: str, target: str, body: Any, wait_ms: float) -> _Answer:
        """Ask one gateway.  Raises PresenceError by its words, Unreachable."""
        return _read(await self._request(address, method, target, body, wait_ms))

    async def _request(self, address: str, method: str, target: str, body: Any, wait_ms: float) -> bytes:
        data = b"" if body is None else msgspec.json.encode(body)
        fields = [(b"host", address.encode()), (b"content-length", str(len(data)).encode())]
        request = h11.Request(method=method, target=target, headers=fields)
        with anyio.move_on_after((wait_ms + ANSWER_MS) / 1000):
            # An idle connection may just have been closed by the gateway: then once more on a new one.
            # Nothing was answered, and joins that were not heard of end by the grace.
            for fresh in (False, True):
                channel = await self._channel(address, fresh)
                if channel is None:
                    continue
                try:
                    await channel.send(request, h11.Data(data=data), h11.EndOfMessage())
                    head = await channel.response()
                    found = await channel.rest(MAX_ANSWER)
                except (ConnectionLostError, h11.RemoteProtocolError, MessageTooLargeError) as broken:
                    await channel.close()
                    if fresh:
                        raise GatewayUnreachableError(f"{address}: {broken}") from None
                    continue
                except BaseException:
                    await channel.close()
                    raise
                if channel.reusable():
                    channel.conn.start_next_cycle()
                    self._idle.setdefault(address, []).append(channel)
                else:
                    await channel.close()
                if head.status_code >= 400:
                    raise _error(address, head.status_code, found)
                return found
        raise GatewayUnreachableError(f"{address}: no answer within {wait_ms + ANSWER_MS:g} ms")

    async def _channel(self, address: str, fresh: bool) -> Channel | None:
        if not fresh:
            idle = self._idle.get(address, [])
            while idle:
                channel = idle.pop()
                if not channel.ended:
                    return channel
                await channel.close()
            return None
        host, _, port = address.rpartition(":")
        try:
            stream = await self.dial(host, int(port))
        except (OSError, ValueError, *BROKEN) as wrong:
            raise GatewayUnreachableError(f"{address}: {wrong}") from None
        assert self._tasks is not None
        channel = Channel(stream, h11.CLIENT, max_head=65536, read_ahead=1 << 20)
        self._tasks.start_soon(channel.run_reader)
        return channel


def _read(data: bytes) -> _Answer:
    try:
        return msgspec.json.decode(data, type=_Answer)
    except msgspec.MsgspecError as wrong:
        raise GatewayUnreachableError(f"an answer that this library does not read: {wrong}") from None


def _error(address: str, status: int, data: bytes) -> PresenceError:
    try:
        said = msgspec.json.decode(data)
        kinds = {kind.code: kind for kind in known() if issubclass(kind, PresenceError)}
        return kinds[said["error"]](f"{address}: {said['text']}")
    except (msgspec.MsgspecError, KeyError, TypeError):
        return GatewayUnreachableError(f"{address}: status {status}, which is none of presence's answers")
