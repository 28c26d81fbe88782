"""Gateways' presence in simulated time behind their admin ports, and the client library against a script.

What the admin port answers is recorded whole, but for ages, counters and cursors, which hang on the order in
which tasks run.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlencode

import anyio
import msgspec
from anyio.abc import TaskGroup

from cressrock import presence as library
from cressrock.consensus.decisions import Decision
from cressrock.errors.consensus import DecisionConflictError
from cressrock.errors.presence import PresenceError
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore, full_state_parts
from cressrock.http.channel import Stream
from cressrock.lab.day import simulate
from cressrock.lab.simnet import SimNet
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from cressrock.observe.logs import logger
from cressrock.presence.client_connections import AdminRequest
from cressrock.presence.connection import MAGIC
from cressrock.presence.environment import PresenceEnvironment
from cressrock.presence.service import PresenceService
from cressrock.presence.settings import RoomSettings, ServiceSettings
from tests.compatibility.canonical import canonical

NAMES = ("a", "b", "c")
SETTINGS = ServiceSettings(beat_ms=300.0, max_body_bytes=900, max_watchers=3, max_names=2)
ROOM_SETTINGS = RoomSettings(silent_ms=1000.0, gone_ms=9000.0, grace_ms=9000.0, max_locks=2)
AGES = (
    "as_of_ms_ago",
    "since_ms_ago",
    "ms_ago",
    "seq",
    "version",
    "resyncs",
    "forced",
    "streams",
    "links",
    "views",
)


class OneCopyCouncil:
    """A council of one process: decides at once, and tells every gateway."""

    def __init__(self, publish: Callable[[Decision], None]) -> None:
        """Begin without any decree."""
        self.publish = publish
        self.standing: dict[str, Decision] = {}
        self.number = 0

    def _check(self, topic: str, if_number: int | None) -> None:
        standing = self.standing.get(topic)
        number = standing.version if standing is not None else 0
        if if_number is not None and if_number != number:
            raise DecisionConflictError("another one stands", number)

    async def decide(
        self, topic: str, value: bytes, hold_ms: float, if_number: int | None = None
    ) -> Decision:
        """Let a value stand."""
        await anyio.sleep(0.01)
        self._check(topic, if_number)
        self.number += 1
        decree = self.standing[topic] = Decision(topic, self.number, value, int(hold_ms))
        self.publish(decree)
        return decree

    async def drop(self, topic: str, if_number: int | None = None) -> int:
        """Let nothing stand."""
        await anyio.sleep(0.01)
        self._check(topic, if_number)
        self.number += 1
        self.standing.pop(topic, None)
        return self.number

    async def read(self, topic: str) -> Decision | None:
        """Return what stands."""
        await anyio.sleep(0.01)
        return self.standing.get(topic)


class Cluster:
    """Three gateways: streams by SimNet, the spread merged now and then, one council or none."""

    def __init__(self, tasks: TaskGroup, *, council: bool = True) -> None:
        """Nothing runs before `run`."""
        self.tasks = tasks
        self.net = SimNet(tasks, 1)
        self.cut: set[str] = set()  # nobody reaches them, and the fleet knows
        self.silent: set[str] = set()  # nobody reaches them, and the fleet does not know yet
        self.at: dict[str, PresenceService] = {}
        self.council = OneCopyCouncil(self._publish) if council else None
        self.spreads = {
            name: GossipStore(name, 1, GossipStoreSettings(), random.Random(name)) for name in NAMES
        }
        for spread in self.spreads.values():
            spread.retain_origins([one.local for one in self.spreads.values()])
        for name in NAMES:
            self.at[name] = self._gateway(name)
            self.net.listen(f"{name}:1", lambda stream, to=name: self._serve(to, stream))

    def _publish(self, decree: Decision) -> None:
        for presence in self.at.values():
            presence.on_decision(decree)

    def _gateway(self, name: str) -> PresenceService:
        def members() -> tuple[Member, ...]:
            return tuple(
                Member(
                    other,
                    1,
                    "edge",
                    "",
                    "north",
                    f"{other}:1",
                    MemberState.DEAD if {other, name} & self.cut else MemberState.ALIVE,
                    0.0,
                    b"",
                )
                for other in NAMES
            )

        async def connect(host: str, port: int) -> Any:
            if {host, name} & (self.cut | self.silent):
                raise OSError("cut")
            return await self.net.connect(host, port)

        def decree(topic: str) -> Decision | None:
            return self.council.standing.get(topic) if self.council is not None else None

        place = PresenceEnvironment(
            name=name,
            incarnation=1,
            region="north",
            cluster="cluster",
            routes={},
            gossip=self.spreads[name],
            members=members,
            connect=connect,
            consensus=lambda: self.council,
            cached_decision=decree,
            volumes=lambda: ["docs", "data"],
            clock_ms=lambda: anyio.current_time() * 1000,
            rng=random.Random(name),
            log=logger(),
        )
        return PresenceService(SETTINGS, ROOM_SETTINGS, place)

    async def _serve(self, name: str, stream: Stream) -> None:
        first = await stream.receive(4)
        assert first == MAGIC
        await self.at[name].serve(stream, b"")

    async def run(self) -> None:
        """Run the gateways, and their fleet's spread."""
        for presence in self.at.values():
            await self.tasks.start(presence.run)
        while True:
            await anyio.sleep(0.2)
            for name, spread in self.spreads.items():
                for other in NAMES:
                    if other != name and not {name, other} & self.cut:
                        for piece in full_state_parts(self.spreads[other], 60_000):
                            spread.merge(piece)
                for origin, key in spread.drain_changes():
                    self.at[name].on_gossip_change(origin, key)

    def cut_off(self, name: str) -> None:
        """Cut a gateway off, its streams with it; the fleet knows at once."""
        self.cut.add(name)
        self.break_streams(name)

    def break_streams(self, name: str) -> None:
        """End a gateway's streams; they may come again at once."""
        self.at[name].streams.disconnect_all()


class Exchange:
    """A request to the admin port, and the answer that it was given."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        """`body` is read in two pieces."""
        self.head = self
        self.method, self.target = method.encode(), target.encode()
        self.parts = [part for part in (body[:40], body[40:]) if part]
        self.status, self.headers, self.answer = 0, [], b""

    async def read(self) -> bytes:
        """Return the next piece."""
        return self.parts.pop(0) if self.parts else b""

    async def respond(self, status: int, headers: Any, body: bytes = b"") -> None:
        """Take the answer in."""
        self.status, self.headers, self.answer = status, list(headers), body


def _masked(key: str, value: Any) -> Any:
    if key in AGES and value is not None:
        return "a number"
    if key == "cursor":
        return value.rpartition(".")[0].rpartition(".")[0]
    if key == "have":
        return sorted(value)
    if isinstance(value, dict):
        return {inner: _masked(inner, content) for inner, content in value.items()}
    if isinstance(value, list):
        return [_masked("", content) for content in value]
    return value


class Transcript:
    """What was asked and answered."""

    def __init__(self, cluster: Cluster) -> None:
        """Begin with nothing asked."""
        self.cluster = cluster
        self.lines: list[Any] = []

    async def _ask(
        self, gateway: str, method: str, target: str, body: bytes, *, text_of_a_library: bool = False
    ) -> Any:
        exchange = Exchange(method, target, body)
        await self.cluster.at[gateway].handle(exchange)  # type: ignore[arg-type]
        answer = msgspec.json.decode(exchange.answer)
        if text_of_a_library:
            assert answer["text"]
            answer["text"] = "of the library that decodes JSON"
        headers = [[name.decode(), value.decode()] for name, value in exchange.headers]
        self.lines.append([gateway, method, exchange.status, headers, canonical(_masked("", answer))])
        return answer

    async def post(self, gateway: str, action: str, /, **body: Any) -> Any:
        """Post a body of these fields."""
        return await self._ask(gateway, "POST", f"/v1/presence/{action}", msgspec.json.encode(body))

    async def post_bytes(self, gateway: str, action: str, body: bytes) -> Any:
        """Post bytes that are no such body; a library says what is wrong with them."""
        target = f"/v1/presence/{action}"
        return await self._ask(
            gateway, "POST", target, body, text_of_a_library=len(body) <= SETTINGS.max_body_bytes
        )

    async def get(self, gateway: str, path: str, method: str = "GET", /, **query: str) -> Any:
        """Ask for a path, with a query."""
        return await self._ask(gateway, method, f"/v1/presence/{path}?{urlencode(query)}", b"")

    def note(self, label: str, value: Any) -> None:
        """Add what is known otherwise than by the admin port."""
        self.lines.append([label, canonical(_masked("", msgspec.to_builtins(value)))])


async def requests(script: Transcript) -> None:
    """Malformed requests, one after another; then joins, watches and a session's whole life."""
    await script.get("a", "nothing")
    await script.get("a", "join")
    await script.get("a", "rooms/docs", "DELETE")
    await script.post("a", "nothing")
    for room in ("docs/../x", "elsewhere/x", "docs//x", "x" * 600, "docs/\n", ""):
        await script.get("a", f"rooms/{room}")
        await script.post("a", "join", room=room)
    for body in (
        b"",
        b"{",
        b"[]",
        b'{"room":"docs","other":1}',
        b'{"room":"docs","wait_ms":-1}',
        b" " * 1000,
    ):
        await script.post_bytes("a", "join", body)
    await script.post("a", "join", room="docs", meaning="somehow")
    await script.post("a", "join", room="docs", meaning="agreed")
    await script.post("a", "join", room="docs", locks=["x", "y", "z"])
    await script.post("a", "join", room="docs", data="QUFB" * 100)
    for token in ("", "x", "00" * 16 + ".a.1.1/docs", "00" * 16 + ".a.1.1/elsewhere"):
        for action in ("touch", "leave", "agreed", "release", "resume"):
            await script.post("a", action, token=token, name="n", wait_ms=200)
    for wait in ("x", "-1", "1e9"):
        await script.get("a", "watch", room="docs", wait_ms=wait)
    joined = await script.post("a", "join", room="/docs/a/", data="eHl6", locks=["urn:1"], meaning="here")
    token = joined["token"]
    await script.post("a", "touch", token=token, data="bmV3")
    await script.post("a", "touch", token=token, locks=["urn:1", "urn:2"])
    await script.post("a", "touch", token=token[:-1])
    await script.post("a", "touch", token="00" * 16 + token[32:])
    await script.get("b", "rooms/docs/a")
    for after in ("", "x", "a.1.zz.1", "a.1.99.99", joined["cursor"]):
        await script.get("a", "watch", room="docs/a", after=after, wait_ms="50", token=token)
    await script.post("a", "resume", token=token, data="cmVzdW1lZA==")
    await script.post("a", "leave", token=token)
    await script.post("a", "leave", token=token)
    await script.get("a", "watch", room="docs/a", token=token)


async def moves(script: Transcript) -> None:
    """Near, hand-over, silence, take-over, and the way back."""
    cluster = script.cluster
    cluster.at["a"].record_served_volume("docs")
    cluster.at["b"].record_served_volume("docs")
    cluster.at["b"].record_served_volume("data")
    watching = await script.get("c", "watch", room="docs")
    joined = await script.post("a", "join", room="docs", meaning="near")
    await anyio.sleep(0.5)
    await script.get("c", "watch", room="docs", after=watching["cursor"], wait_ms="5000")
    for lock, held in (("urn:1", True), ("urn:2", True), ("urn:1", False)):
        cluster.at["a"].record_lock(joined["token"], lock, held)
    cluster.at["a"].record_lock("no token", "urn:3", True)
    await anyio.sleep(0.5)
    await script.get("c", "rooms/docs")
    moved = await script.post("b", "resume", token=joined["token"], data="Yg==")
    await anyio.sleep(1)
    await script.post("a", "touch", token=joined["token"])
    await script.post("a", "resume", token=joined["token"], wait_ms=500)
    await script.get("c", "carriers", volume="docs")
    await script.get("c", "carriers")
    cluster.cut_off("b")
    await anyio.sleep(3)
    await script.get("c", "rooms/docs")
    await script.post("b", "join", room="data", meaning="near", wait_ms=500)
    taken = await script.post("c", "resume", token=moved["token"])
    cluster.cut.clear()
    await anyio.sleep(3)
    cluster.silent.add("b")
    cluster.break_streams("b")
    await script.post("b", "join", room="data", meaning="near", wait_ms=500)
    await script.post("b", "resume", token=joined["token"], wait_ms=500)
    await script.post("b", "resume", token=f"{'00' * 16}.a.1.77/docs", wait_ms=500)
    cluster.silent.clear()
    await anyio.sleep(3)
    for name in NAMES:
        await script.get(name, "rooms/docs")
    script.note("status", cluster.at["c"].status())
    await script.post("c", "leave", token=taken["token"])
    await anyio.sleep(1)
    await script.get("a", "rooms/docs")
    cluster.at["a"].end_sessions()


async def agreed_names(script: Transcript) -> None:
    """A name held, refused, taken, released; a holder that leaves gives it up."""
    watching = await script.get("c", "watch", room="docs")
    first = await script.post("a", "join", room="docs", meaning="agreed", name="editor")
    await script.post("a", "agreed", token=first["token"], name="editor")
    await script.post("a", "agreed", token=first["token"], name="")
    await script.post("b", "join", room="docs", meaning="agreed", name="editor")
    second = await script.post("b", "join", room="docs")
    await script.post("b", "agreed", token=second["token"], name="editor")
    await script.post("b", "agreed", token=second["token"], name="editor", take=True)
    await anyio.sleep(0.5)
    await script.get("c", "watch", room="docs", after=watching["cursor"], wait_ms="5000")
    await script.post("a", "release", token=first["token"], name="editor")
    await script.post("b", "release", token=second["token"], name="editor")
    await script.post("b", "release", token=second["token"], name="editor")
    await anyio.sleep(2)
    await script.get("c", "rooms/docs")
    for name in ("one", "two", "three"):
        await script.post("a", "agreed", token=first["token"], name=name)
    await script.post("a", "leave", token=first["token"])
    await anyio.sleep(2)
    await script.post("b", "agreed", token=second["token"], name="one")
    script.note("status", script.cluster.at["b"].status())


async def without_council(script: Transcript) -> None:
    """Nobody gets a name."""
    await script.post("a", "join", room="docs", meaning="agreed", name="editor")
    await script.get("a", "rooms/docs")


Scene = Callable[[Transcript], Awaitable[None]]


def admin_port(scene: Scene) -> list[Any]:
    """Return what was asked and answered in a scene."""

    async def program() -> list[Any]:
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks, council=scene is not without_council)
            tasks.start_soon(cluster.run)
            await anyio.sleep(1)
            script = Transcript(cluster)
            await scene(script)
            tasks.cancel_scope.cancel()
        return script.lines

    lines: list[Any] = simulate(program, 3)
    return lines


SCENES: tuple[Scene, ...] = (requests, moves, agreed_names, without_council)


# --- the client library


class ScriptedStream:
    """A gateway that answers each request with the next answer of a list."""

    def __init__(self, answers: list[tuple[int, Any]], seen: list[str]) -> None:
        """`seen` takes what the library sends."""
        self.answers, self.seen = answers, seen
        self.ready = anyio.Event()
        self.data = b""

    async def send(self, item: bytes) -> None:
        """Take a request in, and answer it."""
        self.seen.append(bytes(item).decode())
        if not self.answers:
            return
        status, content = self.answers.pop(0)
        body = content if isinstance(content, bytes) else msgspec.json.encode(content)
        self.data += b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)
        self.ready.set()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return what was answered."""
        while not self.data:
            self.ready = anyio.Event()
            await self.ready.wait()
        found, self.data = self.data[:max_bytes], self.data[max_bytes:]
        return found

    async def aclose(self) -> None:
        """Close nothing."""


MEMBER = {"member": "a.1.1", "gateway": "a", "sure": True, "data": "eA==", "locks": ["l"]}
STATE = {
    "room": "docs/a b",
    "gateway": "a",
    "cursor": "a.1.1.0",
    "as_of_ms_ago": 5,
    "not_heard": [{"gateway": "b", "why": "silent", "since_ms_ago": 1200}],
    "members": [MEMBER],
    "names": [],
}
EVENTS = [
    {"event": "join", "seq": 1, "member": "b.1.1", "gateway": "b", "life": 1, "data": "eQ=="},
    {"event": "unsure", "seq": 2, "gateway": "a", "life": 1},
    {"event": "leave", "seq": 3, "member": "b.1.1", "gateway": "b", "life": 1, "why": "left"},
    {"event": "sure", "seq": 4, "gateway": "a", "life": 1},
]
JOINED = {
    "meaning": "near",
    "member": "a.1.1",
    "token": "TOKEN",
    "grace_ms": 9.0,
    "near": {"have": ["a"]},
    **STATE,
}
HELD = {"member": "a.1.1", "token": "TOKEN", "name": "editor", "number": 7, "hold_ms": 10_000.0}


def client_library() -> list[Any]:
    """Return the requests that the library sends, and what its callers get."""
    seen: list[str] = []
    results: list[Any] = []
    answers: list[tuple[int, Any]] = [
        (200, JOINED),
        (200, {"resync": False, "events": EVENTS, **{**STATE, "members": None, "cursor": "a.1.1.4"}}),
        (200, {"resync": True, "events": [], **STATE}),
        (200, {"member": "a.1.1", "token": "TOKEN"}),
        (200, HELD),
        (409, {"error": "presence-name-held", "text": "held by b", "remedy": "wait"}),
        (200, {"released": True}),
        (200, {"left": True}),
        (200, STATE),
        (200, {**JOINED, **HELD}),
        (410, {"error": "presence-session-over", "text": "ended", "remedy": "none"}),
        (500, b"something else"),
        (400, {"error": "of-another-kind", "text": "?"}),
        (200, b"no JSON"),
        (200, {"carriers": {"docs": [{"gateway": "a", "sure": True}, {"gateway": "b", "sure": False}]}}),
    ]

    async def dial(host: str, port: int) -> Any:
        if host == "lost":
            raise OSError("refused")
        return ScriptedStream(answers, seen)

    def add(label: str, value: Any) -> None:
        results.append([label, canonical(msgspec.to_builtins(value))])

    def room(label: str, of: library.Room) -> None:
        add(label, [of.path, of.member, of.token, of.meaning, of.near, of.agreed_name, of.members, of.cursor])
        add(label, [of.gateway, of.as_of_ms_ago, of.not_heard, of.address])

    async def refused(label: str, call: Any) -> None:
        try:
            add(label, await call)
        except PresenceError as error:
            text = error.text.partition(": invalid")[0].partition("read: ")[0]  # not a library's own words
            add(label, [error.code, text])

    async def program() -> None:
        async with library.Presence.connect("lost:1", "there:2", dial=dial) as presence:
            joined = await presence.join("docs/a b", "near", b"x", ["l"], wait_ms=2000.0)
            room("join", joined)
            for _ in range(2):
                add("poll", await joined.poll(1500.0))
                room("polled", joined)
            await joined.touch(b"new", ["m"])
            add("agreed", await joined.agreed("editor", take=True))
            await refused("agreed", joined.agreed("editor"))
            await joined.release("editor")
            await joined.leave()
            watched = await presence.room("docs/a b")
            room("room", watched)
            await refused("touch", watched.touch())
            room("resume", await presence.resume("TOKEN", wait_ms=0.0))
            await refused("resume", presence.resume("TOKEN"))
            for _ in range(3):
                await refused("broken", presence.join("docs"))
            add("carriers", await presence.carriers("docs"))
        async with library.Presence.connect("lost:1", "nonsense", dial=dial) as presence:
            await refused("unreachable", presence.room("docs"))
            add("pending", await presence.request("there:2", AdminRequest("GET", "/v1/presence/x")))

    async def guarded() -> None:
        try:
            with anyio.move_on_after(60):
                await program()
        except PresenceError as error:
            add("last", [error.code, error.text])

    simulate(guarded, 3)
    return [seen, results]


def run_all() -> None:
    """Run everything once."""
    for scene in SCENES:
        admin_port(scene)
    client_library()
