"""A simulated cluster of edges and planners in virtual time, whose messages and decisions are recorded."""

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
from cressrock.membership.packets import MemberState as State
from cressrock.membership.types import Member
from tests.compatibility import collect_virtual as virtual
from tests.compatibility.canonical import Digest
from tests.compatibility.collect_cases import NoLog
from tests.compatibility.collect_virtual import now_ms

Origin = tuple[str, int]


class SharedGossip:
    """A gossip store whose entries are visible to all processes immediately."""

    def __init__(self, cluster: Cluster, local_origin: Origin) -> None:
        """`local_origin`: the process that owns this instance's entries."""
        self.cluster, self.local = cluster, local_origin

    def put(self, key: str, value: bytes) -> None:
        """Set an entry of this process and notify all."""
        self.cluster.entries[self.local, key] = value
        self.cluster.notify_gossip_change(self.local, key)

    def remove(self, key: str) -> None:
        """Remove an entry of this process and notify all."""
        self.cluster.entries.pop((self.local, key), None)
        self.cluster.notify_gossip_change(self.local, key)

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the key's value of each origin that has one."""
        return {
            origin: value
            for (origin, entry_key), value in sorted(self.cluster.entries.items())
            if entry_key == key
        }

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return one origin's value of the key, or None."""
        return self.cluster.entries.get((origin, key))


class SharedConsensus:
    """A consensus client that decides after 20 ms, or fails at random."""

    def __init__(self, cluster: Cluster) -> None:
        """`cluster` holds the current decisions."""
        self.cluster = cluster

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None
    ) -> Decision:
        """Decide a value; raises NoQuorumError or DecisionConflictError at random."""
        cluster = self.cluster
        await anyio.sleep(0.02)
        cluster.digest.add([now_ms(), topic, value, lease_ms, if_version])
        if cluster.source.random() < 0.2:
            raise NoQuorumError("no majority")
        if cluster.source.random() < 0.3:
            raise DecisionConflictError("another", cluster.version)
        cluster.version += 1
        cluster.current_decisions[topic] = Decision(topic, cluster.version, value, lease_ms)
        return cluster.current_decisions[topic]

    async def read(self, topic: str) -> Decision | None:
        """Return the topic's current decision; raises NoQuorumError at random."""
        await anyio.sleep(0.01)
        if self.cluster.source.random() < 0.1:
            raise NoQuorumError("no majority")
        return self.cluster.current_decisions.get(topic)


class SharedDecisionCache:
    """A decision cache that is shared by all processes."""

    def __init__(self, cluster: Cluster) -> None:
        """`cluster` holds the current decisions."""
        self.cluster = cluster

    def get(self, topic: str) -> Decision | Expired | None:
        """Return the topic's current decision, in Expired while decisions are expired."""
        stored = self.cluster.current_decisions.get(topic)
        return Expired(stored, 0.0) if stored is not None and self.cluster.expired else stored


class SimulatedRuntime:
    """The `failover.runtime.Runtime` of one simulated process."""

    def __init__(self, cluster: Cluster, name: str, seed: int) -> None:
        """`name` starts with p for a planner and with e for an edge."""
        self.cluster, self.name = cluster, name
        self.on_gossip_change: list[Callable[[Origin, str], None]] = []
        self.gossip = SharedGossip(cluster, (name, 1))
        self.decision_cache = SharedDecisionCache(cluster)
        planner = name in cluster.planners
        self.consensus = SharedConsensus(cluster) if planner else None
        self.evidence = EvidenceChannel(
            (name, 1),
            ChannelSettings(
                cluster.zone_of[name], cluster.planners, not planner, planner, cluster.max_gossip_senders
            ),
            self.gossip,
            clock=now_ms,
            source=random.Random(f"{name} {seed}"),
            log=NoLog(),
        )
        self.evidence.send = lambda to, data: cluster.deliver(name, to, data)
        self.evidence.members = self.members

    @property
    def is_leader(self) -> bool:
        """Whether this planner is the consensus leader."""
        return self.name == self.cluster.leader_name

    def members(self) -> tuple[Member, ...]:
        """Return the membership view, which is common to all processes."""
        return self.cluster.member_view


class Cluster:
    """Six edges and three planners with random zone losses, leader changes and expired decisions."""

    def __init__(self, seed: int, settings: FailoverSettings, regions: dict[str, str]) -> None:
        """Create the processes; whether evidence goes by gossip or to collectors is drawn at random."""
        self.source = source = random.Random(seed)
        self.settings, self.digest = settings, Digest()
        self.entries: dict[tuple[Origin, str], bytes] = {}
        self.current_decisions: dict[str, Decision] = {}
        self.version, self.expired, self.leader_name = 0, False, "p0"
        self.planners = ["p0", "p1", "p2"]
        self.edges = [f"e{n}" for n in range(6)]
        self.names = sorted(regions)
        self.zone_of = {name: self.names[n % 3] for n, name in enumerate((*self.edges, *self.planners))}
        self.max_gossip_senders = source.choice([1, 30])
        self.cut_edges_by_zone: dict[str, set[str]] = {}  # edges that cannot reach the zone
        self.dead: set[str] = set()
        self.runtimes = {name: SimulatedRuntime(self, name, seed) for name in (*self.planners, *self.edges)}
        self.leader_failovers = {
            name: FailoverLeader(settings, self.runtimes[name], 10000.0, now_ms, NoLog())
            for name in self.planners
        }
        self.edge_failovers = {
            name: EdgeFailover(
                ZoneRouter(self.zone_of[name], regions, settings, now_ms(), random.Random(f"{name} {seed}")),
                self.runtimes[name],
                now_ms,
                lambda node: "",
            )
            for name in self.edges
        }
        self.member_view: tuple[Member, ...] = ()
        self.update_members()

    def update_members(self) -> None:
        """Rebuild the membership view and notify all processes."""
        self.member_view = tuple(
            Member(
                name,
                1,
                "planner" if name in self.planners else "edge",
                self.zone_of[name],
                "",
                "",
                State.DEAD if name in self.dead else State.ALIVE,
                0.0,
                messages.CAPABILITY if name in self.planners else b"",
            )
            for name in self.runtimes
        )
        for runtime in self.runtimes.values():
            runtime.evidence.on_members_changed()

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        """Deliver a datagram unless a process is dead; 3 % are lost."""
        self.digest.add([sender, to, data])
        if not {sender, to} & self.dead and self.source.random() < 0.97:
            self.runtimes[to].evidence.receive(sender, 1, data)

    def notify_gossip_change(self, origin: Origin, key: str) -> None:
        """Notify all processes of a changed gossip entry."""
        for runtime in self.runtimes.values():
            for callback in runtime.on_gossip_change:
                callback(origin, key)

    def _inject_faults(self) -> None:
        source = self.source
        if source.random() < 0.012:
            zone = source.choice(self.names)
            self.cut_edges_by_zone = {zone: set(source.sample(self.edges, source.choice([1, 3, 6, 6, 6])))}
        elif source.random() < 0.008:
            self.cut_edges_by_zone = {}
        if source.random() < 0.003:
            self.leader_name = source.choice([*self.planners, "nobody"])
        if source.random() < 0.004:
            self.dead = set(source.sample(self.planners, source.choice([0, 0, 1, 3])))
            self.update_members()
        if source.random() < 0.005:
            self.expired = not self.expired
        if source.random() < 0.002:
            self.version += 1
            self.current_decisions[decision.TOPIC] = Decision(
                decision.TOPIC, self.version, b"\x09newer", 10000.0
            )

    def _route_read(self, name: str) -> None:
        router, at_ms = self.edge_failovers[name].router, now_ms()
        answer = router.route(self.names, 1.0, self.source.random() < 0.1, at_ms)
        if not isinstance(answer, Route):
            self.digest.add([at_ms, name, answer.retry_after_ms, answer.reason])
            return
        self.digest.add([at_ms, name, answer.zone, answer.tier])
        is_unreachable = name in self.cut_edges_by_zone.get(answer.zone, ())
        router.record_attempt(
            answer.zone, 1.0, Outcome.NO_CONNECTION if is_unreachable else Outcome.OK, at_ms, 5.0
        )

    async def run(self) -> None:
        """Run the cluster for 40 s of virtual time."""
        async with anyio.create_task_group() as group:
            for runtime in self.runtimes.values():
                group.start_soon(runtime.evidence.run)
            for service in (*self.edge_failovers.values(), *self.leader_failovers.values()):
                group.start_soon(service.run)
            for step in range(800):
                await anyio.sleep(0.05)
                self._inject_faults()
                for name in self.edges:
                    self._route_read(name)
                if step % 40 == 0:
                    statuses = [
                        service.status()
                        for service in (*self.edge_failovers.values(), *self.leader_failovers.values())
                    ]
                    self.digest.add(statuses)
            group.cancel_scope.cancel()


def run_cluster(seed: int, settings: FailoverSettings, regions: dict[str, str]) -> tuple[str, int]:
    """Return the digest of a simulated cluster's events, and the version of its last decision."""

    async def run() -> tuple[str, int]:
        simulation = Cluster(seed, settings, regions)
        await simulation.run()
        return simulation.digest.hex(), simulation.version

    return virtual.run(run)


class AdminExchange:
    """One request to the admin port, and the recorded answer."""

    def __init__(self, method: bytes, target: bytes, body: bytes) -> None:
        """`body` is read in pieces of 1000 bytes."""
        self.head = SimpleNamespace(method=method, target=target)
        self._pieces = [body[at : at + 1000] for at in range(0, len(body), 1000)]
        self.answer: list[Any] = []

    async def read(self) -> bytes:
        """Return the next piece of the body; empty at its end."""
        return self._pieces.pop(0) if self._pieces else b""

    async def respond(self, status: int, headers: Any, body: bytes) -> None:
        """Record the answer with its error text blanked, so that the wording may change."""
        content = msgspec.json.decode(body)
        if "text" in content:
            content["text"] = ""
        self.answer = [status, [[name.decode(), value.decode()] for name, value in headers], content]


def admin_answers(settings: FailoverSettings, regions: dict[str, str]) -> list[list[Any]]:
    """Return the admin port's answers to requests about zones and moves of writes."""
    body = b'{"from":"north","to":"south","may_lose_ms":5,"by":"me"}'
    requests = [
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
        answers = []
        for seed, name in ((1, "p0"), (1, "e0")):
            simulation = Cluster(seed, settings, regions)
            endpoint = FailoverAdmin(
                settings,
                simulation.runtimes[name],
                10000.0,
                lambda: {"here": "a1"},
                lambda source, target: 3.0 if source == "south" else None,
            )
            for method, target, request_body in requests:
                exchange = AdminExchange(method, target, request_body)
                await endpoint.handle(exchange)
                answers.append(exchange.answer)
        return answers

    return virtual.run(run)
