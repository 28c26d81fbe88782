"""Presence of one gateway, carried: streams to and from the others, the spread, the admin port, agreed names.

It holds no figure of its own; what to say and whom to believe is decided by `rooms`, `words` and `names`.
Streams come and go on the fleet's TCP port, after four bytes that no frame of the fleet begins with.
"""

from __future__ import annotations

import hmac
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Protocol
from urllib.parse import parse_qs, unquote

import anyio
import msgspec
from anyio.abc import TaskGroup, TaskStatus

from cressrock.consensus import decisions as d
from cressrock.errors import CressrockError
from cressrock.errors.consensus import ConsensusError, DecisionConflictError
from cressrock.errors.gossip import GossipError
from cressrock.errors.presence import (
    InvalidRoomError,
    MajorityNotReachedError,
    NameHeldError,
    NameNotDecidedError,
    PresenceError,
    PresenceFrameError,
    PresenceLimitError,
    PresenceRequestError,
    SessionEndedError,
    SessionUnavailableError,
)
from cressrock.gossip.change_log import EVERYTHING_CHANGED
from cressrock.gossip.store import GossipStore
from cressrock.http.channel import BROKEN, Stream
from cressrock.http.server import Exchange
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from cressrock.presence import agreed_names
from cressrock.presence import liveness as w
from cressrock.presence import rooms as r

MAGIC = b"CRP1"  # as a length it is far above any frame of the fleet's: who knows no presence parts with it
ON = "presence-on"
CARRIES = "presence-carries/"
CHUNK = 560  # bytes of volumes' names in one entry of the spread
CHUNKS = 32


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the carrier needs beside `RoomsSettings`; the settings file's `presence` gives both."""

    beat_ms: float = 1000.0
    tell_ms: float = 30.0
    sync_ms: float = 1000.0
    longest_wait_ms: float = 60_000.0
    hold_ms: float = 10_000.0
    carries_ms: float = 60_000.0
    max_watchers: int = 10_000
    max_names: int = 1024
    max_streams: int = 1024
    max_backlog_bytes: int = 8_388_608
    max_body_bytes: int = 65_536


class Deciding(Protocol):
    """The council as this room asks it; all raise CouncilError."""

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None
    ) -> d.Decision:
        """Let a value stand, after the decree of this number.  Raises Conflict."""

    async def drop(self, topic: str, if_version: int | None = None) -> int:
        """Let nothing stand, after the decree of this number.  Raises Conflict."""

    async def read(self, topic: str) -> d.Decision | None:
        """Return what stands (linearizable)."""


@dataclass(frozen=True, slots=True)
class PresenceEnvironment:
    """What presence needs of its process.  `clock` gives monotonic ms."""

    name: str
    incarnation: int
    region: str
    cluster: str
    routes: Mapping[str, str]
    gossip: GossipStore
    members: Callable[[], tuple[Member, ...]]
    connect: Callable[[str, int], Awaitable[Stream]]
    consensus: Callable[[], Deciding | None]
    cached_decision: Callable[[str], d.Decision | d.Expired | None]
    volumes: Callable[[], Iterable[str]]
    clock_ms: Callable[[], float]
    rng: random.Random
    log: Any


class _Join(msgspec.Struct, forbid_unknown_fields=True):
    room: str
    meaning: str = "here"
    data: bytes = b""
    locks: list[str] = []
    name: str = ""
    take: bool = False
    wait_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 5000.0


class _Session(msgspec.Struct, forbid_unknown_fields=True):
    token: Annotated[str, msgspec.Meta(max_length=1024)]
    data: bytes | None = None
    locks: list[str] | None = None
    name: str = ""
    take: bool = False
    wait_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 5000.0


class _Outbox:
    """Frames on their way; past a bound the stream is cut, and begins again from what the other side has."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.parts: list[bytes] = []
        self.size = 0
        self.full = False
        self.news = anyio.Event()

    def put(self, body: r.Body) -> None:
        data = r.encode_frame(body)
        self.size += len(data)
        self.full = self.full or self.size > self.most
        self.parts.append(data)
        self.news.set()

    async def write(self, stream: Stream, beat_ms: float) -> None:
        """Send what comes, and beats, until the stream breaks or too much waits."""
        while not self.full:
            if not self.parts:
                with anyio.move_on_after(beat_ms / 1000) as quiet:
                    await self.news.wait()
                if quiet.cancelled_caught:
                    self.put(r.Heartbeat())
            self.news = anyio.Event()
            parts, self.parts = self.parts, []
            data = b"".join(parts)
            await stream.send(data)
            self.size -= len(data)


class PresenceService:
    """One gateway's presence.  `serve` takes other gateways' streams, `handle` requests of the admin port."""

    def __init__(self, settings: ServiceSettings, rooms: r.RoomSettings, place: PresenceEnvironment) -> None:
        """Nothing runs before `run`."""
        self.settings, self.place = settings, place
        self.rooms = r.Rooms((place.name, place.incarnation), rooms, place.rng.randbytes(16))
        self.watchers = 0
        self.refused = 0  # frames and streams that were parted with
        self.untold = 0  # own entries that the spread did not take
        self.bytes = 0  # sent on streams
        self._awake = w.Awake(place.clock_ms(), rooms.silent_ms / 2)
        self._boxes: dict[r.Origin | int, _Outbox] = {}
        self._dialled: set[r.Origin] = set()
        self._needed: dict[r.Origin, float] = {}  # streams that a question needs, until when
        self._asks: dict[int, tuple[r.Origin, anyio.Event, list[r.Answer | None]]] = {}
        self._stood: dict[r.Origin, anyio.Event] = {}
        self._count = 0
        self._waiting: dict[str, list[anyio.Event]] = {}
        self._wake = anyio.Event()
        self._dirty = anyio.Event()
        self._held: dict[str, tuple[agreed_names.Holder, int]] = {}
        self._drops: dict[str, int] = {}
        self._claiming: set[str] = set()
        self._served: dict[str, float] = {}
        self._carried: tuple[bytes, ...] = ()
        self._on_wire: set[r.Origin] = set()
        self._tasks: TaskGroup | None = None
        self._posts: dict[str, Callable[[bytes], Awaitable[dict[str, Any]]]] = {
            "join": self._join,
            "resume": self._resume,
            "touch": self._touch,
            "leave": self._leave,
            "agreed": self._agreed,
            "release": self._release,
        }

    def now(self) -> float:
        """Return the time that rooms go by, ms."""
        return self._awake.now(self.place.clock_ms())

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled."""
        place = self.place
        self._put(ON, bytes((r.FORMAT,)))
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._read_all()
            tasks.start_soon(self._telling)
            tasks.start_soon(self._dropping)
            task_status.started()
            pause = self.rooms.settings.silent_ms / 8000
            while True:
                now = self.now()
                self.rooms.tick(now)
                self._look_at_names(now)
                self._tell_carried(now)
                self._pump()
                self._dial(tasks, now)
                self._wake = anyio.Event()
                with anyio.move_on_after(pause * place.rng.uniform(0.9, 1.1)):
                    await self._wake.wait()

    def end_sessions(self) -> None:
        """End all sessions by this gateway's word; in an orderly stop, before the fleet is left."""
        self.rooms.close(self.now())
        self.rooms.publish_changes(self.now())
        self._pump()

    # --- the spread

    def on_gossip_change(self, origin: r.Origin, key: str) -> None:
        """Take in that an entry of the spread changed."""
        if (origin, key) == EVERYTHING_CHANGED:
            self._read_all()
        elif key.startswith(r.PREFIX):
            self.rooms.receive_directory_entry(
                self.now(), origin, key, self.place.gossip.value_of(key, origin)
            )
            self._pump()

    def _read_all(self) -> None:
        for bucket in range(r.BUCKETS):
            key = f"{r.PREFIX}{bucket:02x}"
            for origin, value in self.place.gossip.values(key).items():
                self.rooms.receive_directory_entry(self.now(), origin, key, value)

    def _put(self, key: str, value: bytes | None) -> None:
        try:
            if value is None:
                self.place.gossip.remove(key)
            else:
                self.place.gossip.put(key, value)
        except GossipError as wrong:
            self.untold += 1
            if self.untold == 1:
                self.place.log.warning("presence untold", key=key, **wrong.fields())

    def record_served_volume(self, volume: str) -> None:
        """Take in that this gateway serves a volume."""
        self._served[volume] = self.place.clock_ms()

    def record_lock(self, token: str, lock: str, held: bool) -> None:
        """Take in that a session took a lock through this gateway, or gave it up."""
        try:
            session = self._own(token)
            others = [one for one in session.entry.locks if one != lock]
            self.rooms.touch(self.now(), session, locks=[*others, lock] if held else others)
        except PresenceError as wrong:
            self.place.log.info("presence lock untold", lock=lock, **wrong.fields())
        self._pump()

    def _tell_carried(self, now: float) -> None:
        clock = self.place.clock_ms()
        for volume, at in list(self._served.items()):
            if clock - at > self.settings.carries_ms:
                del self._served[volume]
        chunks: list[bytes] = []
        for volume in sorted(self._served):
            name = volume.encode()
            if chunks and len(chunks[-1]) + len(name) + 1 <= CHUNK:
                chunks[-1] += b"\n" + name
            else:
                chunks.append(name)
        found = tuple(chunks[:CHUNKS])
        for at in range(max(len(found), len(self._carried))):
            before = self._carried[at] if at < len(self._carried) else None
            value = found[at] if at < len(found) else None
            if value != before:
                self._put(f"{CARRIES}{at}", value)
        self._carried = found

    def carriers(self, volume: str | None = None) -> dict[str, list[dict[str, Any]]]:
        """Return, of each volume, the gateways that served it in the last while, and whether that is sure."""
        peers = {p.name: p for p in self._peers()}
        found: dict[str, list[dict[str, Any]]] = {}
        for at in range(CHUNKS):
            for (name, life), value in sorted(self.place.gossip.values(f"{CARRIES}{at}").items()):
                peer = peers.get(name)
                mine = name == self.place.name
                sure = mine or (peer is not None and peer.state == "alive" and peer.life == life)
                for one in value.decode(errors="replace").split("\n"):
                    if volume is None or one == volume:
                        found.setdefault(one, []).append({"gateway": name, "sure": sure})
        return found

    # --- streams

    def _peers(self) -> list[w.Peer]:
        """Return the other gateways as the fleet's view shows them."""
        return [
            w.Peer(
                m.name,
                m.process_incarnation,
                m.region,
                m.state.status_name,
                m.state_since_ms,
            )
            for m in self.place.members()
            if m.role == "edge" and m.name != self.place.name
        ]

    def _heard_of(self) -> set[str]:
        return {origin[0] for origin in self.place.gossip.origins(ON)}

    def _dial(self, tasks: TaskGroup, now: float) -> None:
        self._needed = {origin: until for origin, until in self._needed.items() if until > now}
        self._stood = {origin: event for origin, event in self._stood.items() if origin in self._needed}
        wanted = {*self.rooms.desired_sources(), *self._needed} - self._dialled
        if not wanted:
            return
        known = {(m.name, m.process_incarnation): m for m in self.place.members()}
        for origin in sorted(wanted):
            member = known.get(origin)
            if member is not None and member.state in (MemberState.ALIVE, MemberState.SUSPECT):
                self._dialled.add(origin)
                address = self.place.routes.get(member.name, member.address)
                tasks.start_soon(self._follow, origin, address)

    async def _follow(self, origin: r.Origin, address: str) -> None:
        """Hold a stream to an origin for as long as it is wanted; what broke, the next look dials again."""
        try:
            host, _, port = address.rpartition(":")
            stream: Stream | None = None
            with anyio.move_on_after(self.rooms.settings.silent_ms / 1000):
                stream = await self.place.connect(host, int(port))
            if stream is None:
                return
            try:
                await self._talk(origin, stream)
            finally:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                    await stream.aclose()
        except (PresenceFrameError, PresenceLimitError) as wrong:
            self._part(wrong, gateway=origin[0])
        except (OSError, ValueError, *BROKEN):
            pass  # the next look dials again; the words about it come from its silence
        finally:
            self._dialled.discard(origin)
            box = self._boxes.pop(origin, None)
            if box is not None:
                self.rooms.source_disconnected(self.now(), origin)
            for asked, event, _ in list(self._asks.values()):
                if asked == origin:
                    event.set()

    async def _talk(self, origin: r.Origin, stream: Stream) -> None:
        place, held = self.place, bytearray()
        await stream.send(MAGIC + r.encode_frame(self._hello()))
        silent = self.rooms.settings.silent_ms
        hello = await self._receive(stream, held, silent)
        self._check(hello)
        assert isinstance(hello, r.Hello)
        if (hello.name, hello.life) != origin:
            raise PresenceFrameError(f"{hello.name} life {hello.life} answers where {origin[0]} was expected")
        box = self._boxes[origin] = _Outbox(self.settings.max_backlog_bytes)
        self.rooms.source_connected(self.now(), origin)
        stood = self._stood.pop(origin, None)
        if stood is not None:
            stood.set()
        self._pump()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, box, stream, tasks)
            await self._read(stream, held, lambda body: self._told(origin, body))
            tasks.cancel_scope.cancel()
        place.log.debug("presence stream over", gateway=origin[0])

    def _told(self, origin: r.Origin, body: r.Body) -> bool:
        """Take in what an origin says; False once its stream is not wanted any more."""
        if isinstance(body, r.Answer):
            self.rooms.record_contact(self.now(), origin)
            ask = self._asks.get(body.seq)
            if ask is not None and ask[0] == origin:
                ask[2].append(body)
                ask[1].set()
        else:
            self.rooms.receive_update(self.now(), origin, body)
        self._pump()
        return not self.rooms.idle(origin) or origin in self._needed

    def _asked(self, number: int, body: r.Body) -> bool:
        """Take in what another gateway asks by its stream."""
        self.rooms.receive_request(self.now(), number, body)
        self._pump()
        self._wake.set()
        return True

    async def _read(self, stream: Stream, held: bytearray, take: Callable[[r.Body], bool]) -> None:
        """Read messages until the stream ends, is silent, or is parted with; raises nothing of it.

        (Within a task group an error would come out as a group, and past its handler end the program.)
        """
        try:
            while (body := await self._receive(stream, held, 2 * self.rooms.settings.silent_ms)) is not None:
                if not take(body):
                    return
        except (PresenceFrameError, PresenceLimitError) as wrong:
            self._part(wrong)
        except BROKEN:
            pass

    def _part(self, wrong: PresenceError, **about: str) -> None:
        self.refused += 1
        self.place.log.warning("presence parted", **about, **wrong.fields())

    async def serve(self, stream: Stream, held: bytes) -> None:
        """Serve another gateway's stream; `held` is what was read of it after the four bytes."""
        number = -1
        try:
            if len(self.rooms.streams()) >= self.settings.max_streams:
                raise PresenceLimitError(f"{self.settings.max_streams} streams (presence.max_streams)")
            rest = bytearray(held)
            silent = self.rooms.settings.silent_ms
            hello = await self._receive(stream, rest, silent)
            self._check(hello)
            assert isinstance(hello, r.Hello)
            await stream.send(r.encode_frame(self._hello()))
            self._count += 1
            number = self._count
            self.rooms.subscriber_connected(number, (hello.name, hello.life))
            box = self._boxes[number] = _Outbox(self.settings.max_backlog_bytes)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, box, stream, tasks)
                await self._read(stream, rest, lambda body: self._asked(number, body))
                tasks.cancel_scope.cancel()
        except (PresenceFrameError, PresenceLimitError) as wrong:
            self._part(wrong)
        except BROKEN:
            pass
        finally:
            if number >= 0:
                self._boxes.pop(number, None)
                self.rooms.subscriber_disconnected(number)
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await stream.aclose()

    def _hello(self) -> r.Hello:
        return r.Hello(r.FORMAT, self.place.cluster, self.place.name, self.place.incarnation)

    def _check(self, hello: r.Body | None) -> None:
        if not isinstance(hello, r.Hello):
            raise PresenceFrameError("a stream that does not begin with who it is")
        if hello.format != r.FORMAT:
            raise PresenceFrameError(f"{hello.name} speaks format {hello.format}, this gateway {r.FORMAT}")
        if hello.cluster != self.place.cluster:
            raise PresenceFrameError(
                f"{hello.name} is of cluster {hello.cluster!r}, not {self.place.cluster!r}"
            )

    async def _write(self, box: _Outbox, stream: Stream, tasks: TaskGroup) -> None:
        try:
            await box.write(stream, self.settings.beat_ms)
        except BROKEN:
            pass
        tasks.cancel_scope.cancel()

    @staticmethod
    async def _receive(stream: Stream, held: bytearray, within_ms: float) -> r.Body | None:
        """Return the next message; None at the end, or after silence."""
        while True:
            body = r.unframe(held)
            if body is not None:
                return body
            data = b""
            with anyio.move_on_after(within_ms / 1000):
                try:
                    data = await stream.receive(65536)
                except anyio.EndOfStream:
                    return None
            if not data:
                return None
            held += data

    def _pump(self) -> None:
        """Carry what rooms want sent and told."""
        for to, body in self.rooms.drain_outgoing():
            box = self._boxes.get(to)
            if box is not None:
                box.put(body)
        for key, value in self.rooms.drain_directory_updates():
            self._put(key, value)
        if self.rooms.has_unpublished_changes:
            self._dirty.set()
        news, self.rooms.changed_rooms = self.rooms.changed_rooms, set()
        for room in news:
            for event in self._waiting.pop(room, ()):
                event.set()
        for room, name, number in self.rooms.ended:
            self._drops[agreed_names.topic(room, name)] = number
        self.rooms.ended.clear()

    async def _telling(self) -> None:
        while True:
            await self._dirty.wait()
            await anyio.sleep(self.settings.tell_ms / 1000)
            self._dirty = anyio.Event()
            self.rooms.publish_changes(self.now())
            self._pump()

    async def _ask(
        self, origin: r.Origin, make: Callable[[int], r.Body], within_ms: float
    ) -> r.Answer | None:
        """Ask an origin by the stream to it, which is opened if there is none; None: no answer."""
        self._count += 1
        seq = self._count
        event = anyio.Event()
        answers: list[r.Answer | None] = []
        with anyio.move_on_after(within_ms / 1000):
            if origin not in self._boxes:
                stood = self._stood.setdefault(origin, anyio.Event())
                self._needed[origin] = self.now() + max(within_ms, self.rooms.settings.linger_ms)
                self._wake.set()
                await stood.wait()
            self._asks[seq] = (origin, event, answers)
            try:
                box = self._boxes.get(origin)
                if box is None:
                    return None
                box.put(make(seq))
                await event.wait()
            finally:
                del self._asks[seq]
        return answers[0] if answers else None

    # --- the admin port

    async def handle(self, exchange: Exchange) -> None:
        """Serve a request under /v1/presence/."""
        kind = [(b"content-type", b"application/json")]
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        what = path.removeprefix("/v1/presence/")
        method = exchange.head.method
        try:
            asked = {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()}
            post = self._posts.get(what)
            if post is not None and method == b"POST":
                found = await post(await self._body(exchange))
            elif method != b"GET":
                raise PresenceRequestError(
                    f"{method.decode('latin-1')} {path}: POST to {', '.join(self._posts)}, else GET"
                )
            elif what.startswith("rooms/"):
                found = await self._snapshot(self._room(unquote(what.removeprefix("rooms/"))))
            elif what == "watch":
                found = await self._watch(asked)
            elif what == "carriers":
                found = {"carriers": self.carriers(asked.get("volume")), "not_heard": self._not_heard(None)}
            else:
                raise PresenceRequestError(
                    f"{path}: rooms/PATH, watch, carriers, or POST to {', '.join(self._posts)}"
                )
        except PresenceError as wrong:
            await exchange.respond(wrong.status, kind, msgspec.json.encode(wrong.fields()))
            return
        await exchange.respond(200, kind, msgspec.json.encode(found))

    async def _body(self, exchange: Exchange) -> bytes:
        parts: list[bytes] = []
        size = 0
        while data := await exchange.read():
            size += len(data)
            if size > self.settings.max_body_bytes:
                raise PresenceRequestError(f"a body of over {self.settings.max_body_bytes} bytes")
            parts.append(data)
        return b"".join(parts)

    def _room(self, path: str) -> str:
        """Return a room's name: its path without slashes at the ends.  Raises BadRoom."""
        room = path.strip("/")
        parts = room.split("/")
        if (
            len(room.encode()) > 512
            or any(part in ("", ".", "..") for part in parts)
            or not room.isprintable()
        ):
            raise InvalidRoomError(
                f"{path[:100]!r}: a path of at most 512 bytes without empty, '.' or '..' segments"
            )
        if parts[0] not in self.place.volumes():
            raise InvalidRoomError(f"there is no volume {parts[0][:64]!r}")
        return room

    def _number(self, asked: Mapping[str, str], key: str, default: float, most: float) -> float:
        try:
            value = float(asked.get(key) or default)
        except ValueError:
            raise PresenceRequestError(f"{key}: {asked[key][:40]!r} is no number") from None
        if not 0 <= value <= most:
            raise PresenceRequestError(f"{key}: {value:g}; from 0 to {most:g}")
        return value

    def _decode(self, kind: type[Any], body: bytes) -> Any:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as wrong:
            raise PresenceRequestError(str(wrong)) from None

    def _token(self, session: r.Session) -> str:
        secret = self.rooms.secret(session.entry.id, session.entry.hop)
        return f"{secret.hex()}.{session.entry.id}/{session.room}"

    def _read_token(self, token: str) -> tuple[bytes, str, str]:
        head, _, room = token.partition("/")
        secret, _, id = head.partition(".")
        try:
            found = bytes.fromhex(secret)
        except ValueError:
            found = b""
        if len(found) != 16 or not id or len(id) > 128:
            raise PresenceRequestError("token: not one that a join or resume has given")
        return found, id, self._room(room)

    def _own(self, token: str) -> r.Session:
        secret, id, room = self._read_token(token)
        session = self.rooms.session(id, secret)
        if session is None or session.room != room:
            raise SessionEndedError(f"session {id} is not at this gateway")
        return session

    async def _join(self, body: bytes) -> dict[str, Any]:
        ask: _Join = self._decode(_Join, body)
        if ask.meaning not in ("here", "near", "agreed"):
            raise PresenceRequestError(f"meaning: {ask.meaning!r}; here, near or agreed")
        if ask.meaning == "agreed":
            self._check_name(ask.name)
        room = self._room(ask.room)
        view = await self._synced(room)
        session = self.rooms.join(self.now(), room, ask.data, ask.locks)
        version = self.rooms.version
        self._pump()
        try:
            found: dict[str, Any] = {}
            if ask.meaning == "near":
                found["near"] = await self._near(room, version, ask.wait_ms)
            elif ask.meaning == "agreed":
                found |= await self._claim(session, ask.name, ask.take, ask.wait_ms)
        except BaseException:
            # Whatever ended it, also a client that went: a member nobody was told of is none.
            self.rooms.leave(self.now(), session, "withdrawn")
            self._pump()
            raise
        return {"meaning": ask.meaning, **self._session(session), **found, **self._state(view)}

    def _session(self, session: r.Session) -> dict[str, Any]:
        return {
            "member": session.entry.id,
            "token": self._token(session),
            "grace_ms": self.rooms.settings.grace_ms,
        }

    async def _synced(self, room: str) -> r.RoomView:
        """Return the view of a room, once all that are asked have told, or the time for it is over."""
        view = self.rooms.open_view(self.now(), room)
        self._pump()
        if self.rooms.unasked(view):
            self._wake.set()
            view.watchers += 1
            try:
                with anyio.move_on_after(self.settings.sync_ms / 1000):
                    while self.rooms.unasked(view):
                        await anyio.sleep(self.settings.tell_ms / 1000)
            finally:
                view.watchers -= 1
        return view

    def _not_heard(self, view: r.RoomView | None) -> list[dict[str, Any]]:
        now, peers = self.now(), self._peers()
        if view is None:
            found = w.not_heard(peers, self._heard_of(), {}, ())
        else:
            unsure = self.rooms.unsure_gateways(view, now)
            found = w.not_heard(peers, self._heard_of(), unsure, self.rooms.unasked(view))
        clock = self.place.clock_ms()
        listed = []
        for one in found:
            # Silence is by the rooms' clock, the fleet's states by the process's.
            ago = (now if one.why == "silent" else clock) - one.since_ms
            since = round(ago) if one.since_ms >= 0 else None
            listed.append({"gateway": one.name, "why": one.why, "since_ms_ago": since})
        return listed

    def _about(self, view: r.RoomView) -> dict[str, Any]:
        now = self.now()
        return {
            "room": view.room,
            "gateway": self.place.name,
            "cursor": f"{self.place.name}.{self.place.incarnation:x}.{view.epoch:x}.{view.last_seq:x}",
            "as_of_ms_ago": round(max(0.0, now - self.rooms.as_of(view, now))),
            "not_heard": self._not_heard(view),
        }

    def _state(self, view: r.RoomView) -> dict[str, Any]:
        members = self.rooms.members(view)
        there = {one.entry.id for one in members}
        held = [
            {"name": h.name, "member": h.member, "number": number, "counts": self._counts(h, number)}
            for h, number in self._held.values()
            if h.room == view.room and h.member in there
        ]
        return {
            **self._about(view),
            "members": [
                {
                    "member": one.entry.id,
                    "gateway": one.gateway,
                    "sure": one.sure,
                    "data": one.entry.data,
                    "locks": one.entry.locks,
                }
                for one in members
            ],
            "names": held,
        }

    def _counts(self, holder: agreed_names.Holder, number: int) -> bool:
        found = self.place.cached_decision(agreed_names.topic(holder.room, holder.name))
        return isinstance(found, d.Decision) and found.version == number

    async def _snapshot(self, room: str) -> dict[str, Any]:
        return self._state(await self._synced(room))

    async def _watch(self, asked: Mapping[str, str]) -> dict[str, Any]:
        room = self._room(asked.get("room", ""))
        wait_ms = self._number(asked, "wait_ms", 0.0, self.settings.longest_wait_ms)
        if self.watchers >= self.settings.max_watchers:
            raise PresenceLimitError(
                f"{self.settings.max_watchers} watchers at a time (presence.max_watchers)"
            )
        session = self._own(asked["token"]) if asked.get("token") else None
        if session is not None:
            self.rooms.touch(self.now(), session)
        after = asked.get("after", "")
        view = self.rooms.open_view(self.now(), room)
        at = self._cursor(after)
        events = self.rooms.events_after(view, *at) if at is not None else None
        if events is None:
            view = await self._synced(room)
            return {"resync": bool(after), "events": [], **self._state(view)}
        self.watchers += 1
        view.watchers += 1
        self._pump()
        self._wake.set()
        end = self.now() + wait_ms
        try:
            assert at is not None
            while events == [] and (left := end - self.now()) > 0:
                event = anyio.Event()
                self._waiting.setdefault(room, []).append(event)
                if session is not None:
                    # A client that waits is there: its poll is its contact for as long as it stands.
                    left = min(left, self.rooms.settings.grace_ms / 3)
                with anyio.move_on_after(left / 1000):
                    await event.wait()
                if session is not None:
                    self.rooms.touch(self.now(), self._own(asked["token"]))
                events = self.rooms.events_after(view, *at)
        finally:
            self.watchers -= 1
            view.watchers -= 1
            waiting = self._waiting.get(room)
            if waiting is not None:
                waiting[:] = [event for event in waiting if not event.is_set()]
        view.until_ms = self.now() + self.rooms.settings.linger_ms
        if events is None:
            return {"resync": True, "events": [], **self._state(view)}
        return {"resync": False, "events": events, **self._about(view)}

    def _cursor(self, text: str) -> tuple[int, int] | None:
        begin = f"{self.place.name}.{self.place.incarnation:x}."
        if not text.startswith(begin):
            return None
        epoch, _, seq = text.removeprefix(begin).partition(".")
        try:
            return int(epoch, 16), int(seq, 16)
        except ValueError:
            return None

    async def _touch(self, body: bytes) -> dict[str, Any]:
        ask: _Session = self._decode(_Session, body)
        session = self._own(ask.token)
        self.rooms.touch(self.now(), session, ask.data, ask.locks)
        self._pump()
        return self._session(session)

    async def _leave(self, body: bytes) -> dict[str, Any]:
        ask: _Session = self._decode(_Session, body)
        self.rooms.leave(self.now(), self._own(ask.token))
        self._pump()
        return {"left": True}

    # --- near

    async def _near(self, room: str, version: int, wait_ms: float) -> dict[str, Any]:
        """Have a majority of the region's live gateways follow the room here.  Raises NotNear."""
        peers = self._peers()
        need, of = w.majority(self.place.region, peers)
        lives = {p.name: p.life for p in peers}
        wanted = w.keepers(room, self.place.region, peers)
        have: list[str] = [self.place.name]
        enough = anyio.Event()
        if need <= 1:
            return {"have": have, "need": need, "of": of}

        async def keep(name: str, begin: int) -> None:
            if begin:
                # The first few are enough unless one of them is lost: the others are asked a little later.
                await anyio.sleep(wait_ms / 4000)
            make = lambda seq: r.Keep(seq, room, version)  # noqa: E731
            answer = await self._ask((name, lives[name]), make, wait_ms)
            if answer is not None and answer.done:
                have.append(name)
                if len(have) >= need:
                    enough.set()

        with anyio.move_on_after(wait_ms / 1000):
            async with anyio.create_task_group() as tasks:
                for at, name in enumerate(wanted):
                    tasks.start_soon(keep, name, int(at >= need))
                await enough.wait()
                tasks.cancel_scope.cancel()
        if len(have) < need:
            raise MajorityNotReachedError(
                f"room {room!r}: {len(have)} of {of} gateways of region {self.place.region!r} have it,"
                f" {need} are needed; heard: {', '.join(have)}"
            )
        return {"have": have, "need": need, "of": of}

    # --- resuming

    async def _resume(self, body: bytes) -> dict[str, Any]:
        ask: _Session = self._decode(_Session, body)
        secret, id, room = self._read_token(ask.token)
        session = self.rooms.session(id, secret)
        how = "here"
        if session is not None and session.room == room:
            self.rooms.touch(self.now(), session, ask.data, ask.locks)
        else:
            session, how = await self._bring(room, id, secret, ask.wait_ms)
            self.rooms.touch(self.now(), session, ask.data, ask.locks)
        self._pump()
        return {"resumed": how, **self._session(session), **self._state(await self._synced(room))}

    async def _bring(self, room: str, id: str, secret: bytes, wait_ms: float) -> tuple[r.Session, str]:
        """Bring a session here: handed over by its gateway, or taken over where that is silent."""
        await self._synced(room)
        found = self.rooms.held(room, id) or await self._find(room, id, wait_ms / 2)
        if found is None:
            home = next((p for p in self._peers() if p.name == id.split(".")[0]), None)
            if home is not None and home.state == "alive":
                found = r.Entry(id), (home.name, home.life)
            else:
                raise SessionUnavailableError(f"session {id}: nobody who answers holds it")
        entry, origin = found
        if origin == self.rooms.origin:
            raise SessionEndedError(f"session {id} has ended")
        lives = {p.name: p for p in self._peers()}
        peer = lives.get(origin[0])
        if self.rooms.reachable(origin) or (peer and peer.state == "alive" and peer.life == origin[1]):
            make = lambda seq: r.Move(seq, room, id, secret)  # noqa: E731
            answer = await self._ask(origin, make, wait_ms / 2)
            if answer is not None and answer.done and answer.entry is not None:
                session = self.rooms.take_over(self.now(), room, answer.entry)
                box = self._boxes.get(origin)
                if box is not None:
                    box.put(r.Taken(room, id, session.entry.hop, self.rooms.version))
                return session, "handed over"
            if answer is not None:
                raise SessionEndedError(
                    f"session {id} has ended at {origin[0]}, or the token is an older one"
                )
        if not entry.check:
            raise SessionUnavailableError(
                f"session {id}: {origin[0]} does not answer, and nobody holds its check"
            )
        if entry.moved is not None and not entry.moved[0]:
            raise SessionEndedError(f"session {id} has ended")
        if not hmac.compare_digest(r.digest(secret), entry.check):
            raise SessionEndedError(f"session {id}: the token is not the one it was given last")
        return self.rooms.take_over(self.now(), room, entry), "taken over"

    async def _find(self, room: str, id: str, wait_ms: float) -> tuple[r.Entry, r.Origin] | None:
        """Ask the room's keepers what they hold of a member; the newest counts."""
        peers = self._peers()
        lives = {p.name: p.life for p in peers}
        need, _ = w.majority(self.place.region, peers)
        found: list[tuple[r.Entry, r.Origin]] = []

        async def find(name: str) -> None:
            answer = await self._ask((name, lives[name]), lambda seq: r.Find(seq, room, id), wait_ms)
            if answer is not None and answer.done and answer.entry is not None:
                found.append((answer.entry, (answer.name, answer.life)))

        async with anyio.create_task_group() as tasks:
            for name in w.keepers(room, self.place.region, peers)[: need + 1]:
                tasks.start_soon(find, name)
        return max(found, key=lambda one: one[0].hop, default=None)

    # --- agreed names

    def _check_name(self, name: str) -> None:
        if not 1 <= len(name.encode()) <= 128:
            raise PresenceRequestError("name: an agreed name of 1 to 128 bytes is needed")

    async def _agreed(self, body: bytes) -> dict[str, Any]:
        ask: _Session = self._decode(_Session, body)
        self._check_name(ask.name)
        session = self._own(ask.token)
        self.rooms.touch(self.now(), session)
        return {**self._session(session), **await self._claim(session, ask.name, ask.take, ask.wait_ms)}

    async def _claim(self, session: r.Session, name: str, take: bool, wait_ms: float) -> dict[str, Any]:
        council = self.place.consensus()
        if council is None:
            raise NameNotDecidedError("this gateway knows no council")
        if (
            sum(len(s.names or ()) for s in self.rooms.sessions.values() if s.names)
            >= self.settings.max_names
        ):
            raise PresenceLimitError(f"{self.settings.max_names} agreed names here (presence.max_names)")
        entry, topic = session.entry, agreed_names.topic(session.room, name)
        me = agreed_names.Holder(1, session.room, name, entry.id, self.place.name, self.place.incarnation)
        why = "the council did not answer"
        # By the room's feed a claim may be known before it is answered here: it is not unwanted meanwhile.
        self._claiming.add(topic + entry.id)
        try:
            with anyio.move_on_after(wait_ms / 1000):
                while True:
                    try:
                        number = await self._decide(council, topic, me, take)
                    except DecisionConflictError:
                        continue
                    if self.rooms.sessions.get(entry.id) is not session:
                        self._drops[topic] = number
                        raise SessionEndedError(f"session {entry.id} ended meanwhile")
                    session.names = {**(session.names or {}), name: number}
                    return {"name": name, "number": number, "hold_ms": self.settings.hold_ms}
        except ConsensusError as wrong:
            why = wrong.text
        finally:
            self._claiming.discard(topic + entry.id)
        raise NameNotDecidedError(f"name {name!r} in room {session.room!r}: {why}")

    async def _decide(self, council: Deciding, topic: str, me: agreed_names.Holder, take: bool) -> int:
        """Claim once.  Raises NameHeld, Conflict and what the council raises."""
        decree = await council.read(topic)
        standing = (agreed_names.read(decree.value), decree.version) if decree is not None else None
        over = standing is not None and self._over(standing[0])
        found = agreed_names.claim(standing, me.member, over, take)
        if isinstance(found, agreed_names.Has):
            return found.number
        if isinstance(found, agreed_names.Held):
            raise NameHeldError(f"{found.by.member} holds {me.name!r} in {me.room!r} by token {found.number}")
        decided = await council.decide(topic, agreed_names.write(me), self.settings.hold_ms, found.if_number)
        return decided.version

    def _over(self, holder: agreed_names.Holder) -> bool:
        if holder.gateway == self.place.name:
            session = self.rooms.sessions.get(holder.member)
            return holder.life != self.place.incarnation or session is None
        gone = self.rooms.settings.gone_ms
        return w.gone_for_good(holder.gateway, holder.life, self._peers(), self.place.clock_ms(), gone)

    async def _release(self, body: bytes) -> dict[str, Any]:
        ask: _Session = self._decode(_Session, body)
        session = self._own(ask.token)
        number = (session.names or {}).pop(ask.name, None)
        if number is not None:
            self._drops[agreed_names.topic(session.room, ask.name)] = number
        return {"released": number is not None}

    def on_decision(self, decree: d.Decision) -> None:
        """Take in a decree of any topic: who holds a name now, and who is fenced."""
        if not decree.topic.startswith(agreed_names.BEGIN):
            return
        before = self._held.get(decree.topic)
        if before is not None and before[1] >= decree.version:
            return
        try:
            holder = agreed_names.read(decree.value)
        except PresenceFrameError:
            self.refused += 1
            return
        self._held[decree.topic] = (holder, decree.version)
        while len(self._held) > 4096:
            del self._held[min(self._held, key=lambda topic: self._held[topic][1])]
        if before is not None and before[0].member != holder.member:
            old = before[0]
            self.rooms.tell(
                old.room,
                r.Event(event="fenced", seq=0, member=old.member, name=old.name, number=decree.version),
            )
            session = self.rooms.sessions.get(old.member)
            if session is not None and session.names:
                session.names.pop(old.name, None)
        self.rooms.tell(
            holder.room,
            r.Event(
                event="held",
                seq=0,
                member=holder.member,
                gateway=holder.gateway,
                name=holder.name,
                number=decree.version,
            ),
        )
        self._pump()

    def _look_at_names(self, now: float) -> None:
        """Give up names whose holders are gone for good: own ones, and those of gateways that are no more."""
        if not self._held:
            return
        peers = self._peers()
        for topic, (holder, number) in list(self._held.items()):
            if topic in self._drops or topic + holder.member in self._claiming:
                continue
            if not isinstance(self.place.cached_decision(topic), d.Decision):
                continue  # it no longer counts; whoever dropped it is done
            if holder.gateway == self.place.name and holder.life == self.place.incarnation:
                session = self.rooms.sessions.get(holder.member)
                if session is None or (session.names or {}).get(holder.name) != number:
                    self._drops[topic] = number
            elif self._over(holder):
                # One of the living does it; two would do no harm, the number guards.
                alive = [p.name for p in peers if p.state == "alive"]
                if self.place.name < min(alive, default="~"):
                    self._drops[topic] = number

    async def _dropping(self) -> None:
        """Let the council drop what is over, one after another, until it is done."""
        while True:
            await anyio.sleep(self.settings.tell_ms / 1000)
            council = self.place.consensus()
            if council is None or not self._drops:
                await anyio.sleep(self.settings.beat_ms / 2000)
                continue
            topic, number = next(iter(self._drops.items()))
            try:
                await council.drop(topic, number)
            except DecisionConflictError:
                pass  # another holder stands: it was not this one's to drop
            except CressrockError:
                await anyio.sleep(self.settings.beat_ms / 1000)
                continue
            if self._drops.get(topic) == number:
                del self._drops[topic]
            held = self._held.get(topic)
            if held is not None and held[1] == number:
                del self._held[topic]

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port."""
        return {
            **self.rooms.figures(),
            "watchers": self.watchers,
            "refused": self.refused,
            "untold": self.untold,
            "names": sum(len(s.names or ()) for s in self.rooms.sessions.values() if s.names),
            "carriers": {volume: [c["gateway"] for c in found] for volume, found in self.carriers().items()},
        }
