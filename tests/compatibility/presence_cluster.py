"""Scenarios on the admin ports of simulated gateways, and the client library against scripted answers.

The admin port's answers are recorded in full except ages, counters and cursors, which depend on the order in
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
VARIABLE_FIELDS = (
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


class ConsensusStub:
    """Consensus stub in one process: decides after 10 ms and notifies every gateway."""

    def __init__(self, publish: Callable[[Decision], None]) -> None:
        """Start without decisions; `publish` is called with each new one."""
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
        """Set the topic's value."""
        await anyio.sleep(0.01)
        self._check(topic, if_number)
        self.number += 1
        decision = self.standing[topic] = Decision(topic, self.number, value, int(hold_ms))
        self.publish(decision)
        return decision

    async def drop(self, topic: str, if_number: int | None = None) -> int:
        """Remove the topic's value."""
        await anyio.sleep(0.01)
        self._check(topic, if_number)
        self.number += 1
        self.standing.pop(topic, None)
        return self.number

    async def read(self, topic: str) -> Decision | None:
        """Return the topic's current decision, or None."""
        await anyio.sleep(0.01)
        return self.standing.get(topic)


class Cluster:
    """Three gateways with SimNet streams, gossip merged every 200 ms, and an optional consensus stub."""

    def __init__(self, tasks: TaskGroup, *, with_consensus: bool = True) -> None:
        """Create the gateways; they are started by `run`."""
        self.tasks = tasks
        self.net = SimNet(tasks, 1)
        self.partitioned: set[str] = set()  # unreachable, and shown as dead by the membership
        self.unreachable: set[str] = set()  # unreachable, but still shown as alive by the membership
        self.services: dict[str, PresenceService] = {}
        self.consensus_stub = ConsensusStub(self._publish) if with_consensus else None
        self.gossip_stores = {
            name: GossipStore(name, 1, GossipStoreSettings(), random.Random(name)) for name in NAMES
        }
        for store in self.gossip_stores.values():
            store.retain_origins([one.local for one in self.gossip_stores.values()])
        for name in NAMES:
            self.services[name] = self._gateway(name)
            self.net.listen(f"{name}:1", lambda stream, to=name: self._serve(to, stream))

    def _publish(self, decision: Decision) -> None:
        for presence in self.services.values():
            presence.on_decision(decision)

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
                    MemberState.DEAD if {other, name} & self.partitioned else MemberState.ALIVE,
                    0.0,
                    b"",
                )
                for other in NAMES
            )

        async def connect(host: str, port: int) -> Any:
            if {host, name} & (self.partitioned | self.unreachable):
                raise OSError("cut")
            return await self.net.connect(host, port)

        def decision(topic: str) -> Decision | None:
            return self.consensus_stub.standing.get(topic) if self.consensus_stub is not None else None

        environment = PresenceEnvironment(
            name=name,
            incarnation=1,
            region="north",
            cluster="cluster",
            routes={},
            gossip=self.gossip_stores[name],
            members=members,
            connect=connect,
            consensus=lambda: self.consensus_stub,
            cached_decision=decision,
            volumes=lambda: ["docs", "data"],
            clock_ms=lambda: anyio.current_time() * 1000,
            rng=random.Random(name),
            log=logger(),
        )
        return PresenceService(SETTINGS, ROOM_SETTINGS, environment)

    async def _serve(self, name: str, stream: Stream) -> None:
        first = await stream.receive(4)
        assert first == MAGIC
        await self.services[name].serve(stream, b"")

    async def run(self) -> None:
        """Start the gateways, then exchange their gossip until cancelled."""
        for presence in self.services.values():
            await self.tasks.start(presence.run)
        while True:
            await anyio.sleep(0.2)
            for name, store in self.gossip_stores.items():
                for other in NAMES:
                    if other != name and not {name, other} & self.partitioned:
                        for part in full_state_parts(self.gossip_stores[other], 60_000):
                            store.merge(part)
                for origin, key in store.drain_changes():
                    self.services[name].on_gossip_change(origin, key)

    def partition_gateway(self, name: str) -> None:
        """Partition a gateway and end its streams; the membership shows it as dead immediately."""
        self.partitioned.add(name)
        self.break_streams(name)

    def break_streams(self, name: str) -> None:
        """End a gateway's streams; they may reconnect immediately."""
        self.services[name].streams.disconnect_all()


class Exchange:
    """A request to the admin port, and the recorded response."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        """`body` is read in two chunks, the first of 40 bytes."""
        self.head = self
        self.method, self.target = method.encode(), target.encode()
        self.chunks = [part for part in (body[:40], body[40:]) if part]
        self.status, self.headers, self.answer = 0, [], b""

    async def read(self) -> bytes:
        """Return the next chunk, or nothing at the end."""
        return self.chunks.pop(0) if self.chunks else b""

    async def respond(self, status: int, headers: Any, body: bytes = b"") -> None:
        """Record the response."""
        self.status, self.headers, self.answer = status, list(headers), body


def _mask_variable_fields(key: str, value: Any) -> Any:
    if key in VARIABLE_FIELDS and value is not None:
        return "a number"
    if key == "cursor":
        return value.rpartition(".")[0].rpartition(".")[0]
    if key == "have":
        return sorted(value)
    if isinstance(value, dict):
        return {inner: _mask_variable_fields(inner, content) for inner, content in value.items()}
    if isinstance(value, list):
        return [_mask_variable_fields("", content) for content in value]
    return value


class Transcript:
    """The requests of a scenario and their answers, with variable fields masked."""

    def __init__(self, cluster: Cluster) -> None:
        """Start an empty transcript of requests to this cluster."""
        self.cluster = cluster
        self.lines: list[Any] = []

    async def _ask(
        self, gateway: str, method: str, target: str, body: bytes, *, is_library_error_text: bool = False
    ) -> Any:
        exchange = Exchange(method, target, body)
        await self.cluster.services[gateway].handle(exchange)  # type: ignore[arg-type]
        answer = msgspec.json.decode(exchange.answer)
        if is_library_error_text:
            assert answer["text"]
            answer["text"] = "of the library that decodes JSON"
        headers = [[name.decode(), value.decode()] for name, value in exchange.headers]
        self.lines.append(
            [gateway, method, exchange.status, headers, canonical(_mask_variable_fields("", answer))]
        )
        return answer

    async def post(self, gateway: str, action: str, /, **body: Any) -> Any:
        """Post a JSON body with these fields; return the answer."""
        return await self._ask(gateway, "POST", f"/v1/presence/{action}", msgspec.json.encode(body))

    async def post_bytes(self, gateway: str, action: str, body: bytes) -> Any:
        """Post an invalid body; the JSON library's error text is not recorded."""
        target = f"/v1/presence/{action}"
        return await self._ask(
            gateway, "POST", target, body, is_library_error_text=len(body) <= SETTINGS.max_body_bytes
        )

    async def get(self, gateway: str, path: str, method: str = "GET", /, **query: str) -> Any:
        """Request a path with a query; return the answer."""
        return await self._ask(gateway, method, f"/v1/presence/{path}?{urlencode(query)}", b"")

    def note(self, label: str, value: Any) -> None:
        """Record a value that does not come from the admin port."""
        self.lines.append([label, canonical(_mask_variable_fields("", msgspec.to_builtins(value)))])


async def requests(transcript: Transcript) -> None:
    """Malformed requests; then a session from join over touch, watch and resume to leave."""
    await transcript.get("a", "nothing")
    await transcript.get("a", "join")
    await transcript.get("a", "rooms/docs", "DELETE")
    await transcript.post("a", "nothing")
    for room in ("docs/../x", "elsewhere/x", "docs//x", "x" * 600, "docs/\n", ""):
        await transcript.get("a", f"rooms/{room}")
        await transcript.post("a", "join", room=room)
    for body in (
        b"",
        b"{",
        b"[]",
        b'{"room":"docs","other":1}',
        b'{"room":"docs","wait_ms":-1}',
        b" " * 1000,
    ):
        await transcript.post_bytes("a", "join", body)
    await transcript.post("a", "join", room="docs", meaning="somehow")
    await transcript.post("a", "join", room="docs", meaning="agreed")
    await transcript.post("a", "join", room="docs", locks=["x", "y", "z"])
    await transcript.post("a", "join", room="docs", data="QUFB" * 100)
    for token in ("", "x", "00" * 16 + ".a.1.1/docs", "00" * 16 + ".a.1.1/elsewhere"):
        for action in ("touch", "leave", "agreed", "release", "resume"):
            await transcript.post("a", action, token=token, name="n", wait_ms=200)
    for wait in ("x", "-1", "1e9"):
        await transcript.get("a", "watch", room="docs", wait_ms=wait)
    joined = await transcript.post("a", "join", room="/docs/a/", data="eHl6", locks=["urn:1"], meaning="here")
    token = joined["token"]
    await transcript.post("a", "touch", token=token, data="bmV3")
    await transcript.post("a", "touch", token=token, locks=["urn:1", "urn:2"])
    await transcript.post("a", "touch", token=token[:-1])
    await transcript.post("a", "touch", token="00" * 16 + token[32:])
    await transcript.get("b", "rooms/docs/a")
    for after in ("", "x", "a.1.zz.1", "a.1.99.99", joined["cursor"]):
        await transcript.get("a", "watch", room="docs/a", after=after, wait_ms="50", token=token)
    await transcript.post("a", "resume", token=token, data="cmVzdW1lZA==")
    await transcript.post("a", "leave", token=token)
    await transcript.post("a", "leave", token=token)
    await transcript.get("a", "watch", room="docs/a", token=token)


async def moves(transcript: Transcript) -> None:
    """A near join, hand-over, an unreachable gateway, take-over, and recovery."""
    cluster = transcript.cluster
    cluster.services["a"].record_served_volume("docs")
    cluster.services["b"].record_served_volume("docs")
    cluster.services["b"].record_served_volume("data")
    watching = await transcript.get("c", "watch", room="docs")
    joined = await transcript.post("a", "join", room="docs", meaning="near")
    await anyio.sleep(0.5)
    await transcript.get("c", "watch", room="docs", after=watching["cursor"], wait_ms="5000")
    for lock, held in (("urn:1", True), ("urn:2", True), ("urn:1", False)):
        cluster.services["a"].record_lock(joined["token"], lock, held)
    cluster.services["a"].record_lock("no token", "urn:3", True)
    await anyio.sleep(0.5)
    await transcript.get("c", "rooms/docs")
    moved = await transcript.post("b", "resume", token=joined["token"], data="Yg==")
    await anyio.sleep(1)
    await transcript.post("a", "touch", token=joined["token"])
    await transcript.post("a", "resume", token=joined["token"], wait_ms=500)
    await transcript.get("c", "carriers", volume="docs")
    await transcript.get("c", "carriers")
    cluster.partition_gateway("b")
    await anyio.sleep(3)
    await transcript.get("c", "rooms/docs")
    await transcript.post("b", "join", room="data", meaning="near", wait_ms=500)
    taken_over = await transcript.post("c", "resume", token=moved["token"])
    cluster.partitioned.clear()
    await anyio.sleep(3)
    cluster.unreachable.add("b")
    cluster.break_streams("b")
    await transcript.post("b", "join", room="data", meaning="near", wait_ms=500)
    await transcript.post("b", "resume", token=joined["token"], wait_ms=500)
    await transcript.post("b", "resume", token=f"{'00' * 16}.a.1.77/docs", wait_ms=500)
    cluster.unreachable.clear()
    await anyio.sleep(3)
    for name in NAMES:
        await transcript.get(name, "rooms/docs")
    transcript.note("status", cluster.services["c"].status())
    await transcript.post("c", "leave", token=taken_over["token"])
    await anyio.sleep(1)
    await transcript.get("a", "rooms/docs")
    cluster.services["a"].end_sessions()


async def agreed_names(transcript: Transcript) -> None:
    """An agreed name is held, refused, taken and released; leaving releases the holder's names."""
    watching = await transcript.get("c", "watch", room="docs")
    first = await transcript.post("a", "join", room="docs", meaning="agreed", name="editor")
    await transcript.post("a", "agreed", token=first["token"], name="editor")
    await transcript.post("a", "agreed", token=first["token"], name="")
    await transcript.post("b", "join", room="docs", meaning="agreed", name="editor")
    second = await transcript.post("b", "join", room="docs")
    await transcript.post("b", "agreed", token=second["token"], name="editor")
    await transcript.post("b", "agreed", token=second["token"], name="editor", take=True)
    await anyio.sleep(0.5)
    await transcript.get("c", "watch", room="docs", after=watching["cursor"], wait_ms="5000")
    await transcript.post("a", "release", token=first["token"], name="editor")
    await transcript.post("b", "release", token=second["token"], name="editor")
    await transcript.post("b", "release", token=second["token"], name="editor")
    await anyio.sleep(2)
    await transcript.get("c", "rooms/docs")
    for name in ("one", "two", "three"):
        await transcript.post("a", "agreed", token=first["token"], name=name)
    await transcript.post("a", "leave", token=first["token"])
    await anyio.sleep(2)
    await transcript.post("b", "agreed", token=second["token"], name="one")
    transcript.note("status", transcript.cluster.services["b"].status())


async def without_council(transcript: Transcript) -> None:
    """Without consensus, claims of agreed names fail."""
    await transcript.post("a", "join", room="docs", meaning="agreed", name="editor")
    await transcript.get("a", "rooms/docs")


Scene = Callable[[Transcript], Awaitable[None]]


def admin_port(scene: Scene) -> list[Any]:
    """Run a scenario; return its recorded requests and answers."""

    async def program() -> list[Any]:
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks, with_consensus=scene is not without_council)
            tasks.start_soon(cluster.run)
            await anyio.sleep(1)
            transcript = Transcript(cluster)
            await scene(transcript)
            tasks.cancel_scope.cancel()
        return transcript.lines

    lines: list[Any] = simulate(program, 3)
    return lines


SCENES: tuple[Scene, ...] = (requests, moves, agreed_names, without_council)


# --- the client library


class ScriptedStream:
    """A stream to a gateway that answers each request with the next answer of a list."""

    def __init__(self, answers: list[tuple[int, Any]], sent_requests: list[str]) -> None:
        """The library's requests are appended to `sent_requests`."""
        self.answers, self.sent_requests = answers, sent_requests
        self.ready = anyio.Event()
        self.data = b""

    async def send(self, item: bytes) -> None:
        """Record a request and queue its answer; no answer if the list is empty."""
        self.sent_requests.append(bytes(item).decode())
        if not self.answers:
            return
        status, content = self.answers.pop(0)
        body = content if isinstance(content, bytes) else msgspec.json.encode(content)
        self.data += b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)
        self.ready.set()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return queued answer bytes, waiting for some."""
        while not self.data:
            self.ready = anyio.Event()
            await self.ready.wait()
        found, self.data = self.data[:max_bytes], self.data[max_bytes:]
        return found

    async def aclose(self) -> None:
        """Do nothing; part of the stream interface."""


MEMBER = {"member": "a.1.1", "gateway": "a", "sure": True, "data": "eA==", "locks": ["l"]}
ROOM_ANSWER = {
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
JOIN_ANSWER = {
    "meaning": "near",
    "member": "a.1.1",
    "token": "TOKEN",
    "grace_ms": 9.0,
    "near": {"have": ["a"]},
    **ROOM_ANSWER,
}
NAME_ANSWER = {"member": "a.1.1", "token": "TOKEN", "name": "editor", "number": 7, "hold_ms": 10_000.0}


def client_library() -> list[Any]:
    """Return the requests that the library sends, and the results of its methods."""
    sent_requests: list[str] = []
    results: list[Any] = []
    answers: list[tuple[int, Any]] = [
        (200, JOIN_ANSWER),
        (200, {"resync": False, "events": EVENTS, **{**ROOM_ANSWER, "members": None, "cursor": "a.1.1.4"}}),
        (200, {"resync": True, "events": [], **ROOM_ANSWER}),
        (200, {"member": "a.1.1", "token": "TOKEN"}),
        (200, NAME_ANSWER),
        (409, {"error": "presence-name-held", "text": "held by b", "remedy": "wait"}),
        (200, {"released": True}),
        (200, {"left": True}),
        (200, ROOM_ANSWER),
        (200, {**JOIN_ANSWER, **NAME_ANSWER}),
        (410, {"error": "presence-session-over", "text": "ended", "remedy": "none"}),
        (500, b"something else"),
        (400, {"error": "of-another-kind", "text": "?"}),
        (200, b"no JSON"),
        (200, {"carriers": {"docs": [{"gateway": "a", "sure": True}, {"gateway": "b", "sure": False}]}}),
    ]

    async def dial(host: str, port: int) -> Any:
        if host == "lost":
            raise OSError("refused")
        return ScriptedStream(answers, sent_requests)

    def add(label: str, value: Any) -> None:
        results.append([label, canonical(msgspec.to_builtins(value))])

    def room(label: str, of: library.Room) -> None:
        add(label, [of.path, of.member, of.token, of.meaning, of.near, of.agreed_name, of.members, of.cursor])
        add(label, [of.gateway, of.as_of_ms_ago, of.not_heard, of.address])

    async def record_error(label: str, call: Any) -> None:
        try:
            add(label, await call)
        except PresenceError as error:
            text = error.text.partition(": invalid")[0].partition("read: ")[
                0
            ]  # without texts of third-party libraries
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
            await record_error("agreed", joined.agreed("editor"))
            await joined.release("editor")
            await joined.leave()
            watched = await presence.room("docs/a b")
            room("room", watched)
            await record_error("touch", watched.touch())
            room("resume", await presence.resume("TOKEN", wait_ms=0.0))
            await record_error("resume", presence.resume("TOKEN"))
            for _ in range(3):
                await record_error("broken", presence.join("docs"))
            add("carriers", await presence.carriers("docs"))
        async with library.Presence.connect("lost:1", "nonsense", dial=dial) as presence:
            await record_error("unreachable", presence.room("docs"))
            add("pending", await presence.request("there:2", AdminRequest("GET", "/v1/presence/x")))

    async def run_with_timeout() -> None:
        try:
            with anyio.move_on_after(60):
                await program()
        except PresenceError as error:
            add("last", [error.code, error.text])

    simulate(run_with_timeout, 3)
    return [sent_requests, results]


def run_all() -> None:
    """Run all scenarios and the client library once, without comparing."""
    for scene in SCENES:
        admin_port(scene)
    client_library()
