"""Edge and planner over a simulated network: the bytes that each connection carries, both ways."""

from __future__ import annotations

import logging
import math
import random

import anyio

from cressrock import interface
from cressrock.dispatch.ledger import FenceTrip, Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.dispatch.reasons import Reason
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import DisconnectedPolicy
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.planner_link import PlannerLink
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.lab.day import simulate
from cressrock.lab.simnet import SimNet, SimStream
from cressrock.link.protocol import LinkLimits as LinkBounds
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.planner.server import PlannerServer
from tests.compatibility.canonical import Digest
from tests.compatibility.pair_cases import CLASSES, NODES, PLANS, DrawnDecisions

LENGTH_MS = 6000.0


class _NoLog:
    """A log that keeps nothing: its lines are no part of what is recorded."""

    def __getattr__(self, level: str) -> object:
        return self.write

    def write(self, *fields: object, **more: object) -> None:
        """Drop a line."""
        if "exc_info" in more:
            logging.getLogger(__name__).error("defect", exc_info=more["exc_info"])  # type: ignore[arg-type]


class _Recorded:
    """An edge's end of a connection that keeps all bytes, in each direction apart."""

    def __init__(self, stream: SimStream, address: str) -> None:
        self.stream = stream
        self.address = address
        self.sent = b""
        self.received = b""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self.stream.receive(max_bytes)
        self.received += data
        return data

    async def send(self, item: bytes) -> None:
        self.sent += item
        await self.stream.send(item)

    async def aclose(self) -> None:
        await self.stream.aclose()


class _Scene:
    """One edge, planners at `p:1` and `q:1`, and a driver that carries out what the edge orders."""

    def __init__(self, seed: int, tasks: anyio.abc.TaskGroup, *, lends: bool, planner_lends: bool) -> None:
        self.draw = random.Random(f"scene/{seed}")
        self.tasks = tasks
        self.net = SimNet(tasks, seed, low_ms=0.5, high_ms=0.5)
        self.connections: list[_Recorded] = []
        self.planner_lends = planner_lends
        self.servers: dict[str, tuple[PlannerServer, anyio.CancelScope]] = {}
        self.epoch = 10
        self.count = 0
        self.ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
        self.ledger.update_nodes(
            (interface.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True
        )
        self.edge = EdgeDecisions(
            self.ledger,
            DisconnectedPolicy(),
            random.Random(f"scene/{seed}/jitter"),
            ordering=KeyOrdering(CLASSES, 300.0),
            local=DrawnDecisions(random.Random(f"scene/{seed}/own"), Digest()),
            quota=EdgeQuota(PLANS, lambda volume: 2, 1000.0, 0.0) if lends else None,
            uncounted_after_ms=1.0,
            budget_window_ms=5000.0,
        )
        self.poked = anyio.Event()
        self.link = PlannerLink(
            self.edge,
            ReconnectBackoff(
                ("p:1", "q:1"), random.Random(f"scene/{seed}/reconnect"), min_wait_ms=50.0, max_wait_ms=400.0
            ),
            self.connect,
            lambda: self.poked.set(),
            name="edge-1",
            incarnation="0a1b2c",
            clock=self.clock,
            limits=LinkBounds(ping_ms=100.0, silent_ms=400.0),
            log=_NoLog(),
        )

    def clock(self) -> float:
        return anyio.current_time() * 1000

    async def connect(self, host: str, port: int) -> _Recorded:
        stream = _Recorded(await self.net.connect(host, port), f"{host}:{port}")
        self.connections.append(stream)
        return stream

    def start_planner(self, address: str, *, epoch: int | None = None) -> None:
        self.epoch += 1
        module = DrawnDecisions(random.Random(f"{address}/{self.epoch}"), Digest())
        bounds = PlannerLimits(lease_ms=400.0 if self.planner_lends else 0.0)
        planner = Planner(module, CLASSES, epoch or self.epoch, bounds, PLANS)
        planner.receive_node_list(
            interface.NodeList(interface.ListKind.COMPLETE, tuple(self.ledger.nodes.values()))
        )
        server = PlannerServer(
            planner,
            address,
            clock=self.clock,
            limits=LinkBounds(ping_ms=100.0, silent_ms=400.0, credit=16),
            log=_NoLog(),
        )
        server.knows_versions = self.epoch % 2 == 0
        scope = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await server.run()

        self.tasks.start_soon(run)
        self.net.listen(address, server.serve)
        self.servers[address] = (server, scope)

    def kill_planner(self, address: str) -> None:
        _, scope = self.servers.pop(address)
        scope.cancel()
        self.net.close(address)

    async def drive(self) -> None:
        """Take requests and carry out the edge's orders until cancelled."""
        next_arrival = 0.0
        ends: list[tuple[float, str, int, interface.Outcome]] = []
        stopped: list[interface.AttemptEnded] = []
        while True:
            due = min([next_arrival, *(end[0] for end in ends)])
            with anyio.move_on_at(due / 1000 + 1e-6):
                await self.poked.wait()
            self.poked = anyio.Event()
            now = self.clock()
            events: list[interface.Event] = [*stopped]
            stopped.clear()
            for end in sorted((e for e in ends if e[0] <= now), key=lambda e: e[:3]):
                ends.remove(end)
                _, name, number, outcome = end
                settled = self.ledger.record_outcome(name, number, outcome)
                events.append(
                    interface.AttemptEnded(name, number, outcome, settled.is_answered, 20.0, 1, 0.5)
                )
            if now >= next_arrival:
                next_arrival = now + 23.7
                events.append(self._arrival(now))
            for action in self.edge.act(now, events):
                match action:
                    case interface.Send(request, node):
                        attempt = self.ledger.send(request, node, now)
                        if isinstance(attempt, FenceTrip):
                            stopped.append(
                                interface.AttemptEnded(
                                    request, attempt.number, interface.Outcome.ABANDONED, False, 0.0
                                )
                            )
                            self.poked.set()
                            continue
                        outcome = self.draw.choice(
                            (
                                interface.Outcome.OK,
                                interface.Outcome.OK,
                                interface.Outcome.FULL,
                                interface.Outcome.RESET,
                            )
                        )
                        ends.append((now + self.draw.uniform(5, 60), request, attempt.number, outcome))
                    case interface.Reject(request):
                        self.ledger.reject(request, Reason.SCHEDULER)
                    case interface.Fail(request):
                        self.ledger.fail(request, Reason.ATTEMPTS)

    def _arrival(self, now: float) -> interface.Arrival:
        name, index = f"r{self.count}", self.draw.choice((0, 1, 2))
        self.count += 1
        self.ledger.accept(name, "x", CLASSES[index], now + 1000, now)
        plan = self.draw.randrange(len(PLANS))
        return interface.Arrival(
            name, f"v{plan}", self.draw.choice(("", "k")), 1.0, 1000.0, plan, index, 0, 1
        )

    def trace(self) -> list[object]:
        """Return for each connection whom it reached, the last bytes each way and a digest of all."""
        rows: list[object] = []
        for connection in self.connections:
            digest = Digest()
            digest.add(connection.sent)
            digest.add(connection.received)
            rows.append(
                [
                    connection.address,
                    len(connection.sent),
                    connection.sent[-60:].hex(),
                    len(connection.received),
                    connection.received[-60:].hex(),
                    digest.hex(),
                ]
            )
        return rows


def scene(name: str) -> list[object]:
    """Play a scene and return its trace."""
    seed = sum(name.encode())
    lends, planner_lends = (name != "planner alone lends"), (name != "edge alone lends")
    trace: list[object] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            stage = _Scene(seed, tasks, lends=lends, planner_lends=planner_lends)
            stage.start_planner("p:1")
            tasks.start_soon(stage.drive)
            tasks.start_soon(stage.link.run)
            await _SCENES[name](stage)
            trace.extend(stage.trace())
            tasks.cancel_scope.cancel()

    simulate(play, seed)
    return trace


async def _calm(stage: _Scene) -> None:
    await anyio.sleep(LENGTH_MS / 1000)


async def _killed(stage: _Scene) -> None:
    stage.start_planner("q:1")
    for _ in range(3):
        await anyio.sleep(LENGTH_MS / 4000)
        stage.kill_planner("p:1")
        await anyio.sleep(0.4)
        stage.start_planner("p:1")


async def _older_epoch(stage: _Scene) -> None:
    await anyio.sleep(1)
    stage.kill_planner("p:1")
    stage.start_planner("p:1", epoch=3)
    await anyio.sleep(2)


async def _second_connection(stage: _Scene) -> None:
    await anyio.sleep(1)
    server, _ = stage.servers["p:1"]
    server.planner.join("edge-1", "another life", stage.clock())
    server.sessions.pop("edge-1")
    await anyio.sleep(1)


async def _stalled(stage: _Scene) -> None:
    await anyio.sleep(1)
    for stream in stage.net.streams["p:1"]:
        stream.outward.put = _lost  # type: ignore[method-assign]
    await anyio.sleep(2)


async def _lost(data: bytes) -> None:
    await anyio.sleep(math.inf)


async def _no_room(stage: _Scene) -> None:
    server, _ = stage.servers["p:1"]
    for index in range(server.planner.limits.max_edges):
        server.planner.join(f"other-{index}", "l", 0.0)
    await anyio.sleep(1)


async def _rules(stage: _Scene) -> None:
    stage.edge.knows_versions, stage.edge.plans_per_version = True, len(PLANS)
    stage.edge.version_of = lambda a: ("trial" if a.plan else "", a.request_class, a.plan)
    stage.kill_planner("p:1")
    stage.start_planner("p:1")
    server, _ = stage.servers["p:1"]
    server.planner.set_rule_versions(
        CLASSES * 2, PLANS * 2, {"": (0, 0), "trial": (len(CLASSES), len(PLANS))}
    )
    await anyio.sleep(1)
    server.announce_rule_versions(("trial",))
    await anyio.sleep(1)
    server.announce_rule_versions(("trial",))
    server.announce_rule_versions(())
    await anyio.sleep(1)


_SCENES = {
    "calm": _calm,
    "planners killed": _killed,
    "older epoch": _older_epoch,
    "second connection": _second_connection,
    "planner stalled": _stalled,
    "planner takes no more edges": _no_room,
    "versions of rules": _rules,
    "edge alone lends": _calm,
    "planner alone lends": _calm,
}
SCENES = tuple(_SCENES)
