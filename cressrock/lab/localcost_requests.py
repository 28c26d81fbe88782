"""What a request costs a dispatcher inside: driver, ledger and decision module, without sockets.

Time is the probe's own, so that nothing waits; a transport that carries nothing answers each attempt after
`LAG_MS`.  Sizes: servers listed, volumes known, requests waiting.
"""

from __future__ import annotations

import gc
import random
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, cast

from cressrock.dispatch.driver import Driver
from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.transport import AttemptResult
from cressrock.interface import ListKind, Node, NodeList, Outcome
from cressrock.lab.localcost import Figure, held_bytes, lines
from cressrock.lab.localcost_lists import SETTINGS
from cressrock.resp.connection_pool import PoolBounds, RespTransport
from cressrock.scheduler.scheduler import Scheduler

LAG_MS = 4.0
GAP_MS = 1000 / 1770  # between two requests of a dispatcher at the size to come


@dataclass(slots=True)
class Work:
    """One request, as the driver wants to know it."""

    volume: str
    shard: int
    key: str = "k"
    request_class: int = 0
    units: float = 2.0
    plan: int = 0
    dispatcher_count: int = 8
    idempotency_key: str = ""


class _Silent:
    """An observer of nothing."""

    def fence_tripped(self, trip: Any) -> None:
        raise AssertionError(trip)

    def attempt_ended(self, *given: Any) -> None: ...

    def answered(self, *given: Any) -> None: ...

    def batch_processed(self, *given: Any) -> None: ...

    def log_line(self, text: str) -> None: ...


class Core:
    """Driver, ledger and decision module of one dispatcher over `servers` servers, one for each shard."""

    def __init__(self, servers: int, seed: int) -> None:
        """Start with the list heard and nothing asked."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.out: deque[tuple[float, Any]] = deque()
        self.held_back = False  # no attempt is answered
        self.served = self.denied = self.count = 0
        settings = replace(SETTINGS, must_ask=False)
        self.brain = Scheduler(settings, seed, 0.0)
        ledger = Ledger(drain_grace_ms=250.0, answer_slack_ms=50.0, max_open=8192, max_nodes=2 * servers + 64)
        self.driver = Driver(self.brain, ledger, self, settings.classes, _Silent(), clock=lambda: self.now)
        nodes = tuple(Node(f"s{index}", index, index % 6, 0.0) for index in range(servers))
        self.driver.receive_node_list(NodeList(ListKind.COMPLETE, nodes))
        self.driver.process_batch()

    # --- the transport

    def start(self, call: Any) -> Core:
        """Begin an attempt."""
        self.out.append((self.now + LAG_MS, call))
        return self

    def stop(self) -> None:
        """Attempts are not given up here."""

    def abandon(self) -> None:
        """No client leaves here."""

    # --- requests

    def take(self, volume: int, shard: int) -> None:
        """Take one request, and the turn that it asks for."""
        self.count += 1
        name = f"{self.count:x}"
        self.driver.submit(name, name, Work(f"{volume:016x}", shard), self.now + 5000.0, self._answer)
        self.driver.process_batch()

    def _answer(self, result: Any) -> None:
        if result is self:
            self.served += 1
        else:
            self.denied += 1

    def answer(self) -> None:
        """Let what is due be answered, a turn for each."""
        while self.out and self.out[0][0] <= self.now and not self.held_back:
            _, call = self.out.popleft()
            call.end(AttemptResult(Outcome.OK, LAG_MS, self, 2, 0.0))
            self.driver.process_batch()

    def play(self, requests: int, volumes: int, servers: int, *, each: int = 0) -> float:
        """Play requests of random volumes to random servers; returns processor time in ms.

        `each`: a volume's data lie at so many servers, derived from its number; 0: anywhere.
        """
        plan = []
        for _ in range(requests):
            volume = self.random.randrange(volumes)
            shard = self.random.randrange(servers)
            if each:
                shard = (volume * 7919 + self.random.randrange(each) * 104729) % servers
            plan.append((volume, shard))
        gc.collect()
        began = time.thread_time()
        for volume, shard in plan:
            self.now += GAP_MS
            self.answer()
            self.take(volume, shard)
        return (time.thread_time() - began) * 1000


class _Idle:
    """An idle connection to a server, as far as the pool looks at it."""

    def __init__(self, node: str, idle_since: float) -> None:
        self.node, self.idle_since = node, idle_since
        self.attempt = self.waiting_attempt = None
        self.transport = self

    def abort(self) -> None: ...


def pool_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure how a pool of n idle connections, one to each server, finds the one that gives way."""
    bounds = PoolBounds(n, 250.0, 15000.0, 1 << 20, 100.0)
    pool = RespTransport(bounds, lambda: 0.0, lambda node: None)
    draw = random.Random(seed)
    idle = [_Idle(f"s{index}", draw.random()) for index in range(n + 40)]
    for one in idle:
        pool.idle_connections[one.node] = OrderedDict({cast(Any, one): None})
    rounds, least = 10, float("inf")
    for _ in range(4):
        gc.collect()
        began = time.thread_time()
        for _ in range(rounds):
            pool._close_longest_idle()
        least = min(least, time.thread_time() - began)
    yield Figure("pool.make_room.cpu_us", least * 1e6 / rounds, "us", scene="busy")


def servers_probe(n: int, seed: int, requests: int = 1500) -> Iterator[Figure]:
    """Measure a request by the number of servers listed; 200 volumes, any of them at any server."""
    core = Core(n, seed)
    core.play(requests, 200, n)
    took = min(core.play(requests, 200, n) for _ in range(3))
    yield Figure("request.decide.by_servers.cpu_ms", took / requests, "ms", scene="calm")


def volumes_probe(n: int, seed: int, servers: int = 100, each: int = 2) -> Iterator[Figure]:
    """Measure a request by the volumes known: `each` servers hold a volume's data, `servers` in all."""
    core = Core(servers, seed)
    for volume in range(n):
        for index in range(each):
            core.now += GAP_MS
            core.answer()
            core.take(volume, (volume * 7919 + index * 104729) % servers)
    requests = 600
    took = min(core.play(requests, n, servers, each=each) for _ in range(3))
    flows = sum(len(queue.volumes) for queue in core.brain.queues.values()) / servers
    yield Figure("request.decide.by_volumes.cpu_ms", took / requests, "ms", scene="calm")
    yield Figure("request.decide.by_volumes.queues_a_server", flows, "queues", scene="calm")


def volume_bytes(n: int, seed: int, servers: int = 100) -> Iterator[Figure]:
    """Measure what the decision module holds of n volumes that asked twice, and ask no more."""

    def ask(core: Core, volumes: int) -> Core:
        for volume in range(volumes):
            for index in range(2):
                core.now += GAP_MS
                core.answer()
                core.take(volume, (volume * 7919 + index * 104729) % servers)
        core.now += LAG_MS
        core.answer()
        return core

    none, _ = held_bytes(lambda: Core(servers, seed))
    kept, _ = held_bytes(lambda: ask(Core(servers, seed), n))
    yield Figure("volumes.held_bytes", kept - none, "bytes", scene="calm")


def waiting(core: Core, n: int, shards: int) -> None:
    """Let n requests wait, over so many servers that answer nothing; each holds one attempt besides."""
    core.held_back = True
    for index in range(shards):
        core.take(index % 32, index)
    for index in range(n):
        core.take(index % 32, index % shards)


def one_server_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure one further request at a well server, while n wait at one that hangs."""
    core = Core(3000, seed)
    waiting(core, n, 1)
    yield from _further(core, "request.decide.by_waiting")


def servers_waiting_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure one further request at a well server, while one request waits at each of n that hang."""
    core = Core(3000, seed)
    waiting(core, n, n)
    yield from _further(core, "request.decide.by_waiting_servers")


def _further(core: Core, row: str) -> Iterator[Figure]:
    rounds, least = 20, float("inf")
    for _ in range(3):
        gc.collect()
        began = time.thread_time()
        for index in range(rounds):
            further(core, 2500 - index)
        least = min(least, time.thread_time() - began)
    yield Figure(f"{row}.cpu_ms", least * 1000 / rounds, "ms", scene="jam")
    yield Figure(f"{row}.steps", further_steps(core), "lines", scene="jam")


def further_steps(core: Core) -> int:
    """Count the lines that one further request runs; its turn is its own, not that of a period's end."""
    return lines(lambda: further(core, 1900))


def further(core: Core, shard: int) -> None:
    """Take a request for a well server and answer it."""
    before = len(core.out)
    core.take(99, shard)
    assert len(core.out) == before + 1, "the well server was not asked"
    _, call = core.out.pop()
    call.end(AttemptResult(Outcome.OK, LAG_MS, core, 2, 0.0))
    core.driver.process_batch()
