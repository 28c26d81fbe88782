"""Edges and planners of the zones' part in one place and virtual time: recorded streams of their carriers."""

from __future__ import annotations

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec

from cressrock.aggregation import messages
from cressrock.aggregation.channel import ChannelSettings, EvidenceChannel
from cressrock.consensus.decisions import Decision, Expired
from cressrock.errors.consensus import DecisionConflictError, NoQuorumError
from cressrock.failover import decision
from cressrock.failover.admin import FailoverAdmin
from cressrock.failover.edge import EdgeFailover
from cressrock.failover.leader import FailoverLeader
from cressrock.failover.routing import Route, ZoneRouter
from cressrock.failover.settings import FailoverSettings
from cressrock.interface import Outcome
from cressrock.membership.packets import MemberState as Life
from cressrock.membership.types import Member
from tests.compatibility import collect_virtual as virtual
from tests.compatibility.canonical import Digest
from tests.compatibility.collect_cases import NoLog
from tests.compatibility.collect_virtual import now_ms

Origin = tuple[str, int]


class SharedSpread:
    """A spread in which everybody reads everything at once."""

    def __init__(self, cluster: Cluster, me: Origin) -> None:
        """`me`: whose entries are its own."""
        self.cluster, self.local = cluster, me

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""
        self.cluster.entries[self.local, key] = value
        self.cluster.spread_changed(self.local, key)

    def remove(self, key: str) -> None:
        """Remove an own entry."""
        self.cluster.entries.pop((self.local, key), None)
        self.cluster.spread_changed(self.local, key)

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the value of each origin."""
        return {origin: value for (origin, one), value in sorted(self.cluster.entries.items()) if one == key}

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return the value of one."""
        return self.cluster.entries.get((origin, key))


class SharedCouncil:
    """A council that decides at once, or fails as it is drawn."""

    def __init__(self, cluster: Cluster) -> None:
        """`cluster` keeps what stands."""
        self.cluster = cluster

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None
    ) -> Decision:
        """Let a value stand."""
        cluster = self.cluster
        await anyio.sleep(0.02)
        cluster.digest.add([now_ms(), topic, value, lease_ms, if_version])
        if cluster.source.random() < 0.2:
            raise NoQuorumError("no majority")
        if cluster.source.random() < 0.3:
            raise DecisionConflictError("another", cluster.number)
        cluster.number += 1
        cluster.stands[topic] = Decision(topic, cluster.number, value, lease_ms)
        return cluster.stands[topic]

    async def read(self, topic: str) -> Decision | None:
        """Return what stands."""
        await anyio.sleep(0.01)
        if self.cluster.source.random() < 0.1:
            raise NoQuorumError("no majority")
        return self.cluster.stands.get(topic)


class SharedDecrees:
    """The reader of decrees of any process."""

    def __init__(self, cluster: Cluster) -> None:
        """`cluster` keeps what stands."""
        self.cluster = cluster

    def get(self, topic: str) -> Decision | Expired | None:
        """Return what counts now."""
        decree = self.cluster.stands.get(topic)
        return Expired(decree, 0.0) if decree is not None and self.cluster.expired else decree


class ProcessGround:
    """What the zones of one process stand on."""

    def __init__(self, cluster: Cluster, name: str, seed: int) -> None:
        """`name` is a planner's with a p, else an edge's."""
        self.cluster, self.name = cluster, name
        self.on_gossip_change: list[Callable[[Origin, str], None]] = []
        self.gossip = SharedSpread(cluster, (name, 1))
        self.decision_cache = SharedDecrees(cluster)
        planner = name in cluster.planners
        self.consensus = SharedCouncil(cluster) if planner else None
        self.evidence = EvidenceChannel(
            (name, 1),
            ChannelSettings(cluster.zone_of[name], cluster.planners, not planner, planner, cluster.most),
            self.gossip,
            clock=now_ms,
            source=random.Random(f"{name} {seed}"),
            log=NoLog(),
        )
        self.evidence.send = lambda to, data: cluster.carry(name, to, data)
        self.evidence.members = self.members

    @property
    def is_leader(self) -> bool:
        """Whether this planner's seat leads."""
        return self.name == self.cluster.leader

    def members(self) -> tuple[Member, ...]:
        """Return all processes' view."""
        return self.cluster.view


class Cluster:
    """Six edges and three planners; now and then a zone is lost, a leader changes or decrees end."""

    def __init__(self, seed: int, settings: FailoverSettings, regions: dict[str, str]) -> None:
        """Draw where evidence goes: by the spread, or to collectors."""
        self.source = source = random.Random(seed)
        self.settings, self.digest = settings, Digest()
        self.entries: dict[tuple[Origin, str], bytes] = {}
        self.stands: dict[str, Decision] = {}
        self.number, self.expired, self.leader = 0, False, "p0"
        self.planners = ["p0", "p1", "p2"]
        self.edges = [f"e{n}" for n in range(6)]
        self.names = sorted(regions)
        self.zone_of = {name: self.names[n % 3] for n, name in enumerate((*self.edges, *self.planners))}
        self.most = source.choice([1, 30])
        self.away: dict[str, set[str]] = {}  # by zone, which edges cannot reach it
        self.dead: set[str] = set()
        self.grounds = {name: ProcessGround(self, name, seed) for name in (*self.planners, *self.edges)}
        self.leaders = {
            name: FailoverLeader(settings, self.grounds[name], 10000.0, now_ms, NoLog())
            for name in self.planners
        }
        self.rooms = {
            name: EdgeFailover(
                ZoneRouter(self.zone_of[name], regions, settings, now_ms(), random.Random(f"{name} {seed}")),
                self.grounds[name],
                now_ms,
                lambda node: "",
            )
            for name in self.edges
        }
        self.view: tuple[Member, ...] = ()
        self.change()

    def change(self) -> None:
        """Tell all processes of who is there."""
        self.view = tuple(
            Member(
                name,
                1,
                "planner" if name in self.planners else "edge",
                self.zone_of[name],
                "",
                "",
                Life.DEAD if name in self.dead else Life.ALIVE,
                0.0,
                messages.CAPABILITY if name in self.planners else b"",
            )
            for name in self.grounds
        )
        for ground in self.grounds.values():
            ground.evidence.on_members_changed()

    def carry(self, sender: str, to: str, data: bytes) -> None:
        """Carry a datagram; some are lost."""
        self.digest.add([sender, to, data])
        if not {sender, to} & self.dead and self.source.random() < 0.97:
            self.grounds[to].evidence.receive(sender, 1, data)

    def spread_changed(self, origin: Origin, key: str) -> None:
        """Tell all processes of a changed entry."""
        for ground in self.grounds.values():
            for callback in ground.on_gossip_change:
                callback(origin, key)

    def _happen(self) -> None:
        source = self.source
        if source.random() < 0.012:
            zone = source.choice(self.names)
            self.away = {zone: set(source.sample(self.edges, source.choice([1, 3, 6, 6, 6])))}
        elif source.random() < 0.008:
            self.away = {}
        if source.random() < 0.003:
            self.leader = source.choice([*self.planners, "nobody"])
        if source.random() < 0.004:
            self.dead = set(source.sample(self.planners, source.choice([0, 0, 1, 3])))
            self.change()
        if source.random() < 0.005:
            self.expired = not self.expired
        if source.random() < 0.002:
            self.number += 1
            self.stands[decision.TOPIC] = Decision(decision.TOPIC, self.number, b"\x09newer", 10000.0)

    def _ask(self, name: str) -> None:
        choice, now = self.rooms[name].router, now_ms()
        answer = choice.route(self.names, 1.0, self.source.random() < 0.1, now)
        if not isinstance(answer, Route):
            self.digest.add([now, name, answer.retry_after_ms, answer.reason])
            return
        self.digest.add([now, name, answer.zone, answer.tier])
        away = name in self.away.get(answer.zone, ())
        choice.record_attempt(answer.zone, 1.0, Outcome.NO_CONNECTION if away else Outcome.OK, now, 5.0)

    async def run(self) -> None:
        """Let 40 seconds pass."""
        async with anyio.create_task_group() as group:
            for ground in self.grounds.values():
                group.start_soon(ground.evidence.run)
            for part in (*self.rooms.values(), *self.leaders.values()):
                group.start_soon(part.run)
            for step in range(800):
                await anyio.sleep(0.05)
                self._happen()
                for name in self.edges:
                    self._ask(name)
                if step % 40 == 0:
                    statuses = [part.status() for part in (*self.rooms.values(), *self.leaders.values())]
                    self.digest.add(statuses)
            group.cancel_scope.cancel()


def cluster(seed: int, settings: FailoverSettings, regions: dict[str, str]) -> tuple[str, int]:
    """Return the digest of all that happens in a cluster, and how many decrees there were."""

    async def run() -> tuple[str, int]:
        one = Cluster(seed, settings, regions)
        await one.run()
        return one.digest.hex(), one.number

    return virtual.run(run)


class Question:
    """One request at the admin port, and what was answered."""

    def __init__(self, method: bytes, target: bytes, body: bytes) -> None:
        """Hold a request; its body comes in pieces."""
        self.head = SimpleNamespace(method=method, target=target)
        self._pieces = [body[at : at + 1000] for at in range(0, len(body), 1000)]
        self.answer: list[Any] = []

    async def read(self) -> bytes:
        """Return the next piece of the body."""
        return self._pieces.pop(0) if self._pieces else b""

    async def respond(self, status: int, headers: Any, body: bytes) -> None:
        """Keep the answer, but not the wording of what is said to people."""
        said = msgspec.json.decode(body)
        if "text" in said:
            said["text"] = ""
        self.answer = [status, [[name.decode(), value.decode()] for name, value in headers], said]


def admin_answers(settings: FailoverSettings, regions: dict[str, str]) -> list[list[Any]]:
    """Return the answers of the admin port to questions about zones and moves of writes."""
    body = b'{"from":"north","to":"south","may_lose_ms":5,"by":"me"}'
    questions = [
        (b"GET", b"/v1/zones/status", b""),
        (b"GET", b"/v1/zones/status?x", b""),
        (b"POST", b"/v1/zones/status", b""),
        (b"GET", b"/v1/zones/move", b""),
        (b"GET", b"/v1/zones/other", b""),
        (b"POST", b"/v1/zones/move", b""),
        (b"POST", b"/v1/zones/move", b'{"from":"north"}'),
        (b"POST", b"/v1/zones/move", b'{"from":"north","to":"south","more":1}'),
        (b"POST", b"/v1/zones/move", b'{"from":"north","to":"east"}'),
        (b"POST", b"/v1/zones/move", b'{"from":"north","to":"south"}'),
        (b"POST", b"/v1/zones/move", b'{"from":"north","to":"south","may_lose_ms":-1}'),
        (b"POST", b"/v1/zones/move", body),
        (b"POST", b"/v1/zones/move", b'{"from":"south","to":"north","may_lose_ms":2}'),
        (
            b"POST",
            b"/v1/zones/move",
            b'{"from":"north","to":"south","may_lose_ms":1,"by":"%b"}' % (b"x" * 200),
        ),
        (b"POST", b"/v1/zones/move", body + b" " * 5000),
    ]

    async def run() -> list[list[Any]]:
        found = []
        for seed, name in ((1, "p0"), (1, "e0")):
            one = Cluster(seed, settings, regions)
            moves = FailoverAdmin(
                settings,
                one.grounds[name],
                10000.0,
                lambda: {"here": "a1"},
                lambda source, target: 3.0 if source == "south" else None,
            )
            for method, target, asked in questions:
                question = Question(method, target, asked)
                await moves.handle(question)
                found.append(question.answer)
        return found

    return virtual.run(run)
