"""Edge and planner over a simulated network: the bytes of each connection in both directions."""

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
from tests.compatibility.pair_cases import CLASSES, NODES, PLANS, RandomDecisions

LENGTH_MS = 6000.0


class _NullLog:
    """A log that discards its lines, which are not part of the recording; internal errors go to `logging`."""

    def __getattr__(self, level: str) -> object:
        return self.write

    def write(self, *fields: object, **more: object) -> None:
        """Discard a line."""
        if "exc_info" in more:
            logging.getLogger(__name__).error("defect", exc_info=more["exc_info"])  # type: ignore[arg-type]


class _RecordedStream:
    """An edge's end of a connection, which records the bytes of each direction."""

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


class _Scenario:
    """One edge, planners at `p:1` and `q:1`, and a driver that executes the edge's actions."""

    def __init__(
        self, seed: int, tasks: anyio.abc.TaskGroup, *, edge_leases: bool, planner_leases: bool
    ) -> None:
        self.rng = random.Random(f"scene/{seed}")
        self.tasks = tasks
        self.net = SimNet(tasks, seed, low_ms=0.5, high_ms=0.5)
        self.connections: list[_RecordedStream] = []
        self.planner_leases = planner_leases
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
            local=RandomDecisions(random.Random(f"scene/{seed}/own"), Digest()),
            quota=EdgeQuota(PLANS, lambda volume: 2, 1000.0, 0.0) if edge_leases else None,
            uncounted_after_ms=1.0,
            budget_window_ms=5000.0,
        )
        self.wake_event = anyio.Event()
        self.link = PlannerLink(
            self.edge,
            ReconnectBackoff(
                ("p:1", "q:1"), random.Random(f"scene/{seed}/reconnect"), min_wait_ms=50.0, max_wait_ms=400.0
            ),
            self.connect,
            lambda: self.wake_event.set(),
            name="edge-1",
            incarnation="0a1b2c",
            clock=self.clock,
            limits=LinkBounds(ping_ms=100.0, silent_ms=400.0),
            log=_NullLog(),
        )

    def clock(self) -> float:
        return anyio.current_time() * 1000

    async def connect(self, host: str, port: int) -> _RecordedStream:
        stream = _RecordedStream(await self.net.connect(host, port), f"{host}:{port}")
        self.connections.append(stream)
        return stream

    def start_planner(self, address: str, *, epoch: int | None = None) -> None:
        self.epoch += 1
        module = RandomDecisions(random.Random(f"{address}/{self.epoch}"), Digest())
        planner_limits = PlannerLimits(lease_ms=400.0 if self.planner_leases else 0.0)
        planner = Planner(module, CLASSES, epoch or self.epoch, planner_limits, PLANS)
        planner.receive_node_list(
            interface.NodeList(interface.ListKind.COMPLETE, tuple(self.ledger.nodes.values()))
        )
        server = PlannerServer(
            planner,
            address,
            clock=self.clock,
            limits=LinkBounds(ping_ms=100.0, silent_ms=400.0, credit=16),
            log=_NullLog(),
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
        """Generate requests and execute the edge's actions until cancelled."""
        next_arrival = 0.0
        ends: list[tuple[float, str, int, interface.Outcome]] = []
        abandoned_attempts: list[interface.AttemptEnded] = []
        while True:
            due = min([next_arrival, *(end[0] for end in ends)])
            with anyio.move_on_at(due / 1000 + 1e-6):
                await self.wake_event.wait()
            self.wake_event = anyio.Event()
            now = self.clock()
            events: list[interface.Event] = [*abandoned_attempts]
            abandoned_attempts.clear()
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
                            abandoned_attempts.append(
                                interface.AttemptEnded(
                                    request, attempt.number, interface.Outcome.ABANDONED, False, 0.0
                                )
                            )
                            self.wake_event.set()
                            continue
                        outcome = self.rng.choice(
                            (
                                interface.Outcome.OK,
                                interface.Outcome.OK,
                                interface.Outcome.FULL,
                                interface.Outcome.RESET,
                            )
                        )
                        ends.append((now + self.rng.uniform(5, 60), request, attempt.number, outcome))
                    case interface.Reject(request):
                        self.ledger.reject(request, Reason.SCHEDULER)
                    case interface.Fail(request):
                        self.ledger.fail(request, Reason.ATTEMPTS)

    def _arrival(self, now: float) -> interface.Arrival:
        name, index = f"r{self.count}", self.rng.choice((0, 1, 2))
        self.count += 1
        self.ledger.accept(name, "x", CLASSES[index], now + 1000, now)
        plan = self.rng.randrange(len(PLANS))
        return interface.Arrival(name, f"v{plan}", self.rng.choice(("", "k")), 1.0, 1000.0, plan, index, 0, 1)

    def trace(self) -> list[object]:
        """Return each connection's address, byte counts and last bytes in each direction, and a digest."""
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


def run_scenario(name: str) -> list[object]:
    """Run a scenario and return its trace."""
    seed = sum(name.encode())
    edge_leases, planner_leases = (name != "planner alone lends"), (name != "edge alone lends")
    trace: list[object] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            scenario = _Scenario(seed, tasks, edge_leases=edge_leases, planner_leases=planner_leases)
            scenario.start_planner("p:1")
            tasks.start_soon(scenario.drive)
            tasks.start_soon(scenario.link.run)
            await _SCENARIOS[name](scenario)
            trace.extend(scenario.trace())
            tasks.cancel_scope.cancel()

    simulate(play, seed)
    return trace


async def _calm(scenario: _Scenario) -> None:
    await anyio.sleep(LENGTH_MS / 1000)


async def _killed(scenario: _Scenario) -> None:
    scenario.start_planner("q:1")
    for _ in range(3):
        await anyio.sleep(LENGTH_MS / 4000)
        scenario.kill_planner("p:1")
        await anyio.sleep(0.4)
        scenario.start_planner("p:1")


async def _older_epoch(scenario: _Scenario) -> None:
    await anyio.sleep(1)
    scenario.kill_planner("p:1")
    scenario.start_planner("p:1", epoch=3)
    await anyio.sleep(2)


async def _second_connection(scenario: _Scenario) -> None:
    await anyio.sleep(1)
    server, _ = scenario.servers["p:1"]
    server.planner.join("edge-1", "another life", scenario.clock())
    server.sessions.pop("edge-1")
    await anyio.sleep(1)


async def _stalled(scenario: _Scenario) -> None:
    await anyio.sleep(1)
    for stream in scenario.net.streams["p:1"]:
        stream.outward.put = _lost  # type: ignore[method-assign]
    await anyio.sleep(2)


async def _lost(data: bytes) -> None:
    await anyio.sleep(math.inf)


async def _planner_full(scenario: _Scenario) -> None:
    server, _ = scenario.servers["p:1"]
    for index in range(server.planner.limits.max_edges):
        server.planner.join(f"other-{index}", "l", 0.0)
    await anyio.sleep(1)


async def _rules(scenario: _Scenario) -> None:
    scenario.edge.knows_versions, scenario.edge.plans_per_version = True, len(PLANS)
    scenario.edge.version_of = lambda a: ("trial" if a.plan else "", a.request_class, a.plan)
    scenario.kill_planner("p:1")
    scenario.start_planner("p:1")
    server, _ = scenario.servers["p:1"]
    server.planner.set_rule_versions(
        CLASSES * 2, PLANS * 2, {"": (0, 0), "trial": (len(CLASSES), len(PLANS))}
    )
    await anyio.sleep(1)
    server.announce_rule_versions(("trial",))
    await anyio.sleep(1)
    server.announce_rule_versions(("trial",))
    server.announce_rule_versions(())
    await anyio.sleep(1)


_SCENARIOS = {
    "calm": _calm,
    "planners killed": _killed,
    "older epoch": _older_epoch,
    "second connection": _second_connection,
    "planner stalled": _stalled,
    "planner takes no more edges": _planner_full,
    "versions of rules": _rules,
    "edge alone lends": _calm,
    "planner alone lends": _calm,
}
SCENARIOS = tuple(_SCENARIOS)
